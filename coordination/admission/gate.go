// Package admission decides whether and when a request may start. It enforces the limits of client
// accounts, which are divided among the daemons, and queues requests of a model when its engines
// are at capacity. Line orders the requests that wait, also for daemons that give the room of a
// service to the requests of all daemons.
//
// # Usage
//
//	gate := admission.New(clock, table, admission.WithQueue(1024, 2000))
//	release, refusal := gate.Admit(ctx, grant, model, maxTokens)
//	if refusal != nil {
//		return refusal
//	}
//	defer func() { release(tokens) }()
//
// A line decides only; time and the rate of starts are told to it:
//
//	line := admission.NewLine(admission.WithCapacity(512))
//	line.SetRate(startsPerSecond)
//	ok, dropped := line.Enter(now, entry) // refuse the request if not ok, and those dropped
//	for hasRoom() {
//		next, ok := line.Next(now, nil)
//		if !ok {
//			break
//		}
//		line.Start(now, next)
//	}
//	for _, late := range line.Drop(now) {
//		refuse(late)
//	}
package admission

import (
	"context"
	"sync"

	"spanrill"
	"spanrill/meter"
	"spanrill/state/config"
	"spanrill/state/load"
)

// Gate admits requests within the limits of their accounts and the capacity of their model.
type Gate struct {
	clock           spanrill.Clock
	table           *load.Table
	meters          *meter.Meters
	demand          *demand
	maxWaiting      int
	maxWait         spanrill.Millis
	requestsPerSlot float64

	mu       sync.Mutex
	accounts map[string]*account
	queues   map[load.ModelKey]*queue
}

// Option changes a default of New.
type Option func(*Gate)

// WithMeters sets the meters that are updated.
func WithMeters(m *meter.Meters) Option {
	return func(g *Gate) { g.meters = m }
}

// WithQueue sets how many requests of a model may wait, and for how long.
func WithQueue(maxWaiting int, maxWait spanrill.Millis) Option {
	return func(g *Gate) { g.maxWaiting, g.maxWait = maxWaiting, maxWait }
}

// WithRequestsPerSlot sets how many requests may run at once for each slot in the batches of the engines.
// More than one is needed because a request occupies one stage of its chain at a time: to keep a
// batch full, as many requests must wait for it as run in it.
func WithRequestsPerSlot(n int) Option {
	return func(g *Gate) { g.requestsPerSlot = float64(n) }
}

const (
	defaultMaxWaiting      = 1024
	defaultMaxWait         = 2 * spanrill.Second
	defaultRequestsPerSlot = 4
)

// New returns a gate that has admitted no requests yet.
func New(clock spanrill.Clock, table *load.Table, opts ...Option) *Gate {
	g := &Gate{
		clock: clock, table: table, meters: meter.New(), demand: newDemand(),
		maxWaiting: defaultMaxWaiting, maxWait: defaultMaxWait, requestsPerSlot: defaultRequestsPerSlot,
		accounts: map[string]*account{}, queues: map[load.ModelKey]*queue{},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Admit waits until the request may start, or returns why it is refused. The returned function must
// be called with the number of tokens used when the request has ended. A request to a plain service
// has no model and does not wait.
func (g *Gate) Admit(ctx context.Context, grant *config.Grant, model *config.ModelGrant, _ int) (func(tokens int), *spanrill.Refusal) {
	now := g.clock.Now()
	g.demand.countRequest(grant.Account(), now)
	a := g.account(grant.Account())
	if refusal := a.acquire(grant.Limits(), g.demand.share(grant.Account(), now), now); refusal != nil {
		return nil, refusal
	}
	releaseAccount := func(tokens int) {
		now := g.clock.Now()
		a.release(grant.Limits(), g.demand.share(grant.Account(), now), tokens, now)
	}
	if model == nil {
		return releaseAccount, nil
	}
	q := g.queue(model)
	if refusal := g.wait(ctx, q, grant, model); refusal != nil {
		releaseAccount(0)
		return nil, refusal
	}
	g.meters.QueueWait.Update((g.clock.Now() - now).Duration().Seconds())
	return func(tokens int) {
		q.finishRequest()
		releaseAccount(tokens)
	}, nil
}

// wait queues the request until it may start.
func (g *Gate) wait(ctx context.Context, q *queue, grant *config.Grant, model *config.ModelGrant) *spanrill.Refusal {
	weight := float64(grant.Limits().Weight() * (1 + model.Priority()))
	w, refusal := q.join(grant.Account(), weight, g.maxWaiting, g.maxWait)
	if refusal != nil || w == nil {
		return refusal
	}
	select {
	case <-w.started:
		return nil
	case <-w.dropped:
	case <-ctx.Done():
	case <-g.clock.After(g.maxWait):
	}
	if !q.cancel(w) && !w.wasDropped() {
		return nil // the request was started concurrently
	}
	return spanrill.NewRefusal(spanrill.ReasonQueueDeadline, "the request did not start within %d ms", g.maxWait).
		WithRetryAfter(g.maxWait)
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

// capacity returns how many requests of a model this daemon may run at once: the capacity of the
// engines less the requests of other daemons, according to the reports of the engines, but at least
// this daemon's equal share of the capacity.
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
	total := g.requestsPerSlot * slots
	return max(1, int(max(total/float64(g.demand.daemons()), total-others/max(1, stages))))
}

// SetDaemons sets the number of live daemons among which limits are divided.
func (g *Gate) SetDaemons(n int) { g.demand.setDaemons(n) }

// Demand returns the request rates of the accounts at this daemon, in requests per second.
func (g *Gate) Demand() map[string]float64 { return g.demand.snapshot(g.clock.Now()) }

// RecordPeerDemand records the request rates of the accounts at another daemon.
func (g *Gate) RecordPeerDemand(daemon string, accounts map[string]float64) {
	g.demand.recordPeer(daemon, accounts, g.clock.Now())
}

// Maintain starts waiting requests if the capacity has increased, and removes idle accounts. It
// must be called about once a second.
func (g *Gate) Maintain() {
	g.mu.Lock()
	queues := make([]*queue, 0, len(g.queues))
	for _, q := range g.queues {
		queues = append(queues, q)
	}
	for name, a := range g.accounts {
		if a.isIdle(g.clock.Now()) {
			delete(g.accounts, name)
		}
	}
	g.mu.Unlock()
	for _, q := range queues {
		q.recheckLimit()
	}
}

// Depth returns the numbers of running and waiting requests over all models.
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
