package layout

import (
	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
)

// relieve gives whole chains more room where their tightest engine has little,
// in two steps that interrupt nothing: a free engine of the zone first loads a
// part of the tight engine's layers, and then the tight one gives these up.
func (r *repair) relieve(chains []*chain.Chain) {
	for _, c := range chains {
		if !c.Whole() || r.changingIn(c.Zone()) {
			continue
		}
		tight, capacity := r.tightest(c)
		if capacity >= rooms[0]*cost.Tokens(r.model) || r.taken[tight.ID] {
			continue
		}
		if !r.handOver(tight, c.Zone()) {
			r.prepare(tight, capacity, c.Zone())
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

// handOver lets the tight engine give up what a spare of the zone holds at one
// end of its range.
func (r *repair) handOver(tight candidate, zone string) bool {
	for _, e := range r.inZone(r.free(r.spare), zone) {
		rest, ok := cutOff(tight.Layers, e.Layers)
		if !ok || cost.Capacity(r.model, e.kind, e.Layers.Len()) < cost.Capacity(r.model, tight.kind, tight.Layers.Len()) {
			continue
		}
		r.taken[e.ID] = true
		r.give(tight, rest, "part of its layers is held by a spare")
		return true
	}
	return false
}

// cutOff returns what is left of a range when a part at one of its ends is
// taken away, or false if part is not such a part.
func cutOff(whole, part spanrill.LayerRange) (spanrill.LayerRange, bool) {
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

// reliefGain is how many times the room of the tight engine must grow for a
// load to be worth it.
const reliefGain = 1.25

// prepare has a free engine of the zone load the upper part of the tight
// engine's range.
func (r *repair) prepare(tight candidate, capacity float64, zone string) {
	free := r.inZone(r.free(append(append([]candidate(nil), r.empty...), r.spare...)), zone)
	for _, e := range free {
		pair := []candidate{tight, e}
		ranges := divide(r.model, pair, tight.Layers)
		if ranges == nil || ranges[0].Len() == 0 || ranges[1].Len() == 0 {
			continue
		}
		room := min(cost.Capacity(r.model, tight.kind, ranges[0].Len()), cost.Capacity(r.model, e.kind, ranges[1].Len()))
		if room >= capacity*reliefGain {
			r.give(e, ranges[1], "spare for a part of the tightest engine")
			return
		}
	}
}
