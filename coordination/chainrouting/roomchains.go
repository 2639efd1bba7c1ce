package chainrouting

import (
	"slices"

	"spanrill"
	"spanrill/coordination/cost"
)

// maxRoomChains is the maximum number of chains that RoomChains returns: several times those of the
// largest fleets. It bounds the work of the daemon that divides their room.
const maxRoomChains = 512

// RoomChains returns the paths of a service on which requests can start now, whole ones first, with
// the figures by which their room is divided. Each begins at another engine. Engines that Pick would
// not use are left out. Nothing is reserved.
func (r *Router) RoomChains(service string, m *spanrill.EngineModel) []spanrill.RoomChain {
	v := r.table.View()
	s := &search{view: v, service: service, model: m, now: r.clock.Now(), pipes: &r.pipes, staleness: r.Staleness()}
	var chains []spanrill.RoomChain
	for _, c := range r.chains(service, m, v) {
		if parts, bridged, ok := s.complete(c); ok && len(parts) > 0 {
			chains = append(chains, s.roomChain(parts, bridged))
		}
	}
	slices.SortStableFunc(chains, func(a, b spanrill.RoomChain) int { return bridgedLast(a) - bridgedLast(b) })
	chains = oneForEachFirst(chains)
	return chains[:min(maxRoomChains, len(chains))]
}

func bridgedLast(c spanrill.RoomChain) int {
	if c.Bridged {
		return 1
	}
	return 0
}

// oneForEachFirst removes the chains that begin at the same engine as an earlier one: the first
// engine identifies a chain.
func oneForEachFirst(chains []spanrill.RoomChain) []spanrill.RoomChain {
	seen := make(map[uint32]bool, len(chains))
	return slices.DeleteFunc(chains, func(c spanrill.RoomChain) bool {
		known := seen[c.First()]
		seen[c.First()] = true
		return known
	})
}

// roomChain returns a path with the figures by which its room is divided. The failure rates are those
// that this daemon has seen. Late first events are not included, because they may be due to this
// daemon alone.
func (s *search) roomChain(parts []Part, bridged bool) spanrill.RoomChain {
	stages := s.costStages(parts)
	first := parts[0].Upstream
	alone := cost.TokenMillis(s.model, stages, 0)
	c := spanrill.RoomChain{
		Parts: make([]spanrill.RoomPart, len(parts)), Zone: first.Zone(), Slots: first.Entry().Slots, Bridged: bridged,
		StepMillis: alone, StepMillisPerRequest: cost.TokenMillis(s.model, stages, 1) - alone, Penalty: 1,
	}
	for i, p := range parts {
		c.Parts[i] = spanrill.RoomPart{
			Engine: p.Upstream.Key(), Capacity: s.capacityTokens(p.Upstream), Share: p.share(),
			ReadMillis: cost.PrefillMillis(s.model, stages[i].Kind, stages[i].Layers, 1),
		}
		c.Penalty *= 1 + riskWeight*p.Upstream.FailureRate(s.now)
	}
	return c
}
