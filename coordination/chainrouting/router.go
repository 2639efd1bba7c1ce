// Package chainrouting chooses the path of engines that a request takes.
//
// A path runs every layer of the model once and in order. It is a chain, or a
// chain whose holes are bridged by parts of what engines of other chains hold.
// Chains are read off the holdings (package chain); times and memory come from
// the cost model (package cost).
//
// A path reserves the tokens of its request at each of its engines until it is
// released, so that the choice counts what is on its way.
//
// # Usage
//
//	p, err := router.Pick(service, chainrouting.Need{Prompt: 800, Answer: 170, Zone: "hall-un"})
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
	// ErrNoPath means that the engines that can be used do not hold all layers.
	ErrNoPath = errors.New("no path covers the model")
	// ErrNoRoom means that every path is full.
	ErrNoRoom = errors.New("no path has room")
	// ErrRests means that every path that could be used begins at an engine that has
	// asked this daemon for rest.
	ErrRests = errors.New("the engines at which paths begin have asked for rest")
	// ErrLimited means that every path that could be used begins at an engine whose rate limit
	// is exhausted.
	ErrLimited = errors.New("the engines at which paths begin have used up their limits")
)

// Need is what a request needs of a path.
type Need struct {
	Prompt int             // tokens
	Answer int             // tokens that are expected
	Zone   string          // availability zone of this daemon
	Avoid  map[string]bool // ids of engines that must not be used
	Urgent bool            // may use the last part of the memory
	First  map[string]bool // ids that may be the first engine, or nil for any
	Spread bool            // many choose at the same moment, and must not all choose the same
}

// tokens is what is reserved: the prompt, and the part of the answer that a
// running request holds in the mean.
func (n Need) tokens() float64 {
	return float64(n.Prompt) + reservedAnswer*float64(n.Answer)
}

const (
	// reservedAnswer is what a request holds of its answer in the mean over its
	// time. Engines report 0.55 to 0.67 of their memory in use where 0.88 was taken
	// for used with three quarters of the answer.
	reservedAnswer = 0.5
	// fill and fillUrgent are the parts of the memory that are used. A tenth to a
	// twentieth of the requests of a chain start in the quarter of a second by which
	// the figures of other daemons are old, and half of what starts is this
	// daemon's own or reaches another chain.
	fill       = 0.95
	fillUrgent = 1.0
	// fillLag is how much less of the memory is used where the figures of other
	// daemons are old: in two seconds a third of the requests of a chain change.
	fillLag = 0.15
	// lagRounds is the rounds of news from which figures count as old.
	lagRounds = 8
	// fullness weighs how full a chain is against its speed: a chain that is
	// half full counts half as slow again.
	fullness = 2.0
	// otherZone is by how much a path whose first engine is in another
	// availability zone is taken to be slower, so that paths which are nearly
	// equal stay inside one: bytes between zones are paid for.
	otherZone = 1.15
	// riskWeight makes a path longer by the share of failures of its engines.
	riskWeight = 3.0
	// spread varies the estimates of choices that all daemons make at once, or
	// from old figures: all would take the same path otherwise.
	spread = 1.0
	// bridgeFlow is the part of its flow that a path with bridges adds: the engines of
	// the bridge mostly serve chains of their own, whose flows count already.
	bridgeFlow = 0.25
	// bridgeFactor makes a path with bridges a second choice.
	bridgeFactor = 1.3
)

// Router chooses paths.
type Router struct {
	table *fleet.Table
	clock spanrill.Clock
	log   logrus.FieldLogger

	random *rng.Source

	mu    sync.Mutex
	cache map[string]*layouts
	pipes pipes

	demand atomic.Pointer[map[string]float64] // requests a second of all daemons, by service

	starting atomic.Bool // this daemon has just started

	lag atomic.Int64 // by how much the figures of other daemons are old, in thousandths
}

// layouts is the chains of a service in one view.
type layouts struct {
	reader  *chain.Reader
	version uint64
	model   *spanrill.EngineModel
	chains  []*chain.Chain
	shape   string
}

// New returns a router over a table.
func New(table *fleet.Table, clock spanrill.Clock, log logrus.FieldLogger, random *rng.Source) *Router {
	return &Router{table: table, clock: clock, log: log, random: random, cache: map[string]*layouts{}}
}

// chains returns the chains of a service as the newest view shows them.
func (r *Router) chains(service string, m *spanrill.EngineModel, v *fleet.View) []*chain.Chain {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.cache[service]
	if l != nil && l.version == v.Version() && l.model == m {
		return l.chains
	}
	holders := make([]chain.Holder, 0, len(v.Of(service)))
	for _, u := range v.Of(service) {
		e := u.Entry()
		if l := u.Layers(); u.Takes() && l.Len() > 0 && l.To <= m.Layers && !replaced(v, u) {
			holders = append(holders, chain.Holder{ID: u.ID(), Zone: e.Zone, Layers: l, Pace: m.Kinds[e.Kind].Pace})
		}
	}
	next := &layouts{version: v.Version(), model: m}
	if l != nil && l.model.Layers == m.Layers {
		next.reader = l.reader
	} else {
		next.reader = chain.NewReader(m.Layers)
	}
	next.chains, _ = next.reader.Read(holders)
	next.shape = shapeOf(next.chains)
	if l == nil || l.shape != next.shape {
		events.ChainsChanged.Log(r.log, logrus.Fields{"service": service, "chains": next.shape, "view": v.Version()})
	}
	r.cache[service] = next
	return next.chains
}

// replaced reports whether an engine is slow and other ones of its availability
// zone hold its layers.
func replaced(v *fleet.View, slow *fleet.Upstream) bool {
	if !slow.Slow() {
		return false
	}
	var others []spanrill.LayerRange
	for _, u := range v.Of(slow.Service()) {
		if u != slow && u.Zone() == slow.Zone() && u.Takes() && !u.Dead() && !u.Slow() {
			others = append(others, u.Layers())
		}
	}
	return slow.Layers().CoveredBy(others)
}

// shapeOf describes chains for logs: their availability zone, engines and holes, and of more
// than shapesTold that are whole, which come first, only how many there are.
func shapeOf(chains []*chain.Chain) string {
	whole := 0
	for whole < len(chains) && chains[whole].Whole() {
		whole++
	}
	var s strings.Builder
	if whole > shapesTold {
		fmt.Fprintf(&s, "%d whole ", whole)
		chains = chains[whole:]
	}
	for _, c := range chains[:min(shapesTold, len(chains))] {
		fmt.Fprintf(&s, "%s:%d%v ", c.Zone(), len(c.Parts()), c.Holes())
	}
	if more := len(chains) - shapesTold; more > 0 {
		fmt.Fprintf(&s, "and %d more", more)
	}
	return s.String()
}

// shapesTold is how many chains a line describes one by one.
const shapesTold = 40

// Pick returns the path on which the request should end first. The caller
// releases it. The error is a *NoPathError.
//
// Engines that have only failed a request lately are used where no path has room
// without them: most failures are of one request, and refusing it is worse.
func (r *Router) Pick(service string, m *spanrill.EngineModel, need Need) (*Path, error) {
	path, err := r.pick(service, m, need, false)
	if err == nil {
		return path, nil
	}
	if path, lenient := r.pick(service, m, need, true); lenient == nil {
		return path, nil
	}
	return nil, err
}

// pick makes one choice.
func (r *Router) pick(service string, m *spanrill.EngineModel, need Need, lenient bool) (*Path, error) {
	v := r.table.View()
	s := &search{view: v, service: service, model: m, need: need, now: r.clock.Now(), pipes: &r.pipes}
	s.lag, s.lenient = r.Lag(), lenient
	var options []option
	var seen []considered
	covered := false
	for _, c := range r.chains(service, m, v) {
		parts, bridged, ok := s.complete(c)
		if !ok {
			seen = append(seen, s.incomplete(c))
			continue
		}
		if need.First != nil && !need.First[parts[0].Upstream.ID()] {
			continue
		}
		covered = true
		estimate, base := s.estimate(parts)
		room, pipe := s.roomFor(parts), s.pipesFor(parts, base)
		seen = append(seen, considered{first: parts[0].Upstream, estimate: estimate, base: base, room: room, pipe: pipe, now: s.now, full: s.fullParts(parts, room), lenient: lenient})
		if bridged {
			estimate *= bridgeFactor
		}
		o := s.option(parts, estimate)
		if !room || !pipe {
			o.flow, o.room, o.closed = 0, 0, true
		}
		if bridged {
			o.flow, o.room = o.flow*bridgeFlow, o.room*bridgeFlow
		}
		options = append(options, o)
	}
	best := r.best(service, options, need, s.lag)
	switch {
	case best != nil:
	case covered:
		return nil, &NoPathError{cause: ErrNoRoom, seen: seen}
	case s.rests:
		return nil, &NoPathError{cause: ErrRests, seen: seen}
	case s.limited:
		return nil, &NoPathError{cause: ErrLimited, seen: seen}
	case s.none != nil:
		return nil, &NoPathError{cause: s.none, seen: seen}
	default:
		return nil, &NoPathError{cause: ErrNoPath, seen: seen}
	}
	_, base := s.estimate(best)
	path := r.newPath(best, int64(need.tokens()), base)
	path.seen = seen
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

// HasRoom reports whether an engine has memory and slots to spare, as far as is
// known here.
func (r *Router) HasRoom(m *spanrill.EngineModel, u *fleet.Upstream) bool {
	capacity := cost.Capacity(m, m.Kinds[u.Entry().Kind], u.Layers().Len())
	slots := u.Entry().Slots
	return float64(u.Tokens()) < roomy*capacity && (slots == 0 || float64(u.Calls()) < roomy*float64(slots))
}

// roomy is the part of an engine's memory and slots up to which it has room.
const roomy = 0.7

// SetFleet sets how many daemons share the pipes between availability zones, how
// many rounds of news pass until each of them was heard of, and whether that many
// are known to be all.
func (r *Router) SetFleet(daemons, rounds int, settled bool) {
	r.pipes.daemons.Store(int64(max(1, daemons)))
	if !settled {
		r.lag.Store(lagUnit)
		return
	}
	r.lag.Store(int64(lagUnit * min(1, float64(rounds-1)/lagRounds)))
}

// SetStarting sets whether this daemon has just started and does not know the others.
func (r *Router) SetStarting(starting bool) { r.starting.Store(starting) }

const lagUnit = 1000

// Lag returns how old the figures of other daemons are, from 0 (a round of news)
// to 1.
func (r *Router) Lag() float64 { return float64(r.lag.Load()) / lagUnit }

// Replace returns a path that keeps the first engine and every other engine of p that
// can be used, and bridges the rest. Engines that leave, or that are being ordered to
// hold other layers, serve what runs on them, and take no part in an order to move a
// request: they are bridged too. Near allows only bridges in the availability zone of
// the part that they replace: every token so far has to be sent to an engine that
// takes a part over. The caller releases both paths.
func (r *Router) Replace(service string, m *spanrill.EngineModel, p *Path, need Need, near bool) (*Path, error) {
	s := &search{view: r.table.View(), service: service, model: m, need: need, now: r.clock.Now(), pipes: &r.pipes, draw: r.random.Float64}
	s.need.Urgent = true
	parts := p.Parts()
	if !s.takesMove(parts[0]) {
		return nil, ErrNoPath
	}
	used := map[string]bool{}
	for _, old := range parts {
		used[old.Upstream.ID()] = true
	}
	next := []Part{parts[0]}
	for i := 1; i < len(parts); {
		old := parts[i]
		if s.takesMove(old) {
			next = append(next, old)
			i++
			continue
		}
		end := s.untilTaken(parts, i, near)
		s.zone = ""
		if near {
			s.zone = old.Upstream.Zone()
		}
		bridge, err := s.bridge(spanrill.LayerRange{From: old.Layers.From, To: parts[end-1].Layers.To}, used)
		if err != nil {
			return nil, err
		}
		next = append(next, bridge...)
		i = end
	}
	if len(next) > maxParts {
		return nil, ErrNoPath
	}
	return r.newPath(next, p.tokens.Load(), p.expected), nil
}
