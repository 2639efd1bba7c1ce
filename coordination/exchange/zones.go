package exchange

import (
	"slices"

	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// A sum that names every upstream in use grows with the fleet, and each daemon receives one in
// every round. When many are in use, a sum names only those of the receiver's availability zone,
// where most of its requests run, and gives one total per service for each other zone. The
// daemons there spread requests over all chains, so each upstream is assumed to hold an equal
// share of the total.

// maxNamedUses is the number of upstreams in use up to which a sum names all of them: 4 KB,
// which is 16 KB/s at four rounds a second, the budget for control traffic.
const maxNamedUses = 400

// briefMaxAge is the maximum age of the sum in use at which the other tree is asked only for a brief
// sum, one that names no upstreams. It leaves time for two requests for a full sum before the sum in
// use expires.
const briefMaxAge = newsTTL - 2*roundInterval

// unnamedUses is what requests hold at the upstreams that a sum does not name.
type unnamedUses struct {
	byZone    map[zoneService]use
	noneNamed bool // the sum names no upstreams at all
}

// zoneService identifies the upstreams of a service in one availability zone.
type zoneService struct{ zone, service string }

// unnamedFromMessage returns the totals in a message for upstreams that it does not name, or nil if
// it names all.
func unnamedFromMessage(m *peermsg.FleetSum) *unnamedUses {
	if !m.OtherZonesUnnamed && !m.NoneNamed {
		return nil
	}
	unnamed := &unnamedUses{byZone: map[zoneService]use{}, noneNamed: m.NoneNamed}
	for _, z := range m.Zones {
		unnamed.byZone[zoneService{z.Zone, z.Service}] = use{tokens: z.Tokens, calls: z.Calls}
	}
	return unnamed
}

// fleetSum returns the sum over all daemons for a child in an availability zone. It names all
// upstreams if few are in use. Otherwise it names those of that zone, or none if brief or if total
// does not name them. The caller must hold e.mu.
func (e *Exchange) fleetSum(total *fleetTotal, zone string, brief bool) *peermsg.FleetSum {
	m := &peermsg.FleetSum{Age: e.clock.Now() - total.addedUpAt}
	switch {
	case brief && (total.unnamed != nil || len(total.sum.uses) > maxNamedUses),
		total.unnamed != nil && zone != e.state.Zone: // total names upstreams of this daemon's zone only
		m.Sum = *(&sum{daemons: total.sum.daemons, retries: total.sum.retries, lost: total.sum.lost}).message()
		m.NoneNamed = true
	case total.unnamed != nil:
		m.Sum, m.OtherZonesUnnamed, m.NoneNamed = *total.sum.message(), true, total.unnamed.noneNamed
		for group, u := range total.unnamed.byZone {
			m.Zones = append(m.Zones, peermsg.ZoneUse{Zone: group.zone, Service: group.service, Tokens: u.tokens, Calls: u.calls})
		}
	case len(total.sum.uses) > maxNamedUses:
		e.writeZoneSum(m, total.sum, zone)
	default:
		m.Sum = *total.sum.message()
	}
	return m
}

// writeZoneSum writes a sum that names only the upstreams of one availability zone, with a total per
// service for each other zone.
func (e *Exchange) writeZoneSum(m *peermsg.FleetSum, total sum, zone string) {
	view, named := e.state.Fleet.View(), sum{daemons: total.daemons, uses: map[uint32]use{}, retries: total.retries, lost: total.lost}
	unnamed := map[zoneService]use{}
	for key, u := range total.uses {
		upstream := view.ByKey(key)
		if upstream == nil || upstream.Zone() == zone {
			named.uses[key] = u
			continue
		}
		group := zoneService{upstream.Zone(), upstream.Service()}
		unnamed[group] = use{tokens: unnamed[group].tokens + u.tokens, calls: unnamed[group].calls + u.calls}
	}
	m.Sum, m.OtherZonesUnnamed = *named.message(), true
	for group, u := range unnamed {
		m.Zones = append(m.Zones, peermsg.ZoneUse{Zone: group.zone, Service: group.service, Tokens: u.tokens, Calls: u.calls})
	}
}

// briefTrees returns which of the given trees are asked for a brief sum: when sums are large, a full
// sum from one tree suffices while it is fresh. The caller must hold e.mu.
func (e *Exchange) briefTrees(trees []int) []int {
	now := e.clock.Now()
	used := e.fullestTree(now)
	if used < 0 || e.sums.totals[used].unnamed == nil || now-e.sums.totals[used].addedUpAt > briefMaxAge {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(trees), func(tree int) bool { return tree == used })
}

// zoneOf returns the availability zone of a daemon, or "" if it is not a member.
func (t *topology) zoneOf(name string) string {
	if rank := rankOf(t.ranked, name); rank >= 0 {
		return t.ranked[rank].Zone
	}
	return ""
}

// applyUnnamed sets the peer load of each upstream in other availability zones to its share of the
// zone's total. The caller must hold e.mu.
func (e *Exchange) applyUnnamed(unnamed *unnamedUses) {
	view := e.state.Fleet.View()
	shares := zoneShares(view, unnamed, e.state.Zone)
	if e.applied.viewVersion == view.Version() && !sharesDiffer(shares, e.applied.zoneShares) {
		return
	}
	for _, service := range e.servicesOf(shares) {
		for _, u := range view.ByService(service) {
			if u.Zone() == e.state.Zone {
				continue
			}
			share := shares[zoneService{u.Zone(), service}]
			u.SetPeerLoad(share.tokens, share.calls)
		}
	}
	e.applied.zoneShares, e.applied.viewVersion = shares, view.Version()
}

// zoneShares returns the share of a single upstream in the total of its zone and service, for all
// zones but the given one. Engines that hold no layers are not counted, because no request runs
// there.
func zoneShares(view *fleet.View, unnamed *unnamedUses, zone string) map[zoneService]use {
	if unnamed == nil {
		return nil
	}
	counts := map[zoneService]int64{}
	for group := range unnamed.byZone {
		for _, u := range view.ByService(group.service) {
			if u.Zone() == group.zone && (u.Entry().Kind == "" || u.Layers().Len() > 0) {
				counts[group]++
			}
		}
	}
	shares := map[zoneService]use{}
	for group, total := range unnamed.byZone {
		if n := counts[group]; n > 0 && group.zone != zone {
			shares[group] = use{tokens: max(0, total.tokens) / n, calls: max(0, total.calls) / n}
		}
	}
	return shares
}

// servicesOf returns the services of the given shares and of the shares applied before.
func (e *Exchange) servicesOf(shares map[zoneService]use) []string {
	var services []string
	for _, m := range []map[zoneService]use{shares, e.applied.zoneShares} {
		for group := range m {
			if !slices.Contains(services, group.service) {
				services = append(services, group.service)
			}
		}
	}
	return services
}

// shareChangeDivisor sets by how much a share must change for shares to be applied again: by more
// than 1/shareChangeDivisor. Smaller changes hardly matter, because path estimates depend on how full
// an engine is in tenths.
const shareChangeDivisor = 16

// sharesDiffer reports whether shares differ enough to be applied again.
func sharesDiffer(a, b map[zoneService]use) bool {
	if len(a) != len(b) {
		return true
	}
	for group, u := range a {
		old, ok := b[group]
		if !ok || changedMuch(u.tokens, old.tokens) || changedMuch(u.calls, old.calls) {
			return true
		}
	}
	return false
}

func changedMuch(a, b int64) bool { return max(a-b, b-a)*shareChangeDivisor > max(a, b) }
