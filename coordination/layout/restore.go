package layout

import (
	"sort"

	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
)

// restoreFromZone restores a chain with engines of its own zone, and reports whether the
// chain is complete then. It prefers free engines while they keep sufficient memory, since
// that affects no running request; then it redistributes the layers of the chain itself;
// then it tries both with less memory, in descending order.
func (r *repair) restoreFromZone(c *chain.Chain) bool {
	for _, requests := range requestCapacities[:sufficientCapacities] {
		if r.fillHoles(c, requests) {
			return true
		}
	}
	mayRedistribute := !r.chainChanging(c)
	for _, requests := range requestCapacities[:sufficientCapacities] {
		if mayRedistribute && r.redistributeChain(c, requests) {
			return true
		}
	}
	for _, requests := range requestCapacities[sufficientCapacities:] {
		if r.fillHoles(c, requests) || mayRedistribute && r.redistributeChain(c, requests) {
			return true
		}
	}
	return false
}

// fillHoles fills all holes of a chain, or none, from free engines of its zone that
// keep memory for the given number of requests.
func (r *repair) fillHoles(c *chain.Chain, requests float64) bool {
	movesBefore := len(r.moves)
	for _, hole := range c.Holes() {
		empty, spare := r.inZone(r.available(r.empty), c.Zone()), r.inZone(r.available(r.spare), c.Zone())
		if r.fillHole(empty, c, hole, requests, "hole of a chain") || r.fillHole(spare, c, hole, requests, "hole of a chain, from a spare") ||
			r.fillHole(append(empty, spare...), c, hole, requests, "hole of a chain, from several") {
			continue
		}
		r.discardMovesFrom(movesBefore)
		return false
	}
	return true
}

// discardMovesFrom discards all moves but the first n, and makes their engines available
// again.
func (r *repair) discardMovesFrom(n int) {
	for _, m := range r.moves[n:] {
		delete(r.taken, m.Engine)
	}
	r.moves = r.moves[:n]
}

// redistributeChain redistributes all layers among the engines of a chain and free engines
// of its zone, which are inserted at its first hole. It returns false if they have too
// little memory. Running requests are not disturbed: an engine drops layers only after the
// requests on them have ended.
func (r *repair) redistributeChain(c *chain.Chain, requests float64) bool {
	hole := c.Holes()[0]
	var parts []candidate
	freeAdded := false
	addFree := func() {
		if !freeAdded {
			parts = append(parts, r.inZone(r.available(r.empty), c.Zone())...)
			parts = append(parts, r.inZone(r.available(r.spare), c.Zone())...)
			freeAdded = true
		}
	}
	for _, p := range c.Parts() {
		if p.Layers.From >= hole.To {
			addFree()
		}
		parts = append(parts, r.byID[p.ID])
	}
	addFree()
	ranges := redistribute(r.model, parts, requests)
	if ranges == nil {
		return false
	}
	for i, part := range ranges {
		if part.Len() > 0 && part != parts[i].Layers {
			r.assign(parts[i], part, "layers redistributed around a hole")
		}
	}
	return true
}

func (r *repair) available(engines []candidate) []candidate {
	var out []candidate
	for _, e := range engines {
		if !r.taken[e.ID] {
			out = append(out, e)
		}
	}
	return out
}

func (r *repair) inZone(engines []candidate, zone string) []candidate {
	var out []candidate
	for _, e := range engines {
		if e.Zone == zone {
			out = append(out, e)
		}
	}
	return out
}

// fillHole fills a hole with one of the engines, or with several if none can hold it
// beside memory for the given number of requests. It returns false if they cannot fill it
// together.
func (r *repair) fillHole(engines []candidate, c *chain.Chain, hole spanrill.LayerRange, requests float64, reason string) bool {
	ranked := r.rankForHole(engines, c.Zone(), hole, requests)
	if len(ranked) == 0 {
		return false
	}
	if r.fits(ranked[0], hole, requests) {
		r.assign(ranked[0], hole, reason)
		return true
	}
	var group []candidate
	for _, e := range ranked {
		group = append(group, e)
		if ranges := divide(r.model, group, hole); ranges != nil && r.allFit(group, ranges, requests) {
			for i, part := range ranges {
				if part.Len() > 0 {
					r.assign(group[i], part, reason)
				}
			}
			return true
		}
	}
	return false
}

// fits reports whether an engine can hold a range beside memory for the given
// number of requests.
func (r *repair) fits(e candidate, layers spanrill.LayerRange, requests float64) bool {
	return cost.MaxLayersWithTokens(r.model, e.kind, requests*cost.MeanTokens(r.model)) >= layers.Len()
}

// allFit reports whether all engines of a group keep memory for the given number of
// requests beside their ranges.
func (r *repair) allFit(group []candidate, ranges []spanrill.LayerRange, requests float64) bool {
	for i, e := range group {
		if n := ranges[i].Len(); n > 0 && cost.Capacity(r.model, e.kind, n) < requests*cost.MeanTokens(r.model) {
			return false
		}
	}
	return true
}

// rankForHole returns engines in order of preference for a hole: engines that can
// hold it whole, then engines of the same availability zone, then the closest fit,
// so that large engines are kept for large holes.
func (r *repair) rankForHole(engines []candidate, zone string, hole spanrill.LayerRange, requests float64) []candidate {
	ranked := append([]candidate(nil), engines...)
	tokens := requests * cost.MeanTokens(r.model)
	score := func(e candidate) int {
		n := cost.MaxLayersWithTokens(r.model, e.kind, tokens)
		s := 0
		if n >= hole.Len() {
			s += wholeBonus - (n - hole.Len())
		} else {
			s += n
		}
		if e.Zone == zone {
			s += zoneBonus
		}
		return s
	}
	sort.SliceStable(ranked, func(i, k int) bool { return score(ranked[i]) > score(ranked[k]) })
	return ranked
}

// Weights of rankForHole, in layers. A whole fit outweighs the zone.
const (
	wholeBonus = 10000
	zoneBonus  = 100
)
