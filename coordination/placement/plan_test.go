package placement

import (
	"fmt"
	"testing"

	"spanrill"
)

var advice = Model{Name: "advice", Version: "1", Layers: 24}

func layers(from, to int) spanrill.LayerRange { return spanrill.LayerRange{From: from, To: to} }

// engineOf returns an engine that holds layers, or none for an empty range.
func engineOf(name string, r spanrill.LayerRange, token float64) Engine {
	e := Engine{Name: name, Slots: 8, Step: 5000, Token: token, MemLayer: 12, Held: spanrill.Minute}
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
		{"even stages stay", whole(), nil},
		{"lost range from a stage that can spare", without("b1", "b2"), []string{"8-16"}},
		{"lost range from an empty engine", append(without("b1", "b2"), engineOf("x", layers(0, 0), 500)), []string{"x 8-16", "8-16"}},
		{"two lost ranges", append(without("b1", "b2", "c1", "c2"), engineOf("x", layers(0, 0), 50)), []string{"x 8-20", "20-24"}},
		{"nothing to spare", without("a2", "b1", "b2", "c2"), nil},
		{"empty engine to the slowest stage", append(without("c1"), engineOf("x", layers(0, 0), 50)), []string{"x 16-24"}},
		{"slow stage gets one of a fast stage", append(without("c1"), engineOf("a3", layers(0, 8), 50), engineOf("a4", layers(0, 8), 50)), []string{"a1 16-24"}},
		{"orders on their way are waited for", busy(without("b1", "b2")), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			moves := Plan([]Model{advice}, c.engines, DefaultLimits)
			if len(moves) != len(c.want) {
				t.Fatalf("%d moves %v, want %v", len(moves), moves, c.want)
			}
			for i, m := range moves {
				whole := fmt.Sprintf("%s %d-%d", m.Engine, m.Layers.From, m.Layers.To)
				if whole != c.want[i] && whole[len(m.Engine)+1:] != c.want[i] {
					t.Errorf("move %d is %s, want %s", i, whole, c.want[i])
				}
			}
		})
	}
}

// An engine that has just been loaded stays, unless layers are lost.
func TestResidency(t *testing.T) {
	fresh := []Engine{
		engineOf("a1", layers(0, 8), 50), engineOf("a2", layers(0, 8), 50), engineOf("a3", layers(0, 8), 50),
		engineOf("b1", layers(8, 16), 50), engineOf("c1", layers(16, 24), 50),
	}
	for i := range fresh {
		fresh[i].Held = spanrill.Second
	}
	if moves := Plan([]Model{advice}, fresh, DefaultLimits); len(moves) != 0 {
		t.Fatalf("moved %v", moves)
	}
	if moves := Plan([]Model{advice}, fresh[:4], DefaultLimits); len(moves) != 1 {
		t.Fatalf("lost layers got %v", moves)
	}
}

func TestSplitMakesTheSlowestStageFast(t *testing.T) {
	engines := []Engine{
		{Slots: 8, Step: 1000, Token: 10, MemLayer: 24},
		{Slots: 8, Step: 1000, Token: 40, MemLayer: 24},
		{Slots: 8, Step: 1000, Token: 20, MemLayer: 24},
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
		engines[i].MemLayer = 9
	}
	if ranges := Split(layers(0, 28), engines); ranges != nil {
		t.Errorf("28 layers do not fit into 27: %v", ranges)
	}
}
