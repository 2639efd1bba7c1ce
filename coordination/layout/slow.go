package layout

import (
	"spanrill"
	"spanrill/coordination/chain"
)

// replaceSlow gives the layers of slow engines to free engines of their zone,
// if these can hold them with a good room. The slow engine keeps them: requests
// that run on it go on, and it is used again when it is well.
func (r *repair) replaceSlow(chains []*chain.Chain) {
	for _, c := range chains {
		if !c.Whole() {
			continue
		}
		for _, p := range c.Parts() {
			if e := r.byID[p.ID]; e.Slow && !r.doubled(e) {
				r.replace(c, e)
			}
		}
	}
}

// doubled reports whether other engines of the zone that are not slow hold, or
// will hold, the layers of a slow one.
func (r *repair) doubled(slow candidate) bool {
	var others []spanrill.LayerRange
	for _, e := range r.byID {
		if e.ID != slow.ID && e.Zone == slow.Zone && !e.Slow {
			others = append(others, e.Layers)
		}
	}
	return slow.Layers.CoveredBy(others)
}

// replace gives the layers of a slow engine to free engines.
func (r *repair) replace(c *chain.Chain, slow candidate) {
	free := r.inZone(r.free(append(append([]candidate(nil), r.empty...), r.spare...)), slow.Zone)
	for _, requests := range rooms[:goodRooms] {
		if r.fillFrom(free, c, slow.Layers, requests, "in place of a slow engine") {
			return
		}
	}
}
