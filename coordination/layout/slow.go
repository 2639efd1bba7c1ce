package layout

import "spanrill/coordination/chain"

// replaceSlow gives the layers of slow engines to free engines of their zone,
// if these can hold them with a good room. The slow engine keeps them: requests
// that run on it go on, and it is used again when it is well.
func (r *repair) replaceSlow(chains []*chain.Chain) {
	for _, c := range chains {
		if !c.Whole() {
			continue
		}
		for _, p := range c.Parts() {
			e := r.byID[p.ID]
			if !e.Slow || r.doubled(e) {
				continue
			}
			free := r.inZone(r.free(append(append([]candidate(nil), r.empty...), r.spare...)), e.Zone)
			for _, requests := range rooms[:goodRooms] {
				if r.fillWhole(free, c, e, requests) {
					break
				}
			}
		}
	}
}

// doubled reports whether another engine of the zone that is not slow holds, or
// will hold, all layers of a slow one.
func (r *repair) doubled(slow candidate) bool {
	for _, e := range r.byID {
		if e.ID != slow.ID && e.Zone == slow.Zone && !e.Slow && e.Layers.From <= slow.Layers.From && slow.Layers.To <= e.Layers.To {
			return true
		}
	}
	return false
}

// fillWhole gives the layers of a slow engine to one free engine.
func (r *repair) fillWhole(free []candidate, c *chain.Chain, slow candidate, requests float64) bool {
	ranked := r.ranked(free, c.Zone(), slow.Layers, requests)
	if len(ranked) == 0 || !r.fits(ranked[0], slow.Layers, requests) {
		return false
	}
	r.give(ranked[0], slow.Layers, "in place of a slow engine")
	return true
}
