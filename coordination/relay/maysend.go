package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// checkBeforeSend returns a refusal if the request must not be sent now, or nil.
func (q *request) checkBeforeSend() *spanrill.Refusal {
	q.relay.awaitTurn()
	if refusal := q.checkCallerAndKey(); refusal != nil {
		return refusal
	}
	if refusal := q.checkSuspect(); refusal != nil {
		return refusal
	}
	if refusal := q.checkUpstreamsFresh(); refusal != nil {
		return refusal
	}
	return q.checkParts()
}

// recordSend counts an attempt that is about to be sent. If it is the trial of a withheld request,
// the other daemons are informed.
func (q *request) recordSend() {
	q.sends++
	q.recordPartsSent()
	if q.guard.RecordSent() {
		q.relay.OnSuspected(q.content)
		events.RequestTrialSent.Log(q.relay.Log, logrus.Fields{"content": q.content.String(), "request": q.head.ID})
	}
}

// checkCallerAndKey returns a refusal if the request has ended or, for a request with a key, if the
// configuration is out of date or the newest one no longer has the key. Otherwise it returns nil.
// All this may have changed while the request waited or this process was suspended.
func (q *request) checkCallerAndKey() *spanrill.Refusal {
	if q.ctx.Err() != nil {
		return q.endedRefusal(false)
	}
	if q.deadline > 0 && q.remaining() <= 0 {
		return q.endedRefusal(false) // contexts do not count time in which the machine is suspended
	}
	if q.account == nil {
		return nil
	}
	newest := q.relay.Config.Snapshot()
	proofAge := q.relay.Clock.Now() - newest.ConfirmedAt()
	if !q.mayUseKeys(proofAge) {
		return staleConfigRefusal(proofAge)
	}
	if newest.Table() == q.table {
		return nil
	}
	if _, ok := newest.Table().Account(q.head.APIKey); !ok {
		return q.finalRefusal(proofAge, spanrill.NewRefusal(spanrill.ReasonBadKey, "the key was withdrawn"))
	}
	return nil
}

// checkUpstreamsFresh returns a refusal, or nil. It refuses if this daemon's entries of upstreams
// are out of date while the store answers other daemons, because an upstream may have announced
// meanwhile that it leaves. The maximum age leaves time for opening a connection.
func (q *request) checkUpstreamsFresh() *spanrill.Refusal {
	age, stale := q.relay.Fleet.Stale()
	if !stale {
		return nil
	}
	return spanrill.NewRefusal(spanrill.ReasonUpstreamsStale, "entries of upstreams were last confirmed %d ms ago", age).WithRetryAfter(staleRetryAfter)
}

// sleep waits for d and returns true, or returns false when the request ends.
func (q *request) sleep(d spanrill.Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-q.ctx.Done():
		return false
	}
}
