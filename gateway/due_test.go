package gateway

import (
	"testing"

	"spanrill"
)

// Whoever is cut off, a daemon that hears nothing has asked the store itself early
// enough that an upstream which leaves gets nothing too late: after the oldest
// entries, a look, a call and a request there is time left.
func TestAskAge(t *testing.T) {
	const drain = 2 * spanrill.Second
	goal, latest := drain/upstreamsPart, spanrill.Millis(drain/latestPart)
	for _, c := range []struct {
		name   string
		rank   int
		spread spanrill.Millis
		draw   float64
		want   spanrill.Millis
	}{
		{"the first asks at the goal", 0, newsRound, 1, goal},
		{"the second waits for news of the first", 1, newsRound, 0, goal + rankDelay},
		{"the third asks at the latest age", 2, newsRound, 0, latest},
		{"those without a rank too", ranks, newsRound, 1, latest + rankStep},
		{"where news goes through two daemons, after it", ranks, 3 * newsRound, 0, goal + 4*newsRound},
		{"where it takes longer than the bound allows, in time", ranks, 9 * newsRound, 1, drain - askMargin + rankStep},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := askAge(goal, drain, c.rank, c.spread, c.draw)
			if got != c.want {
				t.Fatalf("asks at an age of %d ms, want %d", got, c.want)
			}
			if oldest := got + proofPoll + dialTimeout; oldest >= drain {
				t.Fatalf("requests can follow entries that are %d ms old, the bound is %d", oldest, drain)
			}
		})
	}
}

// A daemon that leaves it to others asks in time, whatever the bound.
func TestLateAge(t *testing.T) {
	for _, bound := range []spanrill.Millis{2 * spanrill.Second, 3 * spanrill.Second, 4300} {
		for _, draw := range []float64{0, 0.5, 1} {
			got := lateAge(bound/upstreamsPart, bound, draw)
			if oldest := got + proofPoll + storeAnswer + dialTimeout; oldest >= bound || got < bound/upstreamsPart {
				t.Errorf("bound %d, draw %v: asks at an age of %d ms", bound, draw, got)
			}
		}
	}
}

// A call of the store that hangs ends early enough for a second one and a request on a
// new connection, except in the largest fleets with the shortest bound, where no daemon
// may ask so early.
func TestSecondCallIsInTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		drain  spanrill.Millis
		levels spanrill.Millis // that news goes through
	}{
		{"a small fleet, the shortest bound", 2 * spanrill.Second, 1},
		{"a large fleet", 3 * spanrill.Second, 3},
		{"the largest fleet", 3 * spanrill.Second, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			for rank := range ranks + 1 {
				age := askAge(c.drain/upstreamsPart, c.drain, rank, c.levels*newsRound, 1) + proofPoll
				if end := age + callLimit(age, c.drain) + secondCall + dialTimeout; end > c.drain {
					t.Errorf("rank %d: a request can follow entries that are %d ms old, the bound is %d", rank, end, c.drain)
				}
			}
		})
	}
}

// A daemon looks again when it may have to ask, and not every 50 ms; it never sleeps beyond
// the age at which it has to.
func TestLooksAreNotMoreThanNeeded(t *testing.T) {
	for _, c := range []struct{ age, asks, want spanrill.Millis }{
		{0, 1000, newsRound}, {900, 1000, 100}, {990, 1000, proofPoll}, {1200, 1000, proofPoll},
	} {
		got := untilAge(c.age, c.asks)
		if got != c.want || c.age+got > max(c.asks, c.age)+proofPoll {
			t.Errorf("at an age of %d with %d to ask at it looks after %d ms, want %d", c.age, c.asks, got, c.want)
		}
	}
}
