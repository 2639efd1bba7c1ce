package relay

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/events"
	"spanrill/meter"
)

// errCallerLeft is the cancellation cause of a request whose caller has closed its connection.
var errCallerLeft = errors.New("caller disconnected")

// errStopping is the cancellation cause of a request that still runs when this daemon has to end.
var errStopping = errors.New("this daemon is stopping")

// stoppingRefusal returns the refusal of a request that this daemon cannot serve because it stops. Callers
// may return to another daemon.
func stoppingRefusal() *spanrill.Refusal {
	return spanrill.NewRefusal(spanrill.ReasonDraining, "%v", errStopping).WithRetryAfter(minRetryAfter)
}

// refuse answers the request with the error that the refusal describes.
//
// The statuses 408, 421, 429 and 503 promise that the request has not run. A refusal whose outcome
// is unknown never has one of these.
func (q *request) refuse(refusal *spanrill.Refusal) {
	r := q.relay
	r.awaitTurn()
	r.Meters.CountRefusal(refusal.Reason())
	r.Meters.CountOutcome(refusal.Outcome())
	if isFinalByConfig(refusal) {
		r.Meters.RecordProofAge(meter.DecisionRefuse, q.proofAge)
	}
	status := statusOf(refusal)
	if q.hasRun.Load() && promisesNotRun(status) {
		r.Meters.RefusedAfterRun.Inc()
	}
	q.logRefusal(refusal, status)
	body, err := json.Marshal(refusal)
	if err != nil {
		r.Log.WithError(err).Error("encode refusal")
		body = nil // status and headers carry the same information
	}
	resp := &q.http.Response
	resp.Reset()
	resp.SetStatusCode(status)
	resp.Header.SetContentType("application/json")
	r.Codec.WriteRefusal(&resp.Header, q.head.ID, retryAfter(refusal, status))
	resp.SetBodyRaw(body)
	if r.closing.Load() || q.callerLeft() {
		q.http.SetConnectionClose()
	}
}

// statusOf returns the status of a refusal. If the request may have run, 502 replaces a status that
// promises the opposite.
func statusOf(refusal *spanrill.Refusal) int {
	status := refusal.Reason().Status()
	if refusal.Outcome() == spanrill.OutcomeNotRun {
		return status
	}
	if promisesNotRun(status) {
		return fasthttp.StatusBadGateway
	}
	return status
}

// promisesNotRun reports whether a status promises that the request has not run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// retryAfter returns the time after which the caller should retry, or 0 to state none. Answers with
// status 503 or 429 always have one.
func retryAfter(refusal *spanrill.Refusal, status int) spanrill.Millis {
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		return max(refusal.RetryAfter(), minRetryAfter)
	}
	return refusal.RetryAfter()
}

// minRetryAfter is the shortest retry time that callers are given.
const minRetryAfter spanrill.Millis = 100

// endedRefusal returns the refusal of a request that has exceeded its deadline, whose caller has
// disconnected, or that the end of this daemon ends. Sent tells whether an attempt may have reached an upstream.
func (q *request) endedRefusal(sent bool) *spanrill.Refusal {
	q.recordCallerLeft(sent)
	if errors.Is(context.Cause(q.ctx), errPartWithheld) {
		return q.partWithheldRefusal(sent)
	}
	if errors.Is(context.Cause(q.ctx), errStopping) {
		if sent {
			return stoppingRefusal().WithOutcome(spanrill.OutcomeUnknown)
		}
		return stoppingRefusal()
	}
	refusal := spanrill.NewRefusal(spanrill.ReasonUpstreamTimeout, "no answer within %d ms", q.relay.Clock.Now()-q.start)
	if sent {
		return refusal.WithOutcome(spanrill.OutcomeUnknown)
	}
	return spanrill.NewRefusal(spanrill.ReasonQueueDeadline, "not sent within %d ms", q.relay.Clock.Now()-q.start)
}

// callerLeft reports whether the caller has closed its connection.
func (q *request) callerLeft() bool {
	return q.ctx != nil && errors.Is(context.Cause(q.ctx), errCallerLeft)
}

// recordCallerLeft counts and logs once that the caller has disconnected.
func (q *request) recordCallerLeft(sent bool) {
	if q.callerLeftLogged || !q.callerLeft() {
		return
	}
	q.callerLeftLogged = true
	q.relay.Meters.CallersLeft.Inc()
	q.logCallerLeft(sent)
}

func (q *request) logRefusal(refusal *spanrill.Refusal, status int) {
	q.relay.failureLog.Log(events.RequestGivenUp, q.relay.Log, func() logrus.Fields {
		f := q.logFields()
		f["reason"], f["status"], f["outcome"] = refusal.Reason().Code(), status, refusal.Outcome().String()
		f["detail"], f["retry_after_ms"] = refusal.Detail(), retryAfter(refusal, status)
		if q.considered != nil {
			f["considered"] = q.considered
		}
		return f
	})
}
