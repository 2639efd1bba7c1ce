package relay

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/meter"
	"spanrill/state/fleet"
)

// sendError is the failure of an attempt that delivered no event, and tells whether the request may
// have run.
type sendError struct {
	outcome       spanrill.Outcome
	retryReason   meter.RetryReason // why the request is sent again, if it is
	cause         error
	engineAtFault *fleet.Upstream // engine that refused, or nil
	misdirected   bool            // the engine does not hold the layers that its entry lists
	unknownFault  bool            // the engine that kept the path from running is not known here
}

// Error returns the cause.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// newCallFailure returns the sendError for a call without an answer.
func newCallFailure(err error) *sendError {
	failure := &sendError{outcome: spanrill.OutcomeUnknown, retryReason: meter.RetryCut, cause: err}
	var call *spanrill.CallError
	if errors.As(err, &call) {
		failure.outcome = call.Outcome()
		if call.Phase == spanrill.PhaseDial {
			failure.retryReason = meter.RetryDial
		}
	}
	if failedPresendCheck(err) {
		failure.retryReason = meter.RetryWithheld
	}
	return failure
}

// newRefusalError returns the sendError for an answer that says that the request was not run. The
// answer may name a later engine of the path as the cause.
func (g *generation) newRefusalError(first *fleet.Upstream, head spanrill.UpstreamResponse, status int) *sendError {
	atFault, unknown := first, false
	if head.FailedAddr != "" {
		named := g.relay.Fleet.View().ByAddr(head.FailedAddr)
		if unknown = named == nil; !unknown {
			atFault = named
		}
	}
	return &sendError{
		outcome: spanrill.OutcomeNotRun, retryReason: meter.RetryRefused, engineAtFault: atFault,
		misdirected: status == fasthttp.StatusMisdirectedRequest, unknownFault: unknown,
		cause: errors.Errorf("engine %s refused with status %d", atFault.ID(), status),
	}
}

// recordFailure records a failed attempt for its engines and for the limits on further attempts.
// The attempt was sent to first, the first engine of its path.
func (g *generation) recordFailure(first *fleet.Upstream, failure *sendError) {
	now := g.relay.Clock.Now()
	switch {
	case failure.engineAtFault != nil:
		g.recordRefusal(first, failure, now)
	case failure.retryReason == meter.RetryBadToken:
		first.RecordFailure(now)
	case failure.retryReason == meter.RetryWithheld:
		g.avoid[first.ID()] = true
	case isNoPath(failure):
	case g.ctx.Err() == nil && !errors.Is(failure, errStageDead):
		g.avoid[first.ID()] = true
		first.RecordFailure(now)
		first.Avoid(now + failedAvoidTime)
		if failure.outcome != spanrill.OutcomeNotRun {
			g.recordBrokenAttempt(first, 0)
		}
	}
	if failure.outcome != spanrill.OutcomeUnknown {
		g.partGuard.RecordNoCrash()
	}
	if failure.outcome != spanrill.OutcomeNotRun {
		g.mayHaveRun = true
		g.ranOn[first.ID()] = true
	}
	if failure.retryReason == meter.RetryDial || failure.retryReason == meter.RetryWithheld {
		g.uncountSend(first)
	}
	if spanrill.IsConnectionRefused(failure) {
		first.RecordNotListening()
	}
}

// recordRefusal records that an engine refused the request, which has therefore not run there. Once
// the stream has begun, the first engine no longer counts toward the limit on engines, which is for
// engines that ran the request, so that another one can be used instead.
func (g *generation) recordRefusal(first *fleet.Upstream, failure *sendError, now spanrill.Millis) {
	atFault := failure.engineAtFault
	g.refusals++
	g.relay.Meters.UpstreamRefusals.Inc()
	g.avoid[atFault.ID()] = true
	atFault.RecordRefusal(now, g.service.Model != nil && g.relay.Router.HasRoom(g.service.Model, atFault))
	g.recordRoomRefusal(first, failure)
	if failure.misdirected {
		atFault.Avoid(now + misdirectedAvoidTime)
	}
	if g.begun {
		g.uncountSend(first)
	}
}

// uncountSend removes an engine that did not run the request from those that count toward the limit
// on engines. An engine that ran it in an earlier attempt still counts.
func (g *generation) uncountSend(first *fleet.Upstream) {
	if !g.ranOn[first.ID()] {
		delete(g.sentTo, first.ID())
	}
}

// misdirectedAvoidTime is how long requests avoid an engine that lacks layers that its entry lists.
// The entry is corrected within a heartbeat.
const misdirectedAvoidTime spanrill.Millis = 600

// retryOrRefuse releases a failed attempt and decides what follows. It returns nil if the request
// is to be sent again, or else the refusal to answer with.
func (g *generation) retryOrRefuse(err error) *spanrill.Refusal {
	var failure *sendError
	if !errors.As(err, &failure) {
		failure = &sendError{outcome: spanrill.OutcomeUnknown, cause: err}
	}
	failedEngine := g.firstEngine
	g.release()
	if failure.outcome != spanrill.OutcomeNotRun {
		g.mayHaveRun = true
	}
	if g.ctx.Err() != nil {
		return g.endedRefusal(g.mayHaveRun)
	}
	if !g.mayRetryChained(failure) {
		return g.giveUpRefusal(failure)
	}
	g.relay.Meters.CountRetry(failure.retryReason)
	g.logRetry(failedEngine, failure.retryReason.String(), failure.outcome, failure.cause)
	return nil
}

// mayRetryChained reports whether another attempt is allowed. Unless the engine accepted no
// connection or was not sent the request, an allowed attempt takes a retry from the budget.
func (g *generation) mayRetryChained(failure *sendError) bool {
	if failure.outcome != spanrill.OutcomeNotRun && g.route.Repeat == spanrill.RepeatNever {
		return false
	}
	if isNoPath(failure) {
		return false // it is the same with all engines of the service
	}
	if failure.retryReason == meter.RetryDial || failure.retryReason == meter.RetryWithheld {
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

// maxDialTries limits the attempts after a failed connection or a failed check before sending: the
// request is given up once it avoids more than this many engines.
const maxDialTries = 3

// maxExtraSends is how often a request may be sent beyond its route's limit on engines: to the same
// engine again with another path, or to another engine after one has terminated.
const maxExtraSends = 2

// allowedFirstEngines returns the ids of the engines at which the next path may start, or nil if
// any may. Once the request has been sent to as many engines as its route allows, only those
// remain. Terminated engines do not count.
func (g *generation) allowedFirstEngines() map[string]bool {
	live := 0
	ids := make(map[string]bool, len(g.sentTo))
	for id, u := range g.sentTo {
		ids[id] = true
		if !isTerminated(u) {
			live++
		}
	}
	if live < g.route.MaxAttempts {
		return nil
	}
	return ids
}

// isTerminated reports whether an engine's process has probably terminated: its entry was removed
// and it does not answer. Neither is enough alone: a leaving engine works for seconds after its
// entry was removed, and an engine that does not answer may recover.
func isTerminated(u *fleet.Upstream) bool { return u.Removed() && u.Dead() }

// giveUpRefusal returns the refusal for a request that is not sent again after the failure.
func (g *generation) giveUpRefusal(failure *sendError) *spanrill.Refusal {
	if g.mayHaveRun {
		return spanrill.NewRefusal(spanrill.ReasonUpstreamFailed, "%v", failure.cause).
			WithOutcome(spanrill.OutcomeUnknown)
	}
	if isNoPath(failure) {
		return noPathRefusal(failure.cause)
	}
	return spanrill.NewRefusal(spanrill.ReasonUpstreamRefused, "%v", failure.cause).WithRetryAfter(g.plannedReturn(fullRetryAfter))
}
