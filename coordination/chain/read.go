package chain

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"
)

// minShare is the part of the layers, as one in minShare, below which a series
// of holders is taken for spares and not for a chain with holes. A chain with holes
// is read in one availability zone: spares of several hold as many layers together.
const minShare = 2

// Read returns the chains of a model with that many layers, whole ones first,
// and the holders that belong to none.
func Read(layers int, holders []Holder) (chains []*Chain, spares []Holder) {
	return NewReader(layers).Read(holders)
}

// Reader reads the chains of a model again and again. It keeps the whole chains of each
// availability zone until a holder of that zone changes: of 2,922 engines one changes at a
// time, and the others need not be read again. It is not safe for use by several goroutines.
type Reader struct {
	layers int
	zones  map[string]*zoneChains
}

// zoneChains is the whole chains inside one availability zone.
type zoneChains struct {
	given  []Holder // in the order in which they were given
	chains []*Chain
	left   []*Holder // in order, of given
}

// NewReader returns a reader of a model with that many layers.
func NewReader(layers int) *Reader { return &Reader{layers: layers, zones: map[string]*zoneChains{}} }

// Read returns the chains, whole ones first, and the holders that belong to none.
func (r *Reader) Read(holders []Holder) (chains []*Chain, spares []Holder) {
	chains, left := r.inZones(r.byZone(holders))
	over, left := whole(r.layers, left)
	chains = append(chains, over...)
	broken, left := r.broken(left)
	chains = append(chains, broken...)
	sort.SliceStable(chains, func(i, k int) bool { return chains[i].Covered() > chains[k].Covered() })
	for _, h := range left {
		spares = append(spares, *h)
	}
	return chains, spares
}

// byZone returns the holders of a range of the model by their availability zone.
func (r *Reader) byZone(holders []Holder) map[string][]*Holder {
	zones := map[string][]*Holder{}
	for i := range holders {
		h := &holders[i]
		if h.Layers.Len() > 0 && h.Layers.From >= 0 && h.Layers.To <= r.layers {
			zones[h.Zone] = append(zones[h.Zone], h)
		}
	}
	return zones
}

// inZones returns the whole chains that lie inside an availability zone, and what is left,
// in order.
func (r *Reader) inZones(zones map[string][]*Holder) (chains []*Chain, left []*Holder) {
	maps.DeleteFunc(r.zones, func(zone string, _ *zoneChains) bool { return zones[zone] == nil })
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		z := r.zones[zone]
		if z == nil || !slices.EqualFunc(z.given, zones[zone], func(a Holder, b *Holder) bool { return a == *b }) {
			z = readZone(r.layers, zones[zone])
			r.zones[zone] = z
		}
		chains = append(chains, z.chains...)
		left = append(left, z.left...)
	}
	slices.SortFunc(left, compare)
	return chains, left
}

func readZone(layers int, holders []*Holder) *zoneChains {
	z := &zoneChains{given: make([]Holder, len(holders))}
	sorted := make([]*Holder, len(holders))
	for i, h := range holders {
		z.given[i] = *h
		sorted[i] = &z.given[i]
	}
	slices.SortFunc(sorted, compare)
	z.chains, z.left = whole(layers, sorted)
	return z
}

// whole takes whole chains out of holders until there are none.
func whole(layers int, from []*Holder) (chains []*Chain, left []*Holder) {
	left = from
	for {
		c, _ := best(layers, left)
		if c == nil || !c.Whole() {
			return chains, left
		}
		chains, left = append(chains, c), without(left, c)
	}
}

// broken returns the chains with holes, each of one availability zone, the one that covers
// most first.
func (r *Reader) broken(from []*Holder) (chains []*Chain, left []*Holder) {
	zones, found := map[string][]*Holder{}, map[string]series{}
	for _, h := range from {
		zones[h.Zone] = append(zones[h.Zone], h)
	}
	for zone, holders := range zones {
		found[zone] = bestOf(r.layers, holders)
	}
	for {
		zone := fullest(found)
		s := found[zone]
		if s.chain == nil || s.chain.Covered() < max(1, r.layers/minShare) {
			break
		}
		chains = append(chains, s.chain)
		zones[zone] = without(zones[zone], s.chain)
		found[zone] = bestOf(r.layers, zones[zone])
	}
	for _, holders := range zones {
		left = append(left, holders...)
	}
	slices.SortFunc(left, compare)
	return chains, left
}

// series is the best series of some holders.
type series struct {
	chain *Chain // nil if there is no holder
	value int
}

func bestOf(layers int, holders []*Holder) series {
	c, value := best(layers, holders)
	return series{chain: c, value: value}
}

// fullest returns the availability zone with the best series. Of equal ones the one whose
// last holder comes first in order counts.
func fullest(found map[string]series) string {
	zone := ""
	for name, s := range found {
		if s.chain == nil {
			continue
		}
		first := found[zone]
		if first.chain == nil || s.value > first.value || s.value == first.value && compare(s.chain.last(), first.chain.last()) < 0 {
			zone = name
		}
	}
	return zone
}

func (c *Chain) last() *Holder { return &c.parts[len(c.parts)-1] }

// without returns the holders that are no part of a chain, in the same order.
func without(from []*Holder, c *Chain) []*Holder {
	left := make([]*Holder, 0, len(from)-len(c.parts))
	next := 0
	for _, h := range from {
		if next < len(c.parts) && h.ID == c.parts[next].ID {
			next++
			continue
		}
		left = append(left, h)
	}
	return left
}

// compare orders holders by their layers; of equal ones the most used is first.
func compare(a, b *Holder) int {
	return cmp.Or(
		cmp.Compare(a.Layers.From, b.Layers.From),
		cmp.Compare(a.Layers.To, b.Layers.To),
		cmp.Compare(b.Used, a.Used),
		strings.Compare(a.ID, b.ID),
	)
}
