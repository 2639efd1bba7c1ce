package soak

import (
	"fmt"
	"time"

	"spanrill/platform/platformtest"
)

// Bounds that daemons keep together or each for itself, whatever a single caller sees.
const (
	ruleRests  = "no more than two requests within a rest"
	ruleLeaves = "no request at an upstream that has said that it leaves"
	ruleBudget = "retries within the budget of all daemons"
	ruleLimits = "requests within the limit of an upstream"
)

const (
	// restGrace is how long after an answer that asks for rest requests that were on their
	// way may arrive, and restMost how many may come from one daemon from then on.
	restGrace = 500 * time.Millisecond
	restMost  = 2
	// drain is how long after a daemon has passed on that an upstream leaves it may send
	// requests there that are older.
	drain = 2 * time.Second
	// budgetRatio and budgetSlack are what the daemons are set to, in each budgetWindow.
	budgetRatio  = 0.2
	budgetSlack  = 200
	budgetWindow = 10 * time.Second
	// limitSettle is the time from the first answer with a limit until the limit is enforced.
	// Daemons that were disturbed during a window or this long before it are not counted.
	limitSettle = 3 * time.Second
	// limitWindow is the window of platformtest.LimitCheck.
	limitWindow = 4 * time.Second
)

// traffic is what callers sent and upstreams got.
type traffic struct {
	arrivals []platformtest.Arrival
	requests map[string]seen // by id
	// excused reports whether a daemon stood still or started again between two times, or
	// an upstream was cut off.
	excused func(daemon *process, upstream string, from, to time.Time) bool
}

// breach is a bound that was not kept, and the request that shows it.
type breach struct {
	by   seen
	what string
}

// way is one daemon's way to one upstream.
type way struct {
	daemon   *process
	upstream string
}

// byWay returns the arrivals of each way, in their order, and their requests.
func (t *traffic) byWay() map[way][]platformtest.Arrival {
	ways := map[way][]platformtest.Arrival{}
	for _, a := range t.arrivals {
		if s, ok := t.requests[a.ID]; ok {
			w := way{daemon: s.daemon, upstream: a.Upstream}
			ways[w] = append(ways[w], a)
		}
	}
	return ways
}

// rests returns where a daemon sent an upstream more than it may within a rest that it had
// been asked for.
func (t *traffic) rests() (found []breach) {
	for w, came := range t.byWay() {
		for _, asked := range came {
			from, to := asked.Answered.Add(restGrace), asked.Answered.Add(asked.Rest)
			if asked.Rest == 0 || t.excused(w.daemon, w.upstream, asked.Answered, to) {
				continue
			}
			within := between(came, from, to)
			if len(within) > restMost {
				last := t.requests[within[len(within)-1].ID]
				found = append(found, breach{last, fmt.Sprintf("%s had asked for %v of rest, and got %d requests within it", w.upstream, asked.Rest, len(within))})
			}
		}
	}
	return found
}

// between returns the arrivals between two times.
func between(came []platformtest.Arrival, from, to time.Time) (within []platformtest.Arrival) {
	for _, a := range came {
		if a.At.After(from) && a.At.Before(to) {
			within = append(within, a)
		}
	}
	return within
}

// leaves returns the requests that a daemon sent to an upstream although it had passed on,
// over the time of drain before the caller sent them, that the upstream leaves.
func (t *traffic) leaves() (found []breach) {
	for w, came := range t.byWay() {
		told := t.firstTold(came)
		if told.IsZero() {
			continue
		}
		for _, a := range came {
			s := t.requests[a.ID]
			if s.sent.After(told.Add(drain)) && !t.excused(w.daemon, w.upstream, told, a.At) {
				found = append(found, breach{s, fmt.Sprintf("%s had said %v before that it leaves", w.upstream, s.sent.Sub(told).Round(time.Millisecond))})
			}
		}
	}
	return found
}

// firstTold returns when a caller first had a whole answer that says that the upstream
// leaves, or no time.
func (t *traffic) firstTold(came []platformtest.Arrival) (first time.Time) {
	for _, a := range came {
		s := t.requests[a.ID]
		if at := s.sent.Add(s.reply.Elapsed); a.Leaving && s.reply.Signed && s.reply.Err == nil && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// budget returns the windows in which a service got more repeats than all daemons together
// may send. The requests of a window are those of itself, of the one before, or of the one
// half a window before, whichever are the most.
func (t *traffic) budget() (found []breach) {
	services, requests := t.repeats(), t.requestTimes()
	for service, repeats := range services {
		for i, first := range repeats {
			n := 0
			for n < len(repeats)-i && repeats[i+n].At.Before(first.At.Add(budgetWindow)) {
				n++
			}
			limit := budgetRatio*float64(mostRequests(requests[service], first.At)) + budgetSlack
			if float64(n) > limit {
				found = append(found, breach{t.requests[first.ID], fmt.Sprintf("%s got %d repeats in %v from here, %.0f are allowed", service, n, budgetWindow, limit)})
				break
			}
		}
	}
	return found
}

// repeats returns the arrivals beyond the first of each request, by service, in their order.
func (t *traffic) repeats() map[string][]platformtest.Arrival {
	came, repeats := map[string]bool{}, map[string][]platformtest.Arrival{}
	for _, a := range t.arrivals {
		if came[a.ID] {
			repeats[a.Service] = append(repeats[a.Service], a)
		}
		came[a.ID] = true
	}
	return repeats
}

// requestTimes returns when callers sent requests for each service.
func (t *traffic) requestTimes() map[string][]time.Time {
	times := map[string][]time.Time{}
	for _, s := range t.requests {
		service := platformtest.PlainService
		if s.path == platformtest.StreamPath {
			service = platformtest.ModelService
		}
		times[service] = append(times[service], s.sent)
	}
	return times
}

// mostRequests is how many requests the budget of a window counts.
func mostRequests(sent []time.Time, from time.Time) (most int) {
	for _, earlier := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
		n, begin := 0, from.Add(-earlier)
		for _, at := range sent {
			if !at.Before(begin) && at.Before(begin.Add(budgetWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// limits returns, for each upstream, the first window in which it received more requests than
// its limit allows.
func (t *traffic) limits() (found []breach) {
	daemons := map[string]*process{}
	check := platformtest.LimitCheck{
		EnforcedAfter: limitSettle,
		DaemonOf: func(request string) (string, bool) {
			s, ok := t.requests[request]
			if ok {
				daemons[s.daemon.name] = s.daemon
				return s.daemon.name, true
			}
			return "", false
		},
		Exempt: func(daemon, upstream string, from, to time.Time) bool {
			return t.excused(daemons[daemon], upstream, from.Add(-limitSettle), to)
		},
	}
	for _, v := range check.FindViolations(t.arrivals) {
		found = append(found, breach{t.requests[v.Last.ID], fmt.Sprintf("%s had set a limit of %v a second, and got %d requests in %v; allowed %d", v.Upstream, v.Limit, v.Received, limitWindow, v.Allowed)})
	}
	return found
}
