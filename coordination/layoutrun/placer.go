// Package layoutrun carries out the layouts that package layout plans.
//
// One daemon at a time does so, under a lease. Engines need not check who sends an
// order: each order carries the sequence of the engine's state that it is meant
// for. An order that arrives late, after a newer one, no longer matches and changes
// nothing. The layers that the engines hold are the only state, so a daemon that
// takes over the lease continues from them.
//
// While no daemon can reach the store, none can hold the lease, yet engines still
// fail. Then the first daemon in rank acts without the lease: two daemons that send
// orders at the same time can undo each other's work, but no order can exceed an
// engine's memory, and engines check every path.
//
// The store shows an engine's layers up to a heartbeat late, and not at all while it
// is down. The placer therefore asks the engines that it has ordered, and passes
// their answers on to the other daemons.
//
// # Usage
//
//	p := layoutrun.New(mayPlace, engines, table, services, clock, log)
//	err := p.Run(ctx)
package layoutrun

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/layout"
	"spanrill/events"
	"spanrill/state/fleet"
	"spanrill/task"
)

// Services is a function that returns the services whose engines hold parts of a model.
type Services func() []spanrill.ServiceInfo

// MayPlace is a function that returns the fencing token under which orders may be sent now, or
// false if none may be sent. A token of 0 means that no token was available.
type MayPlace func() (term uint64, ok bool)

const (
	// roundInterval is the pause between two rounds. A hole is detected in the next
	// round; loading layers takes a second or more.
	roundInterval spanrill.Millis = 150
	// idleRoundInterval is the pause of a daemon that may not send orders, until it checks
	// again whether it may: a lease is taken over after seconds.
	idleRoundInterval = 3 * roundInterval
	// quietTimeBeforeLayout is how long no engine must have been added before the first
	// layout is planned: engines started together appear over two or three seconds.
	quietTimeBeforeLayout spanrill.Millis = 1200
	// maxWaitForLayout bounds the wait for the first layout.
	maxWaitForLayout spanrill.Millis = 5000
)

// Placer plans the layouts of all services and orders the moves while it may place layers.
type Placer struct {
	mayPlace MayPlace
	engines  spanrill.LayerEngines
	table    *fleet.Table
	services Services
	clock    spanrill.Clock
	log      logrus.FieldLogger

	mu            sync.Mutex
	orders        map[string]*order          // by upstream id
	engineCounts  map[string]int             // most engines seen, by service
	lastAddedAt   map[string]spanrill.Millis // by service
	firstSeenAt   map[string]spanrill.Millis // by service
	tasks         task.Group
	propagation   func() spanrill.Millis   // time in which an update reaches all daemons
	verifications map[string]*verification // by upstream id
	paceSchedule  paceSchedule
	calls         callSlots
	lastPlans     map[string]lastPlan // by service
}

// order is the state of a move that is being carried out, or was.
type order struct {
	move     layout.Move
	done     bool            // the engine has reported that it holds the range
	forgetAt spanrill.Millis // forgotten from this time on, if not 0
}

// Option changes a default of New.
type Option func(*Placer)

// WithPropagationTime sets the source of the time in which an update reaches all daemons.
func WithPropagationTime(propagation func() spanrill.Millis) Option {
	return func(p *Placer) { p.propagation = propagation }
}

// New returns a Placer that plans the layouts of services from the engines in table.
func New(mayPlace MayPlace, engines spanrill.LayerEngines, table *fleet.Table, services Services, clock spanrill.Clock, log logrus.FieldLogger, opts ...Option) *Placer {
	p := &Placer{
		mayPlace: mayPlace, engines: engines, table: table, services: services, clock: clock, log: log,
		orders: map[string]*order{}, engineCounts: map[string]int{},
		lastAddedAt: map[string]spanrill.Millis{}, firstSeenAt: map[string]spanrill.Millis{},
		propagation: func() spanrill.Millis { return defaultPropagation }, verifications: map[string]*verification{}, lastPlans: map[string]lastPlan{},
		calls: newCallSlots(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Run performs rounds until the context ends, and then waits for its calls.
func (p *Placer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.Round(ctx)
		select {
		case <-ctx.Done():
		case <-p.clock.After(p.nextInterval()):
		}
	}
	_ = p.tasks.Wait() // errors are logged where they occur
	return ctx.Err()
}

// nextInterval returns the pause before the next round.
func (p *Placer) nextInterval() spanrill.Millis {
	if _, mayPlace := p.mayPlace(); mayPlace {
		return roundInterval
	}
	return idleRoundInterval
}

// Round plans and orders the moves of all services once. A daemon that may not send orders
// only counts their engines.
func (p *Placer) Round(ctx context.Context) {
	p.forgetFinished()
	_, mayPlace := p.mayPlace()
	if mayPlace {
		p.queryPaces(ctx)
	}
	for _, s := range p.services() {
		if s.Model == nil {
			continue
		}
		allAppeared := p.allAppeared(s.Name, len(p.table.View().ByService(s.Name)))
		if mayPlace {
			p.planAndOrder(ctx, s, allAppeared)
		}
	}
}

// planAndOrder plans the moves that a service needs and starts to carry them out.
func (p *Placer) planAndOrder(ctx context.Context, s spanrill.ServiceInfo, allAppeared bool) {
	engines, anyHeld := p.planInput(ctx, &s)
	if !anyHeld && !allAppeared || p.stillNeedsNoMoves(s.Name, engines) {
		return
	}
	moves := layout.Repair(s.Model, engines)
	p.recordPlan(s.Name, engines, len(moves) == 0)
	if len(moves) == 0 {
		return
	}
	events.LayoutPlanned.Log(p.log, logrus.Fields{"service": s.Name, "engines": len(engines), "moves": len(moves), "first": moves[0].String(), "why": moves[0].Reason, "view": p.table.View().Version()})
	for _, m := range moves {
		p.startOrder(ctx, s, m)
	}
}

// allAppeared reports whether the engines of a service have presumably all appeared: none
// was added for quietTimeBeforeLayout, or the first was seen maxWaitForLayout ago.
func (p *Placer) allAppeared(service string, engineCount int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if engineCount > p.engineCounts[service] {
		if p.engineCounts[service] == 0 {
			p.firstSeenAt[service] = now
		}
		p.engineCounts[service], p.lastAddedAt[service] = engineCount, now
	}
	return engineCount > 0 && (now-p.lastAddedAt[service] >= quietTimeBeforeLayout || now-p.firstSeenAt[service] >= maxWaitForLayout)
}

// planInput returns the engines of a service as input for the planner, and whether any
// of them holds layers. An engine with an order counts as holding the layers ordered.
func (p *Placer) planInput(ctx context.Context, s *spanrill.ServiceInfo) (engines []layout.Engine, anyHeld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, upstreams := p.clock.Now(), p.table.View().ByService(s.Name)
	engines = make([]layout.Engine, 0, len(upstreams))
	for _, u := range upstreams {
		crashed, leaving := p.verify(ctx, u, now, true)
		entry := u.Entry()
		if u.Removed() {
			continue
		}
		if crashed {
			engines = append(engines, layout.Engine{ID: u.ID(), Zone: entry.Zone, Kind: entry.Kind, Layers: entry.Layers, Crashed: true})
			continue
		}
		e := layout.Engine{
			ID: u.ID(), Zone: entry.Zone, Kind: entry.Kind, Layers: entry.Layers,
			Leaving: !u.AcceptsRequests() || leaving, Slow: u.Slow(), Tokens: u.Tokens(), JustJoined: now-u.DiscoveredAt() < justJoinedTime,
		}
		if target := u.Target(); target != nil {
			e.Layers, e.Changing = target.Layers, !target.Done
		}
		if o, ok := p.orders[e.ID]; ok {
			e.Layers, e.Changing = o.move.Layers, !o.done
		}
		anyHeld = anyHeld || e.Layers.Len() > 0
		engines = append(engines, e)
	}
	return append(engines, p.departedEngines(ctx, s, now)...), anyHeld
}

// justJoinedTime is how long an engine that has joined is reserved for holes before it
// may become a spare. When engines are replaced one by one, the old one leaves about a
// second after the new one has come, and a large engine that was assigned other layers
// meanwhile is busy loading them for up to 6 s.
const justJoinedTime spanrill.Millis = 2000

// departedEngines returns the engines of a service whose entries are gone while they
// still finish running requests. Engines that do not answer have crashed and are left
// out. The caller holds the lock.
func (p *Placer) departedEngines(ctx context.Context, s *spanrill.ServiceInfo, now spanrill.Millis) []layout.Engine {
	var engines []layout.Engine
	for _, u := range p.table.RecentlyRemoved() {
		if u.Service() != s.Name || u.Dead() {
			continue
		}
		if crashed, _ := p.verify(ctx, u, now, true); !crashed {
			entry := u.Entry()
			engines = append(engines, layout.Engine{ID: u.ID(), Zone: entry.Zone, Kind: entry.Kind, Layers: entry.Layers, Leaving: true})
		}
	}
	return engines
}

// forgetFinished removes the orders that have failed or whose layers the store shows, and the
// orders and verifications of engines that are gone.
func (p *Placer) forgetFinished() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, view := p.clock.Now(), p.table.View()
	departed := map[string]bool{}
	for _, u := range p.table.RecentlyRemoved() {
		departed[u.ID()] = true
	}
	for id := range p.verifications {
		if view.ByID(id) == nil && !departed[id] {
			delete(p.verifications, id)
		}
	}
	for id, o := range p.orders {
		u := view.ByID(id)
		if u == nil || o.forgetAt > 0 && now >= o.forgetAt || o.done && u.Entry().Layers == o.move.Layers {
			delete(p.orders, id)
		}
	}
}

// Targets returns the layers that engines have been ordered to hold, by upstream id, and
// whether they hold them.
func (p *Placer) Targets() map[string]fleet.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make(map[string]fleet.Target, len(p.orders))
	for id, o := range p.orders {
		targets[id] = fleet.Target{Layers: o.move.Layers, Done: o.done}
	}
	return targets
}

// startOrder starts to carry out a move in a goroutine of its own.
func (p *Placer) startOrder(ctx context.Context, s spanrill.ServiceInfo, m layout.Move) {
	u := p.table.View().ByID(m.Engine)
	if u == nil {
		return
	}
	o := &order{move: m}
	p.mu.Lock()
	p.orders[m.Engine] = o
	p.mu.Unlock()
	p.tasks.Start(ctx, "order", func(ctx context.Context) error {
		x := &orderExecutor{placer: p, service: s, upstream: u, order: o}
		x.run(ctx)
		return nil
	})
}

// finishOrder records whether an order succeeded.
func (p *Placer) finishOrder(o *order, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.done = done
	if !done {
		o.forgetAt = 1 // a time in the past: the next round forgets it
	}
}
