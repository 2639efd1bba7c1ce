// Package membership keeps the list of daemons that are alive.
//
// Each daemon counts a heartbeat. In every round it tells a few others its own
// count and what it knows of some members. A member whose count has not risen
// for a while is suspected, then taken as dead; a count that rises again brings
// it back, so that a daemon that was frozen or parted needs no special case.
// A daemon that was started again has a higher incarnation.
//
// The box list gives the first members to talk to. It lags, so that a daemon
// not on it that is heard of from others counts as well.
//
// Nothing that must hold rests on this list: it spreads work and news. What
// must hold rests on conditional updates of the platform's objects.
//
// # Usage
//
//	m := membership.New(self, clock, sender, membership.WithSeed(random))
//	err := m.Run(ctx)
//	for _, peer := range m.Live() { ... }
package membership

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/task"
)

// Sender sends gossip to one peer. It may wait until a connection is made.
type Sender func(addr string, g *peermsg.Gossip) error

// state is what the list takes a member for.
type state uint8

const (
	alive state = iota
	suspected
	dead
	left
)

// entry is one member as this daemon knows it.
type entry struct {
	member peermsg.Member
	risen  spanrill.Millis // when its count rose last
	state  state
}

// List is the list of daemons.
type List struct {
	clock    spanrill.Clock
	send     Sender
	log      logrus.FieldLogger
	random   *rng.Source
	onNewer  func(peermsg.Member)
	revision func() uint64
	round    spanrill.Millis
	fanout   int

	live    atomic.Pointer[[]peermsg.Member]
	mu      sync.Mutex
	self    peermsg.Member
	entries map[string]*entry
	seeds   map[string]string // box name to peer address
	changed bool              // whether the live members differ from live
	nudge   chan struct{}
}

// Option changes a default of New.
type Option func(*List)

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) Option {
	return func(l *List) { l.log = log }
}

// WithRandom sets the source of random choices.
func WithRandom(r *rng.Source) Option {
	return func(l *List) { l.random = r }
}

// WithRevision sets where the configuration in force is read, and what is
// called when a member has a newer one.
func WithRevision(revision func() uint64, onNewer func(peermsg.Member)) Option {
	return func(l *List) { l.revision, l.onNewer = revision, onNewer }
}

// WithRound sets the pause between two rounds.
func WithRound(d spanrill.Millis) Option {
	return func(l *List) { l.round = d }
}

const (
	defaultRound  = spanrill.Second
	defaultFanout = 3
	// maxMembers bounds the members in one message.
	maxMembers = 40
	// suspectRounds and deadRounds are the rounds without a rise of the count
	// after which a member is suspected, and taken as dead.
	suspectRounds = 4
	deadRounds    = 8
	// forgetRounds is when a dead member is forgotten.
	forgetRounds = 600
)

// New returns a list that holds this daemon alone.
func New(self peermsg.Member, clock spanrill.Clock, send Sender, opts ...Option) *List {
	l := &List{
		clock: clock, send: send, log: logrus.StandardLogger(), random: rng.New(1),
		onNewer: func(peermsg.Member) {}, revision: func() uint64 { return 0 },
		round: defaultRound, fanout: defaultFanout, self: self,
		entries: map[string]*entry{}, seeds: map[string]string{}, nudge: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(l)
	}
	if l.self.Incarnation == 0 {
		l.self.Incarnation = uint64(clock.Unix())
	}
	l.publish()
	return l
}

// Live returns the members that are alive or merely suspected, this daemon
// included, in the order of their names. The slice must not be changed.
func (l *List) Live() []peermsg.Member { return *l.live.Load() }

// Others returns the live members without this daemon.
func (l *List) Others() []peermsg.Member {
	all := l.Live()
	others := make([]peermsg.Member, 0, len(all))
	for _, m := range all {
		if m.Name != l.self.Name {
			others = append(others, m)
		}
	}
	return others
}

// SetBoxes takes the entry boxes of a box list as members to talk to.
func (l *List) SetBoxes(boxes []spanrill.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seeds := map[string]string{}
	for _, b := range boxes {
		if b.Role == spanrill.RoleEntry && b.Name != l.self.Name && b.PeerAddr != "" {
			seeds[b.Name] = b.PeerAddr
		}
	}
	l.seeds = seeds
}

// Nudge makes the next round come at once, so that news spreads faster.
func (l *List) Nudge() {
	select {
	case l.nudge <- struct{}{}:
	default:
	}
}

// Leave tells the others that this daemon is stopping.
func (l *List) Leave(ctx context.Context) {
	l.mu.Lock()
	l.self.Leaving = true
	l.mu.Unlock()
	l.tell(ctx, l.Others())
}

// Run gossips until the context ends.
func (l *List) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.Round(ctx)
		select {
		case <-ctx.Done():
		case <-l.clock.After(l.spread(l.round)):
		case <-l.nudge:
		}
	}
	return ctx.Err()
}

// spread varies a pause by a tenth to either side.
func (l *List) spread(d spanrill.Millis) spanrill.Millis {
	return d*9/10 + spanrill.Millis(l.random.Float64()*float64(d)/5)
}

// Round judges the members and gossips once.
func (l *List) Round(ctx context.Context) {
	l.judge()
	l.tell(ctx, l.targets())
}

// tell sends this daemon's gossip to some members at the same time.
func (l *List) tell(ctx context.Context, targets []peermsg.Member) {
	g := l.gossip()
	var tasks task.Group
	for _, m := range targets {
		tasks.Start(ctx, "gossip", func(context.Context) error { return l.send(m.PeerAddr, g) })
	}
	_ = tasks.Wait()
}

// targets returns a few random live members, those suspected, which are asked
// to answer, and one box that is not known to be alive.
func (l *List) targets() []peermsg.Member {
	others := l.Others()
	for i := len(others) - 1; i > 0; i-- {
		k := l.random.IntN(i + 1)
		others[i], others[k] = others[k], others[i]
	}
	targets := append(others[:min(l.fanout, len(others)):min(l.fanout, len(others))], l.suspects()...)
	if unknown := l.unknownSeeds(); len(unknown) > 0 {
		targets = append(targets, unknown[l.random.IntN(len(unknown))])
	}
	return targets
}

// suspects returns suspected members. Each of them is tried in every round
// until it is heard of or dead.
func (l *List) suspects() []peermsg.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []peermsg.Member
	for _, e := range l.entries {
		if e.state == suspected {
			all = append(all, e.member)
		}
	}
	return all
}

func (l *List) unknownSeeds() []peermsg.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unknown []peermsg.Member
	for name, addr := range l.seeds {
		if e := l.entries[name]; e == nil || e.state == dead || e.state == left {
			unknown = append(unknown, peermsg.Member{Name: name, PeerAddr: addr})
		}
	}
	sort.Slice(unknown, func(i, k int) bool { return unknown[i].Name < unknown[k].Name })
	return unknown
}

// gossip returns this daemon's own entry, those of suspected members, which
// answer when they see how old their count is, and those of random members.
func (l *List) gossip() *peermsg.Gossip {
	suspects := l.suspects()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Beat++
	l.self.Revision = l.revision()
	g := &peermsg.Gossip{Members: append([]peermsg.Member{l.self}, suspects...)}
	for _, e := range l.entries { // the order of a map is random enough here
		if len(g.Members) >= maxMembers {
			break
		}
		if e.state == alive || e.state == left {
			g.Members = append(g.Members, e.member)
		}
	}
	return g
}

// Take learns from the gossip of a peer.
func (l *List) Take(g *peermsg.Gossip) {
	var newer *peermsg.Member
	own := l.revision()
	for i := range g.Members {
		m := &g.Members[i]
		if m.Name == l.self.Name {
			l.refute(g.Members[0], *m)
			continue
		}
		if l.learn(*m) && m.Revision > own && (newer == nil || m.Revision > newer.Revision) {
			newer = m
		}
	}
	l.publish()
	if newer != nil {
		l.onNewer(*newer)
	}
}

// refute answers a peer that has not heard of this daemon for long.
func (l *List) refute(from, seen peermsg.Member) {
	l.mu.Lock()
	stale := seen.Incarnation == l.self.Incarnation && seen.Beat+suspectRounds <= l.self.Beat
	answer := &peermsg.Gossip{Members: []peermsg.Member{l.self}}
	l.mu.Unlock()
	if stale {
		_ = l.send(from.PeerAddr, answer)
	}
}

// learn takes news of one member and reports whether it was news.
func (l *List) learn(m peermsg.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[m.Name]
	if e == nil {
		e = &entry{state: dead}
		l.entries[m.Name] = e
	}
	old := e.member
	l.changed = l.changed || m.Incarnation != old.Incarnation
	if m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.Beat <= old.Beat {
		return false
	}
	e.member, e.risen = m, l.clock.Now()
	l.change(e, stateOf(m))
	return true
}

func stateOf(m peermsg.Member) state {
	if m.Leaving {
		return left
	}
	return alive
}

// change moves a member to another state. The caller holds the lock.
func (l *List) change(e *entry, to state) {
	from := e.state
	e.state = to
	if from == to {
		return
	}
	l.changed = true
	fields := logrus.Fields{"peer": e.member.Name}
	switch {
	case to == left:
		events.PeerLeft.Log(l.log, fields)
	case to == suspected:
		events.PeerSuspect.Log(l.log, fields)
	case to == dead:
		events.PeerLost.Log(l.log, fields)
	case from == suspected:
		events.PeerReturned.Log(l.log, fields)
	default:
		events.PeerJoined.Log(l.log, fields)
	}
}

// judge suspects and forgets members whose count does not rise.
func (l *List) judge() {
	l.mu.Lock()
	now := l.clock.Now()
	scale := l.patience()
	for name, e := range l.entries {
		silent := now - e.risen
		switch {
		case silent > scale*forgetRounds:
			delete(l.entries, name)
			l.changed = true
		case e.state == left:
		case silent > scale*deadRounds:
			l.change(e, dead)
		case silent > scale*suspectRounds:
			l.change(e, suspected)
		}
	}
	l.mu.Unlock()
	l.publish()
}

// patience is the length of a round for judging: it grows once the members no
// longer fit into one message, since then not every count comes with each
// round. The caller holds the lock.
func (l *List) patience() spanrill.Millis {
	full := 1 + len(l.entries)/(maxMembers*l.fanout)
	return l.round * spanrill.Millis(full)
}

// publish makes the list of live members that readers see.
func (l *List) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.changed && l.live.Load() != nil {
		return
	}
	l.changed = false
	live := []peermsg.Member{l.self}
	for _, e := range l.entries {
		if e.state == alive || e.state == suspected {
			live = append(live, e.member)
		}
	}
	sort.Slice(live, func(i, k int) bool { return live[i].Name < live[k].Name })
	l.live.Store(&live)
}

// Owners returns the n live members that own a key, by rendezvous hashing:
// when a member comes or goes, only its own keys move.
func (l *List) Owners(key string, n int) []peermsg.Member {
	live := l.Live()
	ranked := append([]peermsg.Member(nil), live...)
	sort.Slice(ranked, func(i, k int) bool { return rank(key, ranked[i].Name) > rank(key, ranked[k].Name) })
	return ranked[:min(n, len(ranked))]
}

// Owns reports whether this daemon is among the n owners of a key.
func (l *List) Owns(key string, n int) bool {
	return l.OwnsAmong(key, n, func(peermsg.Member) bool { return true })
}

// OwnsAmong reports whether this daemon is among the n owners of a key, when
// only the members that match count.
func (l *List) OwnsAmong(key string, n int, match func(peermsg.Member) bool) bool {
	mine, better := rank(key, l.self.Name), 0
	for _, m := range l.Live() {
		if m.Name != l.self.Name && match(m) && rank(key, m.Name) > mine {
			better++
		}
	}
	return better < n
}

func rank(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
