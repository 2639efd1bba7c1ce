package relay

import (
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/state/fleet"
)

// A request that was sent to as many engines as its route allows goes to another one
// only when one of these has ended: not while one that leaves, and whose entry has
// gone already, may still run it.
func TestEnginesThatLeaveCount(t *testing.T) {
	for _, c := range []struct {
		name       string
		gone, dead bool
		wantAny    bool // whether a third engine may be asked
	}{
		{"both serve", false, false, false},
		{"one does not answer, and may come back", false, true, false},
		{"one leaves: its entry has gone and it serves on", true, false, false},
		{"one has ended", true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := fleet.New(clock.NewManual(), nil)
			table.Merge(fleet.Knowledge{Entries: []spanrill.EngineEntry{{ID: "a", Addr: "1:1"}, {ID: "b", Addr: "1:2"}}, At: 1}, 0)
			a, b := table.View().ByID("a"), table.View().ByID("b")
			g := &generation{
				request: &request{route: &spanrill.Route{MaxAttempts: 2}},
				sentTo:  map[string]*fleet.Upstream{"a": a, "b": b},
			}
			a.SetDead(c.dead)
			if c.gone {
				table.Merge(fleet.Knowledge{Entries: []spanrill.EngineEntry{*b.Entry()}, At: 2}, 0)
			}
			if got := g.mayFirst() == nil; got != c.wantAny {
				t.Fatalf("any engine may be asked: %t, want %t", got, c.wantAny)
			}
		})
	}
}
