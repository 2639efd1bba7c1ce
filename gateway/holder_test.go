package gateway

import (
	"testing"

	"spanrill"
)

func newMixedFleet(t *testing.T) *startFleet {
	t.Helper()
	return newPowerFleet(t, 60, nil, 1, func(i int) float64 {
		if i%20 == 7 { // none of them is a seed
			return largeShare
		}
		return 0.192
	})
}

const largeShare = 1.6

// Guards against a placement lease at a daemon with little CPU: with 0.192 of a core, planning for
// 2,922 engines takes 16 s. The lease goes to a daemon with a large CPU share, even if a smaller
// one took it at the start, and to a smaller one if no larger one is left.
func TestLeaseGoesToLargerCPUShare(t *testing.T) {
	f := newMixedFleet(t)
	f.run(9 * spanrill.Second)
	if f.holder == nil || f.holder.settings.CPUShare != largeShare {
		t.Fatalf("the holder is %v", f.holder)
	}
	held := f.holder
	f.run(6 * spanrill.Second)
	if f.holder != held {
		t.Errorf("the lease has moved away from a daemon with a large CPU share")
	}
	for i := 7; i < len(f.daemons); i += 20 {
		f.daemons[i].startAt = startBegin + spanrill.Minute // stopped from now on
	}
	f.holder = nil // its lease has expired
	f.run(20 * spanrill.Second)
	if f.holder == nil || f.holder.settings.CPUShare == largeShare {
		t.Fatalf("the holder is %v, want a small daemon as no large one is left", f.holder)
	}
}

// If the daemons with a large CPU share cannot take the lease, a smaller one that has taken it
// keeps it. It must not release and retake it repeatedly.
func TestLeaseStaysIfFirstRankedCannotTakeIt(t *testing.T) {
	f := newMixedFleet(t)
	for i := 7; i < len(f.daemons); i += 20 {
		f.daemons[i].cannotTakeLease = true
	}
	f.run(15 * spanrill.Second)
	held := f.holder
	for range 30 {
		f.run(500)
		if f.holder == nil || f.holder != held {
			t.Fatalf("the holder is %v, was %v", f.holder, held)
		}
	}
}
