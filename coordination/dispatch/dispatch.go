// Package dispatch sends calls to plain services.
//
// A call that must not be repeated is tried again only if the failed attempt certainly did not run,
// so that a handler receives it at most once. A repeatable call is tried again after any failure. A
// budget limits the retries.
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

// Dispatcher sends calls to plain services and retries them.
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

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(d *Dispatcher) { d.log = log }
}

// WithMeters sets the metrics to update.
func WithMeters(m *meter.Meters) Option {
	return func(d *Dispatcher) { d.meters = m }
}

// WithBudget sets the budget that limits retries.
func WithBudget(b *retry.Budget) Option {
	return func(d *Dispatcher) { d.budget = b }
}

// WithTimeout sets the time limit of one attempt.
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

// Do sends a call to an upstream of the service and returns the answer. After a failure it tries
// other upstreams; it returns a refusal if the call may not be tried again or no upstream is left.
func (d *Dispatcher) Do(ctx context.Context, key load.ServiceKey, req *spanrill.ServiceRequest) (*spanrill.ServiceAnswer, *spanrill.Refusal) {
	q := &routing.Query{}
	requestOutcome := spanrill.OutcomeNotRun
	for attempt := 1; ; attempt++ {
		u := d.router.PickOne(d.table.View().Services(key), q)
		if u == nil {
			return nil, spanrill.NewRefusal(spanrill.ReasonNoUpstream, "no upstream of service %s accepts requests", key.Service).
				WithOutcome(requestOutcome).WithRetryAfter(spanrill.Second)
		}
		answer, err := d.attempt(ctx, u, req)
		if err == nil {
			d.budget.RecordSuccess()
			return answer, nil
		}
		attemptOutcome := outcomeOf(err)
		if attemptOutcome != spanrill.OutcomeNotRun {
			requestOutcome = spanrill.OutcomeUnknown
		}
		if refusal := d.afterFailure(ctx, req, attempt, requestOutcome, attemptOutcome, err); refusal != nil {
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
		u.RecordSuccess(now)
		d.meters.ServiceCallTime.Update((now - started).Duration().Seconds())
		return answer, nil
	}
	if !errors.Is(err, spanrill.ErrNoPath) && u.RecordFailure(now) {
		events.UpstreamEjected.Log(d.log, logrus.Fields{"upstream": u.Name(), "cause": err})
	}
	return nil, err
}

// outcomeOf returns whether a failed attempt may have run at the upstream.
func outcomeOf(err error) spanrill.Outcome {
	var call *spanrill.CallError
	if errors.As(err, &call) {
		return call.Outcome()
	}
	return spanrill.OutcomeUnknown
}

// afterFailure returns the refusal that ends a call after a failed attempt, or nil if the call is
// to be tried again. A further attempt is taken from the budget.
func (d *Dispatcher) afterFailure(ctx context.Context, req *spanrill.ServiceRequest, attempt int, requestOutcome, attemptOutcome spanrill.Outcome, err error) *spanrill.Refusal {
	reason := spanrill.ReasonUpstreamFailed
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		reason = spanrill.ReasonUpstreamTimeout
	}
	refusal := spanrill.NewRefusal(reason, "service call failed: %v", err).WithOutcome(requestOutcome)
	switch {
	case attemptOutcome != spanrill.OutcomeNotRun && !req.Repeatable:
		events.CallOutcomeUnknown.Log(d.log, logrus.Fields{"path": req.Path, "cause": err})
		return refusal
	case ctx.Err() != nil || attempt >= d.maxAttempts:
		return refusal.WithRetryAfter(spanrill.Second)
	case !d.budget.Take():
		return spanrill.NewRefusal(spanrill.ReasonRetryBudget, "retry budget spent: %v", err).
			WithOutcome(requestOutcome).WithRetryAfter(spanrill.Second)
	}
	d.meters.CountRetry(retryReason(attemptOutcome))
	return nil
}

func retryReason(attemptOutcome spanrill.Outcome) meter.RetryReason {
	if attemptOutcome == spanrill.OutcomeNotRun {
		return meter.RetryDial
	}
	return meter.RetryCut
}
