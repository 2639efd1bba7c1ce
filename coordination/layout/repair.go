package layout

import (
	"slices"
	"sort"

	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
)

// Repair returns the moves needed by a fleet that already holds layers. It plans a first
// layout if the engines form no chain.
func Repair(m *spanrill.EngineModel, engines []Engine) []Move {
	all := candidates(m, engines)
	r := &repair{model: m, byID: map[string]candidate{}, taken: map[string]bool{}}
	for _, e := range engines {
		if e.Crashed {
			r.crashed = append(r.crashed, e)
		} else if e.Leaving {
			r.leaving = append(r.leaving, e)
		}
	}
	for _, e := range all {
		r.byID[e.ID] = e
		if e.Changing {
			r.changing = append(r.changing, e)
		}
		if e.Layers.Len() == 0 && !e.Changing && !e.Slow {
			r.empty = append(r.empty, e)
		}
	}
	chains, spares := readChains(m, all)
	if len(chains) == 0 {
		return Plan(m, candidateList(exclude(all, changingOf(all))).engines())
	}
	r.addSpares(spares)
	r.repairChains(chains)
	r.replaceSlow(chains)
	r.consolidateZones(chains)
	r.relieveBottlenecks(chains)
	r.formFurtherChains()
	return append(r.moves, planSpares(m, r.available(r.empty), all, r.plannedHoldings(all))...)
}

type candidateList []candidate

func (l candidateList) engines() []Engine {
	out := make([]Engine, len(l))
	for i, e := range l {
		out[i] = e.Engine
	}
	return out
}

func changingOf(all []candidate) candidateList {
	var out candidateList
	for _, e := range all {
		if e.Changing {
			out = append(out, e)
		}
	}
	return out
}

// repair is the state of one call of Repair.
type repair struct {
	model    *spanrill.EngineModel
	byID     map[string]candidate
	empty    []candidate     // hold nothing and may be assigned
	spare    []candidate     // hold layers that no chain needs, and may be assigned
	changing []candidate     // have an order that is not done
	taken    map[string]bool // by engine id: assigned or reserved in this call
	moves    []Move

	unchained    []chain.Holder // belong to no chain
	leaving      []Engine
	crashed      []Engine
	requestsLost bool // the hole being filled has lost the requests that ran there
}

// hasLostRequests reports whether requests on a chain are lost because an engine that
// held a part of one of its holes has crashed. Leaving engines finish their running
// requests. A hole that no engine left behind appears when the chains are derived again,
// and running requests stay on their previous paths.
func (r *repair) hasLostRequests(c *chain.Chain) bool {
	for _, hole := range c.Holes() {
		if anyOverlapsInZone(r.crashed, c.Zone(), hole) {
			return true
		}
	}
	return false
}

// mayCut reports whether an order may break off requests on an engine: only if the hole
// has lost its requests anyway and none is known to run on the engine. Requests on engines
// of a broken chain may run on other paths, which the derived chains do not show, and the
// daemons of these requests move them away.
func (r *repair) mayCut(e candidate) bool { return r.requestsLost && e.Tokens == 0 }

// anyOverlapsInZone reports whether one of the engines is in the zone and holds layers of
// the hole.
func anyOverlapsInZone(engines []Engine, zone string, hole spanrill.LayerRange) bool {
	for _, e := range engines {
		if e.Zone == zone && overlapsAny(e.Layers, []spanrill.LayerRange{hole}) {
			return true
		}
	}
	return false
}

func (r *repair) addSpares(holders []chain.Holder) {
	r.unchained = holders
	for _, h := range holders {
		if e := r.byID[h.ID]; !e.Changing && !e.Slow {
			r.spare = append(r.spare, e)
		}
	}
}

// assign plans a move of an engine to a range, unless it holds that range already.
func (r *repair) assign(e candidate, layers spanrill.LayerRange, reason string) {
	r.taken[e.ID] = true
	if e.Layers == layers {
		return // nothing to order
	}
	r.moves = append(r.moves, Move{Engine: e.ID, Layers: layers, Reason: reason, Cut: r.mayCut(e)})
}

// repairChains fills the holes of chains, first of the one that misses the fewest layers.
// It prefers engines of the chain's own availability zone; see restoreFromZone. A chain
// waits while engines that concern it are still changing. Only a chain that its zone
// cannot restore gets engines of other zones. As a last resort the chain that misses
// the most layers gives up its engines, if at least two chains have holes: one complete
// chain serves more than two broken ones.
func (r *repair) repairChains(chains []*chain.Chain) {
	broken := brokenChains(chains)
	defer func() { r.requestsLost = false }()
	for i, c := range broken {
		r.requestsLost = r.hasLostRequests(c)
		if r.restoreFromZone(c) || r.chainChanging(c) {
			continue
		}
		movesBefore := len(r.moves)
		if !r.restoreFromAnyZone(c, i < len(broken)-1, broken[len(broken)-1]) {
			r.discardMovesFrom(movesBefore) // a chain with any hole left serves no requests
		}
	}
}

// restoreFromAnyZone fills all holes of a chain from any availability zone and, if
// takeFromWorst is set, from worst, the chain that misses the most layers. It reports
// whether the chain is complete then.
func (r *repair) restoreFromAnyZone(c *chain.Chain, takeFromWorst bool, worst *chain.Chain) bool {
	for _, hole := range c.Holes() {
		if r.coveredOutsideChains(hole) {
			continue
		}
		if r.fillHole(r.available(r.empty), c, hole, minChainRequests, "hole of a chain") || r.fillHole(r.available(r.spare), c, hole, minChainRequests, "hole of a chain, from a spare") {
			continue
		}
		if !takeFromWorst || !r.fillHole(r.available(r.movableParts(worst)), c, hole, minChainRequests, "hole of a chain, from one that misses more") {
			return false
		}
	}
	return true
}

// coveredOutsideChains reports whether engines that belong to no chain hold a hole's
// layers or are assigned to hold them. If they are in another availability zone, the
// chain is not derived as complete, but requests are routed through them.
func (r *repair) coveredOutsideChains(hole spanrill.LayerRange) bool {
	var ranges []spanrill.LayerRange
	for _, h := range r.unchained {
		if !r.taken[h.ID] {
			ranges = append(ranges, h.Layers)
		}
	}
	for _, m := range r.moves {
		ranges = append(ranges, m.Layers)
	}
	return hole.CoveredBy(ranges)
}

// chainChanging reports whether an engine of the chain is changing, or an engine of its
// zone is loading layers that the chain misses. Changes to other chains of the zone do
// not count.
func (r *repair) chainChanging(c *chain.Chain) bool {
	for _, p := range c.Parts() {
		if r.byID[p.ID].Changing {
			return true
		}
	}
	zone, holes := c.Zone(), c.Holes()
	return slices.ContainsFunc(r.changing, func(e candidate) bool { return e.Zone == zone && overlapsAny(e.Layers, holes) })
}

// zoneChanging reports whether any engine of a zone is changing.
func (r *repair) zoneChanging(zone string) bool {
	return slices.ContainsFunc(r.changing, func(e candidate) bool { return e.Zone == zone })
}

func overlapsAny(layers spanrill.LayerRange, holes []spanrill.LayerRange) bool {
	for _, h := range holes {
		if layers.From < h.To && h.From < layers.To {
			return true
		}
	}
	return false
}

func brokenChains(chains []*chain.Chain) []*chain.Chain {
	var broken []*chain.Chain
	for _, c := range chains {
		if !c.Complete() {
			broken = append(broken, c)
		}
	}
	sort.SliceStable(broken, func(i, k int) bool { return broken[i].Covered() > broken[k].Covered() })
	return broken
}

func (r *repair) movableParts(c *chain.Chain) []candidate {
	var out []candidate
	for _, p := range c.Parts() {
		if e := r.byID[p.ID]; !e.Changing {
			out = append(out, e)
		}
	}
	return out
}

// formFurtherChains forms additional chains, each inside one availability zone, from
// engines that no chain needs. The remaining engines stay spares.
func (r *repair) formFurtherChains() {
	free := r.available(append(append([]candidate(nil), r.empty...), r.spare...))
	for _, zone := range zonesOf(free) {
		for _, requests := range requestCapacities[:sufficientCapacities] {
			c := selectChain(r.model, free, requests*cost.MeanTokens(r.model), func(e *candidate) bool { return e.Zone == zone })
			if c == nil {
				continue
			}
			for i, part := range divideModel(r.model, c) {
				if part.Len() > 0 {
					r.assign(c[i], part, "further chain")
				}
			}
			free = exclude(free, c)
			break
		}
	}
}

// plannedHoldings returns what the engines will hold after the moves so far.
func (r *repair) plannedHoldings(all []candidate) []Move {
	held := append([]Move(nil), r.moves...)
	for _, e := range all {
		if !r.taken[e.ID] && e.Layers.Len() > 0 {
			held = append(held, Move{Engine: e.ID, Layers: e.Layers})
		}
	}
	return held
}
