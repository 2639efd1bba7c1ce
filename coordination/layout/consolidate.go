package layout

import (
	"sort"

	"spanrill/coordination/chain"
)

// consolidateZones forms a chain inside one availability zone from engines that serve
// chains over several zones: the pipes between zones limit the rate of those. It does so
// only when every chain is complete and no engine is changing.
func (r *repair) consolidateZones(chains []*chain.Chain) {
	if len(r.moves) > 0 || r.anyChanging() || len(brokenChains(chains)) > 0 {
		return
	}
	inOneZone := map[string]bool{} // engines of chains inside one zone
	for _, c := range chains {
		if !spansZones(c) {
			for _, p := range c.Parts() {
				inOneZone[p.ID] = true
			}
		}
	}
	for _, c := range chains {
		if spansZones(c) && r.formChainInZone(c.Zone(), inOneZone) {
			return
		}
	}
}

func (r *repair) anyChanging() bool {
	for _, e := range r.byID {
		if e.Changing {
			return true
		}
	}
	return false
}

// spansZones reports whether a chain has engines of several availability zones.
func spansZones(c *chain.Chain) bool {
	for _, p := range c.Parts() {
		if p.Zone != c.Parts()[0].Zone {
			return true
		}
	}
	return false
}

// formChainInZone divides the model among all engines of a zone that are neither slow nor
// in inOneZone, in the order of the layers that they hold. It returns false if they have
// too little memory.
func (r *repair) formChainInZone(zone string, inOneZone map[string]bool) bool {
	var parts []candidate
	for _, e := range r.byID {
		if e.Zone == zone && !inOneZone[e.ID] && !e.Slow {
			parts = append(parts, e)
		}
	}
	sort.Slice(parts, func(i, k int) bool {
		a, b := parts[i], parts[k]
		if a.Layers.From != b.Layers.From {
			return a.Layers.From < b.Layers.From
		}
		return a.ID < b.ID
	})
	for _, requests := range requestCapacities[:sufficientCapacities] {
		ranges := redistribute(r.model, parts, requests)
		if ranges == nil {
			continue
		}
		for i, layers := range ranges {
			if layers.Len() > 0 {
				r.assign(parts[i], layers, "chain moves back into one zone")
			}
		}
		return true
	}
	return false
}
