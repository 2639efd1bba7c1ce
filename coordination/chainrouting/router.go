// Package chainrouting chooses the path of engines that a request takes.
//
// A path runs every layer of the model once and in order. It is a chain, or a chain whose holes
// are bridged by parts of what other engines hold. Package chain builds the chains from
// the layers that engines hold; package cost estimates times and memory.
//
// A path reserves the tokens of its request at each of its engines until it is released, so that
// later choices account for requests in flight.
//
// # Usage
//
//	p, err := router.Pick(service, model, chainrouting.Need{Prompt: 800, Answer: 170, Zone: "hall-un"})
//	defer p.Release()
package chainrouting

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
	"spanrill/events"
	"spanrill/rng"
	"spanrill/state/fleet"
)

// Causes of a NoPathError.
var (
	// ErrNoPath means that the usable engines do not hold all layers.
	ErrNoPath = errors.New("no path covers the model")
	// ErrNoRoom means that every path is full.
	ErrNoRoom = errors.New("no path has room")
	// ErrResting means that every usable path begins at an engine that has asked this daemon for
	// rest.
	ErrResting = errors.New("the engines at which paths begin have asked for rest")
	// ErrLimited means that every usable path begins at an engine whose rate limit is exhausted.
	ErrLimited = errors.New("the engines at which paths begin have used up their limits")
)

const (
	// maxFill and maxFillUrgent are the fractions of an engine's memory that are used. The load
	// figures of other daemons are a quarter of a second old. A twentieth to a tenth of a chain's
	// requests start in that time, and half of these are this daemon's own or go to another chain.
	maxFill       = 0.95
	maxFillUrgent = 1.0
	// staleFillReduction lowers maxFill where the load figures of other daemons are stale: a
	// third of a chain's requests change in two seconds.
	staleFillReduction = 0.15
	// staleRounds is the number of exchange rounds beyond the first at which load figures count as
	// fully stale.
	staleRounds = 8
	// fullnessWeight is the weight of the square of a path's fill in its estimate: the estimate of
	// a half-full path is half as long again.
	fullnessWeight = 2.0
	// otherZoneFactor lengthens the estimate of a path whose first engine is in another
	// availability zone, so that nearly equal paths stay inside the zone: traffic between zones
	// is paid for.
	otherZoneFactor = 1.15
	// riskWeight is the weight of the failure rate of each engine in the estimate of a path.
	riskWeight = 3.0
	// spreadJitter is the range of the random factor for choices that many daemons make at the same
	// moment. Without it, they would all take the same path.
	spreadJitter = 1.0
	// bridgeFlowShare is the fraction of the flow and room of a path with bridges that counts: the
	// engines of a bridge mostly serve chains of their own, where both are counted already.
	bridgeFlowShare = 0.25
	// bridgeFactor lengthens the estimate of a path with bridges, so that complete chains are
	// preferred.
	bridgeFactor = 1.3
)

// Router chooses paths and reserves the tokens of requests on them.
type Router struct {
	table *fleet.Table
	clock spanrill.Clock
	log   logrus.FieldLogger

	random *rng.Source

	mu    sync.Mutex
	cache map[string]*serviceChains
	pipes pipes

	demand atomic.Pointer[map[string]float64] // requests a second of all daemons, by service

	starting atomic.Bool // this daemon has just started and does not know the load of the others

	staleness atomic.Int64 // of the load figures of other daemons, in thousandths
}

// serviceChains holds the chains of a service as of one version of the view.
type serviceChains struct {
	builder *chain.Builder
	version uint64
	model   *spanrill.EngineModel
	chains  []*chain.Chain
	summary string
}

// New returns a router over the upstreams of a table.
func New(table *fleet.Table, clock spanrill.Clock, log logrus.FieldLogger, random *rng.Source) *Router {
	return &Router{table: table, clock: clock, log: log, random: random, cache: map[string]*serviceChains{}}
}

// chains returns the chains of a service, and builds them again if the view or the model has
// changed.
func (r *Router) chains(service string, m *spanrill.EngineModel, v *fleet.View) []*chain.Chain {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.cache[service]
	if cached != nil && cached.version == v.Version() && cached.model == m {
		return cached.chains
	}
	holders := make([]chain.Holder, 0, len(v.ByService(service)))
	for _, u := range v.ByService(service) {
		e := u.Entry()
		if l := u.Layers(); u.AcceptsRequests() && l.Len() > 0 && l.To <= m.Layers && !slowAndReplaceable(v, u) {
			holders = append(holders, chain.Holder{ID: u.ID(), Zone: e.Zone, Layers: l, Pace: m.Kinds[e.Kind].StepFactor})
		}
	}
	rebuilt := &serviceChains{version: v.Version(), model: m}
	if cached != nil && cached.model.Layers == m.Layers {
		rebuilt.builder = cached.builder
	} else {
		rebuilt.builder = chain.NewBuilder(m.Layers)
	}
	rebuilt.chains, _ = rebuilt.builder.Build(holders)
	rebuilt.summary = summarize(rebuilt.chains)
	if cached == nil || cached.summary != rebuilt.summary {
		events.ChainsChanged.Log(r.log, logrus.Fields{"service": service, "chains": rebuilt.summary, "view": v.Version()})
	}
	r.cache[service] = rebuilt
	return rebuilt.chains
}

// slowAndReplaceable reports whether an engine is slow and other engines of its availability zone
// hold all of its layers.
func slowAndReplaceable(v *fleet.View, slow *fleet.Upstream) bool {
	if !slow.Slow() {
		return false
	}
	var others []spanrill.LayerRange
	for _, u := range v.ByService(slow.Service()) {
		if u != slow && u.Zone() == slow.Zone() && u.AcceptsRequests() && !u.Dead() && !u.Slow() {
			others = append(others, u.Layers())
		}
	}
	return slow.Layers().CoveredBy(others)
}

// summarize describes chains for logs by their availability zone, number of engines and holes.
// Complete chains come first. If there are more than maxListedChains of them, it gives only their
// number.
func summarize(chains []*chain.Chain) string {
	complete := 0
	for complete < len(chains) && chains[complete].Complete() {
		complete++
	}
	var s strings.Builder
	if complete > maxListedChains {
		fmt.Fprintf(&s, "%d whole ", complete)
		chains = chains[complete:]
	}
	for _, c := range chains[:min(maxListedChains, len(chains))] {
		fmt.Fprintf(&s, "%s:%d%v ", c.Zone(), len(c.Parts()), c.Holes())
	}
	if more := len(chains) - maxListedChains; more > 0 {
		fmt.Fprintf(&s, "and %d more", more)
	}
	return s.String()
}

// maxListedChains is how many chains a log line describes one by one.
const maxListedChains = 40

// Pick returns the path with the lowest estimated time, or one chosen by flow where the load
// figures are stale. The caller releases the path. The error is a *NoPathError.
//
// If it finds no path, Pick tries again with engines that are avoided only because they have
// recently failed a request: most failures concern one request, and refusing this one would be
// worse.
func (r *Router) Pick(service string, m *spanrill.EngineModel, need Need) (*Path, error) {
	path, err := r.pick(service, m, need, false)
	if err == nil {
		return path, nil
	}
	if path, lenientErr := r.pick(service, m, need, true); lenientErr == nil {
		return path, nil
	}
	return nil, err
}

// pick chooses once, with or without engines that have recently failed a request.
func (r *Router) pick(service string, m *spanrill.EngineModel, need Need, lenient bool) (*Path, error) {
	v := r.table.View()
	s := &search{view: v, service: service, model: m, need: need, now: r.clock.Now(), pipes: &r.pipes}
	s.staleness, s.lenient = r.Staleness(), lenient
	var options []option
	var candidates []candidate
	covered := false
	for _, c := range r.chains(service, m, v) {
		parts, bridged, ok := s.complete(c)
		if !ok {
			candidates = append(candidates, s.incompleteCandidate(c))
			continue
		}
		if need.First != nil && !need.First[parts[0].Upstream.ID()] {
			continue
		}
		covered = true
		estimate, base := s.estimate(parts)
		hasRoom, pipesHaveRoom := s.hasRoom(parts), s.pipesHaveRoom(parts, base)
		candidates = append(candidates, candidate{first: parts[0].Upstream, estimate: estimate, base: base, hasRoom: hasRoom, pipesHaveRoom: pipesHaveRoom, now: s.now, fullUpstreams: s.fullUpstreams(parts, hasRoom), lenient: lenient})
		if bridged {
			estimate *= bridgeFactor
		}
		o := s.newOption(parts, estimate)
		if !hasRoom || !pipesHaveRoom {
			o.flow, o.room, o.full = 0, 0, true
		}
		if bridged {
			o.flow, o.room = o.flow*bridgeFlowShare, o.room*bridgeFlowShare
		}
		options = append(options, o)
	}
	best := r.choosePath(service, options, need, s.staleness)
	switch {
	case best != nil:
	case covered:
		return nil, &NoPathError{cause: ErrNoRoom, candidates: candidates}
	case s.foundResting:
		return nil, &NoPathError{cause: ErrResting, candidates: candidates}
	case s.foundLimited:
		return nil, &NoPathError{cause: ErrLimited, candidates: candidates}
	case s.bridgeErr != nil:
		return nil, &NoPathError{cause: s.bridgeErr, candidates: candidates}
	default:
		return nil, &NoPathError{cause: ErrNoPath, candidates: candidates}
	}
	_, base := s.estimate(best)
	path := r.newPath(best, int64(need.tokens()), base)
	path.candidates = candidates
	return path, nil
}

// SetDemand sets the requests a second of all daemons, by service.
func (r *Router) SetDemand(demand map[string]float64) { r.demand.Store(&demand) }

// Demand returns the requests a second of all daemons for a service, or 0 if they are
// not known.
func (r *Router) Demand(service string) float64 {
	if demand := r.demand.Load(); demand != nil {
		return (*demand)[service]
	}
	return 0
}

// HasRoom reports whether an engine has memory and slots to spare, as far as this daemon knows.
func (r *Router) HasRoom(m *spanrill.EngineModel, u *fleet.Upstream) bool {
	capacity := cost.Capacity(m, m.Kinds[u.Entry().Kind], u.Layers().Len())
	slots := u.Entry().Slots
	return float64(u.Tokens()) < roomyFill*capacity && (slots == 0 || float64(u.Calls()) < roomyFill*float64(slots))
}

// roomyFill is the fraction of an engine's memory and slots below which HasRoom reports true.
const roomyFill = 0.7

// SetFleet sets how many daemons share the pipes between availability zones, after how many
// exchange rounds each of them has been heard from, and whether the size of the fleet is known. If
// it is not, load figures count as fully stale.
func (r *Router) SetFleet(daemons, rounds int, sizeKnown bool) {
	r.pipes.daemons.Store(int64(max(1, daemons)))
	if !sizeKnown {
		r.staleness.Store(stalenessUnit)
		return
	}
	r.staleness.Store(int64(stalenessUnit * min(1, float64(rounds-1)/staleRounds)))
}

// SetStarting sets whether this daemon has just started and does not know the load of the others.
func (r *Router) SetStarting(starting bool) { r.starting.Store(starting) }

// stalenessUnit is the value of Router.staleness that stands for 1.
const stalenessUnit = 1000

// Staleness returns how stale the load figures of other daemons are, from 0 (one exchange round)
// to 1 (at least staleRounds more).
func (r *Router) Staleness() float64 { return float64(r.staleness.Load()) / stalenessUnit }

// Replace returns a path that keeps the first engine and every other engine of p that can be
// used, and bridges the rest. Engines that leave, or that are ordered to hold other layers, finish
// the requests that run on them but refuse moved requests, so they are bridged too. With sameZone,
// a bridge uses only engines in the availability zone of the part that it replaces: every token so
// far has to be sent to an engine that takes over a part. The caller releases both paths.
func (r *Router) Replace(service string, m *spanrill.EngineModel, p *Path, need Need, sameZone bool) (*Path, error) {
	s := &search{view: r.table.View(), service: service, model: m, need: need, now: r.clock.Now(), pipes: &r.pipes, random: r.random.Float64}
	s.need.Urgent = true
	parts := p.Parts()
	if !s.acceptsMove(parts[0]) {
		return nil, ErrNoPath
	}
	used := map[string]bool{}
	for _, old := range parts {
		used[old.Upstream.ID()] = true
	}
	newParts := []Part{parts[0]}
	for i := 1; i < len(parts); {
		old := parts[i]
		if s.acceptsMove(old) {
			newParts = append(newParts, old)
			i++
			continue
		}
		end := s.holeEnd(parts, i, sameZone)
		s.zone = ""
		if sameZone {
			s.zone = old.Upstream.Zone()
		}
		bridge, err := s.bridge(spanrill.LayerRange{From: old.Layers.From, To: parts[end-1].Layers.To}, used)
		if err != nil {
			return nil, err
		}
		newParts = append(newParts, bridge...)
		i = end
	}
	if len(newParts) > maxParts {
		return nil, ErrNoPath
	}
	return r.newPath(newParts, p.tokens.Load(), p.expectedMillis), nil
}
