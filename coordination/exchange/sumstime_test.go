package exchange

import (
	"testing"

	"spanrill"
)

// The sums are complete as of the time at which the daemon that was asked the longest ago was asked.
// A delayed answer does not make them look newer, and a daemon that is silent no longer counts.
func TestSumsAsOf(t *testing.T) {
	c, here, _, wire := pair(20)
	if got := here.exchange.SumsAsOf(); got != 0 {
		t.Fatalf("sums as of %d ms before the first round, want 0", got)
	}
	askedAt := c.Now()
	here.exchange.Round(t.Context())
	if got := here.exchange.SumsAsOf(); got != askedAt {
		t.Fatalf("sums as of %d ms, want %d, when the peer was asked", got, askedAt)
	}
	wire.silent = true
	for _, step := range []struct {
		after spanrill.Millis
		known bool
	}{{retryCountTTL - 20, true}, {1, false}} {
		c.Advance(step.after)
		here.exchange.Round(t.Context())
		want := askedAt
		if !step.known {
			want = 0
		}
		if got := here.exchange.SumsAsOf(); got != want {
			t.Errorf("sums as of %d ms %d ms after the last answer, want %d", got, c.Now()-askedAt, want)
		}
	}
}

// In a large fleet the sums are complete as of the time at which the root of a tree added them up.
func TestSumsAsOfOfTree(t *testing.T) {
	c, here, _, _ := pair(0)
	e := here.exchange
	e.otherCount.Store(fanout + 1)
	e.apply()
	if got := e.SumsAsOf(); got != 0 {
		t.Fatalf("sums as of %d ms without a total, want 0", got)
	}
	total := newSum()
	total.daemons = fanout + 2
	e.sums.totals[0] = fleetTotal{sum: total, addedUpAt: c.Now() - 700}
	e.apply()
	if got := e.SumsAsOf(); got != c.Now()-700 {
		t.Fatalf("sums as of %d ms, want %d, when the root added them up", got, c.Now()-700)
	}
}
