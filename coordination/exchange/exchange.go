// Package exchange shares news between the daemons of a fleet: what their
// requests hold at each upstream, and how fresh their configuration is.
//
// Each daemon asks others, and counts the age of an answer from before it
// asked. A message that was delayed, or a daemon that stood still, can
// therefore make knowledge look older than it is, never younger. A daemon that
// the platform's store turns away proves its configuration in this way, and
// fetches a newer one from the peer that has it.
//
// In a small fleet each daemon asks all others in every round. In a larger one
// it asks two parents in trees over all daemons (tree.go) and a few others. What
// the daemons at the roots read from the platform's store goes down the trees,
// and sums over all daemons go up and come down again (sums.go), so that the
// price for each daemon does not grow with the fleet.
//
// # Usage
//
//	e := exchange.New(peers, exchange.State{...}, clock)
//	err := e.Run(ctx)
package exchange

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/lease"
	"spanrill/coordination/ratelimit"
	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/state/fleet"
	"spanrill/state/routes"
	"spanrill/task"
)

// Peers is how other daemons are reached.
type Peers interface {
	// Others returns the daemons that are alive, without this one.
	Others() []peermsg.Member
	// Ranked returns all daemons that are alive, with this one, in the order in
	// which they ask the platform's store.
	Ranked() []peermsg.Member
	// Ask sends a request to a peer and decodes its reply.
	Ask(ctx context.Context, addr string, kind uint8, req, reply any) error
}

// State is what news are made of.
type State struct {
	Name      string
	Zone      string   // availability zone of this daemon
	Seeds     []string // peer addresses of daemons that it was told of, without this one
	Config    *routes.Current
	Fleet     *fleet.Table
	Placement func() bool // holds the lease of placement
	Leaving   func() bool
	// StoreSilent reports whether the platform's store does not answer this daemon.
	StoreSilent func() bool
	// Late returns for how many rounds the entries have been older than they are where the
	// trees hand on what the first in rank reads.
	Late     func() int
	Budgets  *retry.Budgets
	Lease    *lease.Lease // of placement
	Suspects *suspect.Ledger
	// Targets returns what this daemon is ordering engines to hold, by id.
	Targets func() map[string]fleet.Target
	// Decode decodes a configuration as it lies in the store.
	Decode func(value []byte) (*spanrill.RouteConfig, error)
}

const (
	// Gap is the pause between two rounds. What other daemons hold is this old
	// in the worst case; in that time a daemon of today starts two requests.
	Gap spanrill.Millis = 250
	gap                 = Gap
	// askWait bounds one question: many times a round trip of 1 ms.
	askWait spanrill.Millis = 400
	// fanout is up to how many peers are all asked in each round, and how many
	// daemons ask the same parent in a larger fleet.
	fanout = 8
	// asked is how many peers are asked in a round in a larger fleet.
	asked = 4
	// mostLate is after how many late rounds the number of peers that a daemon asks rises no
	// more.
	mostLate = 3
	// keep is how long the figures of a peer that does not answer are counted.
	// Its requests go on for about as long as a usual answer takes.
	keep = 2 * spanrill.Second
)

// Exchange asks for news and answers questions.
type Exchange struct {
	peers  Peers
	state  State
	clock  spanrill.Clock
	log    logrus.FieldLogger
	random *rng.Source

	mu    sync.Mutex
	heard map[string]heard // by name of the peer
	told  map[uint32]told  // by key of the engine
	shown shown

	asking  map[string]bool            // peers with a question under way
	askedAt map[string]spanrill.Millis // by name of the peer, when it was asked last
	mute    map[string]bool            // peers that did not answer their last question
	asks    task.Group

	placement placement              // what the holder of the lease said last
	own       placement              // what this daemon says as the holder
	peerKnows map[string]knownOrders // by name of a peer, what it knew when it answered last

	sums      sums         // in a large fleet
	trees     *topology    // at the last look
	others    atomic.Int64 // daemons that are alive, without this one, at the last round
	grewAt    atomic.Int64 // when a daemon was added last
	startedAt spanrill.Millis
	early     int // rounds of a daemon that did not know what the store holds
	// wasSettled is whether the fleet was known at the last round.
	wasSettled atomic.Bool
	// deepest is the levels of the trees at the last round, in a large fleet.
	deepest atomic.Int64

	fetching chan struct{} // holds one token while something large is fetched
	config   packed        // as peers fetch it
	entries  packed        // of upstreams
}

// heard is the last news of a peer.
type heard struct {
	news peermsg.News
	at   spanrill.Millis // before it was asked
}

// New returns an exchange.
func New(peers Peers, state State, clock spanrill.Clock, log logrus.FieldLogger, random *rng.Source) *Exchange {
	e := &Exchange{peers: peers, state: state, clock: clock, log: log, random: random, heard: map[string]heard{}, told: map[uint32]told{}, asking: map[string]bool{}, peerKnows: map[string]knownOrders{}, askedAt: map[string]spanrill.Millis{}, fetching: make(chan struct{}, 1), mute: map[string]bool{}}
	e.startedAt = clock.Now()
	e.grewAt.Store(int64(e.startedAt))
	return e
}

// Run asks for news until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		e.Round(ctx)
		select {
		case <-ctx.Done():
		case <-e.clock.After(e.Pause()):
		}
	}
	_ = e.asks.Wait() // a peer that did not answer was asked again
	return ctx.Err()
}

// Round asks some peers at the same time and takes what they say. It waits a
// little for their answers, and not for a peer that is cut off: that one is
// asked again when its question has ended, and what others say goes on.
func (e *Exchange) Round(ctx context.Context) {
	var waiting sync.WaitGroup
	for _, t := range e.targets() {
		if !e.begin(t.member.Name) {
			continue
		}
		waiting.Add(1)
		e.asks.Start(ctx, "ask for news", func(ctx context.Context) error {
			defer waiting.Done()
			defer e.end(t.member.Name)
			return e.ask(ctx, t)
		})
	}
	all := make(chan struct{})
	go func() {
		waiting.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(answerWait.Duration()):
	}
	e.apply()
}

// answerWait is how long a round waits for answers: many times a round trip.
const answerWait spanrill.Millis = 60

// begin notes that a peer is being asked, and reports false if it already is.
func (e *Exchange) begin(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.asking[name] {
		return false
	}
	e.asking[name] = true
	e.askedAt[name] = e.clock.Now()
	return true
}

func (e *Exchange) end(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.asking, name)
}

func (e *Exchange) ask(ctx context.Context, t target) error {
	m := t.member
	ctx, cancel := context.WithTimeout(ctx, askWait.Duration())
	defer cancel()
	sent := e.clock.Now()
	var news peermsg.News
	err := e.peers.Ask(ctx, m.PeerAddr, uint8(peermsg.KindNews), e.question(t), &news)
	e.noteMute(m.Name, err != nil)
	if err != nil {
		return err
	}
	e.takeFleet(news.Fleet, sent)
	e.takeAnswered(&news, sent)
	e.TakeSuspects(news.Suspects)
	ratelimit.TakeNews(e.state.Fleet, news.Limits, sent)
	e.mu.Lock()
	e.heard[cmp.Or(news.Name, m.Name)] = heard{news: news, at: sent}
	e.mu.Unlock()
	e.notePeerKnows(m.Name, news.Placement)
	if news.Placement == nil {
		e.forgetPlacement(m.Name, sent)
	}
	e.takePlacement(news.Placement, sent)
	if err := e.catchUpConfig(ctx, m, news.Revision); err != nil {
		return err
	}
	e.state.Config.Prove(news.Revision, sent-news.ProofAge)
	return e.catchUpEntries(ctx, m, &news, sent)
}

// takeAnswered notes that the platform's store has answered a peer or others that it
// heard of. A span that begins later than it did, because the answer took its time, says
// less, and one that ends earlier too.
func (e *Exchange) takeAnswered(news *peermsg.News, sent spanrill.Millis) {
	if news.UpstreamsAt != 0 {
		e.state.Fleet.Answered(e.clock.Now()-news.StoreAnswered, sent-news.UpstreamsAge)
	}
}

// answeredMost is more than an entry can have gone unheard of at a daemon that is still
// among the members, and takes three bytes of a message.
const answeredMost = 30 * spanrill.Second

// SaysStoreSilent reports whether a peer has said lately that the platform's store
// does not answer it, so that others ask the store in its place.
func (e *Exchange) SaysStoreSilent(peer string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.heard[peer]
	return ok && h.news.StoreSilent && e.clock.Now()-h.at <= keep
}

// StoreSilentToSome reports whether a peer has said lately that the platform's store does
// not answer it.
func (e *Exchange) StoreSilentToSome() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for _, h := range e.heard {
		if h.news.StoreSilent && now-h.at <= keep {
			return true
		}
	}
	return false
}

// News answers a question for news.
func (e *Exchange) News(asked *peermsg.AskNews) *peermsg.News {
	n := &peermsg.News{
		Name: e.state.Name, Revision: e.state.Config.Revision(), ProofAge: e.state.Config.Age(),
		Placement: e.placementNews(knownOrders{asked.Holder, asked.Sequence}), Leaving: e.state.Leaving(), StoreSilent: e.state.StoreSilent(),
	}
	n.UpstreamsAt, n.UpstreamsChange, n.UpstreamsAge = e.state.Fleet.Proof()
	n.StoreAnswered = min(e.state.Fleet.AnsweredFor(), answeredMost)
	n.Suspects = e.suspectNews(asked.Suspects)
	n.Limits = ratelimit.News(e.state.Fleet, e.clock, asked.Limits)
	e.takeBelow(asked)
	e.takePlacement(asked.Placement, e.clock.Now())
	n.Fleet = e.fleetNews(asked)
	if e.Rounds() == 1 {
		own := e.ownSum().message()
		n.Uses, n.Retries = own.Uses, own.Retries
	}
	now := e.clock.Now()
	e.state.Fleet.EachActive(func(u *fleet.Upstream) {
		if u.RefusedHere(now) {
			n.Refusing = append(n.Refusing, u.Key())
		}
	})
	return n
}
