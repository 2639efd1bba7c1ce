package routing

import (
	"sort"

	"spanrill/state/load"
)

// Candidate is one engine that could run a stage, and how it is judged.
type Candidate struct {
	Engine string  `json:"engine"`
	Zone   string  `json:"availability_zone"`
	From   int     `json:"from"`
	To     int     `json:"to"`
	Load   float64 `json:"load"`           // requests expected on it
	Micros float64 `json:"micros_a_token"` // at a full batch
	Slow   float64 `json:"slow"`           // times slower than reported
	Link   int64   `json:"link_micros"`
	Score  float64 `json:"score"` // lower is better
	Why    string  `json:"why_not,omitempty"`
}

// Explanation says why a request would go where.
type Explanation struct {
	Policy string        `json:"policy"`
	Chain  []string      `json:"chain"`
	Stages [][]Candidate `json:"stages"` // the best candidate first
}

// Explain chooses a chain and tells how the candidates of each stage compare.
func (r *Router) Explain(index *load.ModelIndex, q *Query) Explanation {
	e := Explanation{Policy: r.policy.Name(), Chain: []string{}, Stages: [][]Candidate{}}
	chain, _ := r.Choose(index, q, nil)
	q.Last = nil
	for _, chosen := range chain {
		e.Chain = append(e.Chain, chosen.Name())
		e.Stages = append(e.Stages, candidates(index, q, chosen.Layers().From))
		q.Last = chosen
	}
	return e
}

func candidates(index *load.ModelIndex, q *Query, from int) []Candidate {
	ways := index.Ways(q.Layers)
	var all []Candidate
	for _, u := range index.From(from) {
		c := Candidate{
			Engine: u.Name(), Zone: u.Zone(), From: u.Layers().From, To: u.Layers().To,
			Load: u.Load(q.Now), Micros: u.MicrosPerToken(), Slow: u.Slow(q.Now),
			Link: u.LinkMicros(), Score: Score(u, q),
		}
		switch {
		case !ways.Open(u.Layers().To):
			c.Why = "no chain leads on from it"
		case u.Ejected(q.Now):
			c.Why = "ejected"
		}
		all = append(all, c)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].Score < all[k].Score })
	return all
}
