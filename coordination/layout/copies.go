package layout

import (
	"spanrill"
	"spanrill/coordination/cost"
)

// duplicates gives engines that belong to no chain layers that other engines hold,
// so that a request can go on there at once when one of these is lost.
func duplicates(m *spanrill.EngineModel, all []candidate, used map[string]bool, held []Move, zones map[string]string) []Move {
	var moves []Move
	for _, e := range all {
		if used[e.ID] || e.Fixed || e.Layers.Len() > 0 {
			continue
		}
		r, ok := worthCopying(m, e, held, zones)
		if !ok {
			continue
		}
		move := Move{Engine: e.ID, Layers: r, Why: "spare for the same layers of other engines"}
		moves, held = append(moves, move), append(held, move)
	}
	return moves
}

// worthCopying returns the range that an engine should hold as a spare: the one
// that covers the most engines whose layers nobody else of their availability zone
// holds. Every engine is as likely to be lost as any other, so that several small
// ranges are worth more than a large one. A request that goes on at a spare takes
// memory only for the layers that it runs there, so that the spare may hold the
// ranges of several engines.
func worthCopying(m *spanrill.EngineModel, e candidate, held []Move, zones map[string]string) (spanrill.LayerRange, bool) {
	best, bestScore, found := spanrill.LayerRange{}, 0, false
	fits := cost.Most(m, e.kind, copyRequests*cost.Tokens(m))
	counts := make([]int, len(held))
	for i, h := range held {
		counts[i] = copiesOf(h, held, zones)
	}
	for _, first := range held {
		from := first.Layers.From
		for _, last := range held {
			r := spanrill.LayerRange{From: from, To: last.Layers.To}
			if r.Len() <= 0 || r.Len() > fits || first.Layers.Len() == 0 {
				continue
			}
			if score := coverScore(e, r, held, counts, zones); !found || score > bestScore {
				best, bestScore, found = r, score, true
			}
		}
	}
	return best, found
}

// copyRequests is for how many usual requests a spare keeps memory that run through
// all of its layers. One that stands in for a single engine has room for a multiple.
const copyRequests = 56.0

// coverScore is what an engine is worth as a spare for a range.
func coverScore(e candidate, r spanrill.LayerRange, held []Move, counts []int, zones map[string]string) int {
	score := -r.Len()
	for i, h := range held {
		if h.Layers.Len() == 0 || h.Layers.From < r.From || h.Layers.To > r.To {
			continue
		}
		worth := coverWorth
		for range min(counts[i], mostCopies) {
			worth /= copyDivisor
		}
		if zones[h.Engine] != e.Zone {
			worth /= otherZoneDivisor
		}
		score += worth
	}
	return score
}

// Weights of coverScore: an engine that has no copy goes before several that have
// one, engines of the same zone before those of others, and, where all else is
// equal, the fewest layers, which load sooner and leave more room.
const (
	coverWorth       = 100000
	copyDivisor      = 10
	mostCopies       = 3
	otherZoneDivisor = 4
)

// copiesOf counts the other engines in the availability zone of a holder that hold
// its whole range. Those of other zones do not count: each hop between zones takes
// a part of a pipe that all share.
func copiesOf(h Move, held []Move, zones map[string]string) int {
	n := 0
	for _, o := range held {
		if o.Engine != h.Engine && zones[o.Engine] == zones[h.Engine] && o.Layers.From <= h.Layers.From && o.Layers.To >= h.Layers.To {
			n++
		}
	}
	return n
}

func zoneByID(all []candidate) map[string]string {
	zones := make(map[string]string, len(all))
	for _, e := range all {
		zones[e.ID] = e.Zone
	}
	return zones
}
