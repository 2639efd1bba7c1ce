package layoutrun

import (
	"testing"

	"spanrill"
	"spanrill/clock"
)

// Only a daemon that may send orders checks the engines. Checks of all engines by every daemon
// each 150 ms took 18 % of the CPU time of 60 daemons starting with 2,922 engines.
func TestOnlyDaemonThatMayOrderChecksEngines(t *testing.T) {
	now := clock.NewManual()
	mayPlace := false
	p, table := newTestPlacer(t, 8, spanrill.LayerRange{From: 0, To: 6}, newFakeEngines(), func() (uint64, bool) { return 1, mayPlace }, now)
	table.View().ByID("e3").SetDead(true) // so that a check of the engines would verify it
	p.Round(t.Context())
	if len(p.verifications) != 0 || len(p.lastPlans) != 0 {
		t.Fatalf("%d verifications and %d plans by a daemon that may not send orders, want none", len(p.verifications), len(p.lastPlans))
	}
	now.Advance(quietTimeBeforeLayout)
	mayPlace = true
	p.Round(t.Context())
	_ = p.tasks.Wait()
	if len(p.verifications) != 1 || len(p.lastPlans) != 1 {
		t.Fatalf("%d verifications and %d plans once it may send orders, want 1 and 1", len(p.verifications), len(p.lastPlans))
	}
}

// Moves are planned again after any change, and from time to time, but not while nothing
// changes.
func TestPlansAgainAfterChanges(t *testing.T) {
	now := clock.NewManual()
	now.Advance(100 * spanrill.Second)
	p, table := newTestPlacer(t, 8, spanrill.LayerRange{From: 0, To: 12}, newFakeEngines(), mayAlwaysAct, now)
	now.Advance(justJoinedTime)
	round := func() spanrill.Millis {
		p.Round(t.Context())
		_ = p.tasks.Wait()
		return p.lastPlans["s"].plannedAt
	}
	last := round()
	for _, c := range []struct {
		name   string
		change func()
		after  spanrill.Millis
		replan bool
	}{
		{"no change", func() {}, 150, false},
		{"reserved tokens", func() { table.View().ByID("e1").Reserve(500) }, 150, false},
		{"an engine becomes slow", func() { table.View().ByID("e1").SetPace(5) }, 150, true},
		{"no change since", func() {}, 150, false},
		{"replanInterval has passed", func() {}, replanInterval, true},
	} {
		now.Advance(c.after)
		c.change()
		plannedAt := round()
		if replan := plannedAt != last; replan != c.replan {
			t.Errorf("%s: planned again is %t, want %t", c.name, replan, c.replan)
		}
		last = plannedAt
	}
}
