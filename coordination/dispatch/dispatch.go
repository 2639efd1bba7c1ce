// Package dispatch sends calls to plain services.
//
// A call that may not be repeated is handed to an upstream at most once: after
// a failed attempt it is tried again only if that attempt did not run. What
// may be repeated is tried again after any failure. Both draw on a budget.
//
// # Usage
//
//	d := dispatch.New(services, table, router, clock)
//	answer, refusal := d.Do(ctx, key, req)
package dispatch

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/coordination/routing"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/state/load"
)

// Dispatcher sends calls to plain services.
type Dispatcher struct {
	services    spanrill.Services
	table       *load.Table
	router      *routing.Router
	clock       spanrill.Clock
	log         logrus.FieldLogger
	meters      *meter.Meters
	budget      *retry.Budget
	timeout     spanrill.Millis
	maxAttempts int
}

// Option changes a default of New.
type Option func(*Dispatcher)

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) Option {
	return func(d *Dispatcher) { d.log = log }
}

// WithMeters sets the counters.
func WithMeters(m *meter.Meters) Option {
	return func(d *Dispatcher) { d.meters = m }
}

// WithBudget sets what retries draw on.
func WithBudget(b *retry.Budget) Option {
	return func(d *Dispatcher) { d.budget = b }
}

// WithTimeout bounds one attempt.
func WithTimeout(t spanrill.Millis) Option {
	return func(d *Dispatcher) { d.timeout = t }
}

const (
	defaultTimeout     = 10 * spanrill.Second
	defaultMaxAttempts = 3
)

// New returns a dispatcher.
func New(services spanrill.Services, table *load.Table, router *routing.Router, clock spanrill.Clock, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		services: services, table: table, router: router, clock: clock,
		log: logrus.StandardLogger(), meters: meter.New(), budget: retry.NewBudget(),
		timeout: defaultTimeout, maxAttempts: defaultMaxAttempts,
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Do returns the service's answer, or why there is none.
func (d *Dispatcher) Do(ctx context.Context, key load.ServiceKey, req *spanrill.ServiceRequest) (*spanrill.ServiceAnswer, *spanrill.Refusal) {
	q := &routing.Query{}
	outcome := spanrill.OutcomeNotRun
	for attempt := 1; ; attempt++ {
		u := d.router.One(d.table.View().Services(key), q)
		if u == nil {
			return nil, spanrill.NewRefusal(spanrill.ReasonNoUpstream, "no upstream of service %s takes work", key.Service).
				WithOutcome(outcome).WithRetryAfter(spanrill.Second)
		}
		answer, err := d.attempt(ctx, u, req)
		if err == nil {
			d.budget.Success()
			return answer, nil
		}
		ended := outcomeOf(err)
		if ended != spanrill.OutcomeNotRun {
			outcome = spanrill.OutcomeUnknown
		}
		if refusal := d.after(ctx, req, attempt, outcome, ended, err); refusal != nil {
			return nil, refusal
		}
		q.Exclude = append(q.Exclude, u)
	}
}

func (d *Dispatcher) attempt(ctx context.Context, u *load.Upstream, req *spanrill.ServiceRequest) (*spanrill.ServiceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout.Duration())
	defer cancel()
	u.Begin()
	defer u.End()
	started := d.clock.Now()
	answer, err := d.services.Call(ctx, u.Addr(), req)
	now := d.clock.Now()
	if err == nil {
		u.Succeed(now)
		d.meters.ServiceCall.Update((now - started).Duration().Seconds())
		return answer, nil
	}
	if u.Fail(now) {
		events.UpstreamEjected.Log(d.log, logrus.Fields{"upstream": u.Name(), "cause": err})
	}
	return nil, err
}

// outcomeOf returns what a failed attempt says about the request.
func outcomeOf(err error) spanrill.Outcome {
	var call *spanrill.CallError
	if errors.As(err, &call) {
		return call.Outcome()
	}
	return spanrill.OutcomeUnknown
}

// after decides what follows a failed attempt: nil means another attempt.
func (d *Dispatcher) after(ctx context.Context, req *spanrill.ServiceRequest, attempt int, outcome, ended spanrill.Outcome, err error) *spanrill.Refusal {
	reason := spanrill.ReasonUpstreamFailed
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		reason = spanrill.ReasonUpstreamTimeout
	}
	refusal := spanrill.NewRefusal(reason, "service call failed: %v", err).WithOutcome(outcome)
	switch {
	case ended != spanrill.OutcomeNotRun && !req.Repeatable:
		events.CallUncertain.Log(d.log, logrus.Fields{"path": req.Path, "cause": err})
		return refusal
	case ctx.Err() != nil || attempt >= d.maxAttempts:
		return refusal.WithRetryAfter(spanrill.Second)
	case !d.budget.Take():
		return spanrill.NewRefusal(spanrill.ReasonRetryBudget, "retry budget spent: %v", err).
			WithOutcome(outcome).WithRetryAfter(spanrill.Second)
	}
	d.meters.Retried(retryReason(ended))
	return nil
}

func retryReason(ended spanrill.Outcome) meter.Retry {
	if ended == spanrill.OutcomeNotRun {
		return meter.RetryDial
	}
	return meter.RetryCut
}
