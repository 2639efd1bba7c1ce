package relay

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/events"
)

// errCallerGone ends a request whose caller has closed its connection.
var errCallerGone = errors.New("caller left")

// refuse gives the final answer to a request that is given up.
//
// A status of 429 or 503 promises that the request has not run. A refusal
// whose outcome is not known is never sent with one of these.
func (q *request) refuse(refusal *spanrill.Refusal) {
	r := q.relay
	r.Meters.Refused(refusal.Reason())
	r.Meters.Ended(refusal.Outcome())
	status := statusOf(refusal)
	if q.ran.Load() && promises(status) {
		r.Meters.RefusedAfterRun.Inc()
	}
	q.logRefusal(refusal, status)
	body, err := json.Marshal(refusal)
	if err != nil {
		r.Log.WithError(err).Error("body of a refusal")
		body = nil // the status and the headers say the same
	}
	resp := &q.http.Response
	resp.Reset()
	resp.SetStatusCode(status)
	resp.Header.SetContentType("application/json")
	r.Codec.WriteRefusal(&resp.Header, q.head.ID, retryAfter(refusal, status))
	resp.SetBodyRaw(body)
	if r.closing.Load() || q.callerGone() {
		q.http.SetConnectionClose()
	}
}

// statusOf keeps the promise of a status: what may have run is a 502 or 504.
func statusOf(refusal *spanrill.Refusal) int {
	status := refusal.Reason().Status()
	if refusal.Outcome() == spanrill.OutcomeNotRun {
		return status
	}
	if promises(status) {
		return fasthttp.StatusBadGateway
	}
	return status
}

// promises reports whether a status promises that the request has not run and
// never will.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// retryAfter is told with every promise that a request has not run.
func retryAfter(refusal *spanrill.Refusal, status int) spanrill.Millis {
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		return max(refusal.RetryAfter(), leastRetry)
	}
	return refusal.RetryAfter()
}

// leastRetry is the shortest pause that callers are asked for.
const leastRetry spanrill.Millis = 100

// ended returns the refusal for a request whose time or caller is gone.
func (q *request) ended(sent bool) *spanrill.Refusal {
	q.noteLeft(sent)
	refusal := spanrill.NewRefusal(spanrill.ReasonUpstreamTimeout, "no answer within %d ms", q.relay.Clock.Now()-q.start)
	if sent {
		return refusal.WithOutcome(spanrill.OutcomeUnknown)
	}
	return spanrill.NewRefusal(spanrill.ReasonQueueDeadline, "not sent within %d ms", q.relay.Clock.Now()-q.start)
}

// callerGone reports whether the caller has closed its connection.
func (q *request) callerGone() bool {
	return q.ctx != nil && errors.Is(context.Cause(q.ctx), errCallerGone)
}

// noteLeft notes once that the caller has left.
func (q *request) noteLeft(sent bool) {
	if q.goneNoted || !q.callerGone() {
		return
	}
	q.goneNoted = true
	q.relay.Meters.CallersLeft.Inc()
	q.logGone(sent)
}

func (q *request) logRefusal(refusal *spanrill.Refusal, status int) {
	q.relay.bad.Log(events.RequestGivenUp, q.relay.Log, func() logrus.Fields {
		f := q.fields()
		f["reason"], f["status"], f["outcome"] = refusal.Reason().Code(), status, refusal.Outcome().String()
		f["detail"], f["retry_after_ms"] = refusal.Detail(), retryAfter(refusal, status)
		if q.considered != nil {
			f["considered"] = q.considered
		}
		return f
	})
}
