package relay

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/meter"
	"spanrill/state/fleet"
)

// sendError says why an attempt brought no events.
type sendError struct {
	outcome       spanrill.Outcome
	retry         meter.Retry
	cause         error
	engineAtFault *fleet.Upstream // engine that refused, or nil
	misdirected   bool            // the engine does not hold the layers that its entry lists
}

// Error returns the cause.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// newCallFailure returns the sendError for a call without an answer.
func newCallFailure(err error) *sendError {
	failure := &sendError{outcome: spanrill.OutcomeUnknown, retry: meter.RetryCut, cause: err}
	var call *spanrill.CallError
	if errors.As(err, &call) {
		failure.outcome = call.Outcome()
		if call.Phase == spanrill.PhaseDial {
			failure.retry = meter.RetryDial
		}
	}
	if failedPresendCheck(err) {
		failure.retry = meter.RetryWithheld
	}
	return failure
}

// newRefusalError returns the sendError for an engine's answer that it did not run the request. The
// engine at fault may be a later one of the path.
func (g *generation) newRefusalError(first *fleet.Upstream, head spanrill.UpstreamResponse, status int) *sendError {
	atFault := first
	if u := g.relay.Fleet.View().ByAddr(head.FailedAddr); u != nil && head.FailedAddr != "" {
		atFault = u
	}
	return &sendError{
		outcome: spanrill.OutcomeNotRun, retry: meter.RetryRefused, engineAtFault: atFault,
		misdirected: status == fasthttp.StatusMisdirectedRequest,
		cause:       errors.Errorf("engine %s refused with status %d", atFault.ID(), status),
	}
}

// recordFailure records a failed attempt for its engines and for the limits on further attempts.
func (g *generation) recordFailure(first *fleet.Upstream, failure *sendError) {
	now := g.relay.Clock.Now()
	switch {
	case failure.engineAtFault != nil:
		g.recordRefusal(first, failure, now)
	case failure.retry == meter.RetryBadToken:
		first.RecordFailure(now)
	case failure.retry == meter.RetryWithheld:
		g.avoid[first.ID()] = true
	case g.ctx.Err() == nil && !errors.Is(failure, errStageDead):
		g.avoid[first.ID()] = true
		first.RecordFailure(now)
		first.Avoid(now + failedAvoidTime)
		if failure.outcome != spanrill.OutcomeNotRun {
			g.recordBrokenAttempt(first, 0)
		}
	}
	if failure.outcome != spanrill.OutcomeNotRun {
		g.mayHaveRun = true
		g.ranOn[first.ID()] = true
	}
	if failure.retry == meter.RetryDial || failure.retry == meter.RetryWithheld {
		g.uncountSend(first)
	}
	if spanrill.IsConnectionRefused(failure) {
		first.RecordNotListening()
	}
}

// recordRefusal records a refusal. An engine that refused has not run the request, and the limit on
// engines counts those that ran it. A stream that has begun may therefore go to another engine
// instead.
func (g *generation) recordRefusal(first *fleet.Upstream, failure *sendError, now spanrill.Millis) {
	atFault := failure.engineAtFault
	g.refusals++
	g.relay.Meters.UpstreamRefusals.Inc()
	g.avoid[atFault.ID()] = true
	atFault.RecordRefusal(now, g.relay.Router.HasRoom(g.service.Model, atFault))
	if failure.misdirected {
		atFault.Avoid(now + misdirectedAvoidTime)
	}
	if g.begun {
		g.uncountSend(first)
	}
}

// uncountSend removes an engine that did not run the request from those to which it counts as sent.
// An engine that ran the request earlier stays: it counts toward the limit on engines.
func (g *generation) uncountSend(first *fleet.Upstream) {
	if !g.ranOn[first.ID()] {
		delete(g.sentTo, first.ID())
	}
}

// misdirectedAvoidTime is how long an engine is avoided that does not hold the layers that its
// entry lists. The entry is corrected within a heartbeat.
const misdirectedAvoidTime spanrill.Millis = 600

// retryOrRefuse returns nil if a failed attempt is followed by another one, or else a refusal.
func (g *generation) retryOrRefuse(err error) *spanrill.Refusal {
	var failure *sendError
	if !errors.As(err, &failure) {
		failure = &sendError{outcome: spanrill.OutcomeUnknown, cause: err}
	}
	failed := g.firstEngine
	g.release()
	if failure.outcome != spanrill.OutcomeNotRun {
		g.mayHaveRun = true
	}
	if g.ctx.Err() != nil {
		return g.endedRefusal(g.mayHaveRun)
	}
	if !g.mayRepeat(failure) {
		return g.giveUpRefusal(failure)
	}
	g.relay.Meters.CountRetry(failure.retry)
	g.logRetry(failed, failure.retry.String(), failure.outcome, failure.cause)
	return nil
}

// mayRepeat reports whether another attempt is allowed.
func (g *generation) mayRepeat(failure *sendError) bool {
	if failure.outcome != spanrill.OutcomeNotRun && g.route.Repeat == spanrill.RepeatNever {
		return false
	}
	if failure.retry == meter.RetryDial || failure.retry == meter.RetryWithheld {
		return len(g.avoid) <= maxDialTries
	}
	if g.sends >= g.route.MaxAttempts+maxExtraSends {
		return false
	}
	retryPriority := retry.PriorityWaiting
	if failure.outcome == spanrill.OutcomeNotRun && !g.mayHaveRun {
		retryPriority = retry.PriorityRefusable
	}
	if g.relay.Budgets.Of(g.service.Name).TakeOrBorrow(g.ctx, retryPriority) {
		return true
	}
	g.relay.Meters.CountRefusal(spanrill.ReasonRetryBudget)
	return false
}

// maxDialTries is the number of engines that may fail to accept a connection before the request is
// given up.
const maxDialTries = 3

// maxExtraSends is how often a request may be sent beyond its route's limit on engines: again to
// the same engine on another path, or to another engine after one has terminated.
const maxExtraSends = 2

// allowedFirstEngines returns the engines that may be the first of the next path, or nil if any
// may. Once the request was sent to as many engines as its route allows, only these are allowed.
func (g *generation) allowedFirstEngines() map[string]bool {
	n := 0
	ids := make(map[string]bool, len(g.sentTo))
	for id, u := range g.sentTo {
		ids[id] = true
		if !isTerminated(u) {
			n++
		}
	}
	if n < g.route.MaxAttempts {
		return nil
	}
	return ids
}

// isTerminated reports whether an engine's process has probably terminated: its entry was removed
// and it does not answer. Neither is enough alone: a leaving engine works for seconds after its
// entry was removed, and an engine that does not answer may recover.
func isTerminated(u *fleet.Upstream) bool { return u.Removed() && u.Dead() }

func (g *generation) giveUpRefusal(failure *sendError) *spanrill.Refusal {
	if g.mayHaveRun {
		return spanrill.NewRefusal(spanrill.ReasonUpstreamFailed, "%v", failure.cause).
			WithOutcome(spanrill.OutcomeUnknown)
	}
	return spanrill.NewRefusal(spanrill.ReasonUpstreamRefused, "%v", failure.cause).WithRetryAfter(fullRetryAfter)
}
