package layout

import (
	"slices"

	"spanrill"
)

// holdings describes what the engines will hold, grouped by availability zone, range and
// pace: thousands of engines hold only some hundred different ranges.
type holdings struct {
	groups []*holding
	byKey  map[holdingKey]*holding
	froms  []int // distinct first layers, in order of appearance
	tos    []int // distinct ends of ranges, in order of appearance
}

// holding is a range that some engines of an availability zone will hold.
type holding struct {
	holdingKey
	engines int // number of engines that will hold it
	copies  int // for each of them, how many other engines of the zone hold the whole range
}

type holdingKey struct {
	zone   string
	layers spanrill.LayerRange
	pace   float64 // step factor of the kind: higher is slower
}

// newHoldings returns what the engines will hold after the given moves.
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
		h.updateCopies(zone)
	}
	return h
}

// add records a further range that an engine will hold.
func (h *holdings) add(e candidate, layers spanrill.LayerRange) {
	h.put(e, layers)
	h.updateCopies(e.Zone)
}

// put counts an engine in the group of its range. It leaves the copies to updateCopies.
func (h *holdings) put(e candidate, layers spanrill.LayerRange) {
	if layers.Len() > 0 && !slices.Contains(h.froms, layers.From) {
		h.froms = append(h.froms, layers.From)
	}
	if !slices.Contains(h.tos, layers.To) {
		h.tos = append(h.tos, layers.To)
	}
	key := holdingKey{zone: e.Zone, layers: layers, pace: e.kind.StepFactor}
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

// updateCopies counts the copies of every range held in an availability zone.
func (h *holdings) updateCopies(zone string) {
	for _, g := range h.groups {
		if g.zone == zone {
			g.copies = h.countCopies(g)
		}
	}
}

// countCopies returns how many other engines in the availability zone of a holding hold
// its whole range, or 1 if they cover it only together. Engines of other zones do not
// count: every hop between zones uses the pipe that all chains share.
func (h *holdings) countCopies(target *holding) int {
	n := 0
	var others []spanrill.LayerRange
	for _, o := range h.groups {
		engines := o.engines
		if o == target {
			engines--
		}
		if o.zone != target.zone || engines == 0 {
			continue
		}
		others = append(others, o.layers)
		if o.layers.From <= target.layers.From && o.layers.To >= target.layers.To {
			n += engines
		}
	}
	if n == 0 && target.layers.CoveredBy(others) {
		n = 1
	}
	return n
}
