// Package layoutrun carries out the layouts of package layout.
//
// One daemon at a time does so, under a lease. Engines need not check who
// orders them: each order names the count of orders that the engine has taken
// so far, so that an order which arrives late, after a newer one, no longer
// fits and changes nothing. What the engines hold is all the state there is:
// another daemon that takes the lease goes on from it.
//
// While no daemon can reach the store, nobody can hold the lease, and engines
// fail nevertheless. Then the first daemon in rank acts without it: two daemons
// that order at the same time can undo one another's work, but no order can
// exceed an engine's memory, and every path is checked by its engines.
//
// The store shows what an engine holds up to a heartbeat late, and not at all
// while it is down. The placer therefore asks the engines that it has ordered,
// and tells the other daemons what they answer.
//
// # Usage
//
//	p := layoutrun.New(may, engines, table, models, clock, log)
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

// Models returns the services whose engines hold parts of a model.
type Models func() []spanrill.ServiceInfo

// MayAct returns the fencing token under which orders may be given now, or
// false. A token of 0 means that none could be had.
type MayAct func() (term uint64, ok bool)

const (
	// round is the pause between two looks at the engines: a hole is seen when
	// the next look comes, and loading takes a second or more.
	round spanrill.Millis = 150
	// idleRound is the same for a daemon that may give no orders, and looks whether it
	// may by now: a lease is taken over after seconds.
	idleRound = 3 * round
	// settleTime is how long no engine was added before the first layout is
	// made: engines that start together appear over two or three seconds.
	settleTime spanrill.Millis = 1200
	// settleMost bounds the wait for the first layout.
	settleMost spanrill.Millis = 5000
)

// Placer gives orders while it may.
type Placer struct {
	mayAct  MayAct
	engines spanrill.LayerEngines
	table   *fleet.Table
	models  Models
	clock   spanrill.Clock
	log     logrus.FieldLogger

	mu      sync.Mutex
	ordered map[string]*order // by engine
	known   map[string]int    // engines seen of a service
	grewAt  map[string]spanrill.Millis
	firstAt map[string]spanrill.Millis
	orders  task.Group
	spread  func() spanrill.Millis // how long news takes to all daemons
	doubts  map[string]*doubt      // by engine
	paces   paces
	calls   calls
	looks   map[string]lastLook // by service
}

// order is a change that an engine is being brought to.
type order struct {
	move layout.Move
	done bool            // the engine has answered that it holds the range
	drop spanrill.Millis // when to forget it, if over 0
}

// Option changes a default of New.
type Option func(*Placer)

// WithSpread sets where it is read how long news takes to all daemons.
func WithSpread(spread func() spanrill.Millis) Option {
	return func(p *Placer) { p.spread = spread }
}

// New returns a placer.
func New(mayAct MayAct, engines spanrill.LayerEngines, table *fleet.Table, models Models, clock spanrill.Clock, log logrus.FieldLogger, opts ...Option) *Placer {
	p := &Placer{
		mayAct: mayAct, engines: engines, table: table, models: models, clock: clock, log: log,
		ordered: map[string]*order{}, known: map[string]int{},
		grewAt: map[string]spanrill.Millis{}, firstAt: map[string]spanrill.Millis{},
		spread: func() spanrill.Millis { return usualSpread }, doubts: map[string]*doubt{}, looks: map[string]lastLook{},
		calls: newCalls(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Run looks at the engines until the context ends.
func (p *Placer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.Round(ctx)
		select {
		case <-ctx.Done():
		case <-p.clock.After(p.pause()):
		}
	}
	_ = p.orders.Wait() // their errors are logged where they happen
	return ctx.Err()
}

// pause returns how long to wait for the next look.
func (p *Placer) pause() spanrill.Millis {
	if _, may := p.mayAct(); may {
		return round
	}
	return idleRound
}

// Round looks at all services once. A daemon that may give no orders notes only how many
// engines there are.
func (p *Placer) Round(ctx context.Context) {
	p.forgetOld()
	_, may := p.mayAct()
	if may {
		p.askPaces(ctx)
	}
	for _, s := range p.models() {
		if s.Model == nil {
			continue
		}
		settled := p.settled(s.Name, len(p.table.View().Of(s.Name)))
		if may {
			p.place(ctx, s, settled)
		}
	}
}

// place gives the orders that a service needs.
func (p *Placer) place(ctx context.Context, s spanrill.ServiceInfo, settled bool) {
	engines, anyHeld := p.look(ctx, &s)
	if !anyHeld && !settled || p.needsNothing(s.Name, engines) {
		return
	}
	moves := layout.Repair(s.Model, engines)
	p.noteLook(s.Name, engines, len(moves) == 0)
	if len(moves) == 0 {
		return
	}
	events.LayoutMade.Log(p.log, logrus.Fields{"service": s.Name, "engines": len(engines), "moves": len(moves), "first": moves[0].String(), "why": moves[0].Reason, "view": p.table.View().Version()})
	for _, m := range moves {
		p.give(ctx, s, m)
	}
}

// settled reports whether the engines of a service have all appeared, as far
// as can be told.
func (p *Placer) settled(service string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if n > p.known[service] {
		if p.known[service] == 0 {
			p.firstAt[service] = now
		}
		p.known[service], p.grewAt[service] = n, now
	}
	return n > 0 && (now-p.grewAt[service] >= settleTime || now-p.firstAt[service] >= settleMost)
}

// look returns the engines of a service as the planner needs them, and whether
// any of them holds layers.
func (p *Placer) look(ctx context.Context, s *spanrill.ServiceInfo) (engines []layout.Engine, anyHeld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, upstreams := p.clock.Now(), p.table.View().Of(s.Name)
	engines = make([]layout.Engine, 0, len(upstreams))
	for _, u := range upstreams {
		lost, leaves := p.judge(ctx, u, now, true)
		entry := u.Entry()
		if u.Removed() {
			continue
		}
		if lost {
			engines = append(engines, layout.Engine{ID: u.ID(), Zone: entry.Zone, Kind: entry.Kind, Layers: entry.Layers, Crashed: true})
			continue
		}
		e := layout.Engine{
			ID: u.ID(), Zone: entry.Zone, Kind: entry.Kind, Layers: entry.Layers,
			Leaves: !u.Takes() || leaves, Slow: u.Slow(), Tokens: u.Tokens(), JustJoined: now-u.KnownAt() < joinTime,
		}
		if t := u.Target(); t != nil {
			e.Layers, e.Changing = t.Layers, !t.Done
		}
		if o, ok := p.ordered[e.ID]; ok {
			e.Layers, e.Changing = o.move.Layers, !o.done
		}
		anyHeld = anyHeld || e.Layers.Len() > 0
		engines = append(engines, e)
	}
	return append(engines, p.departed(ctx, s, now)...), anyHeld
}

// joinTime is how long an engine that has joined is kept for holes alone, before it
// becomes a spare: where engines are replaced one by one, the old one leaves about a
// second after the new one has come, and a large engine that is given the wrong
// layers meanwhile is busy with them for up to 6 s.
const joinTime spanrill.Millis = 2000

// departed returns the engines of a service whose entries have gone and that serve
// on what runs there. Those that do not answer have crashed. The caller holds the
// lock.
func (p *Placer) departed(ctx context.Context, s *spanrill.ServiceInfo, now spanrill.Millis) []layout.Engine {
	var engines []layout.Engine
	for _, u := range p.table.Departed() {
		if u.Service() != s.Name || u.Dead() {
			continue
		}
		if lost, _ := p.judge(ctx, u, now, true); !lost {
			entry := u.Entry()
			engines = append(engines, layout.Engine{ID: u.ID(), Zone: entry.Zone, Kind: entry.Kind, Layers: entry.Layers, Leaves: true})
		}
	}
	return engines
}

// forgetOld forgets orders that the store shows, and those of engines that are
// gone.
func (p *Placer) forgetOld() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, view := p.clock.Now(), p.table.View()
	left := map[string]bool{}
	for _, u := range p.table.Departed() {
		left[u.ID()] = true
	}
	for id := range p.doubts {
		if view.ByID(id) == nil && !left[id] {
			delete(p.doubts, id)
		}
	}
	for id, o := range p.ordered {
		u := view.ByID(id)
		if u == nil || o.drop > 0 && now >= o.drop || o.done && u.Entry().Layers == o.move.Layers {
			delete(p.ordered, id)
		}
	}
}

// Targets returns what engines are being ordered to hold, by id.
func (p *Placer) Targets() map[string]fleet.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make(map[string]fleet.Target, len(p.ordered))
	for id, o := range p.ordered {
		targets[id] = fleet.Target{Layers: o.move.Layers, Done: o.done}
	}
	return targets
}

// give starts to bring an engine to a range.
func (p *Placer) give(ctx context.Context, s spanrill.ServiceInfo, m layout.Move) {
	u := p.table.View().ByID(m.Engine)
	if u == nil {
		return
	}
	o := &order{move: m}
	p.mu.Lock()
	p.ordered[m.Engine] = o
	p.mu.Unlock()
	p.orders.Start(ctx, "order", func(ctx context.Context) error {
		c := &carrier{placer: p, service: s, upstream: u, order: o}
		c.run(ctx)
		return nil
	})
}

// end notes what became of an order.
func (p *Placer) end(o *order, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.done = done
	if !done {
		o.drop = 1 // at the next look
	}
}
