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

// Site is the part of the configuration that the placer of a site works from.
type Site struct {
	Models      []Model
	HasZone     func(zone string) bool
	ChecksFence func(upstream string) bool
}

// Placer plans the placement of one site's models and sends the orders for it.
type Placer struct {
	lease         *lease.Lease
	engines       spanrill.Engines
	table         *load.Table
	clock         spanrill.Clock
	log           logrus.FieldLogger
	site          func() *Site
	limits        Limits
	roundInterval spanrill.Millis

	states map[string]engineState // by engine name
}

// engineState is what an engine last reported to hold, and when an order was last sent to it.
type engineState struct {
	layers    spanrill.LayerRange
	model     string
	since     spanrill.Millis
	orderedAt spanrill.Millis // 0 if no order was sent since the layers changed
}

// Option changes a default of New.
type Option func(*Placer)

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(p *Placer) { p.log = log }
}

// WithLimits sets the limits of what one round may change.
func WithLimits(l Limits) Option {
	return func(p *Placer) { p.limits = l }
}

const (
	defaultRoundInterval = spanrill.Second
	// orderTimeout bounds one order.
	orderTimeout = 2 * spanrill.Second
	// orderVisibleTime is how long an order may take to show in the engine's report.
	orderVisibleTime = 5 * spanrill.Second
	// maxReportAge is the age of a report after which an engine counts as lost.
	maxReportAge = 3 * spanrill.Second
)

// New returns a placer. site returns nil while there is no configuration.
func New(l *lease.Lease, engines spanrill.Engines, table *load.Table, clock spanrill.Clock, site func() *Site, opts ...Option) *Placer {
	p := &Placer{
		lease: l, engines: engines, table: table, clock: clock, site: site,
		log: logrus.StandardLogger(), limits: DefaultLimits, roundInterval: defaultRoundInterval,
		states: map[string]engineState{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Run performs rounds until the context ends.
func (p *Placer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.Round(ctx)
		select {
		case <-ctx.Done():
		case <-p.clock.After(p.roundInterval):
		}
	}
	return ctx.Err()
}

// Round records what the engines hold and, while the lease is held, orders the planned changes.
func (p *Placer) Round(ctx context.Context) {
	site := p.site()
	if site == nil {
		return
	}
	engines := p.liveEngines(site)
	if _, ok := p.lease.Held(); !ok {
		return
	}
	for _, m := range Plan(site.Models, engines, p.limits) {
		p.sendOrder(ctx, site, m)
	}
}

// liveEngines returns the live engines of the site, and records since when each holds
// its layers.
func (p *Placer) liveEngines(site *Site) []Engine {
	now := p.clock.Now()
	var engines []Engine
	for _, u := range p.table.Upstreams() {
		r := u.Report()
		if u.Service() != "" || !site.HasZone(u.Zone()) || r == nil || p.table.Leaving(u) || u.ReportAge(now) > maxReportAge {
			continue
		}
		h := p.recordState(u.Name(), r, now)
		engines = append(engines, Engine{
			Name: u.Name(), Model: r.Model, Version: r.Version, Layers: r.Layers, Slots: r.Slots,
			StepMicros: float64(r.StepMicros), TokenMicros: float64(r.TokenNanos) / nanosPerMicro, MaxLayers: r.MaxLayers,
			HeldFor: now - h.since, Busy: r.Loading || h.orderedAt > 0 && now-h.orderedAt < orderVisibleTime,
		})
	}
	return engines
}

const nanosPerMicro = 1000

func (p *Placer) recordState(name string, r *spanrill.UpstreamStatus, now spanrill.Millis) engineState {
	h, known := p.states[name]
	if !known || h.layers != r.Layers || h.model != r.Model {
		h = engineState{layers: r.Layers, model: r.Model, since: now}
	}
	p.states[name] = h
	return h
}

// sendOrder sends the order for a move, unless the lease has been lost meanwhile.
func (p *Placer) sendOrder(ctx context.Context, site *Site, m Move) {
	term, ok := p.lease.Held()
	if !ok {
		return
	}
	fields := logrus.Fields{"upstream": m.Engine, "model": m.Model.Name, "layers": m.Layers, "term": term, "why": m.Reason}
	if !site.ChecksFence(m.Engine) && !p.lease.HeldFor(orderTimeout+orderTimeout/2) {
		events.OrderDelayed.Log(p.log, fields)
		return
	}
	u := p.table.Upstream(m.Engine)
	if u == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	err := p.engines.Order(ctx, u.Addr(), spanrill.Order{
		Kind: spanrill.OrderLoad, LeaseName: p.lease.Duty(), Term: term,
		Model: m.Model.Name, Version: m.Model.Version, Layers: m.Layers, LayerNum: m.Model.Layers,
	})
	p.recordResult(m, fields, err)
}

func (p *Placer) recordResult(m Move, fields logrus.Fields, err error) {
	var refusal *spanrill.RunError
	switch {
	case err == nil:
		h := p.states[m.Engine]
		h.orderedAt = p.clock.Now()
		p.states[m.Engine] = h
		events.OrderGiven.Log(p.log, fields)
	case errors.As(err, &refusal) && refusal.Code == spanrill.CodeFenced:
		p.lease.Invalidate()
		events.OrderRefused.Log(p.log, fields)
	default:
		fields["error"] = err
		events.OrderFailed.Log(p.log, fields)
	}
}
