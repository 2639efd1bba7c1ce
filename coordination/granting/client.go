package granting

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// Client asks the granting daemons for room for the requests of this daemon. It implements
// spanrill.RoomGate.
//
//	client.go           entering, and what callers are told otherwise
//	clientask.go        questions to the granting daemons
//	clientcontact.go    which of them are asked
//	clientwait.go       requests that wait for a notice
//	clientsilent.go     requests that wait at a daemon which does not answer any more
//	clientahead.go      grants given ahead of need
//	clientgrant.go      grants and their release
//	clientshare.go      starts without a granting daemon
//	slowstart.go        starts while neither fleet nor load is known
//	clientretry.go      refusals and retry times
//	clientchains.go     chains and engines that refuse
//	clientcounts.go     counts for operators
//	report*.go          reports to the granting daemons
type Client struct {
	name        string
	addr        string // peer address of this daemon
	peers       Peers
	source      Source
	local       Local
	clock       spanrill.Clock
	log         logrus.FieldLogger
	random      func() float64
	planReturns bool
	queue       bool
	rounding    float64 // of this daemon's share, see share

	lastID atomic.Uint64
	counts clientCounters
	wake   chan struct{} // receives when something is to be reported
	done   chan struct{}

	mu              sync.Mutex
	services        map[string]*clientService
	waiters         map[uint64]*clientWaiter
	contacts        contacts
	refusing        refusingEngines
	loads           engineLoads
	fleet           fleetSize
	fleetObservedAt spanrill.Millis
}

// clientService is what a client knows of one service.
type clientService struct {
	ahead    []aheadGrant
	running  map[*clientGrant]bool
	outboxes map[string]*outbox // by name of the granting daemon
	view     *chainView
	sharing  sharing
	slow     slowStart // while neither fleet nor load is known
}

// ClientOption changes a default of NewClient.
type ClientOption func(*Client)

// WithLogger sets the logger. The default discards.
func WithLogger(log logrus.FieldLogger) ClientOption {
	return func(c *Client) { c.log = log }
}

// WithRandom sets a function that returns random numbers from 0 up to but not including 1. It must
// be safe for concurrent use.
func WithRandom(random func() float64) ClientOption {
	return func(c *Client) { c.random = random }
}

// WithAddr sets the peer address of this daemon, to which granting daemons send notices.
func WithAddr(addr string) ClientOption {
	return func(c *Client) { c.addr = addr }
}

// WithPlanReturns sets whether refused callers return at times that are spread. The default is true.
func WithPlanReturns(plan bool) ClientOption {
	return func(c *Client) { c.planReturns = plan }
}

// WithQueue sets whether requests may wait for room. The default is true.
func WithQueue(queue bool) ClientOption {
	return func(c *Client) { c.queue = queue }
}

// NewClient returns the client of a daemon. The name identifies this start of the daemon to its
// peers. Run has to be called to report what ends.
func NewClient(name string, peers Peers, source Source, local Local, clock spanrill.Clock, opts ...ClientOption) *Client {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	c := &Client{
		name: name, peers: peers, source: source, local: local, clock: clock,
		log: discard, random: rand.Float64, planReturns: true, queue: true,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
		services: map[string]*clientService{}, waiters: map[uint64]*clientWaiter{},
		contacts: contacts{}, refusing: refusingEngines{}, loads: engineLoads{},
		fleetObservedAt: clock.Now() - fleetInterval,
	}
	for _, o := range opts {
		o(c)
	}
	c.rounding = c.random()
	c.lastID.Store(uint64(c.random() * firstIDs))
	return c
}

// firstIDs is the range of the first id. A notice for a request of an earlier process at the same
// address is unlikely to name an id of this one.
const firstIDs = 1 << 40

// Divides reports whether the room of a service is divided among the daemons.
func (c *Client) Divides(service string) bool { return c.source.Divides(service) }

// Enter returns a grant when the request may start, or a refusal with a retry time. It blocks while
// the request waits, or until the context ends. The grant has to be released.
func (c *Client) Enter(ctx context.Context, r spanrill.RoomRequest) (spanrill.RoomGrant, *spanrill.Refusal) {
	if ctx.Err() != nil {
		return nil, c.refuse(&r, 0, "the request ended before it asked for room")
	}
	start := c.clock.Now()
	c.observeFleet(start, fleetInterval)
	c.recordRefusing(start, r.RefusedBy)
	c.slowAfter(start, &r)
	if g := c.takeAhead(start, &r); g != nil {
		c.counts.ahead.Add(1)
		return g, nil
	}
	v := c.ask(ctx, start, &r)
	if v.grant == nil && v.refusal == nil {
		return c.enterByShare(&r)
	}
	if ctx.Err() == nil {
		c.noteSharing(r.Service, false)
	}
	if v.refusal != nil {
		return nil, v.refusal
	}
	c.counts.granted.Add(1)
	return v.grant, nil
}

// RetryAfter returns the retry time of a caller that is refused for a reason other than missing
// grants, and reports the engines that refused its request.
func (c *Client) RetryAfter(r spanrill.RoomRequest) spanrill.Millis {
	now := c.clock.Now()
	c.recordRefusing(now, r.RefusedBy)
	c.slowAfter(now, &r)
	c.reportRefusing(&r)
	return c.spreadRetry(&r, maxSpreadRetry)
}

// RecordEngineLoad records the number of requests that a first engine has told in an answer.
func (c *Client) RecordEngineLoad(engine uint32, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads.record(c.clock.Now(), engine, requests)
}

// Done returns a channel that is closed when Run has returned.
func (c *Client) Done() <-chan struct{} { return c.done }

// service returns the state of a service of this daemon's requests. The caller must hold c.mu.
func (c *Client) service(name string) *clientService {
	s := c.services[name]
	if s == nil {
		s = &clientService{running: map[*clientGrant]bool{}, outboxes: map[string]*outbox{}}
		c.services[name] = s
	}
	return s
}

// outbox returns what is to be told to a granting daemon. The caller must hold c.mu.
func (c *Client) outbox(s *clientService, granter peermsg.Member) *outbox {
	o := s.outboxes[granter.Name]
	if o == nil {
		o = newOutbox(c.clock.Now(), granter)
		s.outboxes[granter.Name] = o
	}
	o.granter = granter
	return o
}

// fleetInterval is the shortest time between two observations of the size of the fleet.
const fleetInterval spanrill.Millis = 100

// observeFleet records the number of live daemons, unless that was done within an interval.
func (c *Client) observeFleet(now, interval spanrill.Millis) {
	c.mu.Lock()
	isDue := now-c.fleetObservedAt >= interval
	if isDue {
		c.fleetObservedAt = now
	}
	c.mu.Unlock()
	if !isDue {
		return
	}
	daemons, known := c.peers.Fleet()
	if !known {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.observe(now, daemons)
}
