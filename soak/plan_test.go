package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// A plan depends on the seed and the length alone, its steps are ordered and within bounds, and 50
// seeds cover every kind of fault.
func TestPlan(t *testing.T) {
	const length = time.Minute
	kinds := map[Kind]int{}
	for seed := range uint64(50) {
		steps := Plan(seed, length)
		if !reflect.DeepEqual(steps, Plan(seed, length)) {
			t.Fatalf("seed %d gives two different plans", seed)
		}
		for i, s := range steps {
			kinds[s.Kind]++
			if i > 0 && s.At < steps[i-1].At || s.At > length+2*repeatGap || s.Duration < shortestFault || s.Duration > longestFault || s.Target < 0 {
				t.Errorf("seed %d, step %d is out of order or out of bounds: %+v", seed, i, s)
			}
		}
	}
	all := slices.Concat(weights, independentWeights, pathWeights, mostPathsWeights, partWeights, skewWeights)
	for _, w := range all {
		if kinds[w.kind] == 0 {
			t.Errorf("no plan contains %q", w.kind)
		}
	}
	if len(kinds) != len(all) {
		t.Errorf("plans contain %d kinds, want %d", len(kinds), len(all))
	}
}

// Every kind that a plan can contain has a function that injects it.
func TestEveryKindHasAFault(t *testing.T) {
	r := &run{}
	for _, w := range slices.Concat(weights, independentWeights, pathWeights, mostPathsWeights, partWeights, skewWeights) {
		if r.faultFunc(Step{Kind: w.kind}) == nil {
			t.Errorf("no fault function for %q", w.kind)
		}
	}
	if r.faultFunc(Step{Kind: "unknown"}) != nil {
		t.Error("an unknown kind has a fault function")
	}
}
