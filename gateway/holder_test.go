package gateway

import (
	"testing"

	"spanrill"
)

func mixedFleet(t *testing.T) *startFleet {
	t.Helper()
	return newPowerFleet(t, 60, nil, 1, func(i int) float64 {
		if i%20 == 7 { // none of them is a seed
			return largeShare
		}
		return 0.192
	})
}

const largeShare = 1.6

// The lease of placement went to any daemon: one of 0.192 of a core that plans for 2,922
// engines and gives each its orders is busy for 16 s with the plan alone. It goes to one that
// has the processor for it, also if a smaller one has taken it at the start, and to a smaller
// one where no larger one is left.
func TestLeaseGoesToWhoHasTheProcessor(t *testing.T) {
	f := mixedFleet(t)
	f.run(9 * spanrill.Second)
	if f.holder == nil || f.holder.settings.CPUShare != largeShare {
		t.Fatalf("the holder is %v", f.holder)
	}
	held := f.holder
	f.run(6 * spanrill.Second)
	if f.holder != held {
		t.Errorf("the lease has moved on from one that has the processor")
	}
	for i := 7; i < len(f.daemons); i += 20 {
		f.daemons[i].starts = startBegin + spanrill.Minute // stands still from now on
	}
	f.holder = nil // its lease has lapsed
	f.run(20 * spanrill.Second)
	if f.holder == nil || f.holder.settings.CPUShare == largeShare {
		t.Fatalf("the holder is %v where only small ones are left", f.holder)
	}
}

// Where those with more processor cannot take the lease, a smaller one that has taken it
// keeps it, and does not hand it back and forth.
func TestLeaseStaysWhereTheFirstCannotTakeIt(t *testing.T) {
	f := mixedFleet(t)
	for i := 7; i < len(f.daemons); i += 20 {
		f.daemons[i].cutOff = true
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
