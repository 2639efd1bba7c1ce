package layout

import (
	"spanrill"
	"spanrill/coordination/cost"
)

// planSpares returns moves that give engines outside all chains a copy of layers that
// other engines hold, so that when one of these others is lost, its requests can continue
// on the copy at once. free lists the engines that may be assigned, all lists every engine,
// and held has a move for each range that an engine will hold before these moves.
func planSpares(m *spanrill.EngineModel, free, all []candidate, held []Move) []Move {
	var moves []Move
	planned := newHoldings(all, held)
	for i, e := range free {
		if e.Changing || e.Layers.Len() > 0 || e.JustJoined {
			continue // a new engine is kept for a hole: it often replaces one that is about to leave
		}
		r, ok := bestSpareRange(m, e, planned, maxSpareLayers(m, exclude(free[i:], free[i:i+1])))
		if !ok {
			continue
		}
		move := Move{Engine: e.ID, Layers: r, Reason: "spare for the same layers of other engines"}
		moves = append(moves, move)
		planned.add(e, r)
	}
	return moves
}

// maxSpareLayers returns the most layers that any one of the engines can hold as a
// spare, and at least what the smallest kind can hold.
func maxSpareLayers(m *spanrill.EngineModel, engines []candidate) int {
	most := m.Layers
	for _, kind := range m.Kinds {
		most = min(most, cost.MaxLayersWithTokens(m, kind, spareRequests*cost.MeanTokens(m)))
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
// there, so one spare may hold the ranges of several engines. Those engines must be at
// least as fast as the spare: package chain makes the fastest series of engines the
// chain, and the remaining ones spares.
func bestSpareRange(m *spanrill.EngineModel, e candidate, planned *holdings, maxOtherLayers int) (spanrill.LayerRange, bool) {
	best, bestScore, found := spanrill.LayerRange{}, 0, false
	maxLayers := cost.MaxLayersWithTokens(m, e.kind, spareRequests*cost.MeanTokens(m))
	for _, from := range planned.froms {
		for _, to := range planned.tos {
			r := spanrill.LayerRange{From: from, To: to}
			if r.Len() <= 0 || r.Len() > maxLayers {
				continue
			}
			score, ok := coverScore(e, r, planned, maxOtherLayers)
			if ok && (!found || score > bestScore) {
				best, bestScore, found = r, score, true
			}
		}
	}
	return best, found
}

// spareRequests is the number of usual requests for which a spare keeps memory if each
// runs through all of its layers. A spare that replaces only one of the engines that it
// covers has memory for several times as many.
const spareRequests = 56.0

// coverScore returns the value of an engine as a spare for a range, and whether it may
// hold that range: to cover several engines it must be no faster than any of them.
// maxOtherLayers is the most layers that another free engine can hold.
func coverScore(e candidate, r spanrill.LayerRange, planned *holdings, maxOtherLayers int) (score int, ok bool) {
	score = -r.Len()
	covered, noFaster := 0, true
	for _, h := range planned.groups {
		if h.layers.Len() == 0 || h.layers.From < r.From || h.layers.To > r.To {
			continue
		}
		covered += h.engines
		noFaster = noFaster && e.kind.StepFactor >= h.pace
		score += h.engines * holdingScore(e, h, maxOtherLayers)
	}
	return score, covered <= 1 || noFaster
}

// holdingScore returns what covering one engine of a holding adds to the score of a spare.
func holdingScore(e candidate, h *holding, maxOtherLayers int) int {
	score := baseHoldingScore
	if h.layers.Len() > maxOtherLayers && h.copies == 0 && h.zone == e.Zone {
		score *= irreplaceableFactor
	}
	for range min(h.copies, maxCountedCopies) {
		score /= copyDivisor
	}
	if h.zone != e.Zone {
		score /= otherZoneDivisor
	}
	return score
}

// Weights of holdingScore: covering an engine without a copy outweighs covering several
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
