package gateway

import (
	"testing"

	"spanrill"
)

// newFleetWithFewLargeShares returns a fleet in which one of 20 daemons has a large CPU share.
func newFleetWithFewLargeShares(t *testing.T) *startFleet {
	t.Helper()
	return newMixedShareFleet(t, 60, nil, 1, func(i int) float64 {
		if i%20 == 7 { // none of them is a seed
			return largeShare
		}
		return 0.192
	})
}

// largeShare is the CPU share of the large daemons, in cores.
const largeShare = 1.6

// Guards against a placement lease that stays with a daemon with little CPU: with 0.192 of a core,
// planning for 2,922 engines takes 16 s. The lease goes to a daemon with a large CPU share, even if
// one with a small share took it at the start. One with a small share takes it if no other is left.
func TestLeaseGoesToLargerCPUShare(t *testing.T) {
	f := newFleetWithFewLargeShares(t)
	f.run(9 * spanrill.Second)
	if f.holder == nil || f.holder.settings.CPUShare != largeShare {
		t.Fatalf("the lease holder is %v, want a daemon with a large CPU share", f.holder)
	}
	previous := f.holder
	f.run(6 * spanrill.Second)
	if f.holder != previous {
		t.Errorf("the lease has moved although its holder had a large CPU share")
	}
	for i := 7; i < len(f.daemons); i += 20 {
		f.daemons[i].startAt = startBegin + spanrill.Minute // stopped from now on
	}
	f.holder = nil // its lease has expired
	f.run(20 * spanrill.Second)
	if f.holder == nil || f.holder.settings.CPUShare == largeShare {
		t.Fatalf("the lease holder is %v, want a daemon with a small CPU share, as none with a large one is left", f.holder)
	}
}

// Guards against a daemon that releases and retakes the lease repeatedly. If the daemons with a large
// CPU share cannot take the lease, one with a small share that has taken it keeps it.
func TestLeaseStaysIfFirstRankedCannotTakeIt(t *testing.T) {
	f := newFleetWithFewLargeShares(t)
	for i := 7; i < len(f.daemons); i += 20 {
		f.daemons[i].cannotTakeLease = true
	}
	f.run(15 * spanrill.Second)
	previous := f.holder
	for range 30 {
		f.run(500)
		if f.holder == nil || f.holder != previous {
			t.Fatalf("the lease holder is %v, want %v as before", f.holder, previous)
		}
	}
}
