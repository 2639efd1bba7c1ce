package routing

import (
	"spanrill/rng"
	"spanrill/state/load"
)

// LeastWork picks, among a few random candidates, the one on which a request
// is expected to wait and run the shortest. Random candidates keep daemons
// that see the same report from choosing the same engine.
type LeastWork struct {
	rng     *rng.Source
	samples int
}

// defaultSamples is how many candidates are compared.
const defaultSamples = 16

// NewLeastWork returns the default policy.
func NewLeastWork(source *rng.Source) *LeastWork {
	return &LeastWork{rng: source, samples: defaultSamples}
}

// Name returns "least-work".
func (p *LeastWork) Name() string { return "least-work" }

// Pick returns the best of a few usable candidates.
func (p *LeastWork) Pick(candidates []*load.Upstream, q *Query) *load.Upstream {
	n := len(candidates)
	if n == 0 {
		return nil
	}
	var best choice
	for _, u := range q.Prefer {
		if listed(candidates, u) && q.Usable(u) {
			best.consider(u, q)
		}
	}
	start, step, found := p.rng.IntN(n), stride(n), 0
	for i := 0; i < n && found < p.samples; i++ {
		if u := candidates[(start+i*step)%n]; q.Usable(u) {
			best.consider(u, q)
			found++
		}
	}
	return best.upstream
}

// choice is the best candidate so far.
type choice struct {
	upstream *load.Upstream
	score    float64
}

func (c *choice) consider(u *load.Upstream, q *Query) {
	if s := Score(u, q); c.upstream == nil || s < c.score {
		c.upstream, c.score = u, s
	}
}

// listed reports whether an upstream is among the candidates, which are in the
// order of their names.
func listed(candidates []*load.Upstream, u *load.Upstream) bool {
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

// stride returns a step that visits each of n places once and far apart.
func stride(n int) int {
	s := n*5/8 | 1
	for gcd(s, n) != 1 {
		s += 2
	}
	return s
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// zoneMicros is what crossing into another availability zone is taken to cost
// before it was observed.
const zoneMicros = 500

// Score is the time in microseconds that a step is expected to take on an
// upstream with one more request, link included.
func Score(u *load.Upstream, q *Query) float64 {
	work := (u.Load(q.Now) + 1) * u.MicrosPerToken() * u.Slow(q.Now) / u.Ramp(q.Now)
	if has(q.Prefer, u) {
		work *= 1 - q.Saved
	}
	link := float64(u.LinkMicros())
	if q.Last != nil && q.Last.Zone() != u.Zone() {
		link = max(link, zoneMicros)
	}
	return work + link
}
