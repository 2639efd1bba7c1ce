package relay

import (
	"context"
	"testing"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/state/fleet"
)

// limitedRequest returns a request whose only upstream has exhausted its rate limit, a function
// that advances the clock, and the upstream.
func limitedRequest(t *testing.T, daemons int, perSecond float64) (*request, func(spanrill.Millis), *fleet.Upstream) {
	t.Helper()
	q, clock := plainRequest()
	q.relay.limitRetries, q.relay.Daemons = &limitRetryTimes{}, func() int { return daemons }
	q.relay.Fleet.HandleNotice("1:1", spanrill.Notice{Limit: spanrill.RateLimit{Set: true, PerSecond: perSecond}}, clock.Now())
	u := q.relay.Fleet.View().ByID("a")
	u.DeferRequests(clock.Now(), 400)
	return q, func(d spanrill.Millis) { clock.Advance(d) }, u
}

// Guards against callers that are told to retry simultaneously, or at a higher rate than the limit
// allows.
func TestLimitRetryTimesAreSpaced(t *testing.T) {
	const daemons, perSecond = 2, 4.0
	q, _, _ := limitedRequest(t, daemons, perSecond)
	last := spanrill.Millis(0)
	for i := range 8 {
		refusal := q.noUpstreamRefusal(&attempt{})
		if refusal.Reason() != spanrill.ReasonUpstreamsLimited || refusal.Outcome() != spanrill.OutcomeNotRun {
			t.Fatalf("refused with %v, want ReasonUpstreamsLimited and OutcomeNotRun", refusal)
		}
		after := refusal.RetryAfter()
		if after < 400 || i > 0 && after-last != 500 {
			t.Errorf("caller %d retries after %d ms and the previous one after %d ms, want at least 400 ms and a gap of 500 ms", i, after, last)
		}
		last = after
	}
}

// Guards against retry times longer than callers wait.
func TestLimitRetryTimesAreBounded(t *testing.T) {
	q, _, _ := limitedRequest(t, 1000, 1)
	for range 10 {
		if after := q.noUpstreamRefusal(&attempt{}).RetryAfter(); after > maxRetryWait {
			t.Errorf("retry after %d ms, want at most %d ms", after, maxRetryWait)
		}
	}
}

// Guards against counting a denied permit as a failure of the upstream or as a sent request.
func TestDeniedPermitIsNotAFailure(t *testing.T) {
	q, advance, u := limitedRequest(t, 1, 1)
	q.relay.Budgets = retry.NewBudgets(q.relay.Clock, retry.Limits{}, 1)
	advance(400)
	a := attempt{upstream: u}
	a.recordFailure(q.relay.Clock.Now(), &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: fleet.ErrLimited})
	if a.reached || a.outcome != spanrill.OutcomeNotRun || u.Avoided(q.relay.Clock.Now()) || u.FailureRate(q.relay.Clock.Now()) > 0 {
		t.Errorf("reached %t, outcome %v, avoided %t, failure rate %v; want false, not run, false, 0", a.reached, a.outcome, u.Avoided(q.relay.Clock.Now()), u.FailureRate(q.relay.Clock.Now()))
	}
	if !q.mayRetryPlain(&a) {
		t.Error("retry not allowed after a denied permit")
	}
}

// Guards against requesting a permit before the connection to the upstream is established.
func TestPermitNotRequestedBeforeConnecting(t *testing.T) {
	q, advance, u := limitedRequest(t, 1, 1)
	advance(400)
	permitsRequested := 0
	q.relay.Permit = func(context.Context, *fleet.Upstream) error { permitsRequested++; return fleet.ErrLimited }
	if q.relay.withSendCheck(context.Background(), u); permitsRequested != 0 {
		t.Error("a permit was requested before the connection was established")
	}
}
