package gateway

import (
	"testing"

	"spanrill"
)

// Guards against requests to an upstream after the drain bound. A daemon without news must ask
// the store early enough that one check and a request on a new connection fit into the bound.
func TestAskAge(t *testing.T) {
	const drain = 2 * spanrill.Second
	refreshAge, latest := drain/entriesRefreshDivisor, spanrill.Millis(drain/latestAskDivisor)
	for _, c := range []struct {
		name          string
		rank          int
		broadcastTime spanrill.Millis
		draw          float64
		want          spanrill.Millis
	}{
		{"the first asks at the refresh age", 0, newsRound, 1, refreshAge},
		{"the second waits for news of the first", 1, newsRound, 0, refreshAge + rankDelay},
		{"the third asks at the latest age", 2, newsRound, 0, latest},
		{"daemons without a rank ask at the latest age", rankedDaemons, newsRound, 1, latest + rankStep},
		{"if news crosses two daemons, those without a rank ask after its arrival", rankedDaemons, 3 * newsRound, 0, refreshAge + 4*newsRound},
		{"if news takes longer than the bound allows, they ask in time for the bound", rankedDaemons, 9 * newsRound, 1, drain - askMargin + rankStep},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := askAge(refreshAge, drain, c.rank, c.broadcastTime, c.draw)
			if got != c.want {
				t.Fatalf("daemon asks at an age of %d ms, want %d", got, c.want)
			}
			if oldest := got + refreshPoll + dialTimeout; oldest >= drain {
				t.Fatalf("requests can be sent with entries that are %d ms old, the bound is %d", oldest, drain)
			}
		})
	}
}

// A daemon that relies on others for news asks the store itself, not before the refresh age, but in
// time for any bound.
func TestLateAskAge(t *testing.T) {
	for _, bound := range []spanrill.Millis{2 * spanrill.Second, 3 * spanrill.Second, 4300} {
		for _, draw := range []float64{0, 0.5, 1} {
			got := lateAskAge(bound/entriesRefreshDivisor, bound, draw)
			if oldest := got + refreshPoll + maxStoreLatency + dialTimeout; oldest >= bound || got < bound/entriesRefreshDivisor {
				t.Errorf("bound %d ms, draw %v: daemon asks at an age of %d ms, too early or too late to send a request within the bound", bound, draw, got)
			}
		}
	}
}

// A store call that hangs times out early enough for a second one and a request on a new
// connection. The largest fleets with the shortest bound are not checked: there no daemon may ask
// early enough for that.
func TestSecondCallIsInTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		drain  spanrill.Millis
		levels spanrill.Millis // number of levels of daemons that news crosses
	}{
		{"a small fleet, the shortest bound", 2 * spanrill.Second, 1},
		{"a large fleet", 3 * spanrill.Second, 3},
		{"the largest fleet", 3 * spanrill.Second, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			for rank := range rankedDaemons + 1 {
				age := askAge(c.drain/entriesRefreshDivisor, c.drain, rank, c.levels*newsRound, 1) + refreshPoll
				if end := age + callTimeout(age, c.drain) + secondCallTime + dialTimeout; end > c.drain {
					t.Errorf("rank %d: a request can be sent with entries that are %d ms old, the bound is %d", rank, end, c.drain)
				}
			}
		})
	}
}

// Guards against a check every 50 ms. A daemon waits until it may have to ask the store, but not
// beyond the age at which it has to.
func TestUntilAge(t *testing.T) {
	for _, c := range []struct{ age, target, want spanrill.Millis }{
		{0, 1000, newsRound}, {900, 1000, 100}, {990, 1000, refreshPoll}, {1200, 1000, refreshPoll},
	} {
		got := untilAge(c.age, c.target)
		if got != c.want || c.age+got > max(c.target, c.age)+refreshPoll {
			t.Errorf("age %d ms, ask at age %d ms: next check after %d ms, want %d", c.age, c.target, got, c.want)
		}
	}
}
