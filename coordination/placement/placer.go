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
	HasZone     func(zone string) bool     // whether the zone belongs to the site
	ChecksFence func(upstream string) bool // whether the upstream checks the term of an order
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
	heldSince spanrill.Millis // when the layers or the model last changed
	orderedAt spanrill.Millis // 0 if no order was sent since the layers or the model changed
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

// liveEngines returns the engines of the site that report and are not leaving, and records
// since when each holds its layers.
func (p *Placer) liveEngines(site *Site) []Engine {
	now := p.clock.Now()
	var engines []Engine
	for _, u := range p.table.Upstreams() {
		report := u.Report()
		if u.Service() != "" || !site.HasZone(u.Zone()) || report == nil || p.table.Leaving(u) || u.ReportAge(now) > maxReportAge {
			continue
		}
		state := p.recordState(u.Name(), report, now)
		engines = append(engines, Engine{
			Name: u.Name(), Model: report.Model, Version: report.Version, Layers: report.Layers, Slots: report.Slots,
			StepMicros: float64(report.StepMicros), TokenMicros: float64(report.TokenNanos) / nanosPerMicro, MaxLayers: report.MaxLayers,
			HeldFor: now - state.heldSince, Busy: report.Loading || state.orderedAt > 0 && now-state.orderedAt < orderVisibleTime,
		})
	}
	return engines
}

const nanosPerMicro = 1000

// recordState records what an engine reports to hold, and returns its state.
func (p *Placer) recordState(name string, report *spanrill.UpstreamStatus, now spanrill.Millis) engineState {
	state, known := p.states[name]
	if !known || state.layers != report.Layers || state.model != report.Model {
		state = engineState{layers: report.Layers, model: report.Model, heldSince: now}
	}
	p.states[name] = state
	return state
}

// sendOrder sends the order for a move if the lease is still held. To an engine that does not
// check the term of an order it sends none until all orders of the previous holder have ended.
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
		Kind: spanrill.OrderLoad, LeaseName: p.lease.Name(), Term: term,
		Model: m.Model.Name, Version: m.Model.Version, Layers: m.Layers, LayerCount: m.Model.Layers,
	})
	p.recordResult(m, fields, err)
}

// recordResult logs the result of an order and records when the order succeeded. A refusal
// because of a newer term ends the lease.
func (p *Placer) recordResult(m Move, fields logrus.Fields, err error) {
	var refusal *spanrill.RunError
	switch {
	case err == nil:
		state := p.states[m.Engine]
		state.orderedAt = p.clock.Now()
		p.states[m.Engine] = state
		events.OrderGiven.Log(p.log, fields)
	case errors.As(err, &refusal) && refusal.Code == spanrill.CodeFenced:
		p.lease.Invalidate()
		events.OrderRefused.Log(p.log, fields)
	default:
		fields["error"] = err
		events.OrderFailed.Log(p.log, fields)
	}
}
