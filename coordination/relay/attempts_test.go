package relay

import (
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/state/fleet"
)

// Guards against sending a request to more engines than its route allows. Another engine is allowed
// only after one of them has terminated. A leaving engine whose entry was removed may still run it.
func TestLeavingEngineCountsAsSentTo(t *testing.T) {
	for _, c := range []struct {
		name          string
		removed, dead bool
		wantAny       bool // whether the request may go to a third engine
	}{
		{"both work", false, false, false},
		{"one does not answer and may recover", false, true, false},
		{"one leaves: its entry was removed and it still works", true, false, false},
		{"one has terminated", true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := fleet.New(clock.NewManual(), nil)
			table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: "a", Addr: "1:1"}, {ID: "b", Addr: "1:2"}}, Revision: 1}, 0)
			a, b := table.View().ByID("a"), table.View().ByID("b")
			g := &generation{
				request: &request{route: &spanrill.Route{MaxAttempts: 2}},
				sentTo:  map[string]*fleet.Upstream{"a": a, "b": b},
			}
			a.SetDead(c.dead)
			if c.removed {
				table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{*b.Entry()}, Revision: 2}, 0)
			}
			if got := g.allowedFirstEngines() == nil; got != c.wantAny {
				t.Fatalf("any engine is allowed: %t, want %t", got, c.wantAny)
			}
		})
	}
}
