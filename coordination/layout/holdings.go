package layout

import (
	"slices"

	"spanrill"
)

// holdings is what engines will hold, in groups of engines that hold the same: thousands of
// engines hold some hundred ranges.
type holdings struct {
	groups []*holding
	byKey  map[holdingKey]*holding
	froms  []int // first layers, in the order in which they were met
	tos    []int // last layers, the same
}

// holding is a range that some engines of an availability zone will hold.
type holding struct {
	holdingKey
	engines int
	copies  int // other engines of the zone that hold the whole range, for each of them
}

type holdingKey struct {
	zone   string
	layers spanrill.LayerRange
	pace   float64
}

// newHoldings returns what engines will hold after some moves.
func newHoldings(all []candidate, held []Move) *holdings {
	byID := make(map[string]candidate, len(all))
	for _, e := range all {
		byID[e.ID] = e
	}
	h := &holdings{byKey: map[holdingKey]*holding{}}
	for _, m := range held {
		h.put(byID[m.Engine], m.Layers)
	}
	for zone := range h.zones() {
		h.count(zone)
	}
	return h
}

// add adds a range that an engine will hold too.
func (h *holdings) add(e candidate, layers spanrill.LayerRange) {
	h.put(e, layers)
	h.count(e.Zone)
}

func (h *holdings) put(e candidate, layers spanrill.LayerRange) {
	if layers.Len() > 0 && !slices.Contains(h.froms, layers.From) {
		h.froms = append(h.froms, layers.From)
	}
	if !slices.Contains(h.tos, layers.To) {
		h.tos = append(h.tos, layers.To)
	}
	key := holdingKey{zone: e.Zone, layers: layers, pace: e.kind.Pace}
	g := h.byKey[key]
	if g == nil {
		g = &holding{holdingKey: key}
		h.byKey[key] = g
		h.groups = append(h.groups, g)
	}
	g.engines++
}

func (h *holdings) zones() map[string]bool {
	zones := map[string]bool{}
	for _, g := range h.groups {
		zones[g.zone] = true
	}
	return zones
}

// count counts the copies of all that is held in an availability zone.
func (h *holdings) count(zone string) {
	for _, g := range h.groups {
		if g.zone == zone {
			g.copies = h.copiesOf(g)
		}
	}
}

// copiesOf counts the other engines in the availability zone of a holder that hold
// its whole range; several that hold it together count as one. Those of other zones
// do not count: each hop between zones takes a part of a pipe that all share.
func (h *holdings) copiesOf(of *holding) int {
	n := 0
	var others []spanrill.LayerRange
	for _, o := range h.groups {
		engines := o.engines
		if o == of {
			engines--
		}
		if o.zone != of.zone || engines == 0 {
			continue
		}
		others = append(others, o.layers)
		if o.layers.From <= of.layers.From && o.layers.To >= of.layers.To {
			n += engines
		}
	}
	if n == 0 && of.layers.CoveredBy(others) {
		n = 1
	}
	return n
}
