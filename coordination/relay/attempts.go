package relay

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/meter"
	"spanrill/state/fleet"
)

// sendError is why an attempt has brought no events.
type sendError struct {
	outcome     spanrill.Outcome
	retry       meter.Retry
	cause       error
	fault       *fleet.Upstream // the engine that refused, or nil
	misdirected bool            // it does not hold what its entry says
}

// Error returns the cause.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// callFailed judges a call without an answer.
func callFailed(err error) *sendError {
	failure := &sendError{outcome: spanrill.OutcomeUnknown, retry: meter.RetryCut, cause: err}
	var call *spanrill.CallError
	if errors.As(err, &call) {
		failure.outcome = call.Outcome()
		if call.Phase == spanrill.PhaseDial {
			failure.retry = meter.RetryDial
		}
	}
	if withheld(err) {
		failure.retry = meter.RetryWithheld
	}
	return failure
}

// refusedBy judges an engine's own word that it did not run the request. The
// engine at fault may be a later one of the path.
func (g *generation) refusedBy(first *fleet.Upstream, head spanrill.UpstreamHead, status int) *sendError {
	fault := first
	if u := g.relay.Fleet.View().ByAddr(head.AtFault); u != nil && head.AtFault != "" {
		fault = u
	}
	return &sendError{
		outcome: spanrill.OutcomeNotRun, retry: meter.RetryRefused, fault: fault,
		misdirected: status == fasthttp.StatusMisdirectedRequest,
		cause:       errors.Errorf("engine %s refused with status %d", fault.ID(), status),
	}
}

// noteFailure notes what a failed attempt says of its engines.
func (g *generation) noteFailure(first *fleet.Upstream, failure *sendError) {
	now := g.relay.Clock.Now()
	switch {
	case failure.fault != nil:
		g.noteRefusal(first, failure, now)
	case failure.retry == meter.RetryBadToken:
		first.Failed(now)
	case failure.retry == meter.RetryWithheld:
		g.avoid[first.ID()] = true
	case g.ctx.Err() == nil && !errors.Is(failure, errStageLost):
		g.avoid[first.ID()] = true
		first.Failed(now)
		first.Avoid(now + failedAvoid)
		if failure.outcome != spanrill.OutcomeNotRun {
			g.broken(first, 0)
		}
	}
	if failure.outcome != spanrill.OutcomeNotRun {
		g.unknown = true
		g.ranOn[first.ID()] = true
	}
	if failure.retry == meter.RetryDial || failure.retry == meter.RetryWithheld {
		g.forgetSend(first)
	}
	if spanrill.NothingListens(failure) {
		first.NotListening()
	}
}

// noteRefusal notes a refusal. An engine that refused has not run the request, and
// the users' rules count the engines that run one: a stream that has begun may go to
// another one instead.
func (g *generation) noteRefusal(first *fleet.Upstream, failure *sendError, now spanrill.Millis) {
	fault := failure.fault
	g.refusals++
	g.relay.Meters.UpstreamRefusals.Inc()
	g.avoid[fault.ID()] = true
	fault.Refused(now, g.relay.Router.HasRoom(g.service.Model, fault))
	if failure.misdirected {
		fault.Avoid(now + misdirectedAvoid)
	}
	if g.begun {
		g.forgetSend(first)
	}
}

// forgetSend takes an engine off those that the request was sent to, after a send that
// it has not run. One that ran the request before stays: it counts toward the limit on
// engines.
func (g *generation) forgetSend(first *fleet.Upstream) {
	if !g.ranOn[first.ID()] {
		delete(g.sentTo, first.ID())
	}
}

// misdirectedAvoid is how long an engine is left alone that does not hold what
// its entry says: the entry follows within a heartbeat.
const misdirectedAvoid spanrill.Millis = 600

// afterFailure decides whether a failed attempt is followed by another one.
func (g *generation) afterFailure(err error) *spanrill.Refusal {
	var failure *sendError
	if !errors.As(err, &failure) {
		failure = &sendError{outcome: spanrill.OutcomeUnknown, cause: err}
	}
	failed := g.first
	g.release()
	if failure.outcome != spanrill.OutcomeNotRun {
		g.unknown = true
	}
	if g.ctx.Err() != nil {
		return g.ended(g.unknown)
	}
	if !g.mayRepeat(failure) {
		return g.giveUp(failure)
	}
	g.relay.Meters.Retried(failure.retry)
	g.logRetry(failed, failure.retry.String(), failure.outcome, failure.cause)
	return nil
}

// mayRepeat reports whether another attempt is allowed.
func (g *generation) mayRepeat(failure *sendError) bool {
	if failure.outcome != spanrill.OutcomeNotRun && g.route.Repeat == spanrill.RepeatNever {
		return false
	}
	if failure.retry == meter.RetryDial || failure.retry == meter.RetryWithheld {
		return len(g.avoid) <= dialTries
	}
	if g.sends >= g.route.MaxAttempts+extraSends {
		return false
	}
	use := retry.Waiting
	if failure.outcome == spanrill.OutcomeNotRun && !g.unknown {
		use = retry.Refusable
	}
	if g.relay.Budgets.Of(g.service.Name).TakeSoon(g.ctx, use) {
		return true
	}
	g.relay.Meters.Refused(spanrill.ReasonRetryBudget)
	return false
}

// dialTries bounds how many engines are tried that take no connection.
const dialTries = 3

// extraSends bounds how often a request is sent beyond its route's limit on
// engines: once more to the same engine on another path, or to another one
// after one that has ended.
const extraSends = 2

// mayFirst returns the engines that may be the first of the next path, or nil
// for any: once the request was sent to as many engines as its route allows,
// only these.
func (g *generation) mayFirst() map[string]bool {
	n := 0
	ids := make(map[string]bool, len(g.sentTo))
	for id, u := range g.sentTo {
		ids[id] = true
		if !hasEnded(u) {
			n++
		}
	}
	if n < g.route.MaxAttempts {
		return nil
	}
	return ids
}

// hasEnded reports whether an engine has ended, as far as can be told: its entry has
// gone, and it does not answer. One that leaves serves on for seconds after its entry
// has gone, and one that only does not answer may come back.
func hasEnded(u *fleet.Upstream) bool { return u.Removed() && u.Dead() }

func (g *generation) giveUp(failure *sendError) *spanrill.Refusal {
	if g.unknown {
		return spanrill.NewRefusal(spanrill.ReasonUpstreamFailed, "%v", failure.cause).
			WithOutcome(spanrill.OutcomeUnknown)
	}
	return spanrill.NewRefusal(spanrill.ReasonUpstreamRefused, "%v", failure.cause).WithRetryAfter(fullRetry)
}
