package soak

import (
	"fmt"
	"time"

	"spanrill/platform/platformtest"
)

// Rules about many requests, of one daemon or of all daemons together.
const (
	ruleRest        = "no more than two requests within a rest"
	ruleLeaving     = "no request at an upstream that has said that it leaves"
	ruleRetryBudget = "retries within the budget of all daemons"
	ruleRateLimit   = "requests within the limit of an upstream"
)

const (
	// inTransitTime allows for requests that were already sent when an upstream asked for a rest, that
	// is, asked to receive no requests for some time: those that arrive within inTransitTime of that
	// answer are not counted. From then until the end of the rest, one daemon may send
	// maxRequestsInRest requests.
	inTransitTime     = 500 * time.Millisecond
	maxRequestsInRest = 2
	// drainTime is the setting drain_ms of the daemons. A daemon that has passed on an upstream's
	// announcement that it leaves may still route requests to that upstream for this long.
	drainTime = 2 * time.Second
	// retryRatio, retrySlack and retryWindow are the settings of the daemons' retry budget.
	retryRatio  = 0.2
	retrySlack  = 200
	retryWindow = 10 * time.Second
	// limitEnforceDelay is the time from the first answer with a limit until the limit is enforced.
	// Requests from daemons that were disturbed during a window, or up to this long before it, are
	// not counted.
	limitEnforceDelay = 3 * time.Second
	// limitWindow is the length of the window over which platformtest.LimitCheck counts requests.
	limitWindow = 4 * time.Second
)

// traffic holds the requests that callers sent and their arrivals at upstreams.
type traffic struct {
	arrivals []platformtest.Arrival
	requests map[string]callRecord // by request ID
	// isExempt reports whether the rules do not apply to a daemon and an upstream between two times,
	// because the daemon was frozen or restarted or the upstream was cut off.
	isExempt func(daemon *process, upstream string, from, to time.Time) bool
}

// boundViolation is a violated bound and the request that shows it.
type boundViolation struct {
	request     callRecord
	description string
}

// daemonUpstream is a pair of a daemon and an upstream.
type daemonUpstream struct {
	daemon   *process
	upstream string
}

// arrivalsByPair returns the arrivals from each daemon at each upstream, in order. Arrivals of
// unknown requests are left out.
func (t *traffic) arrivalsByPair() map[daemonUpstream][]platformtest.Arrival {
	arrivals := map[daemonUpstream][]platformtest.Arrival{}
	for _, a := range t.arrivals {
		if call, ok := t.requests[a.ID]; ok {
			pair := daemonUpstream{daemon: call.daemon, upstream: a.Upstream}
			arrivals[pair] = append(arrivals[pair], a)
		}
	}
	return arrivals
}

// restViolations returns the rests in which a daemon sent the resting upstream more than
// maxRequestsInRest requests.
func (t *traffic) restViolations() (found []boundViolation) {
	for pair, arrivals := range t.arrivalsByPair() {
		for _, arrival := range arrivals {
			from, to := arrival.Answered.Add(inTransitTime), arrival.Answered.Add(arrival.Rest)
			if arrival.Rest == 0 || t.isExempt(pair.daemon, pair.upstream, arrival.Answered, to) {
				continue
			}
			within := arrivalsBetween(arrivals, from, to)
			if len(within) > maxRequestsInRest {
				last := t.requests[within[len(within)-1].ID]
				found = append(found, boundViolation{last, fmt.Sprintf("%s asked for a rest of %v and received %d requests within it", pair.upstream, arrival.Rest, len(within))})
			}
		}
	}
	return found
}

// arrivalsBetween returns the arrivals after from and before to.
func arrivalsBetween(arrivals []platformtest.Arrival, from, to time.Time) (within []platformtest.Arrival) {
	for _, a := range arrivals {
		if a.At.After(from) && a.At.Before(to) {
			within = append(within, a)
		}
	}
	return within
}

// leavingViolations returns the requests that a daemon routed to a leaving upstream although callers
// sent them more than drainTime after the daemon had passed on the upstream's announcement.
func (t *traffic) leavingViolations() (found []boundViolation) {
	for pair, arrivals := range t.arrivalsByPair() {
		announced := t.firstLeavingAnswer(arrivals)
		if announced.IsZero() {
			continue
		}
		for _, a := range arrivals {
			call := t.requests[a.ID]
			if call.sent.After(announced.Add(drainTime)) && !t.isExempt(pair.daemon, pair.upstream, announced, a.At) {
				found = append(found, boundViolation{call, fmt.Sprintf("%s had announced that it leaves %v before the caller sent the request", pair.upstream, call.sent.Sub(announced).Round(time.Millisecond))})
			}
		}
	}
	return found
}

// firstLeavingAnswer returns the earliest time at which a caller had received a complete answer that
// announces that the upstream leaves, or the zero time if there is none.
func (t *traffic) firstLeavingAnswer(arrivals []platformtest.Arrival) (first time.Time) {
	for _, a := range arrivals {
		call := t.requests[a.ID]
		if received := call.sent.Add(call.reply.Elapsed); a.Leaving && call.reply.Signed && call.reply.Err == nil && (first.IsZero() || received.Before(first)) {
			first = received
		}
	}
	return first
}

// retryBudgetViolations returns, for each service, the first window in which it received more
// retries than the retry budget of all daemons together allows: retryRatio retries for each of the
// requests that highestRequestCount returns, plus retrySlack.
func (t *traffic) retryBudgetViolations() (found []boundViolation) {
	retriesOf, sendTimes := t.retriesByService(), t.sendTimesByService()
	for service, retries := range retriesOf {
		for i, first := range retries {
			n := 0
			for n < len(retries)-i && retries[i+n].At.Before(first.At.Add(retryWindow)) {
				n++
			}
			limit := retryRatio*float64(highestRequestCount(sendTimes[service], first.At)) + retrySlack
			if float64(n) > limit {
				found = append(found, boundViolation{t.requests[first.ID], fmt.Sprintf("%s received %d retries within %v, beginning with this request; at most %.0f are allowed", service, n, retryWindow, limit)})
				break
			}
		}
	}
	return found
}

// retriesByService returns all arrivals but the first of each request, by service and in order.
func (t *traffic) retriesByService() map[string][]platformtest.Arrival {
	arrived, retries := map[string]bool{}, map[string][]platformtest.Arrival{}
	for _, a := range t.arrivals {
		if arrived[a.ID] {
			retries[a.Service] = append(retries[a.Service], a)
		}
		arrived[a.ID] = true
	}
	return retries
}

// sendTimesByService returns the times at which callers sent requests to each service.
func (t *traffic) sendTimesByService() map[string][]time.Time {
	times := map[string][]time.Time{}
	for _, call := range t.requests {
		service := platformtest.PlainService
		if call.path == platformtest.StreamPath {
			service = platformtest.ModelService
		}
		times[service] = append(times[service], call.sent)
	}
	return times
}

// highestRequestCount returns the number of requests that callers sent in the window that begins at
// from, in the one half a window earlier or in the one a whole window earlier, whichever is highest.
func highestRequestCount(sent []time.Time, from time.Time) (most int) {
	for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
		n, begin := 0, from.Add(-earlier)
		for _, at := range sent {
			if !at.Before(begin) && at.Before(begin.Add(retryWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// rateLimitViolations returns, for each upstream, the first window in which it received more
// requests than its limit allows.
func (t *traffic) rateLimitViolations() (found []boundViolation) {
	daemons := map[string]*process{}
	check := platformtest.LimitCheck{
		EnforcedAfter: limitEnforceDelay,
		DaemonOf: func(request string) (string, bool) {
			call, ok := t.requests[request]
			if ok {
				daemons[call.daemon.name] = call.daemon
				return call.daemon.name, true
			}
			return "", false
		},
		Exempt: func(daemon, upstream string, from, to time.Time) bool {
			return t.isExempt(daemons[daemon], upstream, from.Add(-limitEnforceDelay), to)
		},
	}
	for _, v := range check.FindViolations(t.arrivals) {
		found = append(found, boundViolation{t.requests[v.Last.ID], fmt.Sprintf("%s set a limit of %v requests per second and received %d in %v; at most %d are allowed", v.Upstream, v.Limit, v.Received, limitWindow, v.Allowed)})
	}
	return found
}
