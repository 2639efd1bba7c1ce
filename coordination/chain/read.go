package chain

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"
)

// minCoverageDivisor sets how many layers a chain with holes must cover: the layers of the model
// divided by it. The holders of a series that covers less are spares. A chain with holes lies
// inside one availability zone, because otherwise spares of several zones would together cover
// enough layers to count as one.
const minCoverageDivisor = 2

// Build returns the chains of a model with that many layers, complete ones first, and the holders
// that belong to none.
func Build(layers int, holders []Holder) (chains []*Chain, spares []Holder) {
	return NewBuilder(layers).Build(holders)
}

// Builder builds the chains of a model repeatedly. It keeps the complete chains of each
// availability zone until a holder of that zone changes: in a fleet of 2,922 engines, one changes
// at a time, and the chains of the other zones need not be built again. It is not safe for
// concurrent use.
type Builder struct {
	layers int
	zones  map[string]*zoneChains
}

// zoneChains holds the complete chains inside one availability zone.
type zoneChains struct {
	input     []Holder // the zone's holders, in the order of the caller
	chains    []*Chain
	remaining []*Holder // elements of input that are in no chain, sorted
}

// NewBuilder returns a builder for a model with that many layers.
func NewBuilder(layers int) *Builder {
	return &Builder{layers: layers, zones: map[string]*zoneChains{}}
}

// Build returns the chains, complete ones first, and the holders that belong to none.
func (b *Builder) Build(holders []Holder) (chains []*Chain, spares []Holder) {
	chains, remaining := b.chainsInsideZones(b.groupByZone(holders))
	crossing, remaining := extractComplete(b.layers, remaining)
	chains = append(chains, crossing...)
	broken, remaining := b.extractIncomplete(remaining)
	chains = append(chains, broken...)
	sort.SliceStable(chains, func(i, j int) bool { return chains[i].Covered() > chains[j].Covered() })
	for _, h := range remaining {
		spares = append(spares, *h)
	}
	return chains, spares
}

// groupByZone returns the holders by availability zone, without those whose range is empty or
// outside of the model.
func (b *Builder) groupByZone(holders []Holder) map[string][]*Holder {
	zones := map[string][]*Holder{}
	for i := range holders {
		h := &holders[i]
		if h.Layers.Len() > 0 && h.Layers.From >= 0 && h.Layers.To <= b.layers {
			zones[h.Zone] = append(zones[h.Zone], h)
		}
	}
	return zones
}

// chainsInsideZones returns the complete chains that lie inside one availability zone, and the
// remaining holders, sorted.
func (b *Builder) chainsInsideZones(zones map[string][]*Holder) (chains []*Chain, remaining []*Holder) {
	maps.DeleteFunc(b.zones, func(zone string, _ *zoneChains) bool { return zones[zone] == nil })
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		z := b.zones[zone]
		if z == nil || !slices.EqualFunc(z.input, zones[zone], func(known Holder, current *Holder) bool { return known == *current }) {
			z = buildZone(b.layers, zones[zone])
			b.zones[zone] = z
		}
		chains = append(chains, z.chains...)
		remaining = append(remaining, z.remaining...)
	}
	slices.SortFunc(remaining, compareHolders)
	return chains, remaining
}

func buildZone(layers int, holders []*Holder) *zoneChains {
	z := &zoneChains{input: make([]Holder, len(holders))}
	sorted := make([]*Holder, len(holders))
	for i, h := range holders {
		z.input[i] = *h
		sorted[i] = &z.input[i]
	}
	slices.SortFunc(sorted, compareHolders)
	z.chains, z.remaining = extractComplete(layers, sorted)
	return z
}

// extractComplete takes complete chains out of sorted holders until none is left, and returns the
// remaining holders.
func extractComplete(layers int, holders []*Holder) (chains []*Chain, remaining []*Holder) {
	remaining = holders
	for {
		c, _ := bestChain(layers, remaining)
		if c == nil || !c.Complete() {
			return chains, remaining
		}
		chains, remaining = append(chains, c), without(remaining, c)
	}
}

// extractIncomplete takes chains with holes out of the holders, each from one availability zone,
// the one with the best series first, and returns the remaining holders.
func (b *Builder) extractIncomplete(holders []*Holder) (chains []*Chain, remaining []*Holder) {
	byZone, bestByZone := map[string][]*Holder{}, map[string]bestSeries{}
	for _, h := range holders {
		byZone[h.Zone] = append(byZone[h.Zone], h)
	}
	for zone, holders := range byZone {
		bestByZone[zone] = findBestSeries(b.layers, holders)
	}
	for {
		zone := bestZone(bestByZone)
		s := bestByZone[zone]
		if s.chain == nil || s.chain.Covered() < max(1, b.layers/minCoverageDivisor) {
			break
		}
		chains = append(chains, s.chain)
		byZone[zone] = without(byZone[zone], s.chain)
		bestByZone[zone] = findBestSeries(b.layers, byZone[zone])
	}
	for _, holders := range byZone {
		remaining = append(remaining, holders...)
	}
	slices.SortFunc(remaining, compareHolders)
	return chains, remaining
}

// bestSeries is the best series of the holders of an availability zone.
type bestSeries struct {
	chain *Chain // nil if there is no holder
	value int
}

func findBestSeries(layers int, holders []*Holder) bestSeries {
	c, value := bestChain(layers, holders)
	return bestSeries{chain: c, value: value}
}

// bestZone returns the availability zone with the best series. Of series of equal value, it takes
// the one whose last holder sorts first.
func bestZone(bestByZone map[string]bestSeries) string {
	best := ""
	for name, s := range bestByZone {
		if s.chain == nil {
			continue
		}
		leader := bestByZone[best]
		if leader.chain == nil || s.value > leader.value || s.value == leader.value && compareHolders(s.chain.last(), leader.chain.last()) < 0 {
			best = name
		}
	}
	return best
}

func (c *Chain) last() *Holder { return &c.parts[len(c.parts)-1] }

// without returns the holders that are not part of the chain, in the same order. Holders and parts
// must be in the order of compareHolders.
func without(holders []*Holder, c *Chain) []*Holder {
	remaining := make([]*Holder, 0, len(holders)-len(c.parts))
	next := 0
	for _, h := range holders {
		if next < len(c.parts) && h.ID == c.parts[next].ID {
			next++
			continue
		}
		remaining = append(remaining, h)
	}
	return remaining
}

// compareHolders sorts holders by their layers, and by descending use for the same layers.
func compareHolders(a, b *Holder) int {
	return cmp.Or(
		cmp.Compare(a.Layers.From, b.Layers.From),
		cmp.Compare(a.Layers.To, b.Layers.To),
		cmp.Compare(b.ReservedTokens, a.ReservedTokens),
		strings.Compare(a.ID, b.ID),
	)
}
