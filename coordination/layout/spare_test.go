package layout

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/coordination/cost"
)

// quarter returns an engine that holds 20 of the 80 layers and could hold all.
func quarter(id string, from int) Engine {
	return Engine{ID: id, Zone: "a", Kind: "huge", Layers: spanrill.LayerRange{From: from, To: from + 20}}
}

func hugeModel() *spanrill.EngineModel {
	m := testModel()
	m.Kinds["huge"] = spanrill.KindModel{Name: "huge", MemoryMB: 200000, Pace: 1, ReadFactor: 1}
	return m
}

// wantNoCuts checks that a hole is filled, and that no order cuts what runs.
func wantNoCuts(t *testing.T, moves []Move) {
	t.Helper()
	if len(moves) == 0 {
		t.Fatal("the hole is not filled")
	}
	for _, move := range moves {
		if move.Cut {
			t.Errorf("%v cuts what runs", move)
		}
	}
}

// Requests that run through engines that leave are not lost yet, also where two
// of them leave side by side. What fills the hole may not cut any.
func TestRequestsOfLeavingEnginesAreNotCut(t *testing.T) {
	one, two := quarter("leaving-1", 20), quarter("leaving-2", 40)
	one.Leaves, two.Leaves = true, true
	engines := []Engine{quarter("first", 0), quarter("spare", 0), one, two, quarter("last", 60)}
	moves := Repair(hugeModel(), engines)
	wantNoCuts(t, moves)
}

// Two chains of a zone lose an engine each without a word, and what is left is read
// as other chains than those that requests run on: nothing is cut.
func TestRequestsAreNotCutWhereChainsAreReadAnew(t *testing.T) {
	gone := Engine{ID: "leaving", Zone: "a", Kind: "huge", Layers: spanrill.LayerRange{From: 0, To: 20}, Leaves: true}
	overlap := Engine{ID: "overlap", Zone: "a", Kind: "huge", Layers: spanrill.LayerRange{From: 12, To: 20}}
	engines := []Engine{gone, overlap, quarter("a1", 0), quarter("a2", 20), quarter("a3", 40), quarter("a4", 60), quarter("b2", 20), quarter("b3", 40), quarter("b4", 60)}
	moves := Repair(hugeModel(), engines)
	wantNoCuts(t, moves)
}

// Where an engine of the hole has crashed, what ran there is lost, and nothing waits
// for it although another engine leaves.
func TestRequestsOfACrashedEngineAreCut(t *testing.T) {
	crash, leave := quarter("crashed", 20), quarter("leaving", 40)
	crash.Lost, leave.Leaves = true, true
	moves := Repair(hugeModel(), []Engine{quarter("first", 0), quarter("spare", 0), crash, leave, quarter("last", 60)})
	if len(moves) == 0 || !moves[0].Cut {
		t.Fatalf("moves %v, want ones that cut", moves)
	}
}

// An engine leaves, and the zone's chains are read anew with a hole that it did not
// hold: nothing has crashed, and what runs is not cut.
func TestHolesThatNobodyLeftAreNotCut(t *testing.T) {
	leaving := quarter("leaving", 0)
	leaving.Leaves = true
	engines := []Engine{leaving, quarter("a1", 0), quarter("a2", 20), quarter("spare", 0), quarter("a4", 60)}
	moves := Repair(hugeModel(), engines)
	wantNoCuts(t, moves)
}

// What runs on a spare is of other paths than those of the engine that has crashed.
func TestRequestsOnASpareAreNotCut(t *testing.T) {
	crash, spare := quarter("crashed", 20), quarter("spare", 0)
	crash.Lost, spare.Tokens = true, 5000
	first := quarter("first", 0)
	first.Tokens = 9000
	moves := Repair(hugeModel(), []Engine{first, spare, crash, quarter("third", 40), quarter("last", 60)})
	if len(moves) != 1 || moves[0].Engine != "spare" || moves[0].Cut {
		t.Fatalf("moves %v, want one of the spare that cuts nothing", moves)
	}
}

// Two chains of one zone, of which one loses an engine. Read anew, its engine with the
// same layers belongs to the other chain, and the sound one has the hole: what runs on
// either is not cut.
func TestSoundPathsAreNotCut(t *testing.T) {
	for _, crashed := range []string{"a2", "b2"} {
		t.Run(crashed, func(t *testing.T) {
			var engines []Engine
			for _, name := range []string{"a", "b"} {
				for i, from := range []int{0, 20, 40, 60} {
					e := quarter(fmt.Sprintf("%s%d", name, i+1), from)
					e.Tokens = 5000
					if e.ID == crashed {
						e.Lost, e.Tokens = true, 0
					}
					engines = append(engines, e)
				}
			}
			moves := Repair(hugeModel(), engines)
			wantNoCuts(t, moves)
		})
	}
}

// An engine that is given more layers keeps memory for what runs on it.
func TestEngineDoesNotGrowIntoWhatRuns(t *testing.T) {
	m := hugeModel()
	for _, c := range []struct {
		name   string
		filled float64 // part of its memory that requests hold
		want   bool    // whether it may hold ten more layers
	}{
		{"nothing runs", 0, true},
		{"it is nearly full", 0.98, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := candidate{Engine: quarter("e", 0), kind: m.Kinds["huge"]}
			e.Tokens = int64(c.filled * cost.Capacity(m, e.kind, 20))
			if got := mostBeside(m, e, leastRequests) >= 30; got != c.want {
				t.Fatalf("up to %d layers", mostBeside(m, e, leastRequests))
			}
		})
	}
}

// Of two engines with the same layers that one is moved which serves less.
func TestTheLessUsedEngineMoves(t *testing.T) {
	for _, c := range []struct {
		name              string
		first, second     int64
		want, wantToStays string
	}{
		{"the second is used", 10, 90000, "e1", "e2"},
		{"the first is used", 90000, 10, "e2", "e1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e1, e2 := quarter("e1", 0), quarter("e2", 0)
			e1.Tokens, e2.Tokens = c.first, c.second
			engines := []Engine{e1, e2, quarter("e3", 40), quarter("e4", 60)}
			moves := Repair(hugeModel(), engines)
			if len(moves) != 1 || moves[0].Engine != c.want {
				t.Fatalf("moves %v, want %s to be moved and %s to stay", moves, c.want, c.wantToStays)
			}
		})
	}
}
