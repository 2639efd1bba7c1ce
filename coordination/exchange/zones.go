package exchange

import (
	"slices"

	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// A sum that names every upstream in use grows with the fleet, and each daemon is told one in
// each round. Where many are in use a daemon hears of those of its own availability zone one
// by one, since most of its requests run there, and of each other zone what requests hold
// there in all: the daemons there spread requests over all chains, so that each upstream is
// taken to hold its part.

// usesNamed is up to how many upstreams in use all are named to every daemon: 4 KB, which
// four times a second is 16 KB/s, the budget of control.
const usesNamed = 400

// briefFresh is how old the sum of the tree that is used may be for the upstreams of the other
// one not to be asked for: there is time for two questions until it is too old.
const briefFresh = keep - 2*gap

// rest is what requests hold at upstreams that a sum does not name.
type rest struct {
	zones map[zoneService]use
	brief bool // none are named
}

type zoneService struct{ zone, service string }

// restOf returns what a message tells of upstreams that it does not name, or nil if it names
// all.
func restOf(m *peermsg.FleetSum) *rest {
	if !m.Cut && !m.Brief {
		return nil
	}
	r := &rest{zones: map[zoneService]use{}, brief: m.Brief}
	for _, z := range m.Zones {
		r.zones[zoneService{z.Zone, z.Service}] = use{tokens: z.Tokens, calls: z.Calls}
	}
	return r
}

// fleetSum returns a sum over all daemons for one of an availability zone. The caller holds
// the lock.
func (e *Exchange) fleetSum(w *whole, zone string, brief bool) *peermsg.FleetSum {
	m := &peermsg.FleetSum{Age: e.clock.Now() - w.at}
	switch {
	case brief && (w.rest != nil || len(w.sum.uses) > usesNamed),
		w.rest != nil && zone != e.state.Zone: // it names those of another zone than the one that asks
		m.Sum = *(&sum{daemons: w.sum.daemons, retries: w.sum.retries}).message()
		m.Brief = true
	case w.rest != nil:
		m.Sum, m.Cut, m.Brief = *w.sum.message(), true, w.rest.brief
		for of, u := range w.rest.zones {
			m.Zones = append(m.Zones, peermsg.ZoneUse{Zone: of.zone, Service: of.service, Tokens: u.tokens, Calls: u.calls})
		}
	case len(w.sum.uses) > usesNamed:
		e.cut(m, w.sum, zone)
	default:
		m.Sum = *w.sum.message()
	}
	return m
}

// cut writes a sum that names the upstreams of one availability zone.
func (e *Exchange) cut(m *peermsg.FleetSum, all sum, zone string) {
	view, named := e.state.Fleet.View(), sum{daemons: all.daemons, uses: map[uint32]use{}, retries: all.retries}
	others := map[zoneService]use{}
	for key, u := range all.uses {
		upstream := view.ByKey(key)
		if upstream == nil || upstream.Zone() == zone {
			named.uses[key] = u
			continue
		}
		of := zoneService{upstream.Zone(), upstream.Service()}
		others[of] = use{tokens: others[of].tokens + u.tokens, calls: others[of].calls + u.calls}
	}
	m.Sum, m.Cut = *named.message(), true
	for of, u := range others {
		m.Zones = append(m.Zones, peermsg.ZoneUse{Zone: of.zone, Service: of.service, Tokens: u.tokens, Calls: u.calls})
	}
}

// unneeded returns the trees whose upstreams this daemon does not ask for: one tree is
// enough while it is fresh, where sums are large. The caller holds the lock.
func (e *Exchange) unneeded(trees []int) []int {
	now := e.clock.Now()
	used := e.fullest(now)
	if used < 0 || e.sums.fleet[used].rest == nil || now-e.sums.fleet[used].at > briefFresh {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(trees), func(tree int) bool { return tree == used })
}

// zoneOf returns the availability zone of a daemon, or "".
func (t *topology) zoneOf(name string) string {
	if at := place(t.ranked, name); at >= 0 {
		return t.ranked[at].Zone
	}
	return ""
}

// applyRest takes each upstream of other availability zones to hold its part of what
// requests hold there in all. The caller holds the lock.
func (e *Exchange) applyRest(r *rest) {
	view := e.state.Fleet.View()
	parts := partsOf(view, r, e.state.Zone)
	if e.shown.view == view.Version() && !differ(parts, e.shown.parts) {
		return
	}
	for _, service := range e.servicesOf(parts) {
		for _, u := range view.Of(service) {
			if u.Zone() == e.state.Zone {
				continue
			}
			part := parts[zoneService{u.Zone(), service}]
			u.SetPeers(part.tokens, part.calls)
		}
	}
	e.shown.parts, e.shown.view = parts, view.Version()
}

// partsOf returns what each upstream of other zones holds, by zone and service.
func partsOf(view *fleet.View, r *rest, zone string) map[zoneService]use {
	if r == nil {
		return nil
	}
	counts := map[zoneService]int64{}
	for of := range r.zones {
		for _, u := range view.Of(of.service) {
			if u.Zone() == of.zone && (u.Entry().Kind == "" || u.Layers().Len() > 0) {
				counts[of]++
			}
		}
	}
	parts := map[zoneService]use{}
	for of, all := range r.zones {
		if n := counts[of]; n > 0 && of.zone != zone {
			parts[of] = use{tokens: max(0, all.tokens) / n, calls: max(0, all.calls) / n}
		}
	}
	return parts
}

// servicesOf returns the services of parts, and of those that were applied before.
func (e *Exchange) servicesOf(parts map[zoneService]use) []string {
	var services []string
	for _, m := range []map[zoneService]use{parts, e.shown.parts} {
		for of := range m {
			if !slices.Contains(services, of.service) {
				services = append(services, of.service)
			}
		}
	}
	return services
}

// partChange is by which part what upstreams of a zone hold has to change to be applied
// anew, as one in partChange: estimates of paths go by how full an engine is, in tenths.
const partChange = 16

// differ reports whether parts differ by so much that they have to be applied.
func differ(a, b map[zoneService]use) bool {
	if len(a) != len(b) {
		return true
	}
	for of, u := range a {
		old, ok := b[of]
		if !ok || far(u.tokens, old.tokens) || far(u.calls, old.calls) {
			return true
		}
	}
	return false
}

func far(a, b int64) bool { return max(a-b, b-a)*partChange > max(a, b) }
