package relay

import (
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/meter"
	"spanrill/transport/httpcall"
)

// recordFailure records the error of a call that brought no answer, both in the attempt and for the
// upstream.
func (a *attempt) recordFailure(now spanrill.Millis, err error) {
	a.err, a.outcome, a.retryReason = err, spanrill.OutcomeUnknown, meter.RetryCut
	var call *spanrill.CallError
	if errors.As(err, &call) {
		a.outcome = call.Outcome()
		a.reached = call.Phase != spanrill.PhaseDial
		if call.Phase == spanrill.PhaseDial {
			a.retryReason = meter.RetryDial
		}
	}
	if a.reached {
		a.sends++
	}
	if failedPresendCheck(err) {
		a.retryReason = meter.RetryWithheld
		return
	}
	if isNoPath(err) || errors.Is(err, errNoAnswerMemory) {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		a.retryReason = meter.RetryStalled
	}
	a.upstream.RecordFailure(now)
	a.upstream.Avoid(now + failedAvoidTime)
	if spanrill.IsConnectionRefused(err) {
		a.upstream.RecordNotListening()
	}
}

// failedAvoidTime is how long other upstreams are preferred to one that did not answer a call.
const failedAvoidTime spanrill.Millis = 400

// errWrongRequestID means that an answer belongs to another request.
var errWrongRequestID = errors.New("answer has the id of another request")

// errUnsigned means that a successful answer lacks the upstream's signature or the request id, or
// has a content encoding, which requests never ask for.
var errUnsigned = errors.New("answer is not signed by the upstream, or is encoded")

// readPlain reads the complete answer and classifies it.
func (q *request) readPlain(ctx context.Context, a *attempt, answer *httpcall.Answer) {
	r := q.relay
	body, err := q.readAnswer(ctx, answer, a.upstream)
	now := r.Clock.Now()
	if err != nil {
		a.sends-- // recordFailure counts it again
		a.recordFailure(now, err)
		q.recordBrokenAttempt(a.upstream, 0)
		return
	}
	head := r.Codec.ReadResponse(answer.Header())
	if err := q.verifyAnswer(head, answer.Header()); err != nil {
		a.sends-- // recordFailure counts it again
		a.recordFailure(now, &spanrill.CallError{Phase: spanrill.PhaseAnswer, Written: 1, Cause: err})
		a.retryReason = meter.RetryBadToken
		return
	}
	a.resp, a.body = &fasthttp.Response{}, body
	answer.Header().CopyTo(&a.resp.Header)
	if head.NotRun {
		r.Meters.UpstreamRefusals.Inc()
	}
	a.classifyAnswer(now, head)
}

// classifyAnswer sets the attempt's outcome from its complete answer, and records the result for
// the upstream.
func (a *attempt) classifyAnswer(now spanrill.Millis, head spanrill.UpstreamResponse) {
	a.outcome = spanrill.OutcomeRan
	a.upstream.RecordListening(now)
	switch {
	case head.NotRun:
		a.notRun, a.outcome, a.retryReason = true, spanrill.OutcomeNotRun, meter.RetryRefused
		a.err = errors.Errorf("refused with status %d", a.resp.StatusCode())
		a.upstream.RecordRefusal(now, false)
	case a.resp.StatusCode() >= fasthttp.StatusInternalServerError:
		a.retryReason = meter.RetryStageLost
		a.err = errors.Errorf("status %d", a.resp.StatusCode())
		a.upstream.RecordFailure(now)
	default:
		a.upstream.RecordSuccess(now)
		a.upstream.RecordAccepted(a.sentAt)
	}
}

// verifyAnswer returns an error unless the answer belongs to this request and, if successful, was
// made by the upstream. It also records that the request has run, unless the answer says otherwise.
func (q *request) verifyAnswer(head spanrill.UpstreamResponse, h *fasthttp.ResponseHeader) error {
	if head.RequestID != "" && head.RequestID != q.head.ID {
		return errWrongRequestID
	}
	status := h.StatusCode()
	if status >= 200 && status < 300 && (!head.Signed || head.RequestID == "" || len(h.ContentEncoding()) > 0) {
		return errUnsigned
	}
	if !head.NotRun {
		q.hasRun.Store(true)
	}
	return nil
}
