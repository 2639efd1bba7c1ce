package layout

import (
	"spanrill"
	"spanrill/coordination/cost"
)

// planSpares assigns engines outside all chains layers that other engines hold, so
// that requests can continue there at once when such an engine is lost. free lists
// the engines that may be assigned, all every engine, and held what each engine will
// hold after the moves so far.
func planSpares(m *spanrill.EngineModel, free, all []candidate, held []Move) []Move {
	var moves []Move
	groups := newHoldings(all, held)
	for i, e := range free {
		if e.Changing || e.Layers.Len() > 0 || e.JustJoined {
			continue // a new engine often replaces one that is about to leave, and is kept for that
		}
		r, ok := bestSpareRange(m, e, groups, maxSpareLayers(m, exclude(free[i:], free[i:i+1])))
		if !ok {
			continue
		}
		move := Move{Engine: e.ID, Layers: r, Reason: "spare for the same layers of other engines"}
		moves = append(moves, move)
		groups.add(e, r)
	}
	return moves
}

// maxSpareLayers returns the most layers that any one of the engines can hold as a
// spare, and at least what the smallest kind can hold.
func maxSpareLayers(m *spanrill.EngineModel, engines []candidate) int {
	most := m.Layers
	for _, k := range m.Kinds {
		most = min(most, cost.MaxLayersWithTokens(m, k, spareRequests*cost.MeanTokens(m)))
	}
	for _, e := range engines {
		most = max(most, cost.MaxLayersWithTokens(m, e.kind, spareRequests*cost.MeanTokens(m)))
	}
	return most
}

// bestSpareRange returns the range that an engine should hold as a spare: the one that
// covers the most engines whose layers no other engine of their availability zone
// holds. All engines are equally likely to be lost, so several small ranges are worth
// more than a large one. The exception is a range that no other free engine can hold
// alone: losing it takes a chain out of service while several engines load.
//
// A request that continues at a spare takes memory only for the layers that it runs
// there, so one spare may hold the ranges of several engines. Those engines must be
// faster than the spare: package chain makes the fastest series of engines the chain,
// and the remaining ones spares.
func bestSpareRange(m *spanrill.EngineModel, e candidate, held *holdings, maxOtherLayers int) (spanrill.LayerRange, bool) {
	best, bestScore, found := spanrill.LayerRange{}, 0, false
	maxLayers := cost.MaxLayersWithTokens(m, e.kind, spareRequests*cost.MeanTokens(m))
	for _, from := range held.froms {
		for _, to := range held.tos {
			r := spanrill.LayerRange{From: from, To: to}
			if r.Len() <= 0 || r.Len() > maxLayers {
				continue
			}
			score, ok := coverScore(e, r, held, maxOtherLayers)
			if ok && (!found || score > bestScore) {
				best, bestScore, found = r, score, true
			}
		}
	}
	return best, found
}

// spareRequests is the number of usual requests through all of its layers for which a
// spare keeps memory. One that replaces a single engine has memory for a multiple.
const spareRequests = 56.0

// coverScore returns the value of an engine as a spare for a range, and whether it may
// hold that range. maxOtherLayers is the most layers that another free engine can hold.
func coverScore(e candidate, r spanrill.LayerRange, held *holdings, maxOtherLayers int) (score int, ok bool) {
	score = -r.Len()
	covered, slower := 0, true
	for _, h := range held.groups {
		if h.layers.Len() == 0 || h.layers.From < r.From || h.layers.To > r.To {
			continue
		}
		covered += h.engines
		slower = slower && e.kind.StepFactor >= h.pace
		score += h.engines * holdingScore(e, h, maxOtherLayers)
	}
	return score, covered <= 1 || slower
}

// holdingScore returns what covering one holder adds to the score of a spare.
func holdingScore(e candidate, h *holding, maxOtherLayers int) int {
	worth := baseHoldingScore
	if h.layers.Len() > maxOtherLayers && h.copies == 0 && h.zone == e.Zone {
		worth *= irreplaceableFactor
	}
	for range min(h.copies, maxCountedCopies) {
		worth /= copyDivisor
	}
	if h.zone != e.Zone {
		worth /= otherZoneDivisor
	}
	return worth
}

// Weights of coverScore: covering an engine without a copy outweighs covering several
// that have one, and engines of the same zone outweigh those of others. On a tie the
// smallest range wins, as it loads sooner and leaves more memory.
const (
	baseHoldingScore = 100000
	copyDivisor      = 10
	maxCountedCopies = 3
	otherZoneDivisor = 20
	// irreplaceableFactor weights a range that no free engine can hold alone by how much
	// longer its loss takes a chain out of service: 5 to 10 s, against 1 to 2 s for one load.
	irreplaceableFactor = 5
)
