package placement

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/lease"
	"spanrill/events"
	"spanrill/state/load"
)

// Site is what a placer needs to know of its site.
type Site struct {
	Models      []Model
	HasZone     func(zone string) bool
	ChecksFence func(upstream string) bool
}

// Placer plans and orders for one site.
type Placer struct {
	lease   *lease.Lease
	engines spanrill.Engines
	table   *load.Table
	clock   spanrill.Clock
	log     logrus.FieldLogger
	site    func() *Site
	limits  Limits
	round   spanrill.Millis

	holding map[string]holding // by engine name
}

// holding is what an engine was seen to hold, and the order given to it last.
type holding struct {
	layers  spanrill.LayerRange
	model   string
	since   spanrill.Millis
	ordered spanrill.Millis // 0: no order is on its way
}

// Option changes a default of New.
type Option func(*Placer)

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) Option {
	return func(p *Placer) { p.log = log }
}

// WithLimits sets what one round may change.
func WithLimits(l Limits) Option {
	return func(p *Placer) { p.limits = l }
}

const (
	defaultRound = spanrill.Second
	// orderLimit bounds one order.
	orderLimit = 2 * spanrill.Second
	// orderAge is how long an order may take to show in the engine's report.
	orderAge = 5 * spanrill.Second
	// goneAge is the age of a report after which an engine counts as lost.
	goneAge = 3 * spanrill.Second
)

// New returns a placer. Site returns nil while there is no configuration.
func New(l *lease.Lease, engines spanrill.Engines, table *load.Table, clock spanrill.Clock, site func() *Site, opts ...Option) *Placer {
	p := &Placer{
		lease: l, engines: engines, table: table, clock: clock, site: site,
		log: logrus.StandardLogger(), limits: DefaultLimits, round: defaultRound,
		holding: map[string]holding{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Run plans and orders while the lease is held, until the context ends.
func (p *Placer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.Round(ctx)
		select {
		case <-ctx.Done():
		case <-p.clock.After(p.round):
		}
	}
	return ctx.Err()
}

// Round looks at the engines and orders what is to change.
func (p *Placer) Round(ctx context.Context) {
	site := p.site()
	if site == nil {
		return
	}
	engines := p.look(site)
	if _, ok := p.lease.Held(); !ok {
		return
	}
	for _, m := range Plan(site.Models, engines, p.limits) {
		p.order(ctx, site, m)
	}
}

// look returns the live engines of the site, and notes since when each holds
// its layers.
func (p *Placer) look(site *Site) []Engine {
	now := p.clock.Now()
	var engines []Engine
	for _, u := range p.table.Upstreams() {
		r := u.Report()
		if u.Service() != "" || !site.HasZone(u.Zone()) || r == nil || p.table.Leaving(u) || u.ReportAge(now) > goneAge {
			continue
		}
		h := p.note(u.Name(), r, now)
		engines = append(engines, Engine{
			Name: u.Name(), Model: r.Model, Version: r.Version, Layers: r.Layers, Slots: r.Slots,
			Step: float64(r.StepMicros), Token: float64(r.TokenNanos) / nanosPerMicro, MemLayer: r.MemLayers,
			Held: now - h.since, Busy: r.Loading || h.ordered > 0 && now-h.ordered < orderAge,
		})
	}
	return engines
}

const nanosPerMicro = 1000

func (p *Placer) note(name string, r *spanrill.UpstreamStatus, now spanrill.Millis) holding {
	h, known := p.holding[name]
	if !known || h.layers != r.Layers || h.model != r.Model {
		h = holding{layers: r.Layers, model: r.Model, since: now}
	}
	p.holding[name] = h
	return h
}

// order gives one order, if the lease is held in this moment.
func (p *Placer) order(ctx context.Context, site *Site, m Move) {
	term, ok := p.lease.Held()
	if !ok {
		return
	}
	fields := logrus.Fields{"upstream": m.Engine, "model": m.Model.Name, "layers": m.Layers, "term": term, "why": m.Why}
	if !site.ChecksFence(m.Engine) && !p.lease.Settled(orderLimit+orderLimit/2) {
		events.OrderWaits.Log(p.log, fields)
		return
	}
	u := p.table.Upstream(m.Engine)
	if u == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit.Duration())
	defer cancel()
	err := p.engines.Order(ctx, u.Addr(), spanrill.Order{
		Kind: spanrill.OrderLoad, Duty: p.lease.Duty(), Term: term,
		Model: m.Model.Name, Version: m.Model.Version, Layers: m.Layers, LayerNum: m.Model.Layers,
	})
	p.after(m, fields, err)
}

func (p *Placer) after(m Move, fields logrus.Fields, err error) {
	var refusal *spanrill.RunError
	switch {
	case err == nil:
		h := p.holding[m.Engine]
		h.ordered = p.clock.Now()
		p.holding[m.Engine] = h
		events.OrderGiven.Log(p.log, fields)
	case errors.As(err, &refusal) && refusal.Code == spanrill.CodeFenced:
		p.lease.GiveUp()
		events.OrderRefused.Log(p.log, fields)
	default:
		fields["error"] = err
		events.OrderFailed.Log(p.log, fields)
	}
}
