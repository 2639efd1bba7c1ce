package suspect

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/rng"
)

// Guards against one trial per daemon instead of one in the fleet. It comes about when daemons
// exchange losses but not trials: callers with the same Retry-After return to several daemons at
// once, and each of these starts a trial. In a fleet of six daemons, a request was withheld for 10 s
// after crashes of three upstreams. Then four callers returned to four daemons within 72 ms (at
// 36.13, 36.16, 36.19 and 36.20 s), and two more upstreams crashed, at 36.26 and 36.28 s.
func TestOneTrialAcrossDaemons(t *testing.T) {
	for _, c := range []struct {
		name    string
		gap     spanrill.Millis // between two callers
		callers int
	}{
		{"four callers 24 ms apart", 24, 4},
		{"40 callers 5 ms apart, no further than news takes", 5, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(6)
			for _, l := range f.daemons {
				l.RecordLoss(1, Loss{Upstream: 1, At: f.clock.Now(), Fresh: true})
				l.RecordLoss(1, Loss{Upstream: 2, At: f.clock.Now(), Fresh: true})
			}
			f.clock.Advance(withholdTime)
			trials := 0
			for i := range c.callers {
				daemon := f.daemons[i%len(f.daemons)]
				guard := daemon.Begin(1)
				if v := guard.Check(); !v.Refused() && guard.RecordSent() {
					trials++
					for _, other := range f.daemons {
						other.Merge(daemon.ContentMarks(1))
					}
				} else if v.RetryAfter() <= 0 {
					t.Errorf("caller %d: refused %t, retry after %d ms; want a positive Retry-After", i, v.Refused(), v.RetryAfter())
				}
				f.clock.Advance(c.gap)
			}
			if trials != 1 {
				t.Errorf("%d daemons tried the request, want 1", trials)
			}
		})
	}
}

// A trial that its upstream refuses does not go to another one, and the next trial waits as long
// as after a loss. After trialTime, a trial may go to another upstream.
func TestTrialIsSentToOneUpstream(t *testing.T) {
	startTrial := func() (*clock.Manual, *Ledger, *Guard) {
		c := clock.NewManual()
		l := New(c)
		l.RecordLoss(1, Loss{Upstream: 1, At: c.Now(), Fresh: true})
		l.RecordLoss(1, Loss{Upstream: 2, At: c.Now(), Fresh: true})
		c.Advance(withholdTime)
		guard := l.Begin(1)
		if guard.Check().Refused() || guard.Check().Refused() {
			t.Fatal("the request is refused after withholdTime, want a trial")
		}
		guard.RecordSent()
		return c, l, guard
	}
	c, l, guard := startTrial()
	c.Advance(5)
	if !guard.Check().Refused() {
		t.Error("a trial goes to another upstream within trialTime")
	}
	guard.End()
	c.Advance(withholdTime - 6)
	if !l.Begin(1).Check().Refused() {
		t.Error("the next trial starts before withholdTime is over")
	}
	c.Advance(1)
	if l.Begin(1).Check().Refused() {
		t.Error("no second trial after withholdTime")
	}
	c, _, guard = startTrial()
	c.Advance(trialTime)
	if guard.Check().Refused() {
		t.Error("a trial is still refused after trialTime")
	}
}

// A trial that was not sent, for lack of an upstream with room, does not count: the next one may
// begin at once.
func TestUnsentTrialIsNotCounted(t *testing.T) {
	c := clock.NewManual()
	l := New(c)
	l.RecordLoss(1, Loss{Upstream: 1, At: c.Now(), Fresh: true})
	l.RecordLoss(1, Loss{Upstream: 2, At: c.Now(), Fresh: true})
	c.Advance(withholdTime)
	for range 3 {
		guard := l.Begin(1)
		if guard.Check().Refused() {
			t.Fatal("a trial is refused although the previous one was not sent")
		}
		guard.End()
	}
}

// Callers of one content get different Retry-After values, none before the request may be tried.
func TestRetryAfterIsJittered(t *testing.T) {
	random, c := rng.New(1), clock.NewManual()
	l := New(c, WithRandom(random.Float64))
	l.RecordLoss(1, Loss{Upstream: 1, At: c.Now(), Fresh: true})
	l.RecordLoss(1, Loss{Upstream: 2, At: c.Now(), Fresh: true})
	perWindow := map[spanrill.Millis]int{}
	const window spanrill.Millis = 100
	for range 100 {
		after := l.Begin(1).Check().RetryAfter()
		if after < withholdTime || after > withholdTime+retryAfterJitter {
			t.Fatalf("retry after %d ms, want from withholdTime to withholdTime plus retryAfterJitter", after)
		}
		perWindow[after/window]++
	}
	for at, n := range perWindow {
		if n > 15 { // 5 on average
			t.Errorf("%d of 100 callers return in the 100 ms from %s ms, want at most 15", n, fmt.Sprint(at*window))
		}
	}
}

// A trial reported by a peer defers only a content that is withheld here. Marks of old trials and
// of contents without losses are ignored.
func TestTrialReportedByPeer(t *testing.T) {
	c := clock.NewManual()
	l := New(c)
	l.Merge([]Mark{{Content: 5, Trial: true}, {Content: 6, Age: -5, Trial: true}})
	if l.Begin(5).Check().Refused() || len(l.suspects) > 0 {
		t.Error("a content without losses is withheld")
	}
	l.RecordLoss(1, Loss{Upstream: 1, At: c.Now(), Fresh: true})
	l.RecordLoss(1, Loss{Upstream: 2, At: c.Now(), Fresh: true})
	c.Advance(withholdTime)
	l.Merge([]Mark{{Content: 1, Trial: true, Age: 2 * withholdTime}})
	if l.Begin(1).Check().Refused() {
		t.Error("an old trial withholds the request")
	}
}
