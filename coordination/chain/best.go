package chain

import "slices"

// The value of a series grows with its layers and falls by crossingCost for each crossing between
// availability zones. Filling a hole from another zone takes two crossings, and a series that
// takes engines from two chains breaks both.
const (
	layerValue   = 1e6
	crossingCost = 4 * layerValue
)

// paceWeight is what a unit of pace takes off the value of a layer. At 10, paces that differ by a
// tenth give different values.
const paceWeight = 10

// holderValue returns what a holder adds to the value of a series. Pace weighs less than one layer,
// even over all layers of a model, so that it only decides between series that cover as much.
func holderValue(h *Holder) int {
	return h.Layers.Len() * (layerValue - int(paceWeight*h.Pace))
}

// bestChain returns the series of the highest value among holders in the order of compareHolders,
// and its value. It returns nil if there is no holder.
func bestChain(layers int, holders []*Holder) (c *Chain, value int) {
	previous := make([]int, len(holders))
	series := seriesByZone{layers: layers}
	last := -1
	var recent recentHolders
	for i, h := range holders {
		if recent.containsOrAdd(h) {
			continue
		}
		zone := series.zoneIndex(h.Zone)
		seriesValue, before := series.bestEndingWith(h, zone)
		previous[i] = before
		series.zones[zone].record(h.Layers.To, seriesValue, i)
		if last < 0 || seriesValue > value {
			last, value = i, seriesValue
		}
	}
	if last < 0 {
		return nil, 0
	}
	return buildChain(layers, holders, last, previous), value
}

// recentHolders holds the holders of the current layer range that bestChain has considered. Of
// holders that also share pace and availability zone, it considers only the first, because the
// others cannot improve a series.
type recentHolders []*Holder

// containsOrAdd reports whether an equivalent holder was considered, and adds the holder if not.
func (r *recentHolders) containsOrAdd(h *Holder) bool {
	if len(*r) > 0 && (*r)[0].Layers != h.Layers {
		*r = (*r)[:0]
	}
	for _, o := range *r {
		if o.Pace == h.Pace && o.Zone == h.Zone {
			return true
		}
	}
	*r = append(*r, h)
	return false
}

// buildChain returns the series that ends with the holder at index last, by following previous.
func buildChain(layers int, holders []*Holder, last int, previous []int) *Chain {
	c := &Chain{layers: layers}
	for i := last; i >= 0; i = previous[i] {
		c.parts = append(c.parts, *holders[i])
	}
	slices.Reverse(c.parts)
	return c
}

// seriesByZone holds the best series so far, by the availability zone of their last holder.
type seriesByZone struct {
	layers int
	names  []string
	zones  []seriesByEnd
}

// zoneIndex returns the index of an availability zone, and adds the zone if it is new. There are few
// zones, so a linear search is fast enough.
func (s *seriesByZone) zoneIndex(name string) int {
	index := slices.Index(s.names, name)
	if index >= 0 {
		return index
	}
	s.names = append(s.names, name)
	s.zones = append(s.zones, newSeriesByEnd(s.layers))
	return len(s.names) - 1
}

// bestEndingWith returns the value of the best series that ends with a holder, and the index of
// the holder before it, or -1 if there is none. zone is the index of the holder's availability
// zone. Of series of equal value, it takes the one whose previous holder has the lowest index.
func (s *seriesByZone) bestEndingWith(h *Holder, zone int) (value, previous int) {
	added := holderValue(h)
	value, previous = added, -1
	for i, z := range s.zones {
		end := z[h.Layers.From]
		if end.index < 0 {
			continue
		}
		v := end.value + added
		if i != zone {
			v -= crossingCost
		}
		if v > value || v == value && previous >= 0 && end.index < previous {
			value, previous = v, end.index
		}
	}
	return value, previous
}

// seriesByEnd holds, by layer, the best series that ends in one availability zone at that layer or
// before it. It saves comparing each holder with all holders before it.
type seriesByEnd []seriesEnd

// seriesEnd is the value of a series and the index of its last holder.
type seriesEnd struct{ value, index int }

func newSeriesByEnd(layers int) seriesByEnd {
	s := make(seriesByEnd, layers+1)
	for i := range s {
		s[i].index = -1
	}
	return s
}

// record stores a series that ends at a layer where it is better than those recorded before.
func (s seriesByEnd) record(layer, value, index int) {
	for i := layer; i < len(s) && (s[i].index < 0 || value > s[i].value); i++ {
		s[i] = seriesEnd{value, index}
	}
}
