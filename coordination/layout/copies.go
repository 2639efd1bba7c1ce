package layout

import (
	"spanrill"
	"spanrill/coordination/cost"
)

// duplicates gives engines that belong to no chain layers that other engines hold,
// so that a request can go on there at once when one of these is lost. Free are
// those that may be given a range, all and held the engines and what they will hold.
func duplicates(m *spanrill.EngineModel, free, all []candidate, held []Move) []Move {
	var moves []Move
	groups := newHoldings(all, held)
	for i, e := range free {
		if e.Fixed || e.Layers.Len() > 0 || e.Joined {
			continue // one that has just joined often takes the place of one that is about to leave
		}
		r, ok := worthCopying(m, e, groups, mostLayers(m, without(free[i:], free[i:i+1])))
		if !ok {
			continue
		}
		move := Move{Engine: e.ID, Layers: r, Why: "spare for the same layers of other engines"}
		moves = append(moves, move)
		groups.add(e, r)
	}
	return moves
}

// mostLayers is the most layers that one of some engines can hold as a spare, and at
// least what the smallest kind can.
func mostLayers(m *spanrill.EngineModel, engines []candidate) int {
	most := m.Layers
	for _, k := range m.Kinds {
		most = min(most, cost.Most(m, k, copyRequests*cost.Tokens(m)))
	}
	for _, e := range engines {
		most = max(most, cost.Most(m, e.kind, copyRequests*cost.Tokens(m)))
	}
	return most
}

// worthCopying returns the range that an engine should hold as a spare: the one
// that covers the most engines whose layers nobody else of their availability zone
// holds. Every engine is as likely to be lost as any other, so that several small
// ranges are worth more than a large one, but for one that no other free engine can
// hold alone: its loss takes a chain away for as long as several engines load.
//
// A request that goes on at a spare takes memory only for the layers that it runs
// there, so that the spare may hold the ranges of several engines. These have to be
// faster: package chain reads the fastest series as the chain, and what is left as
// spares.
func worthCopying(m *spanrill.EngineModel, e candidate, held *holdings, others int) (spanrill.LayerRange, bool) {
	best, bestScore, found := spanrill.LayerRange{}, 0, false
	fits := cost.Most(m, e.kind, copyRequests*cost.Tokens(m))
	for _, from := range held.froms {
		for _, to := range held.tos {
			r := spanrill.LayerRange{From: from, To: to}
			if r.Len() <= 0 || r.Len() > fits {
				continue
			}
			score, ok := coverScore(e, r, held, others)
			if ok && (!found || score > bestScore) {
				best, bestScore, found = r, score, true
			}
		}
	}
	return best, found
}

// copyRequests is for how many usual requests a spare keeps memory that run through
// all of its layers. One that stands in for a single engine has room for a multiple.
const copyRequests = 56.0

// coverScore is what an engine is worth as a spare for a range, and whether it may
// hold it. Others is the most layers that another free engine can hold.
func coverScore(e candidate, r spanrill.LayerRange, held *holdings, others int) (score int, ok bool) {
	score = -r.Len()
	covered, slower := 0, true
	for _, h := range held.groups {
		if h.layers.Len() == 0 || h.layers.From < r.From || h.layers.To > r.To {
			continue
		}
		covered += h.engines
		slower = slower && e.kind.Pace >= h.pace
		score += h.engines * coverWorthOf(e, h, others)
	}
	return score, covered <= 1 || slower
}

// coverWorthOf is what covering one holder adds to the score of a spare.
func coverWorthOf(e candidate, h *holding, others int) int {
	worth := coverWorth
	if h.layers.Len() > others && h.copies == 0 && h.zone == e.Zone {
		worth *= scarceFactor
	}
	for range min(h.copies, mostCopies) {
		worth /= copyDivisor
	}
	if h.zone != e.Zone {
		worth /= otherZoneDivisor
	}
	return worth
}

// Weights of coverScore: an engine that has no copy goes before several that have
// one, engines of the same zone before those of others, and, where all else is
// equal, the fewest layers, which load sooner and leave more room.
const (
	coverWorth       = 100000
	copyDivisor      = 10
	mostCopies       = 3
	otherZoneDivisor = 20
	// scarceFactor is by how much longer a chain is away that has lost a range which
	// no free engine can hold alone: 5 to 10 s, against 1 to 2 s for one load.
	scarceFactor = 5
)
