package routing

import (
	"sort"

	"spanrill/state/load"
)

// Candidate is an engine that could run a stage, with the figures by which it is compared.
type Candidate struct {
	Engine         string  `json:"engine"`
	Zone           string  `json:"availability_zone"`
	From           int     `json:"from"`
	To             int     `json:"to"`
	Load           float64 `json:"load"`           // requests expected on the engine
	MicrosPerToken float64 `json:"micros_a_token"` // at a full batch
	Slowdown       float64 `json:"slow"`           // factor by which steps take longer than the engine reports
	LinkMicros     int64   `json:"link_micros"`
	Score          float64 `json:"score"`             // lower is better
	WhyNot         string  `json:"why_not,omitempty"` // why the engine cannot be used, if it cannot
}

// Explanation reports which chain a request would take, and the candidates of each stage.
type Explanation struct {
	Policy string        `json:"policy"`
	Chain  []string      `json:"chain"`
	Stages [][]Candidate `json:"stages"` // the best candidate first
}

// Explain chooses a chain and returns it with the candidates of each of its stages. It sends no
// request.
func (r *Router) Explain(index *load.ModelIndex, q *Query) Explanation {
	e := Explanation{Policy: r.policy.Name(), Chain: []string{}, Stages: [][]Candidate{}}
	chain, _ := r.Choose(index, q, nil)
	q.Previous = nil
	for _, chosen := range chain {
		e.Chain = append(e.Chain, chosen.Name())
		e.Stages = append(e.Stages, stageCandidates(index, q, chosen.Layers().From))
		q.Previous = chosen
	}
	return e
}

// stageCandidates returns the engines whose layers start at from, the best first.
func stageCandidates(index *load.ModelIndex, q *Query, from int) []Candidate {
	reachability := index.Reachability(q.Layers)
	var result []Candidate
	for _, u := range index.StartingAt(from) {
		c := Candidate{
			Engine: u.Name(), Zone: u.Zone(), From: u.Layers().From, To: u.Layers().To,
			Load: u.Load(q.Now), MicrosPerToken: u.MicrosPerToken(), Slowdown: u.Slowdown(q.Now),
			LinkMicros: u.LinkMicros(), Score: Score(u, q),
		}
		switch {
		case !reachability.ReachesEnd(u.Layers().To):
			c.WhyNot = "no chain leads on from it"
		case u.Ejected(q.Now):
			c.WhyNot = "ejected"
		}
		result = append(result, c)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].Score < result[j].Score })
	return result
}
