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
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/task"
)

// Sender sends gossip to one peer. It may wait until a connection is made.
type Sender func(addr string, g *peermsg.Gossip) error

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

	live        atomic.Pointer[roster]
	mu          sync.Mutex
	self        peermsg.Member
	entries     map[string]*entry
	sorted      []*entry          // the same in the order of their names
	seeds       map[string]string // box name to peer address
	changed     bool              // whether the live members differ from live
	publishedAt spanrill.Millis   // when live was made
	nudge       chan struct{}

	lines map[events.Event]*events.Limiter

	ordersMu sync.Mutex
	orders   map[string]order // by key
}

// roster is the live members at one moment. It is not changed after it was made.
type roster struct {
	members []peermsg.Member // in the order of their names
	others  []int            // places of all but this daemon
	near    []int            // of these, places of those in its availability zone
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
		entries: map[string]*entry{}, seeds: map[string]string{}, nudge: make(chan struct{}, 1), orders: map[string]order{},
	}
	for _, o := range opts {
		o(l)
	}
	if l.self.Incarnation == 0 {
		l.self.Incarnation = uint64(clock.Unix())
	}
	l.lines = newLines(clock)
	l.publish()
	l.publishedAt -= l.round // the first news is taken at once
	return l
}

// Live returns the members that are alive or merely suspected, this daemon
// included, in the order of their names. The slice must not be changed.
func (l *List) Live() []peermsg.Member { return l.live.Load().members }

// Others returns the live members without this daemon.
func (l *List) Others() []peermsg.Member {
	r := l.live.Load()
	others := make([]peermsg.Member, len(r.others))
	for i, at := range r.others {
		others[i] = r.members[at]
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
	var tasks task.Group
	l.tell(ctx, &tasks, l.gossip(), l.Others()...)
	_ = tasks.Wait()
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
	targets := l.targets()
	g := l.gossip()
	m, ok := l.unknown() // before answers come
	var tasks task.Group
	l.tell(ctx, &tasks, g, targets...)
	if ok {
		l.tell(ctx, &tasks, asking(g, m), m)
	}
	_ = tasks.Wait()
}
