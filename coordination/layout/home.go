package layout

import (
	"sort"

	"spanrill/coordination/chain"
)

// bringHome forms a chain inside one availability zone where engines of the zone
// serve chains over several, which the pipes between zones bound. It does so only
// in calm: when every chain is whole and nothing is changing.
func (r *repair) bringHome(chains []*chain.Chain) {
	if len(r.moves) > 0 || r.anyFixed() || len(brokenOf(chains)) > 0 {
		return
	}
	atHome := map[string]bool{} // engines of chains inside one zone
	for _, c := range chains {
		if !crosses(c) {
			for _, p := range c.Parts() {
				atHome[p.ID] = true
			}
		}
	}
	for _, c := range chains {
		if crosses(c) && r.formIn(c.Zone(), atHome) {
			return
		}
	}
}

func (r *repair) anyFixed() bool {
	for _, e := range r.byID {
		if e.Fixed {
			return true
		}
	}
	return false
}

// crosses reports whether a chain has engines of several availability zones.
func crosses(c *chain.Chain) bool {
	for _, p := range c.Parts() {
		if p.Zone != c.Parts()[0].Zone {
			return true
		}
	}
	return false
}

// formIn divides the model among all engines of a zone that belong to no chain
// inside it, in the order of what they hold.
func (r *repair) formIn(zone string, taken map[string]bool) bool {
	var parts []candidate
	for _, e := range r.byID {
		if e.Zone == zone && !taken[e.ID] && !e.Slow {
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
	for _, requests := range rooms[:goodRooms] {
		ranges := closeUp(r.model, parts, requests)
		if ranges == nil {
			continue
		}
		for i, layers := range ranges {
			if layers.Len() > 0 {
				r.give(parts[i], layers, "chain comes back into its zone")
			}
		}
		return true
	}
	return false
}
