package routing

import (
	"spanrill/rng"
	"spanrill/state/load"
)

// LeastWork picks, among a few random candidates, the one on which a request is expected to wait
// and run the shortest. Because the candidates are random, daemons that see the same reports do
// not all choose the same engine.
type LeastWork struct {
	rng     *rng.Source
	samples int
}

// defaultSamples is the number of random candidates that LeastWork compares.
const defaultSamples = 16

// NewLeastWork returns the default policy.
func NewLeastWork(source *rng.Source) *LeastWork {
	return &LeastWork{rng: source, samples: defaultSamples}
}

// Name returns "least-work".
func (p *LeastWork) Name() string { return "least-work" }

// Pick returns the usable candidate with the lowest score among the preferred ones and a few random
// ones.
func (p *LeastWork) Pick(candidates []*load.Upstream, q *Query) *load.Upstream {
	n := len(candidates)
	if n == 0 {
		return nil
	}
	var best bestCandidate
	for _, u := range q.Prefer {
		if sortedContains(candidates, u) && q.Usable(u) {
			best.consider(u, q)
		}
	}
	start, step, considered := p.rng.IntN(n), stride(n), 0
	for i := 0; i < n && considered < p.samples; i++ {
		if u := candidates[(start+i*step)%n]; q.Usable(u) {
			best.consider(u, q)
			considered++
		}
	}
	return best.upstream
}

// bestCandidate is the candidate with the lowest score so far.
type bestCandidate struct {
	upstream *load.Upstream
	score    float64
}

func (c *bestCandidate) consider(u *load.Upstream, q *Query) {
	if s := Score(u, q); c.upstream == nil || s < c.score {
		c.upstream, c.score = u, s
	}
}

// sortedContains reports whether an upstream is among candidates, which are sorted by name.
func sortedContains(candidates []*load.Upstream, u *load.Upstream) bool {
	low, high := 0, len(candidates)
	for low < high {
		middle := (low + high) / 2
		if candidates[middle].Name() < u.Name() {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low < len(candidates) && candidates[low] == u
}

// stride returns a step that visits each of n indexes once (it is coprime to n) and spreads
// successive visits.
func stride(n int) int {
	step := n*5/8 | 1
	for gcd(step, n) != 1 {
		step += 2
	}
	return step
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// minCrossingMicros is the least time that Score assumes for a hop into another availability zone.
const minCrossingMicros = 500

// Score returns the time in microseconds that a step is expected to take on an upstream with one
// more request, including the link.
func Score(u *load.Upstream, q *Query) float64 {
	work := (u.Load(q.Now) + 1) * u.MicrosPerToken() * u.Slowdown(q.Now) / u.RampShare(q.Now)
	if contains(q.Prefer, u) {
		work *= 1 - q.SavedShare
	}
	link := float64(u.LinkMicros())
	if q.Previous != nil && q.Previous.Zone() != u.Zone() {
		link = max(link, minCrossingMicros)
	}
	return work + link
}
