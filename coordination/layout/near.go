package layout

import (
	"sort"

	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
)

// fillNear restores a chain by engines of its own zone. Free engines go first,
// as long as they keep a good room, since nothing that runs is touched; then the
// chain itself, whose engines move closer together; and then either with less
// room, from the most.
func (r *repair) fillNear(c *chain.Chain) bool {
	for _, requests := range rooms[:goodRooms] {
		if r.fillHoles(c, requests) {
			return true
		}
	}
	closing := !r.changing(c)
	for _, requests := range rooms[:goodRooms] {
		if closing && r.closeUp(c, requests) {
			return true
		}
	}
	for _, requests := range rooms[goodRooms:] {
		if r.fillHoles(c, requests) || closing && r.closeUp(c, requests) {
			return true
		}
	}
	return false
}

// fillHoles fills all holes of a chain from free engines of its zone that keep
// memory for that many requests, or none of them.
func (r *repair) fillHoles(c *chain.Chain, requests float64) bool {
	moves := len(r.moves)
	for _, hole := range c.Holes() {
		empty, spare := r.inZone(r.free(r.empty), c.Zone()), r.inZone(r.free(r.spare), c.Zone())
		if r.fillFrom(empty, c, hole, requests, "hole of a chain") || r.fillFrom(spare, c, hole, requests, "hole of a chain, from a spare") ||
			r.fillFrom(append(empty, spare...), c, hole, requests, "hole of a chain, from several") {
			continue
		}
		r.takeBack(moves)
		return false
	}
	return true
}

// takeBack forgets the moves behind the first n.
func (r *repair) takeBack(n int) {
	for _, m := range r.moves[n:] {
		delete(r.taken, m.Engine)
	}
	r.moves = r.moves[:n]
}

// closeUp divides all layers anew among a chain's engines and free engines of
// its zone, which go where the hole is. Requests that run are not disturbed:
// layers that are given up wait for them.
func (r *repair) closeUp(c *chain.Chain, requests float64) bool {
	hole := c.Holes()[0]
	var parts []candidate
	added := false
	add := func() {
		if !added {
			parts = append(parts, r.inZone(r.free(r.empty), c.Zone())...)
			parts = append(parts, r.inZone(r.free(r.spare), c.Zone())...)
			added = true
		}
	}
	for _, p := range c.Parts() {
		if p.Layers.From >= hole.To {
			add()
		}
		parts = append(parts, r.byID[p.ID])
	}
	add()
	ranges := closeUp(r.model, parts, requests)
	if ranges == nil {
		return false
	}
	for i, part := range ranges {
		if part.Len() > 0 && part != parts[i].Layers {
			r.give(parts[i], part, "chain closes up around a hole")
		}
	}
	return true
}

func (r *repair) free(from []candidate) []candidate {
	var out []candidate
	for _, e := range from {
		if !r.taken[e.ID] {
			out = append(out, e)
		}
	}
	return out
}

func (r *repair) inZone(from []candidate, zone string) []candidate {
	var out []candidate
	for _, e := range from {
		if e.Zone == zone {
			out = append(out, e)
		}
	}
	return out
}

// fillFrom fills a hole with one engine, or with several if none can hold it
// beside memory for that many requests.
func (r *repair) fillFrom(from []candidate, c *chain.Chain, hole spanrill.LayerRange, requests float64, why string) bool {
	free := r.ranked(from, c.Zone(), hole, requests)
	if len(free) == 0 {
		return false
	}
	if r.fits(free[0], hole, requests) {
		r.give(free[0], hole, why)
		return true
	}
	var group []candidate
	for _, e := range free {
		group = append(group, e)
		if ranges := divide(r.model, group, hole); ranges != nil && r.roomy(group, ranges, requests) {
			for i, part := range ranges {
				if part.Len() > 0 {
					r.give(group[i], part, why)
				}
			}
			return true
		}
	}
	return false
}

// fits reports whether an engine can hold a range beside memory for that many
// requests.
func (r *repair) fits(e candidate, layers spanrill.LayerRange, requests float64) bool {
	return cost.Most(r.model, e.kind, requests*cost.Tokens(r.model)) >= layers.Len()
}

// roomy reports whether engines keep memory for that many requests.
func (r *repair) roomy(group []candidate, ranges []spanrill.LayerRange, requests float64) bool {
	for i, e := range group {
		if n := ranges[i].Len(); n > 0 && cost.Capacity(r.model, e.kind, n) < requests*cost.Tokens(r.model) {
			return false
		}
	}
	return true
}

// ranked returns engines, the best for a hole first: those
// that can hold it whole, then the same availability zone, then the tightest
// fit, so that large engines stay for large holes.
func (r *repair) ranked(from []candidate, zone string, hole spanrill.LayerRange, requests float64) []candidate {
	free := append([]candidate(nil), from...)
	tokens := requests * cost.Tokens(r.model)
	score := func(e candidate) int {
		n := cost.Most(r.model, e.kind, tokens)
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
	sort.SliceStable(free, func(i, k int) bool { return score(free[i]) > score(free[k]) })
	return free
}

// Weights of ranked, in layers.
const (
	wholeBonus = 10000
	zoneBonus  = 100
)
