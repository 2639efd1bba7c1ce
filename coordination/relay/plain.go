package relay

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/meter"
	"spanrill/state/fleet"
	"spanrill/transport/httpcall"
)

// maxAnswer bounds a plain answer, which is held in memory whole.
const maxAnswer = 32 << 20

// servePlain sends a request to one upstream of a plain service, and to
// another one where that is allowed and may help.
func (q *request) servePlain() {
	defer q.finish()
	tried := map[string]bool{}
	var last attempt
	for {
		u := q.pickPlain(tried)
		if u == nil {
			q.handOnOr(q.noneLeft(&last))
			return
		}
		if refusal := q.maySend(); refusal != nil {
			q.handOnOr(last.orRefusal(refusal))
			return
		}
		tried[u.ID()] = true
		last = q.tryPlain(u, last)
		q.keep(last)
		if last.final() || q.ctx.Err() != nil || !q.mayRetry(&last) {
			break
		}
		q.relay.Meters.Retried(last.retry)
		q.logRetry(u, last.retry.String(), last.outcome, last.err)
	}
	q.answerPlain(&last)
}

// attempt is the end of one attempt at a plain service.
type attempt struct {
	upstream *fleet.Upstream
	resp     *fasthttp.Response // whole, or nil
	notRun   bool               // the upstream said so
	outcome  spanrill.Outcome
	reached  bool // any byte may have left
	sends    int  // attempts so far that reached an upstream
	sentAt   spanrill.Millis
	unknown  bool // an earlier attempt may have run
	retry    meter.Retry
	err      error
}

// final reports whether the answer is one to pass on at once.
func (a *attempt) final() bool {
	return a.resp != nil && !a.notRun && a.resp.StatusCode() < fasthttp.StatusInternalServerError
}

// mayRetry reports whether another attempt is allowed. What did not run may
// always be sent elsewhere; what may have run only if it is safe.
func (q *request) mayRetry(a *attempt) bool {
	if withheld(a.err) {
		return true
	}
	if !a.reached {
		return len(q.relay.Fleet.View().Of(q.service.Name)) > 1
	}
	if a.sends >= q.route.MaxAttempts {
		return false
	}
	if a.outcome != spanrill.OutcomeNotRun && q.route.Repeat != spanrill.RepeatSafe {
		return false
	}
	use := retry.Waiting
	if a.outcome == spanrill.OutcomeNotRun {
		use = retry.Refusable
	}
	if q.relay.Budgets.Of(q.service.Name).TakeSoon(q.ctx, use) {
		return true
	}
	q.relay.Meters.Refused(spanrill.ReasonRetryBudget)
	return false
}

// answerPlain gives the caller what the last attempt brought.
func (q *request) answerPlain(a *attempt) {
	if a.resp == nil || a.notRun {
		q.handOnOr(q.notRun(a))
		return
	}
	q.passOn(a)
}

// noneLeft is the refusal of a request for which there is no upstream, or no further one.
func (q *request) noneLeft(last *attempt) *spanrill.Refusal {
	failed := last.err != nil && last.outcome != spanrill.OutcomeNotRun
	if q.ctx.Err() == nil && !failed {
		if refusal := q.limitOrRestRefusal(); refusal != nil {
			return last.orRefusal(refusal)
		}
	}
	return last.refusal(q, "no upstream of the service takes requests")
}

// notRun is the refusal of a request whose last attempt brought no answer. Where the
// upstreams that are left all rest, the caller comes back when one of them takes requests.
func (q *request) notRun(a *attempt) *spanrill.Refusal {
	refusal := a.refusal(q, "the upstream did not run the request")
	if refusal.RetryAfter() > 0 && q.pickPlain(nil) == nil {
		after := restRetry(q.resting(), q.relay.Clock.Now())
		if limited := q.blockedBy(fleet.ErrLimited); len(limited) > 0 {
			after = q.upstreamsLimited(limited).RetryAfter()
		}
		return refusal.WithRetryAfter(max(refusal.RetryAfter(), after))
	}
	return refusal
}

// keep notes an upstream's own whole answer, for the case that further attempts
// bring none. One whose status promises that the request has not run is not kept:
// another attempt may have run it.
func (q *request) keep(a attempt) {
	if a.resp != nil && !a.notRun && !promises(a.resp.StatusCode()) {
		q.made = &a
	}
}

// handOnOr hands on the answer that an upstream has made, or else refuses.
func (q *request) handOnOr(refusal *spanrill.Refusal) {
	if q.made != nil {
		q.passOn(q.made)
		return
	}
	q.refuse(refusal)
}

// passOn hands on an upstream's whole answer.
func (q *request) passOn(a *attempt) {
	r := q.relay
	resp := &q.http.Response
	r.Codec.CopyHead(&resp.Header, &a.resp.Header)
	resp.SetBodyRaw(a.resp.Body())
	if r.closing.Load() || q.callerGone() {
		q.http.SetConnectionClose()
	}
	q.answered()
	r.Meters.Ended(spanrill.OutcomeRan)
	if !q.route.Chained {
		r.Meters.ServiceCall.Update(float64(r.Clock.Now()-q.start) / float64(spanrill.Second))
	}
	q.logEnded(a.resp.StatusCode(), logrus.Fields{"upstream": a.upstream.ID(), "bytes": len(a.resp.Body())})
}

// refusal is the final answer when no upstream has given one.
func (a attempt) refusal(q *request, text string) *spanrill.Refusal {
	if q.ctx.Err() != nil {
		return a.orRefusal(q.ended(a.reached))
	}
	if a.err == nil && !a.notRun {
		return spanrill.NewRefusal(spanrill.ReasonNoUpstream, "%s", text).WithRetryAfter(plainRetry)
	}
	if a.outcome == spanrill.OutcomeNotRun {
		return a.orRefusal(spanrill.NewRefusal(spanrill.ReasonUpstreamRefused, "%s: %v", text, a.err).WithRetryAfter(plainRetry))
	}
	return spanrill.NewRefusal(spanrill.ReasonUpstreamFailed, "the upstream failed: %v", a.err).WithOutcome(spanrill.OutcomeUnknown)
}

// orRefusal marks a refusal if an attempt may have run.
func (a attempt) orRefusal(refusal *spanrill.Refusal) *spanrill.Refusal {
	if a.unknown || a.reached && a.outcome != spanrill.OutcomeNotRun {
		return refusal.WithOutcome(spanrill.OutcomeUnknown)
	}
	return refusal
}

// plainRetry is about as long as a few calls of a plain service take.
const plainRetry spanrill.Millis = 150

// tryPlain makes one attempt.
func (q *request) tryPlain(u *fleet.Upstream, before attempt) attempt {
	r := q.relay
	a := attempt{upstream: u, sends: before.sends, sentAt: r.Clock.Now(), unknown: before.unknown || before.reached && before.outcome != spanrill.OutcomeNotRun}
	u.Begin()
	defer u.End()
	ctx, cancel := q.attemptContext(before.sends)
	defer cancel()
	req := q.upstreamRequest(spanrill.UpstreamSend{EngineID: u.Name(), Priority: q.priority()})
	defer fasthttp.ReleaseRequest(req)
	q.noteSend()
	q.logSent(u, nil, "")
	answer, err := r.HTTP.Do(r.sendingTo(ctx, u), u.Addr(), req, q.reuse())
	if err != nil {
		a.fail(r.Clock.Now(), err)
		if a.reached && a.outcome != spanrill.OutcomeNotRun {
			q.broken(u, 0)
		}
		return a
	}
	a.reached = true
	a.sends++
	q.readPlain(&a, answer)
	return a
}

// reuse says whether a request may use an old connection. One that may not be
// repeated may not: such a connection can close under it.
func (q *request) reuse() httpcall.Reuse {
	return httpcall.Reuse(q.route.Repeat != spanrill.RepeatNever)
}

// attemptContext bounds an attempt that another one can follow, so that the
// second can still be in time.
func (q *request) attemptContext(sends int) (context.Context, context.CancelFunc) {
	if q.route.Repeat != spanrill.RepeatSafe || sends+1 >= q.route.MaxAttempts || q.route.Target <= 0 {
		return context.WithCancel(q.ctx)
	}
	return context.WithTimeout(q.ctx, (q.route.Target * firstAttemptPercent / percent).Duration())
}

const (
	// firstAttemptPercent of the target is given to the first of several
	// attempts. At 60 ms of work and a target of 300 ms this is four times the
	// work, which one call in a few hundred exceeds.
	firstAttemptPercent = 80
	percent             = 100
)

// fail notes a call that brought no answer.
func (a *attempt) fail(now spanrill.Millis, err error) {
	a.err, a.outcome, a.retry = err, spanrill.OutcomeUnknown, meter.RetryCut
	var call *spanrill.CallError
	if errors.As(err, &call) {
		a.outcome = call.Outcome()
		a.reached = call.Phase != spanrill.PhaseDial
		if call.Phase == spanrill.PhaseDial {
			a.retry = meter.RetryDial
		}
	}
	if a.reached {
		a.sends++
	}
	if withheld(err) {
		a.retry = meter.RetryWithheld
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		a.retry = meter.RetryStalled
	}
	a.upstream.Failed(now)
	a.upstream.Avoid(now + failedAvoid)
	if spanrill.NothingListens(err) {
		a.upstream.NotListening()
	}
}

// failedAvoid is how long an upstream gets nothing after a call without an
// answer, if there are others.
const failedAvoid spanrill.Millis = 400

// errForeign means that an answer belongs to another request.
var errForeign = errors.New("answer has the id of another request")

// errUnsigned means that a success does not carry the upstream's signature, or
// carries an encoding that nobody asked for.
var errUnsigned = errors.New("answer is not one of the upstream's")

// readPlain reads the whole answer and judges it.
func (q *request) readPlain(a *attempt, answer *httpcall.Answer) {
	r := q.relay
	body, err := answer.ReadAll(maxAnswer)
	now := r.Clock.Now()
	if err != nil {
		a.sends--
		a.fail(now, err)
		q.broken(a.upstream, 0)
		return
	}
	head := r.Codec.ReadHead(answer.Header())
	if err := q.genuine(head, answer.Header()); err != nil {
		a.sends--
		a.fail(now, &spanrill.CallError{Phase: spanrill.PhaseAnswer, Written: 1, Cause: err})
		a.retry = meter.RetryBadToken
		return
	}
	a.resp = &fasthttp.Response{}
	answer.Header().CopyTo(&a.resp.Header)
	a.resp.SetBodyRaw(body)
	if head.NotRun {
		r.Meters.UpstreamRefusals.Inc()
	}
	a.judge(now, head)
}

// judge says what a whole answer means for the request and for the upstream.
func (a *attempt) judge(now spanrill.Millis, head spanrill.UpstreamHead) {
	a.outcome = spanrill.OutcomeRan
	a.upstream.Listens(now)
	switch {
	case head.NotRun:
		a.notRun, a.outcome, a.retry = true, spanrill.OutcomeNotRun, meter.RetryRefused
		a.err = errors.Errorf("refused with status %d", a.resp.StatusCode())
		a.upstream.Refused(now, false)
	case a.resp.StatusCode() >= fasthttp.StatusInternalServerError:
		a.retry = meter.RetryStageLost
		a.err = errors.Errorf("status %d", a.resp.StatusCode())
		a.upstream.Failed(now)
	default:
		a.upstream.Succeeded(now)
		a.upstream.Accepted(a.sentAt)
	}
}

// genuine checks that an answer belongs to this request and is the upstream's. It
// notes that the request has run if the answer says so.
func (q *request) genuine(head spanrill.UpstreamHead, h *fasthttp.ResponseHeader) error {
	if head.RequestID != "" && head.RequestID != q.head.ID {
		return errForeign
	}
	status := h.StatusCode()
	if status >= 200 && status < 300 && (!head.Signed || head.RequestID == "" || len(h.ContentEncoding()) > 0) {
		return errUnsigned
	}
	if !head.NotRun {
		q.ran.Store(true)
	}
	return nil
}
