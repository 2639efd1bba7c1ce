package relay

import (
	"sync"

	"spanrill"
	"spanrill/state/fleet"
)

// limitRetryTimes computes retry times for callers that are refused because of rate limits. The
// times are spaced according to this daemon's share of the combined limits, so that callers do not
// return together.
type limitRetryTimes struct {
	mu   sync.Mutex
	next map[string]spanrill.Millis // by service, retry time of the caller that was refused last
}

// minUpstreamRate is the lowest rate of an upstream that is assumed for retry times, in requests
// per second.
const minUpstreamRate = 0.25

// take returns how long the next caller of a service should wait before it retries.
func (t *limitRetryTimes) take(service string, upstreams []*fleet.Upstream, daemons int, now spanrill.Millis) spanrill.Millis {
	perSecond, earliest := 0.0, maxRetryWait
	for _, u := range upstreams {
		perSecond += max(minUpstreamRate, u.Limit().PerSecond)
		earliest = min(earliest, u.LimitWait(now))
	}
	gap := spanrill.Millis(float64(max(1, daemons)) / perSecond * float64(spanrill.Second))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next == nil {
		t.next = map[string]spanrill.Millis{}
	}
	next := max(t.next[service]+gap, now+earliest)
	if next > now+maxRetryWait {
		next = now + earliest // callers with the first retry times have returned by then
	}
	t.next[service] = next
	return next - now
}

// limitRefusal returns the refusal of a request whose possible upstreams have exhausted their rate
// limits. Its outcome is that no upstream has run the request.
func (q *request) limitRefusal(limited []*fleet.Upstream) *spanrill.Refusal {
	r := q.relay
	return spanrill.NewRefusal(spanrill.ReasonUpstreamsLimited, "%d upstreams that could take it have exhausted their rate limits", len(limited)).
		WithRetryAfter(r.limitRetries.take(q.service.Name, limited, r.Daemons(), r.Clock.Now()))
}

// limitOrRestRefusal returns a refusal if upstreams that could take the request have exhausted
// their rate limits or have asked for rest, or nil.
func (q *request) limitOrRestRefusal() *spanrill.Refusal {
	if limited := q.blockedBy(fleet.ErrLimited); len(limited) > 0 {
		return q.limitRefusal(limited)
	}
	if resting := q.restingUpstreams(); len(resting) > 0 {
		return q.restRefusal(resting)
	}
	return nil
}
