// Package routing chooses the engines that a request crosses.
//
// A chain is chosen stage by stage. At each layer at which a stage may start, a Policy picks one
// engine among those that start there and from which the last layer can be reached. The default
// policy is LeastWork; the others are baselines for comparison.
//
// # Usage
//
//	router := routing.New(clock, routing.WithPolicy(routing.NewLeastWork(rng)))
//	chain, ok := router.Choose(index, &routing.Query{Layers: 24}, chain[:0])
package routing

import (
	"github.com/pkg/errors"

	"spanrill"
	"spanrill/rng"
	"spanrill/state/load"
)

// Query describes the request for which upstreams are chosen.
type Query struct {
	Layers     int              // layers of the model
	Exclude    []*load.Upstream // upstreams that have failed this request
	Avoid      []*load.Upstream // upstreams to use only if there are no others
	Prefer     []*load.Upstream // upstreams that cache a prefix of the prompt
	SavedShare float64          // share of the work that a cached prefix saves, from 0 to 1
	Now        spanrill.Millis  // set by the router
	Previous   *load.Upstream   // the upstream of the previous stage, set by the router

	reachability *load.Reachability // nil for a plain service
	lastResort   bool               // ejected and avoided upstreams may be picked too
}

// Usable reports whether a policy may pick the upstream.
func (q *Query) Usable(u *load.Upstream) bool {
	if q.reachability != nil && !q.reachability.ReachesEnd(u.Layers().To) || contains(q.Exclude, u) {
		return false
	}
	return q.lastResort || !u.Ejected(q.Now) && !contains(q.Avoid, u)
}

func contains(list []*load.Upstream, u *load.Upstream) bool {
	for _, listed := range list {
		if listed == u {
			return true
		}
	}
	return false
}

// Policy picks one of several upstreams.
type Policy interface {
	// Name returns the name by which settings choose the policy.
	Name() string
	// Pick returns one of the candidates that are usable for the query, or nil if none is.
	Pick(candidates []*load.Upstream, q *Query) *load.Upstream
}

// Router chooses chains of engines and single upstreams of plain services.
type Router struct {
	clock  spanrill.Clock
	policy Policy
}

// Option changes a default of New.
type Option func(*Router)

// WithPolicy sets the policy; the default is LeastWork.
func WithPolicy(p Policy) Option {
	return func(r *Router) { r.policy = p }
}

// New returns a router.
func New(clock spanrill.Clock, opts ...Option) *Router {
	r := &Router{clock: clock, policy: NewLeastWork(rng.New(1))}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Policy returns the policy in use.
func (r *Router) Policy() Policy { return r.policy }

// NewPolicy returns the policy with that name.
func NewPolicy(name string, source *rng.Source) (Policy, error) {
	policies := []Policy{NewLeastWork(source), NewRandom(source), NewRoundRobin(), NewLeastInFlight()}
	for _, p := range policies {
		if p.Name() == name {
			return p, nil
		}
	}
	return nil, errors.Errorf("unknown routing policy %q: allowed are least-work, random, round-robin and least-in-flight", name)
}

// Choose appends the engines of a chain to dst and reports whether it found a complete one. It does
// not allocate if dst has capacity for the chain.
func (r *Router) Choose(index *load.ModelIndex, q *Query, dst []*load.Upstream) ([]*load.Upstream, bool) {
	if index == nil {
		return dst, false
	}
	q.Now = r.clock.Now()
	q.Previous = nil
	q.reachability = index.Reachability(q.Layers)
	for layer := 0; layer < q.Layers; {
		u := r.pick(index.StartingAt(layer), q)
		if u == nil {
			return dst, false
		}
		dst = append(dst, u)
		q.Previous = u
		layer = u.Layers().To
	}
	return dst, true
}

// pick picks an upstream that is neither ejected nor avoided if there is one, and otherwise one of
// the others: if all upstreams of a stage are ejected, trying one is better than refusing the
// request.
func (r *Router) pick(candidates []*load.Upstream, q *Query) *load.Upstream {
	q.lastResort = false
	if u := r.policy.Pick(candidates, q); u != nil {
		return u
	}
	q.lastResort = true
	return r.policy.Pick(candidates, q)
}

// PickOne picks a single upstream of a plain service, or nil.
func (r *Router) PickOne(candidates []*load.Upstream, q *Query) *load.Upstream {
	q.Now = r.clock.Now()
	return r.pick(candidates, q)
}
