// Package membership keeps the list of daemons that are alive.
//
// The list is kept by gossip. Each daemon increments its heartbeat in every round and sends it
// to a few other daemons, with the heartbeats of some members that it knows. A member whose
// heartbeat has not increased for some rounds is suspected, and later considered dead. When the
// heartbeat increases again, the member is alive again, so that a daemon that was frozen or
// partitioned needs no special handling. A daemon that restarts has a higher incarnation.
//
// The box list provides the first addresses to contact. It is updated late, so daemons that are
// known only from gossip are members as well.
//
// The list may be wrong or differ between daemons. Use it to distribute work and information
// only; guarantees need conditional updates of the platform's objects.
//
// # Usage
//
//	m := membership.New(self, clock, sender, membership.WithRandom(random))
//	err := m.Run(ctx)
//	for _, peer := range m.Live() { ... }
package membership

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/task"
)

// Sender sends gossip to one peer. It may block until a connection is established.
type Sender func(addr string, g *peermsg.Gossip) error

// List is the list of live daemons, as this daemon knows them.
type List struct {
	clock    spanrill.Clock
	running  spanrill.RunningTime
	send     Sender
	log      logrus.FieldLogger
	random   *rng.Source
	onNewer  func(peermsg.Member)
	revision func() uint64
	round    spanrill.Millis
	fanout   int

	live        atomic.Pointer[roster]
	mu          sync.Mutex
	self        peermsg.Member
	entries     map[string]*entry
	sorted      []*entry          // the same entries, sorted by name
	boxAddrs    map[string]string // box name to peer address
	changed     bool              // whether live is out of date
	publishedAt spanrill.Millis   // when live was last replaced
	roundNow    chan struct{}

	eventLimiters map[events.Event]*events.Limiter

	rankingsMu sync.Mutex
	rankings   map[string]ranking // by key
}

// roster is an immutable snapshot of the live members.
type roster struct {
	members  []peermsg.Member // sorted by name
	others   []int            // indices of all members but this daemon
	sameZone []int            // indices of the others in this daemon's availability zone
}

// Option changes a default of New.
type Option func(*List)

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(l *List) { l.log = log }
}

// WithRandom sets the source of random choices.
func WithRandom(r *rng.Source) Option {
	return func(l *List) { l.random = r }
}

// WithRevision sets the function that returns the revision of the configuration in force, and
// the function that is called when a member has a newer one.
func WithRevision(revision func() uint64, onNewer func(peermsg.Member)) Option {
	return func(l *List) { l.revision, l.onNewer = revision, onNewer }
}

// WithRunningTime sets what tells for how long this process has run, so that other daemons whose
// messages it has not read yet do not count as silent.
func WithRunningTime(r spanrill.RunningTime) Option {
	return func(l *List) { l.running = r }
}

// WithRound sets the interval between rounds.
func WithRound(d spanrill.Millis) Option {
	return func(l *List) { l.round = d }
}

const (
	defaultRound  = spanrill.Second
	defaultFanout = 3
	// maxMembers is the maximum number of members in one message.
	maxMembers = 40
	// overdueRounds and deadRounds are the numbers of rounds without a new heartbeat after which
	// a member is asked itself, and considered dead.
	overdueRounds = 4
	deadRounds    = 8
	// answerRounds is the number of rounds after which a member that was asked is suspected. Between two
	// daemons messages take a fraction of a round.
	answerRounds = 1
	// maxAsked is the number of overdue and suspected members that are asked in one round, and maxSuspects
	// that of suspected members in one message.
	maxAsked    = 8
	maxSuspects = maxMembers / 2
	// forgetRounds is the number of rounds without a new heartbeat after which a member is removed.
	forgetRounds = 600
)

// New returns a list that contains only this daemon.
func New(self peermsg.Member, clock spanrill.Clock, send Sender, opts ...Option) *List {
	l := &List{
		clock: clock, running: spanrill.NeverStalled{Clock: clock}, send: send, log: logrus.StandardLogger(), random: rng.New(1),
		onNewer: func(peermsg.Member) {}, revision: func() uint64 { return 0 },
		round: defaultRound, fanout: defaultFanout, self: self,
		entries: map[string]*entry{}, boxAddrs: map[string]string{}, roundNow: make(chan struct{}, 1), rankings: map[string]ranking{},
	}
	for _, o := range opts {
		o(l)
	}
	if l.self.Incarnation == 0 {
		l.self.Incarnation = uint64(clock.Unix())
	}
	l.eventLimiters = newEventLimiters(clock)
	l.publish()
	l.publishedAt -= l.round // do not throttle the first update
	return l
}

// Live returns the members that are alive or suspected, including this daemon, sorted by name.
// The slice must not be modified.
func (l *List) Live() []peermsg.Member { return l.live.Load().members }

// Others returns the live members without this daemon.
func (l *List) Others() []peermsg.Member {
	r := l.live.Load()
	others := make([]peermsg.Member, len(r.others))
	for i, index := range r.others {
		others[i] = r.members[index]
	}
	return others
}

// HasMajority reports whether most of the daemons that this one knows are live, itself included. Those that
// have said that they leave do not count, nor those that have been silent for so long that they were
// forgotten. Without a majority this daemon may be cut off from most others, which act without it.
func (l *List) HasMajority() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	live, lost := 1, 0
	for _, e := range l.sorted {
		switch {
		case e.state.isLive():
			live++
		case e.state == dead:
			lost++
		}
	}
	return live > lost
}

// SetBoxes sets the addresses to contact from the entry boxes of a box list.
func (l *List) SetBoxes(boxes []spanrill.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	boxAddrs := map[string]string{}
	for _, b := range boxes {
		if b.Role == spanrill.RoleEntry && b.Name != l.self.Name && b.PeerAddr != "" {
			boxAddrs[b.Name] = b.PeerAddr
		}
	}
	l.boxAddrs = boxAddrs
}

// TriggerRound starts the next round at once, so that new information spreads faster.
func (l *List) TriggerRound() {
	select {
	case l.roundNow <- struct{}{}:
	default:
	}
}

// Leave notifies the other daemons that this daemon is stopping.
func (l *List) Leave(ctx context.Context) {
	l.mu.Lock()
	l.self.Leaving = true
	l.mu.Unlock()
	var tasks task.Group
	l.sendTo(ctx, &tasks, l.gossip(), l.Others()...)
	_ = tasks.Wait()
}

// Run gossips until the context ends.
func (l *List) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.Round(ctx)
		select {
		case <-ctx.Done():
		case <-l.clock.After(l.jitter(l.round)):
		case <-l.roundNow:
		}
	}
	return ctx.Err()
}

// jitter varies an interval randomly by up to a tenth.
func (l *List) jitter(d spanrill.Millis) spanrill.Millis {
	return d*9/10 + spanrill.Millis(l.random.Float64()*float64(d)/5)
}

// Round updates the states of the members and sends gossip once.
func (l *List) Round(ctx context.Context) {
	l.updateStates()
	targets := l.targets()
	g := l.gossip()
	silent := l.takeSilent()
	m, ok := l.randomNonLiveBox() // before the answers to this round arrive
	var tasks task.Group
	l.sendTo(ctx, &tasks, g, targets...)
	for _, s := range silent {
		l.sendTo(ctx, &tasks, &peermsg.Gossip{Members: []peermsg.Member{g.Members[0], s}}, s)
	}
	if ok {
		l.sendTo(ctx, &tasks, withReceiver(g, m), m)
	}
	_ = tasks.Wait()
}
