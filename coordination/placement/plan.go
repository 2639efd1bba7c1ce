// Package placement decides which engine holds which layers of which model, and
// gives the orders.
//
// One daemon of each site holds the lease for it. In every round it looks at
// what the engines hold, plans at most a few changes and orders them under the
// lease's term. An order names the state wanted, so that giving it twice is
// harmless, and the next round reads back what the engines hold.
//
// Three rules, in this order:
//
//  1. A model that no chain covers gets the missing layers first, from engines
//     that hold nothing, else from the stage that has most to spare.
//  2. An engine that holds nothing is given to the slowest stage.
//  3. An engine moves from a stage with much to spare to the slowest stage, but
//     only if it has held its layers for a while and the gain is worth it.
//
// # Usage
//
//	p := placement.New(lease, engines, table, clock, models)
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
	Priority int // the highest among the accounts that use it
}

// Engine is an engine as the planner sees it.
type Engine struct {
	Name     string
	Model    string
	Version  string
	Layers   spanrill.LayerRange
	Slots    int
	Step     float64 // microseconds, base time of a batch step
	Token    float64 // microseconds, added time of a position and layer
	MemLayer int     // layers that fit
	Held     spanrill.Millis
	Busy     bool // loading, or an order is on its way
}

// rate returns the tokens a second of an engine that holds n layers.
func (e *Engine) rate(n int) float64 {
	if e.Slots == 0 || n == 0 {
		return 0
	}
	step := e.Step + e.Token*float64(n)*float64(e.Slots)
	return float64(e.Slots) * microsPerSecond / max(1, step)
}

const microsPerSecond = 1e6

func (e *Engine) holds(m *Model) bool {
	return e.Model == m.Name && e.Version == m.Version && e.Layers.Len() > 0
}

// Move is a change that the planner wants.
type Move struct {
	Engine string
	Model  Model
	Layers spanrill.LayerRange
	Why    string
}

// Limits bounds what one plan may change.
type Limits struct {
	Moves        int             // changes in one round: the weight store's reads are limited
	MinResidency spanrill.Millis // before an engine is taken from a stage that works
	Gain         float64         // factor by which the slowest stage must gain
}

// DefaultLimits are the limits of a placer that is given none.
var DefaultLimits = Limits{Moves: 2, MinResidency: 30 * spanrill.Second, Gain: 1.2}

// Plan returns the changes of one round, the most urgent first.
func Plan(models []Model, engines []Engine, limits Limits) []Move {
	p := &planner{engines: append([]Engine(nil), engines...), limits: limits}
	sort.Slice(models, func(i, k int) bool { return models[i].Priority > models[k].Priority })
	for i := range models {
		p.restore(&models[i])
	}
	for i := range models {
		p.spread(&models[i])
	}
	return p.moves
}

type planner struct {
	engines []Engine
	limits  Limits
	moves   []Move
}

func (p *planner) full() bool { return len(p.moves) >= p.limits.Moves }

// move notes a change, and lets the rest of the plan see it as made.
func (p *planner) move(e *Engine, m *Model, layers spanrill.LayerRange, why string) {
	p.moves = append(p.moves, Move{Engine: e.Name, Model: *m, Layers: layers, Why: why})
	e.Model, e.Version, e.Layers, e.Busy, e.Held = m.Name, m.Version, layers, true, 0
}

// restore gives a model that no chain covers its missing layers.
func (p *planner) restore(m *Model) {
	for !p.full() {
		gap, ok := p.gap(m)
		if !ok {
			return
		}
		e, layers := p.donor(m, gap)
		if e == nil {
			return
		}
		p.move(e, m, layers, "no engine holds these layers")
	}
}

// gap returns the first layers of a model that no chain covers.
func (p *planner) gap(m *Model) (spanrill.LayerRange, bool) {
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

// nextStart returns the first layer behind from at which an engine starts.
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

// donor returns the engine that can best be given for a gap, and the part of
// the gap that fits: an engine that holds nothing, else the one whose stage
// keeps the most without it.
func (p *planner) donor(m *Model, gap spanrill.LayerRange) (*Engine, spanrill.LayerRange) {
	var best *Engine
	var bestScore float64
	for i := range p.engines {
		e := &p.engines[i]
		if e.Busy || e.MemLayer == 0 {
			continue
		}
		score, ok := p.spare(e)
		if !ok {
			continue
		}
		score *= float64(min(e.MemLayer, gap.Len())) * e.rate(gap.Len())
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return nil, gap
	}
	return best, p.fit(m, best, gap)
}

// emptyBonus makes an engine that holds nothing the first choice.
const emptyBonus = 1e6

// spare says how well an engine can be missed where it is.
func (p *planner) spare(e *Engine) (float64, bool) {
	if e.Model == "" {
		return emptyBonus, true
	}
	rest := p.stageRate(e.Model, e.Version, e.Layers) - e.rate(e.Layers.Len())
	return rest, rest > 0
}

func (p *planner) stageRate(model, version string, layers spanrill.LayerRange) float64 {
	total := 0.0
	for i := range p.engines {
		e := &p.engines[i]
		if e.Model == model && e.Version == version && e.Layers == layers {
			total += e.rate(layers.Len())
		}
	}
	return total
}

// fit returns the part of a gap that an engine should take. A gap that is too
// large for one engine is split so that the slowest of those that can be had is
// as fast as it can be.
func (p *planner) fit(_ *Model, first *Engine, gap spanrill.LayerRange) spanrill.LayerRange {
	if first.MemLayer >= gap.Len() {
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
	return spanrill.LayerRange{From: gap.From, To: gap.From + first.MemLayer}
}

// stage is the engines that hold the same layers.
type stage struct {
	layers  spanrill.LayerRange
	rate    float64
	engines []*Engine
}

// stages returns a model's stages, the slowest first.
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
		s.rate += e.rate(e.Layers.Len())
		s.engines = append(s.engines, e)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].rate < all[k].rate })
	return all
}

// spread gives engines that hold nothing to the slowest stage, and evens out
// stages that differ too much.
func (p *planner) spread(m *Model) {
	for !p.full() {
		all := p.stages(m)
		if len(all) == 0 {
			return
		}
		slowest := all[0]
		if e := p.empty(slowest.layers.Len()); e != nil {
			p.move(e, m, slowest.layers, "engine held nothing")
			continue
		}
		e := p.surplus(all, slowest)
		if e == nil {
			return
		}
		p.move(e, m, slowest.layers, "stage is the slowest")
	}
}

func (p *planner) empty(layers int) *Engine {
	var best *Engine
	for i := range p.engines {
		e := &p.engines[i]
		if e.Model == "" && !e.Busy && e.MemLayer >= layers && (best == nil || e.rate(layers) > best.rate(layers)) {
			best = e
		}
	}
	return best
}

// surplus returns an engine whose move would speed up the slowest stage by
// enough, without making its own stage slower than that.
func (p *planner) surplus(all []*stage, slowest *stage) *Engine {
	fastest := all[len(all)-1]
	for _, e := range fastest.engines {
		if e.Busy || e.Held < p.limits.MinResidency || e.MemLayer < slowest.layers.Len() || fastest == slowest {
			continue
		}
		after := min(slowest.rate+e.rate(slowest.layers.Len()), fastest.rate-e.rate(e.Layers.Len()))
		if after > slowest.rate*p.limits.Gain {
			return e
		}
	}
	return nil
}
