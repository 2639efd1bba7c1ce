// Package layoutrun carries out the layouts of package layout.
//
// One daemon at a time does so, under a lease. Engines need not check who
// orders them: each order names the count of orders that the engine has taken
// so far, so that an order which arrives late, after a newer one, no longer
// fits and changes nothing. What the engines hold is all the state there is:
// another daemon that takes the lease goes on from it.
//
// # Usage
//
//	p := layoutrun.New(lease, engines, table, models, clock, log)
//	err := p.Run(ctx)
package layoutrun

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/layout"
	"spanrill/coordination/lease"
	"spanrill/events"
	"spanrill/state/fleet"
	"spanrill/task"
)

// Models returns the services whose engines hold parts of a model.
type Models func() []spanrill.ServiceInfo

const (
	// round is the pause between two looks at the engines: a hole is seen when
	// the next look comes, and loading takes a second or more.
	round spanrill.Millis = 150
	// orderWait bounds one question or order.
	orderWait spanrill.Millis = 600
	// settleTime is how long no engine was added before the first layout is
	// made: engines that start together appear over two or three seconds.
	settleTime spanrill.Millis = 1200
	// settleMost bounds the wait for the first layout.
	settleMost spanrill.Millis = 5000
	// uncertainTime is how long an order without an answer is waited for.
	uncertainTime spanrill.Millis = 1500
	// seenTime is how long it may take after a load until the store shows it:
	// a heartbeat of 1.2 s and some more.
	seenTime spanrill.Millis = 2500
	// tellTime is how long before an order that takes layers away the other
	// daemons are told of it, so that they send nothing there for these layers.
	// They ask for news every quarter of a second.
	tellTime spanrill.Millis = 400
	// slowLoad is the factor by which loads slow one another down at most in
	// what is waited for.
	slowLoad = 4.0
)

// Placer gives orders while it holds the lease.
type Placer struct {
	lease   *lease.Lease
	engines spanrill.LayerEngines
	table   *fleet.Table
	models  Models
	clock   spanrill.Clock
	log     logrus.FieldLogger

	mu      sync.Mutex
	ordered map[string]order // by engine
	known   map[string]int   // engines seen of a service
	grewAt  map[string]spanrill.Millis
	firstAt map[string]spanrill.Millis
	orders  task.Group
}

// order is an order that was given and does not show yet.
type order struct {
	layers spanrill.LayerRange
	until  spanrill.Millis
	sent   bool // false while it is being given
}

// New returns a placer.
func New(l *lease.Lease, engines spanrill.LayerEngines, table *fleet.Table, models Models, clock spanrill.Clock, log logrus.FieldLogger) *Placer {
	return &Placer{
		lease: l, engines: engines, table: table, models: models, clock: clock, log: log,
		ordered: map[string]order{}, known: map[string]int{},
		grewAt: map[string]spanrill.Millis{}, firstAt: map[string]spanrill.Millis{},
	}
}

// Run looks at the engines until the context ends.
func (p *Placer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.Round(ctx)
		select {
		case <-ctx.Done():
		case <-p.clock.After(round):
		}
	}
	_ = p.orders.Wait() // their errors are logged where they happen
	return ctx.Err()
}

// Round looks at all services once.
func (p *Placer) Round(ctx context.Context) {
	for _, s := range p.models() {
		if s.Model == nil {
			continue
		}
		engines, anyHeld := p.look(&s)
		settled := p.settled(s.Name, len(engines))
		if _, ok := p.lease.Held(); !ok || !anyHeld && !settled {
			continue
		}
		moves := layout.Repair(s.Model, engines)
		if len(moves) == 0 {
			continue
		}
		events.LayoutMade.Log(p.log, logrus.Fields{"service": s.Name, "engines": len(engines), "moves": len(moves), "view": p.table.View().Version()})
		for _, m := range moves {
			p.give(ctx, &s, m)
		}
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
func (p *Placer) look(s *spanrill.ServiceInfo) (engines []layout.Engine, anyHeld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	view := p.table.View()
	for _, u := range view.Of(s.Name) {
		if !u.Takes() || u.Dead() {
			continue
		}
		entry := u.Entry()
		e := layout.Engine{ID: entry.ID, Zone: entry.Zone, Kind: entry.Kind, Layers: entry.Layers}
		if o, ok := p.ordered[e.ID]; ok {
			if entry.Layers == o.layers || now >= o.until {
				delete(p.ordered, e.ID)
			} else {
				e.Layers, e.Fixed = o.layers, true
			}
		}
		anyHeld = anyHeld || e.Layers.Len() > 0
		engines = append(engines, e)
	}
	for id := range p.ordered {
		if view.ByID(id) == nil {
			delete(p.ordered, id)
		}
	}
	return engines, anyHeld
}

// give orders one move.
func (p *Placer) give(ctx context.Context, s *spanrill.ServiceInfo, m layout.Move) {
	u := p.table.View().ByID(m.Engine)
	if u == nil {
		return
	}
	p.note(m, p.clock.Now()+tellTime+orderWait*2, false)
	p.orders.Start(ctx, "order", func(ctx context.Context) error {
		if takesAway(u.Entry().Layers, m.Layers) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-p.clock.After(tellTime):
			}
		}
		p.order(ctx, s, u, m)
		return nil
	})
}

// takesAway reports whether a move takes layers from an engine.
func takesAway(held, next spanrill.LayerRange) bool {
	return held.Len() > 0 && (held.From < next.From || held.To > next.To)
}

// Targets returns what engines are being ordered to hold, by id.
func (p *Placer) Targets() map[string]spanrill.LayerRange {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make(map[string]spanrill.LayerRange, len(p.ordered))
	for id, o := range p.ordered {
		targets[id] = o.layers
	}
	return targets
}

func (p *Placer) note(m layout.Move, until spanrill.Millis, sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordered[m.Engine] = order{layers: m.Layers, until: until, sent: sent}
}

func (p *Placer) forget(m layout.Move) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ordered, m.Engine)
}

// order asks the engine how many orders it has taken, and gives the order for
// exactly that state, if the lease is still held.
func (p *Placer) order(ctx context.Context, s *spanrill.ServiceInfo, u *fleet.Upstream, m layout.Move) {
	ctx, cancel := context.WithTimeout(ctx, (orderWait * 2).Duration())
	defer cancel()
	fields := logrus.Fields{"upstream": m.Engine, "layers": m.Layers, "why": m.Why, "service": s.Name}
	report, err := p.engines.Report(ctx, u.Addr())
	if err != nil {
		fields["error"] = err
		events.OrderFailed.Log(p.log, fields)
		p.forget(m)
		return
	}
	fields["sequence"], fields["held"], fields["busy"] = report.Sequence, report.Layers, report.Busy
	term, ok := p.lease.Held()
	if !ok || report.Busy {
		fields["lease"] = ok
		events.OrderWaits.Log(p.log, fields)
		p.forget(m)
		return
	}
	fields["term"] = term
	state, err := p.engines.Place(ctx, u.Addr(), m.Engine, spanrill.PlaceOrder{Layers: m.Layers, Term: term, Sequence: report.Sequence})
	p.after(s, m, state, err, fields)
}

func (p *Placer) after(s *spanrill.ServiceInfo, m layout.Move, state spanrill.OrderState, err error, fields logrus.Fields) {
	now := p.clock.Now()
	if err != nil {
		fields["error"] = err
		events.OrderFailed.Log(p.log, fields)
		p.note(m, now+uncertainTime, true)
		return
	}
	fields["state"] = state.String()
	switch state {
	case spanrill.OrderBegun, spanrill.OrderDone:
		events.OrderGiven.Log(p.log, fields)
		share := float64(m.Layers.Len()) / float64(max(1, s.Model.Layers))
		load := spanrill.Millis(s.Model.LoadSeconds * share * slowLoad * float64(spanrill.Second))
		p.note(m, now+load+seenTime, true)
	case spanrill.OrderFenced:
		p.lease.GiveUp()
		events.OrderRefused.Log(p.log, fields)
		p.forget(m)
	default:
		events.OrderRefused.Log(p.log, fields)
		p.forget(m)
	}
}
