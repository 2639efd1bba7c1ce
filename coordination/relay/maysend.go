package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// maySend checks what may have changed just before a request is sent.
func (q *request) maySend() *spanrill.Refusal {
	if refusal := q.stillAllowed(); refusal != nil {
		return refusal
	}
	if refusal := q.suspected(); refusal != nil {
		return refusal
	}
	return q.upstreamsKnown()
}

// noteSend notes that the request is sent now.
func (q *request) noteSend() {
	q.sends++
	if q.try.Sent() {
		q.relay.OnSuspected(q.content)
		events.RequestTried.Log(q.relay.Log, logrus.Fields{"content": q.content.String(), "request": q.head.ID})
	}
}

// stillAllowed checks again just before a request is sent, since it may have
// waited, or this process may have stood still: its caller must be there, the
// configuration must be fresh, and the newest one must still know the key.
func (q *request) stillAllowed() *spanrill.Refusal {
	if q.ctx.Err() != nil {
		return q.ended(false)
	}
	if q.until > 0 && q.left() <= 0 {
		return q.ended(false) // the machine may have been suspended, which contexts do not see
	}
	if q.account == nil {
		return nil
	}
	if !q.fresh() {
		return q.stale()
	}
	if newest := q.relay.Config.Table(); newest != q.table {
		if _, ok := newest.Account(q.head.Key); !ok {
			return spanrill.NewRefusal(spanrill.ReasonBadKey, "the key was withdrawn")
		}
	}
	return nil
}

// upstreamsKnown refuses a request while an upstream may have said that it leaves: the
// entries are old, and the platform's store answers others. It leaves time for a new
// connection.
func (q *request) upstreamsKnown() *spanrill.Refusal {
	age, behind := q.relay.Fleet.Behind()
	if !behind {
		return nil
	}
	return spanrill.NewRefusal(spanrill.ReasonUpstreamsStale, "the upstreams were last proved %d ms ago", age).WithRetryAfter(staleRetry)
}

// sleep waits for a while, or until the request has ended.
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
