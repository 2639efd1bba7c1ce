package layoutrun

import (
	"testing"

	"spanrill"
	"spanrill/clock"
)

// Every daemon of a fleet looked at all engines each 150 ms, also those that may give no
// orders: 18 in 100 of the processor of 60 daemons that start before 2,922 engines.
func TestOnlyWhoMayOrderLooksAtEngines(t *testing.T) {
	now := clock.NewManual()
	may := false
	p, table := placerOf(t, 8, spanrill.LayerRange{From: 0, To: 6}, newCards(), func() (uint64, bool) { return 1, may }, now)
	table.View().ByID("e3").SetDead(true) // which a look would notice
	p.Round(t.Context())
	if len(p.doubts) != 0 || len(p.looks) != 0 {
		t.Fatalf("%d doubts and %d looks of a daemon that may give no orders", len(p.doubts), len(p.looks))
	}
	now.Advance(settleTime)
	may = true
	p.Round(t.Context())
	_ = p.orders.Wait()
	if len(p.doubts) != 1 || len(p.looks) != 1 {
		t.Fatalf("%d doubts and %d looks once it may", len(p.doubts), len(p.looks))
	}
}

// While nothing changes, moves are not worked out again; after any change they are, and
// also now and then.
func TestMovesAreWorkedOutAfterChanges(t *testing.T) {
	now := clock.NewManual()
	now.Advance(100 * spanrill.Second)
	p, table := placerOf(t, 8, spanrill.LayerRange{From: 0, To: 12}, newCards(), always, now)
	now.Advance(joinTime)
	round := func() spanrill.Millis {
		p.Round(t.Context())
		_ = p.orders.Wait()
		return p.looks["s"].at
	}
	first := round()
	for _, c := range []struct {
		name   string
		change func()
		after  spanrill.Millis
		again  bool
	}{
		{"nothing", func() {}, 150, false},
		{"what requests hold", func() { table.View().ByID("e1").Reserve(500) }, 150, false},
		{"an engine is slow", func() { table.View().ByID("e1").SetPace(5) }, 150, true},
		{"nothing since", func() {}, 150, false},
		{"time", func() {}, lookAgain, true},
	} {
		now.Advance(c.after)
		c.change()
		at := round()
		if again := at != first; again != c.again {
			t.Errorf("%s: worked out again %t, want %t", c.name, again, c.again)
		}
		first = at
	}
}
