package layout

import (
	"slices"
	"sort"

	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
)

// Repair returns the changes that a fleet needs which holds layers already.
func Repair(m *spanrill.EngineModel, engines []Engine) []Move {
	all := candidates(m, engines)
	r := &repair{model: m, byID: map[string]candidate{}, taken: map[string]bool{}}
	for _, e := range engines {
		if e.Lost {
			r.crashed = append(r.crashed, e)
		} else if e.Leaves {
			r.leaving = append(r.leaving, e)
		}
	}
	for _, e := range all {
		r.byID[e.ID] = e
		if e.Fixed {
			r.fixed = append(r.fixed, e)
		}
		if e.Layers.Len() == 0 && !e.Fixed && !e.Slow {
			r.empty = append(r.empty, e)
		}
	}
	chains, spares := chainsOf(m, all)
	if len(chains) == 0 {
		return Plan(m, candidateList(without(all, fixed(all))).engines())
	}
	r.spares(spares)
	r.fill(chains)
	r.replaceSlow(chains)
	r.bringHome(chains)
	r.relieve(chains)
	r.grow()
	return append(r.moves, duplicates(m, r.free(r.empty), all, r.held(all))...)
}

type candidateList []candidate

func (l candidateList) engines() []Engine {
	out := make([]Engine, len(l))
	for i, e := range l {
		out[i] = e.Engine
	}
	return out
}

func fixed(all []candidate) candidateList {
	var out candidateList
	for _, e := range all {
		if e.Fixed {
			out = append(out, e)
		}
	}
	return out
}

type repair struct {
	model *spanrill.EngineModel
	byID  map[string]candidate
	empty []candidate // hold nothing
	spare []candidate // hold layers that no chain needs
	fixed []candidate // are changing
	taken map[string]bool
	moves []Move

	outside []chain.Holder // belong to no chain
	leaving []Engine
	crashed []Engine
	cut     bool // requests are lost by the hole that the moves that follow fill
}

// lost reports whether requests on a chain are lost because of its holes: an engine
// that held a part of one has crashed. Engines that leave serve on what runs, and a
// hole that neither has left comes of chains that are read anew, while requests run
// on the paths of before.
func (r *repair) lost(c *chain.Chain) bool {
	for _, hole := range c.Holes() {
		if anyHolds(r.crashed, c.Zone(), hole) {
			return true
		}
	}
	return false
}

// mayCut reports whether an order may cut what runs on an engine: nothing does, as far
// as is known. What runs on the engines of a chain that has lost one may be on other
// paths, which chains that are read anew do not show, and its daemons move it away.
func (r *repair) mayCut(e candidate) bool { return r.cut && e.Tokens == 0 }

// anyHolds reports whether one of some engines is in a zone and holds layers of a
// hole.
func anyHolds(engines []Engine, zone string, hole spanrill.LayerRange) bool {
	for _, e := range engines {
		if e.Zone == zone && overlapsAny(e.Layers, []spanrill.LayerRange{hole}) {
			return true
		}
	}
	return false
}

func (r *repair) spares(holders []chain.Holder) {
	r.outside = holders
	for _, h := range holders {
		if e := r.byID[h.ID]; !e.Fixed && !e.Slow {
			r.spare = append(r.spare, e)
		}
	}
}

// give brings an engine to a range.
func (r *repair) give(e candidate, layers spanrill.LayerRange, why string) {
	r.taken[e.ID] = true
	if e.Layers == layers {
		return // it holds them: nothing to order
	}
	r.moves = append(r.moves, Move{Engine: e.ID, Layers: layers, Why: why, Cut: r.mayCut(e)})
}

// fill fills the holes of chains, those of the fullest chain first. Engines in
// the chain's own availability zone go first; see fillNear. While some of them
// are still changing, a chain waits for them. Only a chain that its zone cannot
// restore gets engines of other zones, and in the end the chain that misses most
// gives up its engines, if at least two chains have holes: one whole chain is
// worth more than two broken ones.
func (r *repair) fill(chains []*chain.Chain) {
	broken := brokenOf(chains)
	defer func() { r.cut = false }()
	for i, c := range broken {
		r.cut = r.lost(c)
		if r.fillNear(c) || r.changing(c) {
			continue
		}
		moves := len(r.moves)
		if !r.fillFar(c, i < len(broken)-1, broken[len(broken)-1]) {
			r.takeBack(moves) // a chain with another hole serves nobody
		}
	}
}

// fillFar fills all holes of a chain from any availability zone, and, if allowed,
// from the chain that misses most. It reports whether the chain is whole then.
func (r *repair) fillFar(c *chain.Chain, giveUp bool, worst *chain.Chain) bool {
	for _, hole := range c.Holes() {
		if r.bridged(hole) {
			continue
		}
		if r.fillFrom(r.free(r.empty), c, hole, leastRequests, "hole of a chain") || r.fillFrom(r.free(r.spare), c, hole, leastRequests, "hole of a chain, from a spare") {
			continue
		}
		if !giveUp || !r.fillFrom(r.free(r.partsOf(worst)), c, hole, leastRequests, "hole of a chain, from one that misses more") {
			return false
		}
	}
	return true
}

// bridged reports whether engines that belong to no chain hold a hole's layers,
// or are being brought to them. They may be of another availability zone, and
// then the chain is not read as whole: requests reach them by bridges.
func (r *repair) bridged(hole spanrill.LayerRange) bool {
	var ranges []spanrill.LayerRange
	for _, h := range r.outside {
		if !r.taken[h.ID] {
			ranges = append(ranges, h.Layers)
		}
	}
	for _, m := range r.moves {
		ranges = append(ranges, m.Layers)
	}
	return hole.CoveredBy(ranges)
}

// changing reports whether an engine of the chain is still changing, or one of
// its zone to layers that the chain misses. Changes to other chains of the zone
// say nothing of this one.
func (r *repair) changing(c *chain.Chain) bool {
	for _, p := range c.Parts() {
		if r.byID[p.ID].Fixed {
			return true
		}
	}
	zone, holes := c.Zone(), c.Holes()
	return slices.ContainsFunc(r.fixed, func(e candidate) bool { return e.Zone == zone && overlapsAny(e.Layers, holes) })
}

// changingIn reports whether any engine of a zone is changing.
func (r *repair) changingIn(zone string) bool {
	return slices.ContainsFunc(r.fixed, func(e candidate) bool { return e.Zone == zone })
}

func overlapsAny(layers spanrill.LayerRange, holes []spanrill.LayerRange) bool {
	for _, h := range holes {
		if layers.From < h.To && h.From < layers.To {
			return true
		}
	}
	return false
}

func brokenOf(chains []*chain.Chain) []*chain.Chain {
	var broken []*chain.Chain
	for _, c := range chains {
		if !c.Whole() {
			broken = append(broken, c)
		}
	}
	sort.SliceStable(broken, func(i, k int) bool { return broken[i].Covered() > broken[k].Covered() })
	return broken
}

func (r *repair) partsOf(c *chain.Chain) []candidate {
	var out []candidate
	for _, p := range c.Parts() {
		if e := r.byID[p.ID]; !e.Fixed {
			out = append(out, e)
		}
	}
	return out
}

// grow makes further chains from engines that no chain needs, inside one
// availability zone. What is left stays as spares.
func (r *repair) grow() {
	free := r.free(append(append([]candidate(nil), r.empty...), r.spare...))
	for _, zone := range zonesOf(free) {
		for _, requests := range rooms[:goodRooms] {
			c := take(r.model, free, requests*cost.Tokens(r.model), func(e *candidate) bool { return e.Zone == zone })
			if c == nil {
				continue
			}
			for i, part := range cut(r.model, c) {
				if part.Len() > 0 {
					r.give(c[i], part, "further chain")
				}
			}
			free = without(free, c)
			break
		}
	}
}

// held returns what the engines will hold after the moves so far.
func (r *repair) held(all []candidate) []Move {
	held := append([]Move(nil), r.moves...)
	for _, e := range all {
		if !r.taken[e.ID] && e.Layers.Len() > 0 {
			held = append(held, Move{Engine: e.ID, Layers: e.Layers})
		}
	}
	return held
}
