package chain

import "slices"

// The value of a series: layers count, and each change of the availability zone
// costs as much as a few of them. A hole is bridged by two changes of zone, and
// a series that takes its engines from two chains breaks both.
const (
	layerValue    = 1e6
	crossingValue = 4 * layerValue
)

// paceValue weighs the pace. Paces differ by tenths.
const paceValue = 10

// valueOf is what a holder adds to a series. The pace is worth less than a layer,
// even over all layers of a model.
func valueOf(h *Holder) int {
	return h.Layers.Len() * (layerValue - int(paceValue*h.Pace))
}

// best returns the series of the highest value among holders in order, and its value. It
// returns nil if there is no holder.
func best(layers int, holders []*Holder) (c *Chain, value int) {
	before := make([]int, len(holders))
	ends := endings{layers: layers}
	last := -1
	var seen alike
	for i, h := range holders {
		if seen.has(h) {
			continue
		}
		zone := ends.zone(h.Zone)
		v, b := ends.longest(h, zone)
		before[i] = b
		ends.zones[zone].add(h.Layers.To, v, i)
		if last < 0 || v > value {
			last, value = i, v
		}
	}
	if last < 0 {
		return nil, 0
	}
	return seriesOf(layers, holders, last, before), value
}

// alike is the holders of the same layers that were met last. One that has also the pace and
// the availability zone of an earlier one adds nothing: of equal ones the first counts.
type alike []*Holder

// has reports whether a holder like that was met, and notes it if not.
func (a *alike) has(h *Holder) bool {
	if len(*a) > 0 && (*a)[0].Layers != h.Layers {
		*a = (*a)[:0]
	}
	for _, o := range *a {
		if o.Pace == h.Pace && o.Zone == h.Zone {
			return true
		}
	}
	*a = append(*a, h)
	return false
}

func seriesOf(layers int, holders []*Holder, last int, before []int) *Chain {
	c := &Chain{layers: layers}
	for i := last; i >= 0; i = before[i] {
		c.parts = append(c.parts, *holders[i])
	}
	slices.Reverse(c.parts)
	return c
}

// endings is the best series so far, by the availability zone in which they end.
type endings struct {
	layers int
	names  []string
	zones  []ending
}

// zone returns the place of an availability zone. There are few.
func (e *endings) zone(name string) int {
	at := slices.Index(e.names, name)
	if at >= 0 {
		return at
	}
	e.names = append(e.names, name)
	e.zones = append(e.zones, newEnding(e.layers))
	return len(e.names) - 1
}

// longest returns the value of the best series that ends with a holder, and the place of
// the holder before it, or -1. Of equal ones the first counts.
func (e *endings) longest(h *Holder, zone int) (value, before int) {
	own := valueOf(h)
	value, before = own, -1
	for i, z := range e.zones {
		last := z[h.Layers.From]
		if last.place < 0 {
			continue
		}
		v := last.value + own
		if i != zone {
			v -= crossingValue
		}
		if v > value || v == value && before >= 0 && last.place < before {
			value, before = v, last.place
		}
	}
	return value, before
}

// ending is the best series of one availability zone by the layer at which they end, or
// before it, so that a holder is not compared with all before it.
type ending []lastPart

// lastPart is the place of a series' last holder, and the value of the series.
type lastPart struct{ value, place int }

func newEnding(layers int) ending {
	e := make(ending, layers+1)
	for i := range e {
		e[i].place = -1
	}
	return e
}

// add takes a series that ends at a layer.
func (e ending) add(layer, value, place int) {
	for i := layer; i < len(e) && (e[i].place < 0 || value > e[i].value); i++ {
		e[i] = lastPart{value, place}
	}
}
