package placement

import (
	"fmt"
	"testing"

	"spanrill"
)

var advice = Model{Name: "advice", Version: "1", Layers: 24}

func layers(from, to int) spanrill.LayerRange { return spanrill.LayerRange{From: from, To: to} }

// engineOf returns an engine that holds r, or nothing if r is empty.
func engineOf(name string, r spanrill.LayerRange, tokenMicros float64) Engine {
	e := Engine{Name: name, Slots: 8, StepMicros: 5000, TokenMicros: tokenMicros, MaxLayers: 12, HeldFor: spanrill.Minute}
	if r.Len() > 0 {
		e.Model, e.Version, e.Layers = advice.Name, advice.Version, r
	}
	return e
}

func TestPlan(t *testing.T) {
	balanced := func() []Engine {
		return []Engine{
			engineOf("a1", layers(0, 8), 50), engineOf("a2", layers(0, 8), 50),
			engineOf("b1", layers(8, 16), 50), engineOf("b2", layers(8, 16), 50),
			engineOf("c1", layers(16, 24), 50), engineOf("c2", layers(16, 24), 50),
		}
	}
	without := func(names ...string) []Engine {
		var left []Engine
		for _, e := range balanced() {
			excluded := false
			for _, n := range names {
				excluded = excluded || e.Name == n
			}
			if !excluded {
				left = append(left, e)
			}
		}
		return left
	}
	busy := func(engines []Engine) []Engine {
		for i := range engines {
			engines[i].Busy = true
		}
		return engines
	}
	for _, c := range []struct {
		name    string
		engines []Engine
		want    []string // ENGINE FROM-TO, or FROM-TO for any engine
	}{
		{"equal stages need no moves", balanced(), nil},
		{"uncovered layers go to an engine that its stage can spare", without("b1", "b2"), []string{"8-16"}},
		{"uncovered layers go to an empty engine first", append(without("b1", "b2"), engineOf("x", layers(0, 0), 500)), []string{"x 8-16", "8-16"}},
		{"two adjacent uncovered ranges are filled as one", append(without("b1", "b2", "c1", "c2"), engineOf("x", layers(0, 0), 50)), []string{"x 8-20", "20-24"}},
		{"no stage can spare an engine", without("a2", "b1", "b2", "c2"), nil},
		{"an empty engine joins the slowest stage", append(without("c1"), engineOf("x", layers(0, 0), 50)), []string{"x 16-24"}},
		{"the slowest stage gets an engine of a fast stage", append(without("c1"), engineOf("a3", layers(0, 8), 50), engineOf("a4", layers(0, 8), 50)), []string{"a1 16-24"}},
		{"busy engines are not moved", busy(without("b1", "b2")), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			moves := Plan([]Model{advice}, c.engines, DefaultLimits)
			if len(moves) != len(c.want) {
				t.Fatalf("%d moves %v, want %v", len(moves), moves, c.want)
			}
			for i, m := range moves {
				got := fmt.Sprintf("%s %d-%d", m.Engine, m.Layers.From, m.Layers.To)
				if got != c.want[i] && got[len(m.Engine)+1:] != c.want[i] {
					t.Errorf("move %d is %s, want %s", i, got, c.want[i])
				}
			}
		})
	}
}

// An engine that was loaded recently is not moved, unless layers are missing.
func TestMinResidency(t *testing.T) {
	recent := []Engine{
		engineOf("a1", layers(0, 8), 50), engineOf("a2", layers(0, 8), 50), engineOf("a3", layers(0, 8), 50),
		engineOf("b1", layers(8, 16), 50), engineOf("c1", layers(16, 24), 50),
	}
	for i := range recent {
		recent[i].HeldFor = spanrill.Second
	}
	if moves := Plan([]Model{advice}, recent, DefaultLimits); len(moves) != 0 {
		t.Fatalf("moves of recently loaded engines are %v, want none", moves)
	}
	if moves := Plan([]Model{advice}, recent[:4], DefaultLimits); len(moves) != 1 {
		t.Fatalf("moves for the uncovered layers are %v, want one", moves)
	}
}

// Faster engines get more layers, and the ranges keep the order of the engines. Split returns nil
// if the layers do not fit.
func TestSplitMinimizesTheSlowestStageTime(t *testing.T) {
	engines := []Engine{
		{Slots: 8, StepMicros: 1000, TokenMicros: 10, MaxLayers: 24},
		{Slots: 8, StepMicros: 1000, TokenMicros: 40, MaxLayers: 24},
		{Slots: 8, StepMicros: 1000, TokenMicros: 20, MaxLayers: 24},
	}
	ranges := Split(layers(0, 28), engines)
	for i, want := range []int{16, 4, 8} {
		if got := ranges[i].Len(); got != want {
			t.Errorf("engine %d got %d layers, want %d; ranges are %v", i, got, want, ranges)
		}
	}
	if ranges[2].To != 28 {
		t.Errorf("ranges are %v, want the last one to end at 28", ranges)
	}
	for i := range engines {
		engines[i].MaxLayers = 9
	}
	if ranges := Split(layers(0, 28), engines); ranges != nil {
		t.Errorf("ranges are %v, want none: 28 layers do not fit into engines that hold 27", ranges)
	}
}
