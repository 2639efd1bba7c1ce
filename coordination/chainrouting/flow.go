package chainrouting

import (
	"math"
	"sort"

	"spanrill/coordination/cost"
)

// In a large fleet, a daemon's figures for the load of the other daemons are several exchange rounds
// old, which is longer than a request takes on a fast chain. If every daemon takes the chain that
// looks best from such figures, they all fill it, all leave it, and fill it again. Each daemon
// therefore sends a chain no more than its share of what the chain can serve, whatever the others
// do: the shares of all daemons add up to what the chains can take at the planned fill. The load
// figures only exclude a chain that fills up beyond that.
//
// In a simulation of 300 daemons with figures six rounds old, four fast chains and eight slow
// ones (TestFlowsServeSimulatedLoad), at 0.7 of what the chains can serve, engines refused 0.479
// of all sends and 0.257 of the callers were refused when each daemon took the chain that looked
// best. With flows, both were 0.000.

// option is a path that a request can take.
type option struct {
	parts    []Part
	estimate float64 // milliseconds; the lowest is preferred
	flow     float64 // requests a second that the path can serve at the planned fill; fewer if it is fuller
	room     float64 // requests that the path can hold at the planned fill; fewer if it is fuller
	full     bool    // the path has no room for this request
}

const (
	// plannedFill is the fraction of a chain's capacity that flows are planned for. With 40 to 80
	// requests on a chain, random (Poisson) variation reaches 0.4 above the mean one time in a
	// hundred, which fits into the rest.
	plannedFill = 0.7
	// stopFill is the fraction of its capacity at which a chain gets no more requests.
	stopFill = 1.0
	// demandGrowth is the factor by which demand may have grown since it was counted. It is counted
	// over two seconds that ended one to three seconds ago.
	demandGrowth = 1.3
	// maxOvercommit is the highest ratio of the demand to the sum of the flows at which requests
	// are chosen by flow. Chains are then filled to 0.88 of their capacity.
	maxOvercommit = 1.25
	// minFilledShare is the least share of the sum of all flows that is used: when daemons or
	// traffic have just started, the counted demand is too low.
	minFilledShare = 0.5
)

// newOption returns a path as an option, with its flow and room in requests of mean size. Both
// fall to 0 as the path's fill rises from plannedFill to stopFill.
func (s *search) newOption(parts []Part, estimate float64) option {
	maxRequests, fullest := math.Inf(1), 0.0
	for _, p := range parts {
		capacity := max(1, s.capacityTokens(p.Upstream))
		maxRequests = min(maxRequests, capacity/p.share()/cost.MeanTokens(s.model))
		fullest = max(fullest, float64(p.Upstream.Tokens())/capacity)
	}
	if slots := parts[0].Upstream.Entry().Slots; slots > 0 {
		maxRequests = min(maxRequests, float64(slots))
		fullest = max(fullest, float64(parts[0].Upstream.Calls())/float64(slots))
	}
	remaining := 1 - ramp(fullest, plannedFill, stopFill)
	stages, plannedRequests := s.costStages(parts), plannedFill*maxRequests
	millis := cost.PromptMillis(s.model, stages, s.model.MeanPromptTokens) + s.model.MeanAnswerTokens*cost.TokenMillis(s.model, stages, plannedRequests)
	flow := plannedRequests * remaining / max(1, millis) * millisPerSecond
	if limit := parts[0].Upstream.Limit(); limit.Set {
		flow = min(flow, limit.PerSecond)
	}
	return option{parts: parts, estimate: estimate, flow: flow, room: plannedRequests * remaining}
}

const millisPerSecond = 1000

// chooseByFlow returns the index of the option that a request takes, for a random draw from 0 to
// 1, and whether the flows serve the demand. Demand is the requests a second of all daemons, or 0
// if it is not known. The fastest options are filled first, each up to its flow, until they serve
// the demand.
//
// Where the flows do not serve the demand, the load figures have to decide, stale as they are:
// the cost model is not accurate enough to divide requests among chains that are nearly full. On a
// fleet of 59 daemons whose chains ran at 0.7 to 0.9 of their capacity, callers got 0.843 of the
// value of a simulated day when flows decided there too, and 0.972 when they did not.
func chooseByFlow(options []option, demand, draw float64) (index int, ok bool) {
	sort.SliceStable(options, func(i, j int) bool { return options[i].estimate < options[j].estimate })
	total := 0.0
	for _, o := range options {
		total += o.flow
	}
	if total <= 0 || demand > total*maxOvercommit {
		return 0, false
	}
	remaining := draw * min(total, max(demand*demandGrowth, minFilledShare*total))
	for i, o := range options {
		if remaining -= o.flow; remaining < 0 {
			return i, true
		}
	}
	return 0, false
}

// chooseByRoom returns the index of the option that a request takes at a daemon that has just
// started and does not know the load of the others, for a random draw from 0 to 1. When all
// daemons restart together, the callers that waited for them return at once, and room becomes
// scarce before flow does: each option gets requests in proportion to its room.
//
// In a simulation of 73 daemons that know nothing of one another, with callers that fill 0.3 and
// 0.6 of all capacity within 250 ms (TestCallersReturningAtOnceAreServed), engines refused 0.279 and
// 0.480 of what was sent when the faster half of the flows was filled, as for an unknown demand;
// 0.035 and 0.244 when each option got requests in proportion to its flow; and 0.000 of both when
// each got them in proportion to its room.
func chooseByRoom(options []option, draw float64) (index int, ok bool) {
	total := 0.0
	for _, o := range options {
		total += o.room
	}
	remaining := draw * total
	for i, o := range options {
		if remaining -= o.room; remaining < 0 {
			return i, true
		}
	}
	return 0, false
}

// ramp returns 0 for x up to first, 1 from last on, and rises linearly in between.
func ramp(x, first, last float64) float64 {
	return min(1, max(0, (x-first)/(last-first)))
}
