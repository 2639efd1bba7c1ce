package layout

import (
	"spanrill"
	"spanrill/coordination/chain"
)

// replaceSlow assigns the layers of slow engines to free engines of their zone that
// can hold them and keep sufficient memory. The slow engine keeps its layers: requests
// running on it continue, and it is used again when it has recovered.
func (r *repair) replaceSlow(chains []*chain.Chain) {
	for _, c := range chains {
		if !c.Complete() {
			continue
		}
		for _, p := range c.Parts() {
			if e := r.byID[p.ID]; e.Slow && !r.hasReplacement(e) {
				r.replace(c, e)
			}
		}
	}
}

// hasReplacement reports whether other engines of the zone, which are not slow, hold the
// layers of a slow one or have been ordered to.
func (r *repair) hasReplacement(slow candidate) bool {
	var others []spanrill.LayerRange
	for _, e := range r.byID {
		if e.ID != slow.ID && e.Zone == slow.Zone && !e.Slow {
			others = append(others, e.Layers)
		}
	}
	return slow.Layers.CoveredBy(others)
}

// replace assigns the layers of a slow engine to free engines of its zone.
func (r *repair) replace(c *chain.Chain, slow candidate) {
	free := r.inZone(r.available(append(append([]candidate(nil), r.empty...), r.spare...)), slow.Zone)
	for _, requests := range requestCapacities[:sufficientCapacities] {
		if r.fillHole(free, c, slow.Layers, requests, "in place of a slow engine") {
			return
		}
	}
}
