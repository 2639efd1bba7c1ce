// Package exchange spreads state between the daemons of a fleet: the tokens and calls that
// their requests hold at each upstream, the configuration, the entries of upstreams, placement
// orders, retry counts, rate limits, and the requests that are suspected of crashing upstreams.
//
// Daemons poll each other. The age of an answer counts from before the request was sent, so
// that a delayed message or a stalled daemon makes data look older than it is, never younger.
// A daemon that cannot read the platform's store confirms its configuration in this way, and
// fetches a newer one from a peer that has it.
//
// In a small fleet each daemon asks all others in every round. In a larger one it asks its
// parents in two trees over all daemons (tree.go) and a few others. What the roots read from the
// platform's store travels down the trees. Sums over all daemons travel up and down again
// (sums.go), so that the cost for each daemon does not grow with the fleet.
//
// # Usage
//
//	e := exchange.New(peers, exchange.State{...}, clock, log, random)
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
	"spanrill/coordination/quarantine"
	"spanrill/coordination/ratelimit"
	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/state/fleet"
	"spanrill/state/routes"
	"spanrill/task"
)

// Peers lists the other daemons and sends requests to them.
type Peers interface {
	// Others returns the live daemons, without this one.
	Others() []peermsg.Member
	// Ranked returns all live daemons, with this one, in the order in which they ask the
	// platform's store.
	Ranked() []peermsg.Member
	// Request sends a request to a peer and decodes its reply.
	Request(ctx context.Context, addr string, kind uint8, req, reply any) error
}

// State is the local state that an exchange reads, reports to peers and updates from them.
type State struct {
	Name           string
	Zone           string   // availability zone of this daemon
	Seeds          []string // configured peer addresses, without this daemon's own
	Config         *routes.Current
	Fleet          *fleet.Table
	HoldsPlacement func() bool // reports whether this daemon holds the placement lease
	Leaving        func() bool
	// StoreSilent reports whether the platform's store does not answer this daemon.
	StoreSilent func() bool
	// LateRounds returns by how many rounds the entries of upstreams are later than the trees
	// should deliver them. The exchange then asks more peers.
	LateRounds func() int
	Budgets    *retry.Budgets
	Lease      *lease.Lease // the placement lease
	Suspects   *suspect.Ledger
	Parts      *quarantine.Ledger
	// Known reports whether this daemon knows what the store holds of withheld requests and parts, and
	// SetKnown is called when a peer that does has told all of it.
	Known    func() bool
	SetKnown func()
	// Targets returns the layers that this daemon is ordering engines to hold, by engine id.
	Targets func() map[string]fleet.Target
	// LostPaths returns the services to whose upstreams this daemon has lost its network path, or is
	// nil.
	LostPaths func() []peermsg.LostPath
	// Decode decodes a configuration from the form in which the store holds it.
	Decode func(value []byte) (*spanrill.RouteConfig, error)
}

const (
	// RoundInterval is the mean pause between two rounds, and so about the largest age of the
	// figures of a peer that is asked in every round. A daemon starts two requests in that time.
	RoundInterval spanrill.Millis = 250
	roundInterval                 = RoundInterval
	// minRoundInterval is the least time between the beginnings of two rounds, the second of which
	// begins early because a request waits for news.
	minRoundInterval spanrill.Millis = 100
	// requestTimeout bounds one request to a peer: many times a round trip of 1 ms.
	requestTimeout spanrill.Millis = 400
	// fanout is the number of peers up to which a daemon asks all of them in each round, and the
	// number of children of a daemon in the trees of a larger fleet.
	fanout = 8
	// askedPerRound is how many peers a daemon asks in each round in a larger fleet.
	askedPerRound = 4
	// maxLateRounds caps the effect of late rounds: each of them adds askedPerRound peers to the
	// next round.
	maxLateRounds = 3
	// newsTTL is how long the last figures of a peer that no longer answers are used: about as
	// long as its running requests usually take to end.
	newsTTL = 2 * spanrill.Second
)

// Exchange polls peers in rounds and answers their requests.
type Exchange struct {
	peers  Peers
	state  State
	clock  spanrill.Clock
	log    logrus.FieldLogger
	random *rng.Source

	mu           sync.Mutex
	newsByPeer   map[string]peerNews    // by name
	knownTargets map[uint32]knownTarget // by key of the engine
	applied      appliedState

	pending      map[string]bool            // peers with a request in flight
	askedAt      map[string]spanrill.Millis // when each peer was last asked, by name
	unresponsive map[string]bool            // peers that did not answer the last request
	requestTasks task.Group

	placement    placement              // as the lease holder last reported it
	ownPlacement placement              // what this daemon reports as the lease holder
	peerOrders   map[string]knownOrders // by peer, the orders that it knew when it last answered

	sums           treeSums     // used in a large fleet only
	cachedTopology *topology    // rebuilt when the members change
	otherCount     atomic.Int64 // live daemons, without this one, in the last round
	lastAddedAt    atomic.Int64 // when a daemon last joined
	sumsAsOf       atomic.Int64 // result of SumsAsOf
	lostByOthers   lostByOthers // as of the last round
	startedAt      spanrill.Millis
	startRounds    int // rounds before this daemon had a configuration and entries
	// fleetSizeWasKnown is the result of FleetSizeKnown in the last round.
	fleetSizeWasKnown atomic.Bool
	// depth is the number of levels of the trees in the last round.
	depth atomic.Int64

	wake          chan struct{} // ends the pause between two rounds
	roundBegunAt  spanrill.Millis
	fetchSlot     chan struct{} // one token: one large fetch at a time
	packedConfig  packedCache   // for peers that fetch it
	packedEntries packedCache   // of upstreams, for peers that fetch them
}

// peerNews is the last answer of a peer to a request for news.
type peerNews struct {
	news    peermsg.News
	askedAt spanrill.Millis // when the request was sent
}

// New returns an exchange. Run or Round starts its polling.
func New(peers Peers, state State, clock spanrill.Clock, log logrus.FieldLogger, random *rng.Source) *Exchange {
	e := &Exchange{peers: peers, state: state, clock: clock, log: log, random: random, newsByPeer: map[string]peerNews{}, knownTargets: map[uint32]knownTarget{}, pending: map[string]bool{}, peerOrders: map[string]knownOrders{}, askedAt: map[string]spanrill.Millis{}, fetchSlot: make(chan struct{}, 1), wake: make(chan struct{}, 1), roundBegunAt: spanrill.Never, unresponsive: map[string]bool{}}
	e.startedAt = clock.Now()
	if state.Parts == nil {
		e.state.Parts, e.state.Known, e.state.SetKnown = quarantine.New(clock), func() bool { return false }, func() {}
	}
	e.lastAddedAt.Store(int64(e.startedAt))
	return e
}

// Run polls peers in rounds until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		e.roundBegunAt = e.clock.Now()
		e.Round(ctx)
		e.pause(ctx)
	}
	_ = e.requestTasks.Wait() // failed requests were repeated in later rounds
	return ctx.Err()
}

// Round asks some peers concurrently and applies their answers. It waits at most answerTimeout.
// A peer whose request is still in flight is not asked again until that ends, so that an
// unreachable peer does not delay the news of others.
func (e *Exchange) Round(ctx context.Context) {
	var waiting sync.WaitGroup
	for _, to := range e.recipients() {
		if !e.beginRequest(to.member.Name) {
			continue
		}
		waiting.Add(1)
		e.requestTasks.Start(ctx, "ask for news", func(ctx context.Context) error {
			defer waiting.Done()
			defer e.endRequest(to.member.Name)
			return e.requestNews(ctx, to)
		})
	}
	answered := make(chan struct{})
	go func() {
		waiting.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(answerTimeout.Duration()):
	}
	e.apply()
}

// answerTimeout is how long a round waits for answers: many times a round trip.
const answerTimeout spanrill.Millis = 60

// beginRequest marks a request to a peer as in flight. It returns false if one already is.
func (e *Exchange) beginRequest(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending[name] {
		return false
	}
	e.pending[name] = true
	e.askedAt[name] = e.clock.Now()
	return true
}

func (e *Exchange) endRequest(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, name)
}

func (e *Exchange) requestNews(ctx context.Context, to recipient) error {
	member := to.member
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	sentAt := e.clock.Now()
	var news peermsg.News
	err := e.peers.Request(ctx, member.PeerAddr, uint8(peermsg.KindNews), e.newsRequest(to), &news)
	e.setUnresponsive(member.Name, err != nil)
	if err != nil {
		return err
	}
	e.mergeFleetSums(news.Fleet, sentAt)
	e.mergeStoreAvailability(&news, sentAt)
	e.MergeSuspects(news.Suspects)
	e.MergeParts(news.Parts)
	if news.SuspectsKnown {
		e.state.SetKnown()
	}
	ratelimit.MergeLimits(e.state.Fleet, news.Limits, sentAt)
	e.mu.Lock()
	peer := cmp.Or(news.Name, member.Name)
	e.logLostPaths(peer, e.newsByPeer[peer].news.LostPaths, news.LostPaths)
	e.newsByPeer[peer] = peerNews{news: news, askedAt: sentAt}
	e.mu.Unlock()
	e.recordPeerOrders(member.Name, news.Placement)
	if news.Placement == nil {
		e.clearPlacement(member.Name, sentAt)
	}
	e.mergePlacement(news.Placement, sentAt)
	if err := e.syncConfig(ctx, member, news.Revision); err != nil {
		return err
	}
	e.state.Config.ConfirmUnchanged(news.Revision, sentAt-news.ConfigAge)
	return e.syncEntries(ctx, member, &news, sentAt)
}

// mergeStoreAvailability records the time span in which the platform's store answered the peer,
// or other daemons according to the peer. A delayed answer can only shorten the recorded span.
// sentAt is when the request for the news was sent.
func (e *Exchange) mergeStoreAvailability(news *peermsg.News, sentAt spanrill.Millis) {
	if news.UpstreamsRevision != 0 {
		e.state.Fleet.RecordStoreAvailable(e.clock.Now()-news.StoreAvailableFor, sentAt-news.UpstreamsAge)
	}
}

// maxStoreAvailable caps the reported time for which the store has answered, so that it takes three
// bytes in a message. A daemon without news of an entry for that long is no longer a member.
const maxStoreAvailable = 30 * spanrill.Second

// PeerStoreSilent reports whether a peer recently reported that the platform's store does not
// answer it. Another daemon then asks the store in its place.
func (e *Exchange) PeerStoreSilent(peer string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, ok := e.newsByPeer[peer]
	return ok && last.news.StoreSilent && e.clock.Now()-last.askedAt <= newsTTL
}

// AnyPeerStoreSilent reports whether any peer recently reported that the platform's store does
// not answer it.
func (e *Exchange) AnyPeerStoreSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for _, last := range e.newsByPeer {
		if last.news.StoreSilent && now-last.askedAt <= newsTTL {
			return true
		}
	}
	return false
}

// HandleNewsRequest answers a peer's request for news, and merges the sums and placement orders in
// the request.
func (e *Exchange) HandleNewsRequest(req *peermsg.NewsRequest) *peermsg.News {
	config := e.state.Config.Snapshot()
	reply := &peermsg.News{
		Name: e.state.Name, Revision: config.Revision(), ConfigAge: e.clock.Now() - config.ConfirmedAt(),
		Placement: e.placementNews(knownOrders{req.Holder, req.Sequence}), Leaving: e.state.Leaving(), StoreSilent: e.state.StoreSilent(),
	}
	reply.UpstreamsRevision, reply.UpstreamsLastChange, reply.UpstreamsAge = e.state.Fleet.Freshness()
	reply.StoreAvailableFor = min(e.state.Fleet.StoreAvailableFor(), maxStoreAvailable)
	reply.Suspects, reply.Parts, reply.SuspectsKnown = e.suspectNews(req.Suspects), PartMarks(e.state.Parts.MarksFor(req.Parts)), e.state.Known()
	reply.Limits = ratelimit.LimitsIfChanged(e.state.Fleet, e.clock, req.Limits)
	reply.LostPaths = e.ownLostPaths()
	e.storeChildSums(req)
	e.mergePlacement(req.Placement, e.clock.Now())
	reply.Fleet = e.fleetSums(req)
	if e.AggregationRounds() == 1 {
		own := e.ownSum().message()
		reply.Uses, reply.Retries = own.Uses, own.Retries
	}
	now := e.clock.Now()
	e.state.Fleet.EachActive(func(u *fleet.Upstream) {
		if u.RefusesThisDaemon(now) {
			reply.Refusing = append(reply.Refusing, u.Key())
		}
	})
	return reply
}
