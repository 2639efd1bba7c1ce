package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// What fails follows from the seed alone, within the length, in order, and over some seeds
// every kind of fault comes.
func TestPlan(t *testing.T) {
	const length = time.Minute
	kinds := map[Kind]int{}
	for seed := range uint64(50) {
		steps := Plan(seed, length)
		if !reflect.DeepEqual(steps, Plan(seed, length)) {
			t.Fatalf("seed %d has two plans", seed)
		}
		for i, s := range steps {
			kinds[s.Kind]++
			if i > 0 && s.At < steps[i-1].At || s.At > length+2*seriesGap || s.For < shortestFault || s.For > longestFault || s.Target < 0 {
				t.Errorf("seed %d, step %d: %+v", seed, i, s)
			}
		}
	}
	all := append(slices.Clone(weights), independentWeights...)
	for _, w := range all {
		if kinds[w.kind] == 0 {
			t.Errorf("no plan has %q", w.kind)
		}
	}
	if len(kinds) != len(all) {
		t.Errorf("%d kinds in plans, want %d", len(kinds), len(all))
	}
}

// Every kind of a plan is one that can be brought about.
func TestFaultsOfAllKinds(t *testing.T) {
	r := &run{}
	for _, w := range append(slices.Clone(weights), independentWeights...) {
		if r.faultOf(Step{Kind: w.kind}) == nil {
			t.Errorf("%q cannot be brought about", w.kind)
		}
	}
	if r.faultOf(Step{Kind: "unknown"}) != nil {
		t.Error("an unknown kind is brought about")
	}
}
