package room_test

import (
	"fmt"
	"math"
	"testing"

	"spanrill"
	"spanrill/coordination/room"
)

// Chains are used up to what their engines hold, and engines refuse hardly any request, if sizes are
// guessed too large or too small.
func TestLimitFollowsTrueSizes(t *testing.T) {
	for _, guess := range []float64{1 / 1.15, 1.15} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("guess %.2f seed %d", guess, seed+1), func(t *testing.T) {
				t.Parallel()
				p := newPlay(seed+1, 192, 0)
				p.guess = guess
				testLoad(t, loadCase{share: 1.3, slots: 192, minServed: 0.9, maxRefused: 0.01, maxBusiest: math.Inf(1)}, p)
			})
		}
	}
}

// fillAfter fills a chain and tells the ledger for some seconds how many requests wait. It returns the
// fill of the chain then.
func fillAfter(l *room.Ledger, seconds, waiting int, refuses func(now spanrill.Millis) bool) float64 {
	now := start
	for ; now < start+spanrill.Millis(seconds)*spanrill.Second; now += 50 {
		giveAll(l, now, uint64(1000*now), spanrill.RoomNeed{Prompt: 100, Class: 1})
		if refuses(now) {
			l.RecordRefusal(now, 2)
		}
		l.SetWaiting(now, waiting)
	}
	return l.Chains(now)[0].Fill
}

// More of an engine is given only while requests wait and it refuses none, within bounds.
func TestLimitOfEngine(t *testing.T) {
	never := func(spanrill.Millis) bool { return false }
	for _, c := range []struct {
		name             string
		seconds, waiting int
		refuses          func(spanrill.Millis) bool
		least, most      float64
	}{
		{"nobody waits", 10, 0, never, 0.94, 0.95},
		{"two seconds", 2, 3, never, 0.965, 0.975},
		{"upper bound", 60, 3, never, 1.09, 1.10},
		{"refuses each second", 10, 3, func(now spanrill.Millis) bool { return now%spanrill.Second == 0 }, 0.94, 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(testChain(kind{3, 100_000, 0.001, 5, 0}, 1, "a", 0))
			if got := fillAfter(l, c.seconds, c.waiting, c.refuses); got < c.least || got > c.most {
				t.Errorf("filled to %.3f, want %.3f to %.3f", got, c.least, c.most)
			}
		})
	}
}

// An engine that refuses before the ledger takes it for full is given less for some seconds.
func TestLimitAfterRefusal(t *testing.T) {
	for _, c := range []struct {
		after spanrill.Millis
		most  float64
	}{{2 * spanrill.Second, 0.922}, {6 * spanrill.Second, 0.95}} {
		l := newLedger(testChain(kind{3, 100_000, 0.001, 5, 0}, 1, "a", 0))
		for id := range uint64(90) {
			l.Give(start, id, thousand)
		}
		l.RecordRefusal(start, 2)
		now := start
		for ; now < start+c.after; now += 50 {
			l.SetWaiting(now, 0)
		}
		giveAll(l, now, 1000, spanrill.RoomNeed{Prompt: 100, Class: 1})
		if got := l.Chains(now)[0].Fill; got > c.most || got < c.most-0.005 {
			t.Errorf("filled to %.3f %d ms after a refusal, want %.3f", got, c.after, c.most)
		}
	}
}
