package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// checkBeforeSend returns a refusal if the request must not be sent now, or nil.
func (q *request) checkBeforeSend() *spanrill.Refusal {
	if refusal := q.checkCallerAndKey(); refusal != nil {
		return refusal
	}
	if refusal := q.checkSuspect(); refusal != nil {
		return refusal
	}
	return q.checkUpstreamsFresh()
}

// recordSend counts that the request is sent. If this is the trial of a withheld request, it tells
// the other daemons.
func (q *request) recordSend() {
	q.sends++
	if q.guard.RecordSent() {
		q.relay.OnSuspected(q.content)
		events.RequestTrialSent.Log(q.relay.Log, logrus.Fields{"content": q.content.String(), "request": q.head.ID})
	}
}

// checkCallerAndKey checks, since the request may have waited or this process may have been
// suspended, that the caller is still connected, that the configuration is fresh, and that the
// newest one still has the key.
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
	if !q.configFresh() {
		return q.configStale()
	}
	if newest := q.relay.Config.Table(); newest != q.table {
		if _, ok := newest.Account(q.head.APIKey); !ok {
			return spanrill.NewRefusal(spanrill.ReasonBadKey, "the key was withdrawn")
		}
	}
	return nil
}

// checkUpstreamsFresh refuses a request if this daemon's entries of upstreams are old while the
// store answers other daemons: an upstream may have announced that it leaves. The maximum age
// leaves time for a new connection.
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
