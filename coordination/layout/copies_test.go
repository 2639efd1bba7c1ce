package layout

import (
	"fmt"
	"testing"

	"spanrill"
)

// copyFleet is a chain of one availability zone: a large engine and eleven of five
// layers, and the engines that are to become spares.
func copyFleet(spares ...Engine) []Engine {
	engines := []Engine{{ID: "head", Zone: "a", Kind: "large", Layers: spanrill.LayerRange{From: 0, To: 25}}}
	for from := 25; from < 80; from += 5 {
		r := spanrill.LayerRange{From: from, To: from + 5}
		engines = append(engines, Engine{ID: fmt.Sprintf("part-%d", from), Zone: "a", Kind: "quick", Layers: r})
	}
	return append(engines, spares...)
}

// copyModel has a kind that is as small as others and faster.
func copyModel() *spanrill.EngineModel {
	m := testModel()
	m.Kinds["quick"] = spanrill.KindModel{Name: "quick", MemoryMB: 14400, Pace: 5, ReadFactor: 8}
	m.Kinds["slow"] = spanrill.KindModel{Name: "slow", MemoryMB: 21600, Pace: 16, ReadFactor: 8}
	return m
}

// What an engine that no chain needs is given to hold.
func TestSpares(t *testing.T) {
	for _, c := range []struct {
		name  string
		fleet []Engine
		want  map[string]spanrill.LayerRange
	}{
		{
			"a slow one stands in for two faster ones",
			copyFleet(Engine{ID: "s", Zone: "a", Kind: "slow"}),
			map[string]spanrill.LayerRange{"s": {From: 25, To: 35}},
		},
		{
			"two stand in for four",
			copyFleet(Engine{ID: "s1", Zone: "a", Kind: "slow"}, Engine{ID: "s2", Zone: "a", Kind: "slow"}),
			map[string]spanrill.LayerRange{"s1": {From: 25, To: 35}, "s2": {From: 35, To: 45}},
		},
		{
			"a large one takes what no other free engine can hold",
			copyFleet(Engine{ID: "l", Zone: "a", Kind: "large"}),
			map[string]spanrill.LayerRange{"l": {From: 0, To: 25}},
		},
		{
			"one that has just joined stays empty",
			copyFleet(Engine{ID: "s", Zone: "a", Kind: "slow", Joined: true}),
			map[string]spanrill.LayerRange{"s": {}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			after := apply(c.fleet, Repair(copyModel(), c.fleet))
			for _, e := range after {
				if want, asked := c.want[e.ID]; asked && e.Layers != want {
					t.Errorf("%s holds %v, want %v", e.ID, e.Layers, want)
				}
			}
		})
	}
}

// An engine that has just joined fills a hole at once.
func TestJoinedEngineFillsAHole(t *testing.T) {
	engines := copyFleet(Engine{ID: "new", Zone: "a", Kind: "large", Joined: true})
	engines[0].Leaves = true
	after := apply(engines, Repair(copyModel(), engines))
	if got := after[len(after)-1].Layers; got != (spanrill.LayerRange{From: 0, To: 25}) {
		t.Fatalf("it holds %v", got)
	}
}

// A chain of which one hole can be filled and another one cannot serves nobody
// afterwards: nothing moves, where a spare went from hole to hole before.
func TestNoMovesForAChainThatStaysBroken(t *testing.T) {
	m := testModel()
	m.Kinds["quarter"] = spanrill.KindModel{Name: "quarter", MemoryMB: 36000, Pace: 5, ReadFactor: 8}
	part := func(id, zone string, from, to int) Engine {
		return Engine{ID: id, Zone: zone, Kind: "quarter", Layers: spanrill.LayerRange{From: from, To: to}}
	}
	engines := []Engine{
		part("a1", "a", 0, 20), part("a2", "a", 20, 40), part("a3", "a", 40, 60), part("a4", "a", 60, 80),
		part("b1", "b", 0, 20), part("b2", "b", 24, 40), part("b3", "b", 40, 60),
		{ID: "small", Zone: "c", Kind: "tiny", Layers: spanrill.LayerRange{From: 3, To: 6}},
	}
	for _, move := range Repair(m, engines) {
		t.Errorf("%v: %s", move, move.Why)
	}
}
