// Package admission decides which requests may start, and when.
//
// # Usage
//
//	gate := admission.New(clock, table, admission.WithQueue(1024, 2000))
//	release, refusal := gate.Admit(ctx, grant, model, maxTokens)
//	if refusal != nil {
//		return refusal
//	}
//	defer release(tokens)
package admission

import (
	"context"
	"sync"

	"spanrill"
	"spanrill/meter"
	"spanrill/state/config"
	"spanrill/state/load"
)

// Gate admits requests within the limits of their accounts and the capacity of
// their model.
type Gate struct {
	clock   spanrill.Clock
	table   *load.Table
	meters  *meter.Meters
	demand  *demand
	most    int
	longest spanrill.Millis
	perSlot float64

	mu       sync.Mutex
	accounts map[string]*account
	queues   map[load.ModelKey]*queue
}

// Option changes a default of New.
type Option func(*Gate)

// WithMeters sets the counters.
func WithMeters(m *meter.Meters) Option {
	return func(g *Gate) { g.meters = m }
}

// WithQueue sets how many requests of one model may wait, and for how long.
func WithQueue(most int, longest spanrill.Millis) Option {
	return func(g *Gate) { g.most, g.longest = most, longest }
}

// WithPerSlot sets how many requests may run at once for each place in the
// batches of the engines. A request is on one stage at a time, and a batch is
// full only if as many requests wait for it as run in it.
func WithPerSlot(n int) Option {
	return func(g *Gate) { g.perSlot = float64(n) }
}

const (
	defaultMost    = 1024
	defaultLongest = 2 * spanrill.Second
	defaultPerSlot = 4
)

// New returns a gate with no requests.
func New(clock spanrill.Clock, table *load.Table, opts ...Option) *Gate {
	g := &Gate{
		clock: clock, table: table, meters: meter.New(), demand: newDemand(),
		most: defaultMost, longest: defaultLongest, perSlot: defaultPerSlot,
		accounts: map[string]*account{}, queues: map[load.ModelKey]*queue{},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Admit waits until the request may start, or returns why it may not. A
// request of a plain service has no model and does not wait.
func (g *Gate) Admit(ctx context.Context, grant *config.Grant, model *config.ModelGrant, _ int) (func(tokens int), *spanrill.Refusal) {
	now := g.clock.Now()
	g.demand.asked(grant.Account(), now)
	a := g.account(grant.Account())
	if refusal := a.enter(grant.Limits(), g.demand.share(grant.Account(), now), now); refusal != nil {
		return nil, refusal
	}
	leave := func(tokens int) {
		now := g.clock.Now()
		a.leave(grant.Limits(), g.demand.share(grant.Account(), now), tokens, now)
	}
	if model == nil {
		return leave, nil
	}
	q := g.queue(model)
	if refusal := g.wait(ctx, q, grant, model); refusal != nil {
		leave(0)
		return nil, refusal
	}
	g.meters.QueueWait.Update((g.clock.Now() - now).Duration().Seconds())
	return func(tokens int) {
		q.end()
		leave(tokens)
	}, nil
}

// wait queues the request until it may start.
func (g *Gate) wait(ctx context.Context, q *queue, grant *config.Grant, model *config.ModelGrant) *spanrill.Refusal {
	weight := float64(grant.Limits().Weight() * (1 + model.Priority()))
	w, refusal := q.join(grant.Account(), weight, g.most, g.longest)
	if refusal != nil || w == nil {
		return refusal
	}
	select {
	case <-w.start:
		return nil
	case <-ctx.Done():
	case <-g.clock.After(g.longest):
	}
	if !q.quit(w) {
		return nil // it started in the same moment
	}
	return spanrill.NewRefusal(spanrill.ReasonQueueDeadline, "the request did not start within %d ms", g.longest).
		WithRetryAfter(g.longest)
}

func (g *Gate) account(name string) *account {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.accounts[name]
	if a == nil {
		a = &account{}
		g.accounts[name] = a
	}
	return a
}

func (g *Gate) queue(model *config.ModelGrant) *queue {
	m := model.Model()
	key := load.ModelKey{Model: m.Name, Version: m.Version, Site: model.Site().Name}
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[key]
	if q == nil {
		q = newQueue(g.clock, func() int { return g.capacity(key, m.Layers) })
		g.queues[key] = q
	}
	return q
}

// capacity returns how many requests of a model this daemon may run at once:
// what fits into the engines less what others run there by their reports, and
// at least this daemon's equal part.
func (g *Gate) capacity(key load.ModelKey, layers int) int {
	index := g.table.View().Model(key)
	if index == nil {
		return 1
	}
	now := g.clock.Now()
	var slots, others float64
	for _, u := range index.Engines() {
		if u.Ejected(now) {
			continue
		}
		slots += float64(u.Report().Slots)
		others += u.PeerRequests(now)
	}
	stages := float64(index.MinStages(layers))
	whole := g.perSlot * slots
	return max(1, int(max(whole/float64(g.demand.daemons()), whole-others/max(1, stages))))
}

// SetDaemons sets how many daemons divide the limits.
func (g *Gate) SetDaemons(n int) { g.demand.setAlive(n) }

// Demand returns what the accounts ask of this daemon, in requests a second.
func (g *Gate) Demand() map[string]float64 { return g.demand.snapshot(g.clock.Now()) }

// Told takes what the accounts ask of another daemon.
func (g *Gate) Told(daemon string, accounts map[string]float64) {
	g.demand.told(daemon, accounts, g.clock.Now())
}

// Tend starts requests for which room has come, and forgets idle accounts. Its
// owner calls it about once a second.
func (g *Gate) Tend() {
	g.mu.Lock()
	queues := make([]*queue, 0, len(g.queues))
	for _, q := range g.queues {
		queues = append(queues, q)
	}
	for name, a := range g.accounts {
		if a.idle(g.clock.Now()) {
			delete(g.accounts, name)
		}
	}
	g.mu.Unlock()
	for _, q := range queues {
		q.kick()
	}
}

// Depth returns the requests that run and wait, over all models.
func (g *Gate) Depth() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, q := range g.queues {
		r, w := q.depth()
		running += r
		waiting += w
	}
	return running, waiting
}
