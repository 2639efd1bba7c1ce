package routing

import (
	"sync/atomic"

	"spanrill/rng"
	"spanrill/state/load"
)

// Random picks a usable candidate at random.
type Random struct{ rng *rng.Source }

// NewRandom returns a policy that picks at random.
func NewRandom(source *rng.Source) *Random { return &Random{rng: source} }

// Name returns "random".
func (p *Random) Name() string { return "random" }

// Pick returns a usable candidate at random.
func (p *Random) Pick(candidates []*load.Upstream, q *Query) *load.Upstream {
	if len(candidates) == 0 {
		return nil
	}
	return firstUsable(candidates, p.rng.IntN(len(candidates)), q)
}

// firstUsable returns the first usable candidate from index start on, wrapping around, or nil.
func firstUsable(candidates []*load.Upstream, start int, q *Query) *load.Upstream {
	for i := range candidates {
		if u := candidates[(start+i)%len(candidates)]; q.Usable(u) {
			return u
		}
	}
	return nil
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// NewRoundRobin returns a policy that picks in turn.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Name returns "round-robin".
func (p *RoundRobin) Name() string { return "round-robin" }

// Pick returns the next usable candidate.
func (p *RoundRobin) Pick(candidates []*load.Upstream, q *Query) *load.Upstream {
	if len(candidates) == 0 {
		return nil
	}
	start := int(p.next.Add(1) % uint64(len(candidates)))
	return firstUsable(candidates, start, q)
}

// LeastInFlight picks the candidate with the fewest requests in flight from this daemon.
type LeastInFlight struct{ next atomic.Uint64 }

// NewLeastInFlight returns a policy that picks by this daemon's requests in flight.
func NewLeastInFlight() *LeastInFlight { return &LeastInFlight{} }

// Name returns "least-in-flight".
func (p *LeastInFlight) Name() string { return "least-in-flight" }

// Pick returns the usable candidate with the fewest requests in flight.
func (p *LeastInFlight) Pick(candidates []*load.Upstream, q *Query) *load.Upstream {
	var best *load.Upstream
	start := int(p.next.Add(1))
	for i := range candidates {
		u := candidates[(start+i)%len(candidates)]
		if q.Usable(u) && (best == nil || u.InFlight() < best.InFlight()) {
			best = u
		}
	}
	return best
}
