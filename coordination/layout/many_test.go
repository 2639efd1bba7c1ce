package layout

import (
	"fmt"
	"testing"

	"spanrill"
)

// manyEngines returns engines of four kinds, most of them small, in five availability zones.
func manyEngines(n int) (*spanrill.EngineModel, []Engine) {
	m := &spanrill.EngineModel{
		Layers: 80, LayerMB: 1750, Slots: 192, KVTokenBytes: 492000, ActivationBytes: 24600, StepMillis: 0.85,
		StepMillisPerRequest: 0.003, StepMillisPerKContext: 0.004, PrefillTokensPerMilli: 236, ZoneLinkMbps: 5200, LoadSeconds: 14,
		MeanPromptTokens: 740, MeanAnswerTokens: 140, TokensPerEvent: 3,
		Kinds: map[string]spanrill.AcceleratorKind{
			"huge":  {Name: "huge", MemoryMB: 72000, StepFactor: 1.4, PrefillFactor: 1},
			"large": {Name: "large", MemoryMB: 36000, StepFactor: 3.1, PrefillFactor: 3.2},
			"small": {Name: "small", MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8.2},
			"least": {Name: "least", MemoryMB: 14400, StepFactor: 15, PrefillFactor: 15},
		},
	}
	kinds := []string{"huge", "large", "large", "large", "small", "small", "small", "small", "small", "small", "small", "small", "least", "least", "least", "least", "least", "least", "least", "least"}
	var engines []Engine
	for i := range n {
		engines = append(engines, Engine{ID: fmt.Sprintf("e%05d", i*7919%100003), Zone: fmt.Sprint("z", i%5), Kind: kinds[i/5%len(kinds)]})
	}
	return m, engines
}

// The lease holder plans for all engines and may use a fifth of a core. With 2,922 engines a
// first layout takes 322 ms; dividing each chain separately and counting copies per engine takes
// 1,522 ms. A repair that changes nothing takes 18 to 26 ms; checking all engines for each chain
// takes 41 ms.
func BenchmarkManyEngines(b *testing.B) {
	for _, n := range []int{2922, 5844} {
		m, engines := manyEngines(n)
		b.Run(fmt.Sprint(n, " first layout"), func(b *testing.B) {
			for b.Loop() {
				Plan(m, engines)
			}
		})
		held := apply(engines, Plan(m, engines))
		held = apply(held, Repair(m, held))
		b.Run(fmt.Sprint(n, " repair"), func(b *testing.B) {
			for b.Loop() {
				Repair(m, held)
			}
		})
	}
}

// A first layout of thousands of engines uses nearly all of them, and further rounds change
// nothing.
func TestLayoutOfManyEnginesIsStable(t *testing.T) {
	m, engines := manyEngines(2922)
	held := apply(engines, Plan(m, engines))
	for range 3 {
		held = apply(held, Repair(m, held))
	}
	used := 0
	for _, e := range held {
		if e.Layers.Len() > 0 {
			used++
		}
	}
	if moves := Repair(m, held); len(moves) > 0 || used < len(engines)*95/100 {
		t.Fatalf("%d moves are left, the first %v; %d of %d engines hold layers", len(moves), moves[:min(1, len(moves))], used, len(engines))
	}
}
