// Package placement decides which engine of a site holds which layers of which model,
// and orders the engines to load them.
//
// One daemon of each site holds the lease for it. In every round it reads what the
// engines hold, plans a few changes at most and sends orders for them under the term
// of the lease. An order names the desired state, so sending it twice is harmless,
// and the next round reads back what the engines hold.
//
// Plan applies three rules, in this order:
//
//  1. Layers of a model that no chain covers are loaded first, by engines that hold
//     nothing, else by an engine of the stage that keeps the highest rate without it.
//  2. An engine that holds nothing is assigned to the slowest stage.
//  3. An engine moves from a fast stage to the slowest one, but only if it has held
//     its layers for some time and the gain is large enough.
//
// # Usage
//
//	p := placement.New(lease, engines, table, clock, site)
//	err := p.Run(ctx)
package placement

import (
	"sort"

	"spanrill"
)

// Model is a model that a site must serve.
type Model struct {
	Name     string
	Version  string
	Layers   int
	Priority int // highest priority of the client accounts that use it
}

// Engine is the state of an engine that Plan works from.
type Engine struct {
	Name        string
	Model       string
	Version     string
	Layers      spanrill.LayerRange
	Slots       int
	StepMicros  float64         // base time of a batch step
	TokenMicros float64         // additional time per batch position and layer
	MaxLayers   int             // layers that fit into its memory
	HeldFor     spanrill.Millis // time since its layers last changed
	Busy        bool            // loading, or an order is in flight
}

// tokenRate returns the tokens per second of an engine that holds n layers.
func (e *Engine) tokenRate(n int) float64 {
	if e.Slots == 0 || n == 0 {
		return 0
	}
	step := e.StepMicros + e.TokenMicros*float64(n)*float64(e.Slots)
	return float64(e.Slots) * microsPerSecond / max(1, step)
}

const microsPerSecond = 1e6

func (e *Engine) holds(m *Model) bool {
	return e.Model == m.Name && e.Version == m.Version && e.Layers.Len() > 0
}

// Move assigns layers of a model to an engine.
type Move struct {
	Engine string
	Model  Model
	Layers spanrill.LayerRange
	Reason string
}

// Limits bounds what one plan may change.
type Limits struct {
	MaxMoves     int             // per round, because reads from the weight store are limited
	MinResidency spanrill.Millis // how long an engine must have held its layers to join a slower stage
	MinGain      float64         // factor by which such a move must speed up the slowest stage
}

// DefaultLimits are the limits of a placer without WithLimits.
var DefaultLimits = Limits{MaxMoves: 2, MinResidency: 30 * spanrill.Second, MinGain: 1.2}

// Plan returns the moves of one round, the most urgent first.
func Plan(models []Model, engines []Engine, limits Limits) []Move {
	p := &planner{engines: append([]Engine(nil), engines...), limits: limits}
	sort.Slice(models, func(i, k int) bool { return models[i].Priority > models[k].Priority })
	for i := range models {
		p.coverGaps(&models[i])
	}
	for i := range models {
		p.balance(&models[i])
	}
	return p.moves
}

// planner is the state of one call of Plan.
type planner struct {
	engines []Engine // as they will be after the moves
	limits  Limits
	moves   []Move
}

func (p *planner) atMoveLimit() bool { return len(p.moves) >= p.limits.MaxMoves }

// addMove adds a move and changes the engine, so that the rest of the plan takes it into
// account.
func (p *planner) addMove(e *Engine, m *Model, layers spanrill.LayerRange, reason string) {
	p.moves = append(p.moves, Move{Engine: e.Name, Model: *m, Layers: layers, Reason: reason})
	e.Model, e.Version, e.Layers, e.Busy, e.HeldFor = m.Name, m.Version, layers, true, 0
}

// coverGaps adds moves for the layers of a model that no chain covers.
func (p *planner) coverGaps(m *Model) {
	for !p.atMoveLimit() {
		gap, ok := p.firstGap(m)
		if !ok {
			return
		}
		e, layers := p.bestForGap(m, gap)
		if e == nil {
			return
		}
		p.addMove(e, m, layers, "no engine holds these layers")
	}
}

// firstGap returns the first range of a model that no chain covers.
func (p *planner) firstGap(m *Model) (spanrill.LayerRange, bool) {
	reached := 0
	for reached < m.Layers {
		next := reached
		for i := range p.engines {
			e := &p.engines[i]
			if e.holds(m) && e.Layers.From == reached {
				next = max(next, e.Layers.To)
			}
		}
		if next == reached {
			return spanrill.LayerRange{From: reached, To: p.nextStart(m, reached)}, true
		}
		reached = next
	}
	return spanrill.LayerRange{}, false
}

// nextStart returns the first layer after from at which the range of an engine starts.
func (p *planner) nextStart(m *Model, from int) int {
	next := m.Layers
	for i := range p.engines {
		e := &p.engines[i]
		if e.holds(m) && e.Layers.From > from {
			next = min(next, e.Layers.From)
		}
	}
	return next
}

// bestForGap returns the best engine to load a gap, or nil if none can, and the part of the
// gap that it should hold. It prefers engines that hold nothing, then those whose stage
// stays fastest without them, and weights both by the engine's speed and by how much of
// the gap fits.
func (p *planner) bestForGap(m *Model, gap spanrill.LayerRange) (*Engine, spanrill.LayerRange) {
	var best *Engine
	var bestScore float64
	for i := range p.engines {
		e := &p.engines[i]
		if e.Busy || e.MaxLayers == 0 {
			continue
		}
		score, ok := p.spareScore(e)
		if !ok {
			continue
		}
		score *= float64(min(e.MaxLayers, gap.Len())) * e.tokenRate(gap.Len())
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return nil, gap
	}
	return best, p.partFor(m, best, gap)
}

// emptyEngineScore is the spareScore of an engine that holds nothing, above all others.
const emptyEngineScore = 1e6

// spareScore returns the tokens per second that the stage of an engine keeps without it, and
// whether the engine can be spared.
func (p *planner) spareScore(e *Engine) (float64, bool) {
	if e.Model == "" {
		return emptyEngineScore, true
	}
	remaining := p.stageRate(e.Model, e.Version, e.Layers) - e.tokenRate(e.Layers.Len())
	return remaining, remaining > 0
}

func (p *planner) stageRate(model, version string, layers spanrill.LayerRange) float64 {
	total := 0.0
	for i := range p.engines {
		e := &p.engines[i]
		if e.Model == model && e.Version == version && e.Layers == layers {
			total += e.tokenRate(layers.Len())
		}
	}
	return total
}

// partFor returns the part of a gap that the first engine should take. A gap too large
// for it is split among it and the engines that hold nothing, so that the slowest of
// them is as fast as possible.
func (p *planner) partFor(_ *Model, first *Engine, gap spanrill.LayerRange) spanrill.LayerRange {
	if first.MaxLayers >= gap.Len() {
		return gap
	}
	group := []Engine{*first}
	for i := range p.engines {
		e := &p.engines[i]
		if e.Name != first.Name && e.Model == "" && !e.Busy {
			group = append(group, *e)
		}
	}
	if ranges := Split(gap, group); ranges != nil && ranges[0].Len() > 0 {
		return ranges[0]
	}
	return spanrill.LayerRange{From: gap.From, To: gap.From + first.MaxLayers}
}

// stage is a group of engines that hold the same layers.
type stage struct {
	layers  spanrill.LayerRange
	rate    float64 // tokens per second of all its engines
	engines []*Engine
}

// stages returns the stages of a model, slowest first.
func (p *planner) stages(m *Model) []*stage {
	byRange := map[spanrill.LayerRange]*stage{}
	var all []*stage
	for i := range p.engines {
		e := &p.engines[i]
		if !e.holds(m) {
			continue
		}
		s := byRange[e.Layers]
		if s == nil {
			s = &stage{layers: e.Layers}
			byRange[e.Layers] = s
			all = append(all, s)
		}
		s.rate += e.tokenRate(e.Layers.Len())
		s.engines = append(s.engines, e)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].rate < all[k].rate })
	return all
}

// balance assigns engines that hold nothing to the slowest stage, and then moves engines
// from the fastest stage to it while that gains enough.
func (p *planner) balance(m *Model) {
	for !p.atMoveLimit() {
		stages := p.stages(m)
		if len(stages) == 0 {
			return
		}
		slowest := stages[0]
		if e := p.fastestEmpty(slowest.layers.Len()); e != nil {
			p.addMove(e, m, slowest.layers, "engine held nothing")
			continue
		}
		e := p.surplusEngine(stages, slowest)
		if e == nil {
			return
		}
		p.addMove(e, m, slowest.layers, "stage is the slowest")
	}
}

// fastestEmpty returns the fastest engine that holds nothing and can hold so many layers, or
// nil if there is none.
func (p *planner) fastestEmpty(layers int) *Engine {
	var best *Engine
	for i := range p.engines {
		e := &p.engines[i]
		if e.Model == "" && !e.Busy && e.MaxLayers >= layers && (best == nil || e.tokenRate(layers) > best.tokenRate(layers)) {
			best = e
		}
	}
	return best
}

// surplusEngine returns an engine of the fastest stage whose move to the slowest one leaves
// both faster than the slowest is now, by more than the factor MinGain. It returns nil if
// there is none.
func (p *planner) surplusEngine(stages []*stage, slowest *stage) *Engine {
	fastest := stages[len(stages)-1]
	for _, e := range fastest.engines {
		if e.Busy || e.HeldFor < p.limits.MinResidency || e.MaxLayers < slowest.layers.Len() || fastest == slowest {
			continue
		}
		after := min(slowest.rate+e.tokenRate(slowest.layers.Len()), fastest.rate-e.tokenRate(e.Layers.Len()))
		if after > slowest.rate*p.limits.MinGain {
			return e
		}
	}
	return nil
}
