package suspect

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/rng"
)

// What callers saw: three upstreams ended under one request, 10 s later two more at one
// moment, and of a fleet of six daemons four had sent it again.
//
// Order of events: two ends kept the request back on all daemons. Its callers were told the
// same moment to come back, came to four daemons within 72 ms, and each daemon tried it, since
// what it knew of trials was its own.
//
// Cause: trials were counted by daemon, and losses by the fleet. Evidence: the lines of the
// four sends at 36.13, 36.16, 36.19 and 36.20 s, and of two ends at 36.26 and 36.28 s.
func TestOneTrialInTheFleet(t *testing.T) {
	for _, c := range []struct {
		name    string
		gap     spanrill.Millis // between two callers
		callers int
	}{
		{"as in the play", 24, 4},
		{"many, and the news takes as long as they lie apart", 5, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleetOf(6)
			for _, l := range f.daemons {
				l.Lost(1, Loss{Upstream: 1, At: f.clock.Now(), Fresh: true})
				l.Lost(1, Loss{Upstream: 2, At: f.clock.Now(), Fresh: true})
			}
			f.clock.Advance(holdTime)
			trials := 0
			for i := range c.callers {
				at := f.daemons[i%len(f.daemons)]
				try := at.Begin(1)
				if v := try.Judge(); !v.Refused() && try.Sent() {
					trials++
					for _, other := range f.daemons {
						other.Take(at.Marks(1))
					}
				} else if v.RetryAfter() <= 0 {
					t.Errorf("caller %d: refused %t, back after %d ms", i, v.Refused(), v.RetryAfter())
				}
				f.clock.Advance(c.gap)
			}
			if trials != 1 {
				t.Errorf("%d daemons have tried the request, want 1", trials)
			}
		})
	}
}

// A trial that is refused by its upstream meets no other one, and the next trial comes as late
// as after a loss. One that has run for a second goes on wherever it must.
func TestTrialMeetsOneUpstream(t *testing.T) {
	held := func() (*clock.Manual, *Ledger, *Try) {
		c := clock.NewManual()
		l := New(c)
		l.Lost(1, Loss{Upstream: 1, At: c.Now(), Fresh: true})
		l.Lost(1, Loss{Upstream: 2, At: c.Now(), Fresh: true})
		c.Advance(holdTime)
		try := l.Begin(1)
		if try.Judge().Refused() || try.Judge().Refused() {
			t.Fatal("no trial")
		}
		try.Sent()
		return c, l, try
	}
	c, l, try := held()
	c.Advance(5)
	if !try.Judge().Refused() {
		t.Error("a trial that was refused goes to another upstream")
	}
	try.End()
	c.Advance(holdTime - 6)
	if !l.Begin(1).Judge().Refused() {
		t.Error("the next trial comes too soon")
	}
	c.Advance(1)
	if l.Begin(1).Judge().Refused() {
		t.Error("there is no other trial")
	}
	c, _, try = held()
	c.Advance(trialTime)
	if try.Judge().Refused() {
		t.Error("a trial that has run for a second does not go on")
	}
}

// A trial that finds no upstream with room is none: the next one may begin at once.
func TestTrialThatIsNotSent(t *testing.T) {
	c := clock.NewManual()
	l := New(c)
	l.Lost(1, Loss{Upstream: 1, At: c.Now(), Fresh: true})
	l.Lost(1, Loss{Upstream: 2, At: c.Now(), Fresh: true})
	c.Advance(holdTime)
	for range 3 {
		try := l.Begin(1)
		if try.Judge().Refused() {
			t.Fatal("kept back although nothing was sent")
		}
		try.End()
	}
}

// Callers of one content are told different times, none before the request may be tried.
func TestCallersOfOneContentComeApart(t *testing.T) {
	random, c := rng.New(1), clock.NewManual()
	l := New(c, WithDraw(random.Float64))
	l.Lost(1, Loss{Upstream: 1, At: c.Now(), Fresh: true})
	l.Lost(1, Loss{Upstream: 2, At: c.Now(), Fresh: true})
	told := map[spanrill.Millis]int{}
	const window spanrill.Millis = 100
	for range 100 {
		after := l.Begin(1).Judge().RetryAfter()
		if after < holdTime || after > holdTime+comeSpread {
			t.Fatalf("back after %d ms", after)
		}
		told[after/window]++
	}
	for at, n := range told {
		if n > 15 { // 5 in the mean
			t.Errorf("%d of 100 callers come back in the tenth of a second from %s", n, fmt.Sprint(at*window))
		}
	}
}

// A trial that another daemon tells of holds back what is kept back here, and nothing else.
func TestTrialsOfOthers(t *testing.T) {
	c := clock.NewManual()
	l := New(c)
	l.Take([]Mark{{Content: 5, Trial: true}, {Content: 6, Age: -5, Trial: true}})
	if l.Begin(5).Judge().Refused() || len(l.suspects) > 0 {
		t.Error("a content without losses is kept back")
	}
	l.Lost(1, Loss{Upstream: 1, At: c.Now(), Fresh: true})
	l.Lost(1, Loss{Upstream: 2, At: c.Now(), Fresh: true})
	c.Advance(holdTime)
	l.Take([]Mark{{Content: 1, Trial: true, Age: 2 * holdTime}})
	if l.Begin(1).Judge().Refused() {
		t.Error("a trial of long ago keeps the request back")
	}
}
