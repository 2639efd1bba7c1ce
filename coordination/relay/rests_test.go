package relay

import (
	"testing"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/state/fleet"
)

// Callers that are refused while their upstreams rest do not come back at one moment. 100 of
// them a second over a rest of 3 s would all be back in the tenth of a second after it when
// told what is left of it: 300, at an upstream with some ten places.
func TestCallersOfARestComeBackOneAfterAnother(t *testing.T) {
	const (
		rest   spanrill.Millis = 3000
		gap    spanrill.Millis = 10  // between two callers
		window spanrill.Millis = 100 // in which arrivals are counted
		most                   = 2 * int(window/gap)
	)
	q, clock := plainRequest()
	q.relay.Fleet.Notice("1:1", spanrill.Notice{Rest: rest}, clock.Now())
	begun, back := clock.Now(), map[spanrill.Millis]int{}
	for ; clock.Now() < begun+rest; clock.Advance(gap) {
		refusal := q.noneLeft(&attempt{})
		at := clock.Now() + refusal.RetryAfter()
		if refusal.Reason() != spanrill.ReasonUpstreamsRest || refusal.Outcome() != spanrill.OutcomeNotRun || at < begun+rest {
			t.Fatalf("refused with %v, back at %d ms", refusal, at-begun)
		}
		back[at/window]++
	}
	for at, n := range back {
		if n > most {
			t.Errorf("%d callers come back between %d and %d ms, at most %d should", n, at*window-begun, (at+1)*window-begun, most)
		}
	}
	if q.pickPlain(nil) == nil {
		t.Error("the upstream gets nothing although its rest is over")
	}
}

// Of several upstreams that rest, the one that takes requests first says when to come back.
func TestFirstOfSeveralRests(t *testing.T) {
	q, clock := plainRequest()
	q.relay.Fleet.Merge(fleet.Knowledge{Entries: []spanrill.EngineEntry{
		{ID: "a", Service: "s", Addr: "1:1"}, {ID: "b", Service: "s", Addr: "1:2"}, {ID: "c", Service: "s", Addr: "1:3", Leaving: true},
	}, At: 2, Change: 2}, clock.Now())
	for addr, rest := range map[string]spanrill.Millis{"1:1": 3000, "1:2": 1000, "1:3": 10} {
		q.relay.Fleet.Notice(addr, spanrill.Notice{Rest: rest}, clock.Now())
	}
	if got := q.noneLeft(&attempt{}).RetryAfter(); got != 1000 {
		t.Errorf("back after %d ms, want the 1000 that are left of the shorter rest", got)
	}
}

// An upstream that asks for rest or leaves while the connection to it is made gets nothing,
// and nothing is held against it.
func TestRestDuringADial(t *testing.T) {
	for _, c := range []struct {
		name   string
		notice spanrill.Notice
		want   error
	}{
		{"nothing is said", spanrill.Notice{}, nil},
		{"it asks for rest", spanrill.Notice{Rest: 1000}, fleet.ErrRests},
		{"it says that it leaves", spanrill.Notice{Leaving: true}, fleet.ErrLeaves},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, clock := plainRequest()
			u := q.pickPlain(nil)
			q.relay.Fleet.Notice(u.Addr(), c.notice, clock.Now())
			err := u.MaySend(clock.Now())
			if !errors.Is(err, c.want) || withheld(err) != (c.want != nil) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if err == nil {
				return
			}
			a := attempt{upstream: u}
			a.fail(clock.Now(), &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: err})
			if a.reached || a.outcome != spanrill.OutcomeNotRun || u.Avoided(clock.Now()) || u.Risk(clock.Now()) > 0 {
				t.Errorf("reached %t, outcome %v, avoided %t, risk %v", a.reached, a.outcome, u.Avoided(clock.Now()), u.Risk(clock.Now()))
			}
		})
	}
}
