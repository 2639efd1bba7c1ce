package placement

import (
	"fmt"
	"testing"

	"spanrill"
)

var advice = Model{Name: "advice", Version: "1", Layers: 24}

func layers(from, to int) spanrill.LayerRange { return spanrill.LayerRange{From: from, To: to} }

// engineOf returns an engine that holds r, or nothing if r is empty.
func engineOf(name string, r spanrill.LayerRange, token float64) Engine {
	e := Engine{Name: name, Slots: 8, StepMicros: 5000, TokenMicros: token, MaxLayers: 12, HeldFor: spanrill.Minute}
	if r.Len() > 0 {
		e.Model, e.Version, e.Layers = advice.Name, advice.Version, r
	}
	return e
}

func TestPlan(t *testing.T) {
	whole := func() []Engine {
		return []Engine{
			engineOf("a1", layers(0, 8), 50), engineOf("a2", layers(0, 8), 50),
			engineOf("b1", layers(8, 16), 50), engineOf("b2", layers(8, 16), 50),
			engineOf("c1", layers(16, 24), 50), engineOf("c2", layers(16, 24), 50),
		}
	}
	without := func(names ...string) []Engine {
		var left []Engine
		for _, e := range whole() {
			gone := false
			for _, n := range names {
				gone = gone || e.Name == n
			}
			if !gone {
				left = append(left, e)
			}
		}
		return left
	}
	busy := func(es []Engine) []Engine {
		for i := range es {
			es[i].Busy = true
		}
		return es
	}
	for _, c := range []struct {
		name    string
		engines []Engine
		want    []string
	}{
		{"equal stages stay", whole(), nil},
		{"lost range to an engine of a stage that can spare it", without("b1", "b2"), []string{"8-16"}},
		{"lost range to an empty engine", append(without("b1", "b2"), engineOf("x", layers(0, 0), 500)), []string{"x 8-16", "8-16"}},
		{"two lost ranges", append(without("b1", "b2", "c1", "c2"), engineOf("x", layers(0, 0), 50)), []string{"x 8-20", "20-24"}},
		{"nothing to spare", without("a2", "b1", "b2", "c2"), nil},
		{"empty engine to the slowest stage", append(without("c1"), engineOf("x", layers(0, 0), 50)), []string{"x 16-24"}},
		{"slowest stage gets an engine of a fast stage", append(without("c1"), engineOf("a3", layers(0, 8), 50), engineOf("a4", layers(0, 8), 50)), []string{"a1 16-24"}},
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
	fresh := []Engine{
		engineOf("a1", layers(0, 8), 50), engineOf("a2", layers(0, 8), 50), engineOf("a3", layers(0, 8), 50),
		engineOf("b1", layers(8, 16), 50), engineOf("c1", layers(16, 24), 50),
	}
	for i := range fresh {
		fresh[i].HeldFor = spanrill.Second
	}
	if moves := Plan([]Model{advice}, fresh, DefaultLimits); len(moves) != 0 {
		t.Fatalf("recently loaded engines were moved: %v", moves)
	}
	if moves := Plan([]Model{advice}, fresh[:4], DefaultLimits); len(moves) != 1 {
		t.Fatalf("moves for the lost layers are %v, want 1", moves)
	}
}

func TestSplitMinimizesTheSlowestStageTime(t *testing.T) {
	engines := []Engine{
		{Slots: 8, StepMicros: 1000, TokenMicros: 10, MaxLayers: 24},
		{Slots: 8, StepMicros: 1000, TokenMicros: 40, MaxLayers: 24},
		{Slots: 8, StepMicros: 1000, TokenMicros: 20, MaxLayers: 24},
	}
	ranges := Split(layers(0, 28), engines)
	for i, want := range []int{16, 4, 8} {
		if got := ranges[i].Len(); got != want {
			t.Errorf("engine %d got %d layers, want %d: %v", i, got, want, ranges)
		}
	}
	if ranges[2].To != 28 {
		t.Errorf("the ranges do not cover all layers: %v", ranges)
	}
	for i := range engines {
		engines[i].MaxLayers = 9
	}
	if ranges := Split(layers(0, 28), engines); ranges != nil {
		t.Errorf("28 layers do not fit into 27: %v", ranges)
	}
}
