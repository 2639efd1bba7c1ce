package layout

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/coordination/cost"
)

// quarter returns an engine that holds 20 of the 80 layers and can hold all of them.
func quarter(id string, from int) Engine {
	return Engine{ID: id, Zone: "a", Kind: "huge", Layers: spanrill.LayerRange{From: from, To: from + 20}}
}

// hugeModel is testModel with a kind of accelerator that can hold all layers.
func hugeModel() *spanrill.EngineModel {
	m := testModel()
	m.Kinds["huge"] = spanrill.AcceleratorKind{Name: "huge", MemoryMB: 200000, StepFactor: 1, PrefillFactor: 1}
	return m
}

// wantNoCuts checks that a hole is filled and that no order breaks off requests.
func wantNoCuts(t *testing.T, moves []Move) {
	t.Helper()
	if len(moves) == 0 {
		t.Fatal("no moves, want the hole filled")
	}
	for _, move := range moves {
		if move.Cut {
			t.Errorf("move %v may cut requests, want none that does", move)
		}
	}
}

// Requests on leaving engines still finish, also when two neighbours leave at once. Orders
// that fill the hole must not break them off.
func TestRequestsOfLeavingEnginesAreNotCut(t *testing.T) {
	one, two := quarter("leaving-1", 20), quarter("leaving-2", 40)
	one.Leaving, two.Leaving = true, true
	engines := []Engine{quarter("first", 0), quarter("spare", 0), one, two, quarter("last", 60)}
	moves := Repair(hugeModel(), engines)
	wantNoCuts(t, moves)
}

// Two chains of a zone each lose an engine without a crash. The chains derived from the
// remaining engines differ from the paths of running requests, so nothing is cut.
func TestRequestsAreNotCutWhenChainsAreDerivedAgain(t *testing.T) {
	leaving := Engine{ID: "leaving", Zone: "a", Kind: "huge", Layers: spanrill.LayerRange{From: 0, To: 20}, Leaving: true}
	overlap := Engine{ID: "overlap", Zone: "a", Kind: "huge", Layers: spanrill.LayerRange{From: 12, To: 20}}
	engines := []Engine{leaving, overlap, quarter("a1", 0), quarter("a2", 20), quarter("a3", 40), quarter("a4", 60), quarter("b2", 20), quarter("b3", 40), quarter("b4", 60)}
	moves := Repair(hugeModel(), engines)
	wantNoCuts(t, moves)
}

// When an engine of the hole has crashed, its requests are lost, so orders need not wait for
// them, although another engine is leaving.
func TestRequestsOfACrashedEngineAreCut(t *testing.T) {
	crashed, leaving := quarter("crashed", 20), quarter("leaving", 40)
	crashed.Crashed, leaving.Leaving = true, true
	moves := Repair(hugeModel(), []Engine{quarter("first", 0), quarter("spare", 0), crashed, leaving, quarter("last", 60)})
	if len(moves) == 0 || !moves[0].Cut {
		t.Fatalf("moves %v, want at least one, and the first may cut requests", moves)
	}
}

// An engine leaves, and the chains of the zone are derived again with a hole that it did not
// hold. Nothing has crashed, so no running request is cut.
func TestHolesWithoutCrashAreNotCut(t *testing.T) {
	leaving := quarter("leaving", 0)
	leaving.Leaving = true
	engines := []Engine{leaving, quarter("a1", 0), quarter("a2", 20), quarter("spare", 0), quarter("a4", 60)}
	moves := Repair(hugeModel(), engines)
	wantNoCuts(t, moves)
}

// Requests on a spare run on other paths than those of the crashed engine, and are not cut.
func TestRequestsOnASpareAreNotCut(t *testing.T) {
	crashed, spare := quarter("crashed", 20), quarter("spare", 0)
	crashed.Crashed, spare.Tokens = true, 5000
	first := quarter("first", 0)
	first.Tokens = 9000
	moves := Repair(hugeModel(), []Engine{first, spare, crashed, quarter("third", 40), quarter("last", 60)})
	if len(moves) != 1 || moves[0].Engine != "spare" || moves[0].Cut {
		t.Fatalf("moves %v, want one move of the spare that cuts nothing", moves)
	}
}

// One of two chains of a zone loses an engine. When chains are derived again, the other
// chain's engine with the same layers may take its place, so that the intact chain shows the
// hole: requests on neither chain are cut.
func TestIntactPathsAreNotCut(t *testing.T) {
	for _, crashed := range []string{"a2", "b2"} {
		t.Run(crashed, func(t *testing.T) {
			var engines []Engine
			for _, name := range []string{"a", "b"} {
				for i, from := range []int{0, 20, 40, 60} {
					e := quarter(fmt.Sprintf("%s%d", name, i+1), from)
					e.Tokens = 5000
					if e.ID == crashed {
						e.Crashed, e.Tokens = true, 0
					}
					engines = append(engines, e)
				}
			}
			moves := Repair(hugeModel(), engines)
			wantNoCuts(t, moves)
		})
	}
}

// An engine that is assigned more layers keeps memory for its running requests.
func TestTargetKeepsMemoryForRunningRequests(t *testing.T) {
	m := hugeModel()
	for _, c := range []struct {
		name   string
		filled float64 // share of its free memory that requests hold
		want   bool    // whether it may hold ten more layers
	}{
		{"nothing runs", 0, true},
		{"memory is nearly full", 0.98, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := candidate{Engine: quarter("e", 0), kind: m.Kinds["huge"]}
			e.Tokens = int64(c.filled * cost.Capacity(m, e.kind, 20))
			if got := maxTargetLayers(m, e, minChainRequests) >= 30; got != c.want {
				t.Fatalf("maxTargetLayers is %d, want 30 or more only if nothing runs", maxTargetLayers(m, e, minChainRequests))
			}
		})
	}
}

// Of two engines with the same layers, the one with fewer reserved tokens is moved.
func TestLessUsedEngineMoves(t *testing.T) {
	for _, c := range []struct {
		name                 string
		first, second        int64 // reserved tokens
		wantMoved, wantStays string
	}{
		{"the second has more tokens", 10, 90000, "e1", "e2"},
		{"the first has more tokens", 90000, 10, "e2", "e1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e1, e2 := quarter("e1", 0), quarter("e2", 0)
			e1.Tokens, e2.Tokens = c.first, c.second
			engines := []Engine{e1, e2, quarter("e3", 40), quarter("e4", 60)}
			moves := Repair(hugeModel(), engines)
			if len(moves) != 1 || moves[0].Engine != c.wantMoved {
				t.Fatalf("moves %v, want %s to be moved and %s to stay", moves, c.wantMoved, c.wantStays)
			}
		})
	}
}
