package relay

import (
	"testing"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/state/fleet"
)

// Guards against callers that all return when a rest ends. If each were given the time that is left,
// 100 callers per second over a rest of 3 s would make 300 requests within 100 ms, at an upstream that
// runs about ten concurrently.
func TestRestRetryTimesAreSpread(t *testing.T) {
	const (
		rest         spanrill.Millis = 3000
		gap          spanrill.Millis = 10  // between two callers
		window       spanrill.Millis = 100 // in which arrivals are counted
		maxPerWindow                 = 2 * int(window/gap)
	)
	q, clock := plainRequest()
	q.relay.Fleet.HandleNotice("1:1", spanrill.Notice{Rest: rest}, clock.Now())
	restStart, returnsPerWindow := clock.Now(), map[spanrill.Millis]int{}
	for ; clock.Now() < restStart+rest; clock.Advance(gap) {
		refusal := q.noUpstreamRefusal(&attempt{})
		retryAt := clock.Now() + refusal.RetryAfter()
		if refusal.Reason() != spanrill.ReasonUpstreamsRest || refusal.Outcome() != spanrill.OutcomeNotRun || retryAt < restStart+rest {
			t.Fatalf("refused with %v and retry %d ms after the start of the rest, want ReasonUpstreamsRest, OutcomeNotRun and a retry after its end", refusal, retryAt-restStart)
		}
		returnsPerWindow[retryAt/window]++
	}
	for index, n := range returnsPerWindow {
		if n > maxPerWindow {
			t.Errorf("%d callers retry between %d and %d ms, want at most %d", n, index*window-restStart, (index+1)*window-restStart, maxPerWindow)
		}
	}
	if q.pickPlain(nil) == nil {
		t.Error("the upstream gets no requests although its rest is over")
	}
}

// The upstream whose rest ends first determines the retry time.
func TestRestRetryTimeOfShortestRest(t *testing.T) {
	q, clock := plainRequest()
	q.relay.Fleet.Merge(fleet.Update{Entries: []spanrill.EngineEntry{
		{ID: "a", Service: "s", Addr: "1:1"}, {ID: "b", Service: "s", Addr: "1:2"}, {ID: "c", Service: "s", Addr: "1:3", Leaving: true},
	}, Revision: 2, LastChange: 2}, clock.Now())
	for addr, rest := range map[string]spanrill.Millis{"1:1": 3000, "1:2": 1000, "1:3": 10} {
		q.relay.Fleet.HandleNotice(addr, spanrill.Notice{Rest: rest}, clock.Now())
	}
	if got := q.noUpstreamRefusal(&attempt{}).RetryAfter(); got != 1000 {
		t.Errorf("retry after %d ms, want 1000 ms, the rest of the upstream whose rest ends first", got)
	}
}

// An upstream that asks for rest or leaves while a connection to it is established gets no request,
// and this does not count as its failure.
func TestRestOrLeaveDuringDial(t *testing.T) {
	for _, c := range []struct {
		name   string
		notice spanrill.Notice
		want   error
	}{
		{"no notice", spanrill.Notice{}, nil},
		{"asks for rest", spanrill.Notice{Rest: 1000}, fleet.ErrResting},
		{"leaves", spanrill.Notice{Leaving: true}, fleet.ErrLeaving},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, clock := plainRequest()
			u := q.pickPlain(nil)
			q.relay.Fleet.HandleNotice(u.Addr(), c.notice, clock.Now())
			err := u.CheckSend(clock.Now())
			if !errors.Is(err, c.want) || failedPresendCheck(err) != (c.want != nil) {
				t.Fatalf("CheckSend returned %v, want %v, and failedPresendCheck must be true for all but nil", err, c.want)
			}
			if err == nil {
				return
			}
			a := attempt{upstream: u}
			a.recordFailure(clock.Now(), &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: err})
			if a.reached || a.outcome != spanrill.OutcomeNotRun || u.Avoided(clock.Now()) || u.FailureRate(clock.Now()) > 0 {
				t.Errorf("reached %t, outcome %v, avoided %t, failure rate %v; want false, not run, false, 0", a.reached, a.outcome, u.Avoided(clock.Now()), u.FailureRate(clock.Now()))
			}
		})
	}
}
