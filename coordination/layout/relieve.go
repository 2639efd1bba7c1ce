package layout

import (
	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
)

// relieveBottlenecks gives complete chains more memory where one of their engines has
// little. It takes two steps, neither of which interrupts requests: a free engine of the
// zone loads a part of that engine's layers, and then the engine drops them.
func (r *repair) relieveBottlenecks(chains []*chain.Chain) {
	for _, c := range chains {
		if !c.Complete() || r.zoneChanging(c.Zone()) {
			continue
		}
		tight, capacity := r.tightest(c)
		if capacity >= requestCapacities[0]*cost.MeanTokens(r.model) || r.taken[tight.ID] {
			continue
		}
		if !r.shrinkToSpare(tight, c.Zone()) {
			r.loadSpareFor(tight, capacity, c.Zone())
		}
	}
}

// tightest returns the engine of a chain with memory for the fewest tokens.
func (r *repair) tightest(c *chain.Chain) (tight candidate, capacity float64) {
	for i, p := range c.Parts() {
		e := r.byID[p.ID]
		if n := cost.Capacity(r.model, e.kind, e.Layers.Len()); i == 0 || n < capacity {
			tight, capacity = e, n
		}
	}
	return tight, capacity
}

// shrinkToSpare makes the tight engine drop the layers at one end of its range if a spare
// of the zone holds just these and has memory for at least as many tokens. It reports
// whether there is such a spare.
func (r *repair) shrinkToSpare(tight candidate, zone string) bool {
	for _, e := range r.inZone(r.available(r.spare), zone) {
		remaining, ok := trimEnd(tight.Layers, e.Layers)
		if !ok || cost.Capacity(r.model, e.kind, e.Layers.Len()) < cost.Capacity(r.model, tight.kind, tight.Layers.Len()) {
			continue
		}
		r.taken[e.ID] = true
		r.assign(tight, remaining, "part of its layers is held by a spare")
		return true
	}
	return false
}

// trimEnd returns what remains of a range without a part at one of its ends. It returns
// false if part is empty, not shorter than the range, or at neither end.
func trimEnd(whole, part spanrill.LayerRange) (spanrill.LayerRange, bool) {
	switch {
	case part.Len() == 0 || part.Len() >= whole.Len():
		return whole, false
	case part.From == whole.From:
		return spanrill.LayerRange{From: part.To, To: whole.To}, true
	case part.To == whole.To:
		return spanrill.LayerRange{From: whole.From, To: part.From}, true
	}
	return whole, false
}

// minReliefGain is the least factor by which the number of tokens that fit must grow to
// justify loading a part of the tight engine's layers elsewhere.
const minReliefGain = 1.25

// loadSpareFor has a free engine of the zone load the upper part of the tight engine's
// range.
func (r *repair) loadSpareFor(tight candidate, capacity float64, zone string) {
	free := r.inZone(r.available(append(append([]candidate(nil), r.empty...), r.spare...)), zone)
	for _, e := range free {
		pair := []candidate{tight, e}
		ranges := divide(r.model, pair, tight.Layers)
		if ranges == nil || ranges[0].Len() == 0 || ranges[1].Len() == 0 {
			continue
		}
		after := min(cost.Capacity(r.model, tight.kind, ranges[0].Len()), cost.Capacity(r.model, e.kind, ranges[1].Len()))
		if after >= capacity*minReliefGain {
			r.assign(e, ranges[1], "spare for a part of the tightest engine")
			return
		}
	}
}
