package relay

import (
	"context"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/reach"
	"spanrill/coordination/retry"
	"spanrill/meter"
	"spanrill/state/fleet"
	"spanrill/transport/httpcall"
)

// servePlain sends a request to an upstream of a plain service, and to others if that fails and the
// route allows it. It passes on the answer or refuses the request.
func (q *request) servePlain() {
	defer q.finish()
	tried := map[string]bool{}
	var last attempt
	for {
		u := q.pickPlain(tried)
		if u == nil {
			q.passOnOrRefuse(q.noUpstreamRefusal(&last))
			return
		}
		if refusal := q.checkBeforeSend(); refusal != nil {
			q.passOnOrRefuse(last.markMayHaveRun(refusal))
			return
		}
		tried[u.ID()] = true
		last = q.attemptPlain(u, last)
		q.keepAnswer(last)
		if !last.reached || last.outcome != spanrill.OutcomeUnknown {
			q.partGuard.RecordNoCrash()
		}
		if last.isFinal() || q.ctx.Err() != nil || !q.mayRetryPlain(&last) {
			break
		}
		q.relay.Meters.CountRetry(last.retryReason)
		q.logRetry(u, last.retryReason.String(), last.outcome, last.err)
	}
	q.answerPlain(&last)
}

// attempt is the result of one attempt at a plain service.
type attempt struct {
	upstream          *fleet.Upstream
	resp              *fasthttp.Response // head of the complete answer, or nil
	body              *answerBody        // body of the complete answer
	notRun            bool               // the upstream says that it did not run the request
	outcome           spanrill.Outcome
	reached           bool // bytes may have been sent
	sends             int  // attempts that reached an upstream, including this one
	sentAt            spanrill.Millis
	earlierMayHaveRun bool              // an earlier attempt may have run
	retryReason       meter.RetryReason // why the request is sent again, if it is
	err               error
}

// isFinal reports whether the answer is passed on without further attempts.
func (a *attempt) isFinal() bool {
	return a.resp != nil && !a.notRun && a.resp.StatusCode() < fasthttp.StatusInternalServerError
}

// mayRetryPlain reports whether another attempt is allowed. One that follows an attempt that
// reached an upstream is subject to the route's limit and takes a retry from the budget. If the
// request may have run, the route must also allow repeats.
func (q *request) mayRetryPlain(a *attempt) bool {
	if failedPresendCheck(a.err) {
		return true
	}
	if isNoPath(a.err) {
		return false // it is the same with all upstreams of the service
	}
	if !a.reached {
		return len(q.relay.Fleet.View().ByService(q.service.Name)) > 1
	}
	if a.sends >= q.route.MaxAttempts {
		return false
	}
	if a.outcome != spanrill.OutcomeNotRun && q.route.Repeat != spanrill.RepeatSafe {
		return false
	}
	retryPriority := retry.PriorityWaiting
	if a.outcome == spanrill.OutcomeNotRun {
		retryPriority = retry.PriorityRefusable
	}
	if q.relay.Budgets.Of(q.service.Name).TakeOrBorrow(q.ctx, retryPriority) {
		return true
	}
	q.relay.Meters.CountRefusal(spanrill.ReasonRetryBudget)
	return false
}

// answerPlain passes on the answer of the last attempt, or refuses the request if there is none.
func (q *request) answerPlain(a *attempt) {
	if a.resp == nil || a.notRun {
		q.passOnOrRefuse(q.notRunRefusal(a))
		return
	}
	q.passOnAnswer(a)
}

// noUpstreamRefusal returns the refusal of a request for which no upstream is left.
func (q *request) noUpstreamRefusal(last *attempt) *spanrill.Refusal {
	failed := last.err != nil && last.outcome != spanrill.OutcomeNotRun
	if q.ctx.Err() == nil && !failed {
		if refusal := q.limitOrRestRefusal(); refusal != nil {
			return last.markMayHaveRun(refusal)
		}
	}
	return last.refusal(q, "no upstream of the service takes requests")
}

// notRunRefusal returns the refusal of a request whose last attempt gave no answer to pass on. If
// all upstreams rest or have exhausted their rate limits, the caller is asked to retry when one of
// them takes requests again.
func (q *request) notRunRefusal(a *attempt) *spanrill.Refusal {
	refusal := a.refusal(q, "the upstream did not run the request")
	if refusal.RetryAfter() > 0 && q.pickPlain(nil) == nil {
		wait := restRetryAfter(q.restingUpstreams(), q.relay.Clock.Now())
		if limited := q.blockedBy(fleet.ErrLimited); len(limited) > 0 {
			wait = q.limitRefusal(limited).RetryAfter()
		}
		return refusal.WithRetryAfter(max(refusal.RetryAfter(), wait))
	}
	return refusal
}

// keepAnswer keeps an upstream's complete answer in case further attempts give none. An answer
// whose status promises that the request has not run is not kept, because another attempt may have
// run it.
func (q *request) keepAnswer(a attempt) {
	if a.resp != nil && !a.notRun && !promisesNotRun(a.resp.StatusCode()) {
		q.keptAnswer = &a
	}
}

// passOnOrRefuse passes on the answer that was kept, or refuses the request if there is none.
func (q *request) passOnOrRefuse(refusal *spanrill.Refusal) {
	if q.keptAnswer != nil {
		q.passOnAnswer(q.keptAnswer)
		return
	}
	q.refuse(refusal)
}

// passOnAnswer answers with an upstream's complete answer.
func (q *request) passOnAnswer(a *attempt) {
	r := q.relay
	resp := &q.http.Response
	r.Codec.CopyResponse(&resp.Header, &a.resp.Header)
	a.body.passOn(resp)
	if r.closing.Load() || q.callerLeft() {
		q.http.SetConnectionClose()
	}
	q.recordServed()
	if a.resp.StatusCode() < fasthttp.StatusInternalServerError {
		q.recordPartsWorking(r.Clock.Now())
	}
	r.Meters.CountOutcome(spanrill.OutcomeRan)
	if !q.route.Chained {
		r.Meters.ServiceCallTime.Update(float64(r.Clock.Now()-q.start) / float64(spanrill.Second))
	}
	q.logEnded(a.resp.StatusCode(), logrus.Fields{"upstream": a.upstream.ID(), "bytes": a.body.Len()})
}

// refusal returns the refusal of a request for which no upstream has given an answer.
func (a attempt) refusal(q *request, text string) *spanrill.Refusal {
	if q.ctx.Err() != nil {
		return a.markMayHaveRun(q.endedRefusal(a.reached))
	}
	if a.err == nil && !a.notRun {
		return spanrill.NewRefusal(spanrill.ReasonNoUpstream, "%s", text).WithRetryAfter(plainRetryAfter)
	}
	if isNoPath(a.err) {
		return a.markMayHaveRun(noPathRefusal(a.err))
	}
	if a.outcome == spanrill.OutcomeNotRun {
		return a.markMayHaveRun(spanrill.NewRefusal(spanrill.ReasonUpstreamRefused, "%s: %v", text, a.err).WithRetryAfter(plainRetryAfter))
	}
	return spanrill.NewRefusal(spanrill.ReasonUpstreamFailed, "the upstream failed: %v", a.err).WithOutcome(spanrill.OutcomeUnknown)
}

// markMayHaveRun sets the outcome of a refusal to unknown if this or an earlier attempt may have
// run.
func (a attempt) markMayHaveRun(refusal *spanrill.Refusal) *spanrill.Refusal {
	if a.earlierMayHaveRun || a.reached && a.outcome != spanrill.OutcomeNotRun {
		return refusal.WithOutcome(spanrill.OutcomeUnknown)
	}
	return refusal
}

// plainRetryAfter is the retry time of callers that no upstream of a plain service serves: about
// the duration of a few calls.
const plainRetryAfter spanrill.Millis = 150

// attemptPlain makes one attempt at the upstream and returns its result. Previous is the result of
// the attempt before, or zero.
func (q *request) attemptPlain(u *fleet.Upstream, previous attempt) attempt {
	r := q.relay
	a := attempt{upstream: u, sends: previous.sends, sentAt: r.Clock.Now(), earlierMayHaveRun: previous.earlierMayHaveRun || previous.reached && previous.outcome != spanrill.OutcomeNotRun}
	u.Begin()
	defer u.End()
	ctx, cancel := q.attemptContext(previous.sends)
	defer cancel()
	if previous.reached && previous.outcome == spanrill.OutcomeUnknown {
		ctx = httpcall.WithNewConn(ctx) // idle connections may have broken together
	}
	req := q.upstreamRequest(spanrill.UpstreamRequest{EngineID: u.Name(), LastEventID: q.head.LastEventID, Priority: q.priority()})
	defer fasthttp.ReleaseRequest(req)
	q.recordSend()
	q.logSent(u, nil, "")
	answer, err := r.HTTP.Do(r.withSendCheck(reach.WithRequest(ctx, q.head.ID), u), u.Addr(), req, q.connectionReuse())
	if err != nil {
		a.recordFailure(r.Clock.Now(), err)
		if a.reached && a.outcome != spanrill.OutcomeNotRun {
			q.recordBrokenAttempt(u, 0)
		}
		return a
	}
	a.reached = true
	a.sends++
	q.readPlain(ctx, &a, answer)
	return a
}

// connectionReuse returns whether the request may be sent on an idle connection. One that must not
// be repeated may not, because the upstream can close an idle connection just when the request is
// sent.
func (q *request) connectionReuse() httpcall.Reuse {
	return httpcall.Reuse(q.route.Repeat != spanrill.RepeatNever)
}

// attemptContext returns the context of an attempt. If another attempt may follow, the time of this
// one is limited so that the next can still meet the route's target.
func (q *request) attemptContext(sends int) (context.Context, context.CancelFunc) {
	if q.route.Repeat != spanrill.RepeatSafe || sends+1 >= q.route.MaxAttempts || q.route.LatencyTarget <= 0 {
		return context.WithCancel(q.ctx)
	}
	return context.WithTimeout(q.ctx, (q.route.LatencyTarget * firstAttemptPercent / percent).Duration())
}

const (
	// firstAttemptPercent is the percentage of the route's target that an attempt may take if
	// another one may follow. Targets are several times the work of a call, so that few calls that
	// would be answered are given up.
	firstAttemptPercent = 80
	percent             = 100
)
