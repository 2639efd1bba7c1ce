package layout

import (
	"fmt"
	"testing"

	"spanrill"
)

// spareFleet returns the engines of a chain in one availability zone, a large one and eleven
// that hold five layers each, and the given engines, which are to become spares.
func spareFleet(spares ...Engine) []Engine {
	engines := []Engine{{ID: "head", Zone: "a", Kind: "large", Layers: spanrill.LayerRange{From: 0, To: 25}}}
	for from := 25; from < 80; from += 5 {
		r := spanrill.LayerRange{From: from, To: from + 5}
		engines = append(engines, Engine{ID: fmt.Sprintf("part-%d", from), Zone: "a", Kind: "quick", Layers: r})
	}
	return append(engines, spares...)
}

// spareModel is testModel with two more kinds: quick has the memory of tiny and is faster, slow
// has the memory and the step factor of small.
func spareModel() *spanrill.EngineModel {
	m := testModel()
	m.Kinds["quick"] = spanrill.AcceleratorKind{Name: "quick", MemoryMB: 14400, StepFactor: 5, PrefillFactor: 8}
	m.Kinds["slow"] = spanrill.AcceleratorKind{Name: "slow", MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8}
	return m
}

// Engines that no chain needs get the ranges whose loss would cost the most.
func TestSpares(t *testing.T) {
	for _, c := range []struct {
		name  string
		fleet []Engine
		want  map[string]spanrill.LayerRange // by engine id
	}{
		{
			"a slow spare covers two faster engines",
			spareFleet(Engine{ID: "s", Zone: "a", Kind: "slow"}),
			map[string]spanrill.LayerRange{"s": {From: 25, To: 35}},
		},
		{
			"two spares cover four engines",
			spareFleet(Engine{ID: "s1", Zone: "a", Kind: "slow"}, Engine{ID: "s2", Zone: "a", Kind: "slow"}),
			map[string]spanrill.LayerRange{"s1": {From: 25, To: 35}, "s2": {From: 35, To: 45}},
		},
		{
			"a large spare covers what no other free engine can hold",
			spareFleet(Engine{ID: "l", Zone: "a", Kind: "large"}),
			map[string]spanrill.LayerRange{"l": {From: 0, To: 25}},
		},
		{
			"an engine that has just joined stays empty",
			spareFleet(Engine{ID: "s", Zone: "a", Kind: "slow", JustJoined: true}),
			map[string]spanrill.LayerRange{"s": {}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			after := apply(c.fleet, Repair(spareModel(), c.fleet))
			for _, e := range after {
				if want, listed := c.want[e.ID]; listed && e.Layers != want {
					t.Errorf("%s holds %v, want %v", e.ID, e.Layers, want)
				}
			}
		})
	}
}

// An engine that has just joined fills a hole at once.
func TestJoinedEngineFillsAHole(t *testing.T) {
	engines := spareFleet(Engine{ID: "new", Zone: "a", Kind: "large", JustJoined: true})
	engines[0].Leaving = true
	after := apply(engines, Repair(spareModel(), engines))
	if got := after[len(after)-1].Layers; got != (spanrill.LayerRange{From: 0, To: 25}) {
		t.Fatalf("the joined engine holds %v, want 0-25", got)
	}
}

// A chain serves no requests while one of its holes cannot be filled, so nothing is moved
// into its other holes. Otherwise a spare would move from hole to hole, round after round.
func TestNoMovesForAChainThatStaysBroken(t *testing.T) {
	m := testModel()
	m.Kinds["quarter"] = spanrill.AcceleratorKind{Name: "quarter", MemoryMB: 36000, StepFactor: 5, PrefillFactor: 8}
	part := func(id, zone string, from, to int) Engine {
		return Engine{ID: id, Zone: zone, Kind: "quarter", Layers: spanrill.LayerRange{From: from, To: to}}
	}
	engines := []Engine{
		part("a1", "a", 0, 20), part("a2", "a", 20, 40), part("a3", "a", 40, 60), part("a4", "a", 60, 80),
		part("b1", "b", 0, 20), part("b2", "b", 24, 40), part("b3", "b", 40, 60),
		{ID: "small", Zone: "c", Kind: "tiny", Layers: spanrill.LayerRange{From: 3, To: 6}},
	}
	for _, move := range Repair(m, engines) {
		t.Errorf("move %v (%s) for a chain that stays broken, want no moves", move, move.Reason)
	}
}
