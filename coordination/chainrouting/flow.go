package chainrouting

import (
	"math"
	"sort"

	"spanrill/coordination/cost"
)

// In a large fleet what a daemon knows of the others' requests is several rounds of news
// old, which is longer than a request takes on a fast chain. Daemons that all take the
// chain that looks best from such figures fill it together, leave it together, and fill
// it again. Each therefore sends a chain no more than its part of what the chain can
// serve, whatever the others do: the parts of all daemons add up to what the chains can
// take at the fill planned for, and the figures only take a chain out that is filling up
// beyond that.
//
// Played with 300 daemons, news of six rounds and four fast and eight slow chains
// (TestLoad): at 0.7 of what the chains can serve engines refused 0.479 of all sends
// and 0.257 of the callers were refused when each daemon took the chain that looked
// best, and 0.000 and 0.000 with flows.

// option is a path that a request can take.
type option struct {
	parts    []Part
	estimate float64 // milliseconds, for the order of preference
	flow     float64 // requests a second that the path can serve at the planned fill
	room     float64 // requests that it holds at the planned fill
	closed   bool    // it has no room for this request
}

const (
	// plannedFill is the part of a chain's room that flows are planned for. Where 40 to 80
	// requests run on a chain, up to 0.4 more do in one of a hundred moments by chance
	// (Poisson), which fits into the rest.
	plannedFill = 0.7
	// fullFill is the fill at which a chain gets nothing.
	fullFill = 1.0
	// headroom is by how much the requests of all daemons may have grown since they
	// were counted, over two seconds that ended one to three seconds ago.
	headroom = 1.3
	// stretch is by how much more than planned chains are filled before the flows do not
	// serve the demand: to 0.88 of their room.
	stretch = 1.25
	// leastDemand is the part of all flows that is filled in any case: when daemons have
	// just started, or traffic has, the requests that were counted are too few.
	leastDemand = 0.5
)

// option describes a path: how many usual requests a second it can serve at the planned
// fill, of which the more is taken away the more the path is filled beyond that.
func (s *search) option(parts []Part, estimate float64) option {
	room, full := math.Inf(1), 0.0
	for _, p := range parts {
		capacity := max(1, s.capacity(p.Upstream))
		room = min(room, capacity/p.share()/cost.Tokens(s.model))
		full = max(full, float64(p.Upstream.Tokens())/capacity)
	}
	if slots := parts[0].Upstream.Entry().Slots; slots > 0 {
		room = min(room, float64(slots))
		full = max(full, float64(parts[0].Upstream.Calls())/float64(slots))
	}
	rest := 1 - between(full, plannedFill, fullFill)
	stages, requests := s.stages(parts), plannedFill*room
	millis := cost.PromptMillis(s.model, stages, s.model.UsualPrompt) + s.model.UsualAnswer*cost.TokenMillis(s.model, stages, requests)
	flow := requests * rest / max(1, millis) * perSecond
	if limit := parts[0].Upstream.Limit(); limit.Set {
		flow = min(flow, limit.PerSecond)
	}
	return option{parts: parts, estimate: estimate, flow: flow, room: requests * rest}
}

// perSecond turns a number a millisecond into one a second.
const perSecond = 1000

// choose returns the place of the option that a request takes, for a draw from 0 to 1,
// and whether the flows serve the demand. Demand is the requests a second of all
// daemons, or 0 if it is not known. The fastest options are filled first, each up to its
// flow, until they serve the demand.
//
// Where they do not, fullness has to decide, old as it is: the cost model is not right
// enough to divide what is short. On a fleet of 59 daemons whose chains ran at 0.7 to 0.9
// of their room callers got 0.843 of the worth of a day when flows decided there too,
// and 0.972 without them.
func choose(options []option, demand, draw float64) (place int, ok bool) {
	sort.SliceStable(options, func(i, k int) bool { return options[i].estimate < options[k].estimate })
	all := 0.0
	for _, o := range options {
		all += o.flow
	}
	if all <= 0 || demand > all*stretch {
		return 0, false
	}
	point := draw * min(all, max(demand*headroom, leastDemand*all))
	for i, o := range options {
		if point -= o.flow; point < 0 {
			return i, true
		}
	}
	return 0, false
}

// chooseByRoom returns the place of the option that a request takes at a daemon that has
// just started and knows nothing of the others, for a draw from 0 to 1. When all daemons
// come back together, the callers that waited for them come all at once, and what is short is
// room: each option gets its part of it.
//
// Played with 73 daemons that know nothing of one another, and as many callers within 250
// ms as fill 0.3 and 0.6 of all room (TestAllCallersComeBack): engines refused 0.279 and
// 0.480 of what was sent when the faster half of the flows was filled, as for a demand that
// is not known otherwise, 0.035 and 0.244 when each option got its part of all flows, and
// 0.000 and 0.000 now.
func chooseByRoom(options []option, draw float64) (place int, ok bool) {
	all := 0.0
	for _, o := range options {
		all += o.room
	}
	point := draw * all
	for i, o := range options {
		if point -= o.room; point < 0 {
			return i, true
		}
	}
	return 0, false
}

// between is 0 up to a first value, 1 from a last one, and rises evenly in between.
func between(x, first, last float64) float64 {
	return min(1, max(0, (x-first)/(last-first)))
}
