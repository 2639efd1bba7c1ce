// Package gateway puts the parts of a router together that runs on the users'
// platform.
//
// All gateways are equal. Each reads routes and engines from the platform's
// store, serves callers, and exchanges news with the others; one of them holds
// a lease and orders the engines which layers to hold.
//
//	gateway.go   the parts
//	run.go       their life
//	due.go       what this daemon has to do now, by its rank and the lease
//	config.go    the configuration of routes
//	peers.go     messages of other daemons
//	ready.go     callers' connections, readiness and metrics
//	stop.go      the planned stop
//
// # Usage
//
//	g, err := gateway.New(settings, platform.New(settings.Platform, client), gateway.WithLogger(log))
//	if err != nil {
//		return fmt.Errorf("build gateway: %w", err)
//	}
//	err = g.Run(ctx) // until the context ends, then drains
package gateway

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/clock"
	"spanrill/coordination/chainrouting"
	"spanrill/coordination/conncap"
	"spanrill/coordination/exchange"
	"spanrill/coordination/layoutrun"
	"spanrill/coordination/lease"
	"spanrill/coordination/probe"
	"spanrill/coordination/ratelimit"
	"spanrill/coordination/relay"
	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/meter"
	"spanrill/rng"
	"spanrill/settings"
	"spanrill/state/fleet"
	"spanrill/state/follow"
	"spanrill/state/routes"
	"spanrill/transport/callerhttp"
	"spanrill/transport/httpcall"
)

// Adapter is how a gateway speaks to the platform.
type Adapter struct {
	Store        spanrill.ObjectStore
	Config       spanrill.Collection
	Upstreams    spanrill.Collection
	Engines      spanrill.LayerEngines
	Names        spanrill.Identifier
	Codec        spanrill.HeaderCodec
	DecodeConfig func(value []byte) (*spanrill.RouteConfig, error)
	DecodeEntry  func(spanrill.Item) (spanrill.EngineEntry, error)
	ConfigName   string        // name of the configuration in its collection
	ReadyPath    string        // asked by the platform's balancer
	Era          func() uint64 // one more than the latest era of the store, or 0 if unknown
}

// Connect builds an adapter that uses the client for all of its calls, and
// tells onCall of the end of each call of the store.
type Connect func(platform string, http *httpcall.Client, onCall func(call string, err error)) Adapter

// Gateway is one router.
type Gateway struct {
	settings settings.Gateway
	clock    spanrill.Clock
	log      *logrus.Entry
	random   *rng.Source
	meters   *meter.Meters
	adapter  Adapter

	http      *httpcall.Client
	config    *routes.Current
	fleet     *fleet.Table
	relay     *relay.Relay
	router    *chainrouting.Router
	prober    *probe.Prober
	names     *probe.AddressResolver
	budgets   *retry.Budgets
	suspects  *suspect.Ledger
	keeper    *suspect.Keeper
	limiter   *ratelimit.Limiter
	exchange  *exchange.Exchange
	lease     *lease.Lease
	placer    *layoutrun.Placer
	peers     *peers
	callers   *callerhttp.Server
	upstreams *follow.Follower
	configs   *follow.Follower

	listener  *callerhttp.Acceptor
	ready     net.Listener
	metrics   net.Listener
	startedAt spanrill.Millis
	firstAt   spanrill.Millis // when the store is asked if no peer has told what it holds
	patience  spanrill.Millis // how long callers wait before that
	// callersWait returns since when callers have waited for that, and whether any have.
	callersWait func() (spanrill.Millis, bool)
	draining    atomic.Bool
	wasFresh    atomic.Bool
	oddOf       *routes.Table // whose odd values were logged; of the upkeep
	storeEra    uint64        // last era seen by noteEra
	daemons     atomic.Int64  // that are known to live, this one included
	accepted    atomic.Bool   // connections were taken when this was looked at last
	heldAt      atomic.Int64  // when this daemon last held the lease of placement
	freeSince   atomic.Int64  // since when nobody is known to hold it, or -1
	lateAt      atomic.Int64  // when this daemon last contended because the first ones had not
	dropped     func() uint64
	toldDrop    uint64 // of these were logged
	done        chan struct{}
}

// Option changes a default of New.
type Option func(*Gateway)

// WithLogger sets where events go.
func WithLogger(log *logrus.Logger) Option {
	return func(g *Gateway) { g.log = logrus.NewEntry(log) }
}

// WithClock sets the gateway's clock.
func WithClock(c spanrill.Clock) Option {
	return func(g *Gateway) { g.clock = c }
}

// WithDropped sets where the count of log lines that were dropped is read.
func WithDropped(dropped func() uint64) Option {
	return func(g *Gateway) { g.dropped = dropped }
}

const (
	// freshnessMargin is taken off the time after which no request may run
	// under a withdrawn key. It covers the way of a request from the check to
	// the engine, and a clock that drifts.
	freshnessMargin spanrill.Millis = 700
	// leaseTime is how long the lease of placement holds from each write. When
	// its holder is lost, another daemon orders a quarter more than this later.
	leaseTime spanrill.Millis = 2000
	// proofGoal is the age of the proof of the configuration at which the first
	// daemon in rank asks the store again. All daemons learn of it within a
	// quarter of a second, since they ask one another, so that the fleet makes
	// one call in this time. It is a third of the time in which a new
	// configuration has to be in force.
	proofGoal spanrill.Millis = 650
	// rankDelay is how much later the next in rank asks, if the first one has
	// not: two rounds of news, and one more for each further level of daemons
	// that news goes through.
	rankDelay spanrill.Millis = 2 * newsRound
	newsRound                 = exchange.RoundInterval
	// rankStep is how much later each further one asks.
	rankStep spanrill.Millis = 150
	// ranks is how many daemons have a rank of their own; all others follow
	// together.
	ranks = 3
	// proofPoll is how often the age is looked at.
	proofPoll spanrill.Millis = 50
	// dialTimeout bounds a new connection. One whose first packet was lost
	// comes up after a second; another upstream is faster.
	dialTimeout spanrill.Millis = 350
)

// New returns a gateway that listens on its addresses but serves nothing yet.
func New(s settings.Gateway, connect Connect, opts ...Option) (*Gateway, error) {
	g := &Gateway{
		settings: s, clock: clock.NewSystem(), log: logrus.NewEntry(logrus.StandardLogger()),
		meters: meter.New(), random: rng.New(uint64(time.Now().UnixNano())), done: make(chan struct{}),
		dropped: func() uint64 { return 0 },
	}
	g.heldAt.Store(-int64(heldMemory))
	g.lateAt.Store(-int64(heldMemory))
	g.daemons.Store(firstDaemons)
	g.freeSince.Store(-1)
	for _, o := range opts {
		o(g)
	}
	g.log = g.log.WithField("daemon", s.Name)
	if err := g.build(connect); err != nil {
		return nil, fmt.Errorf("build %s: %w", s.Name, err)
	}
	if err := g.listen(); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return g, nil
}

func (g *Gateway) build(connect Connect) error {
	g.http = httpcall.New(httpcall.WithDialTimeout(dialTimeout), httpcall.WithLogger(g.log), httpcall.WithMeters(g.meters),
		httpcall.WithOnHead(g.noteHead), httpcall.WithMaxIdle(g.maxIdle),
		httpcall.WithMaxTotal(conncap.IdleTotal(g.settings.Descriptors)))
	g.config = routes.NewCurrent(g.clock)
	g.adapter = connect(g.settings.Platform, g.http, g.storeCalled)
	g.fleet = fleet.New(g.clock, g.adapter.DecodeEntry, fleet.WithLogger(g.log), fleet.WithDrain(g.settings.Bounds.Drain),
		fleet.WithOnRestart(g.upstreamRestarted))
	engines := g.fleet.Observe(g.adapter.Engines)
	g.prober = probe.New(engines, g.clock, g.log, probe.WithLastHeard(g.fleet.LastHeard))
	g.names = probe.NewAddressResolver(g.adapter.Names, g.clock, g.log, g.healthPath)
	b := g.settings.Bounds
	g.budgets = retry.NewBudgets(g.clock, retry.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}, firstDaemons,
		retry.WithBorrow(func(ctx context.Context, service string, want float64) float64 {
			return g.exchange.Borrow(ctx, service, want)
		}))
	g.suspects = suspect.New(g.clock, suspect.WithRandom(g.random.Float64))
	var err error
	if g.peers, err = newPeers(g); err != nil {
		return fmt.Errorf("build peers: %w", err)
	}
	g.limiter = ratelimit.New(g.fleet, g.clock, g.peers)
	g.lease = lease.New(g.adapter.Store, g.clock, "placement", g.peers.name, lease.WithDuration(leaseTime),
		lease.WithLogger(g.log), lease.WithCandidate(g.contends), lease.WithYield(g.yields), lease.WithEra(g.adapter.Era))
	g.keeper = suspect.NewKeeper(g.suspects, g.adapter.Store, g.clock, g.log, func() bool { _, ok := g.lease.Held(); return ok },
		suspect.WithEra(g.adapter.Era))
	g.exchange = exchange.New(g.peers, exchange.State{
		Name: g.peers.name, Zone: g.settings.Zone, Seeds: g.seeds(), Config: g.config, Fleet: g.fleet, Decode: g.adapter.DecodeConfig,
		HoldsPlacement: g.holdsLease, Leaving: g.draining.Load, StoreSilent: g.storeSilent, LateRounds: g.entriesLate, Targets: g.targets, Budgets: g.budgets, Lease: g.lease,
		Suspects: g.suspects,
	}, g.clock, g.log, g.random)
	g.placer = layoutrun.New(g.mayPlace, engines, g.fleet, g.models, g.clock, g.log, layoutrun.WithPropagationTime(g.exchange.BroadcastTime))
	g.router = chainrouting.New(g.fleet, g.clock, g.log, g.random)
	g.relay = relay.New(relay.Dependencies{
		Config: g.config, Fleet: g.fleet, Router: g.router, Prober: g.prober,
		Engines: engines, Codec: g.adapter.Codec, HTTP: g.http, Budgets: g.budgets, Suspects: g.suspects, OnSuspected: g.peers.tellSuspect,
		Permit: g.limiter.Permit, Daemons: func() int { return int(g.daemons.Load()) },
		Clock: g.clock, Log: g.log, Meters: g.meters, Random: g.random, StoreUnresponsive: g.hopeless,
	}, relay.Options{Zone: g.settings.Zone, MaxConfigAge: g.freshness()})
	g.callersWait = g.relay.FirstHeldAt
	g.meters.Gauge("spanrill_log_lines_dropped", func() float64 { return float64(g.dropped()) })
	g.meters.Gauge("spanrill_upstream_restarts", func() float64 { return float64(g.fleet.Restarts()) })
	g.meters.Gauge("spanrill_upstream_rests", func() float64 { return float64(g.fleet.NoticeCounts().Rests) })
	g.meters.Gauge("spanrill_upstream_rests_unreadable", func() float64 { return float64(g.fleet.NoticeCounts().UnreadableRests) })
	g.meters.Gauge("spanrill_upstreams_said_leaving", func() float64 { return float64(g.fleet.NoticeCounts().Leaving) })
	g.meters.Gauge("spanrill_upstream_limits", func() float64 { return float64(g.fleet.NoticeCounts().Limits) })
	g.meters.Gauge("spanrill_upstream_limits_unreadable", func() float64 { return float64(g.fleet.NoticeCounts().UnreadableLimits) })
	g.meters.Gauge("spanrill_upstreams_limited", func() float64 { return float64(g.fleet.LimitedUpstreams()) })
	g.meters.Gauge("spanrill_limit_permits_granted", func() float64 { return float64(g.limiter.Granted()) })
	g.meters.Gauge("spanrill_limit_permits_denied", func() float64 { return float64(g.limiter.Denied()) })
	g.meters.Gauge("spanrill_entries_unreadable", func() float64 { now, _ := g.fleet.Unreadable(); return float64(now) })
	g.meters.Gauge("spanrill_entries_unreadable_seen", func() float64 { _, all := g.fleet.Unreadable(); return float64(all) })
	g.meters.Gauge("spanrill_store_era", func() float64 { return float64(max(1, g.adapter.Era())) - 1 })
	g.meters.Gauge("spanrill_requests_in_flight", func() float64 { return float64(g.relay.InFlight()) })
	g.meters.Gauge("spanrill_config_proof_age_seconds", func() float64 { return float64(g.config.Age()) / float64(spanrill.Second) })
	g.callers = callerhttp.New(g.relay.Serve, g.limits)
	g.follow(g.adapter.Config, g.adapter.Upstreams)
	return nil
}

// follow builds what keeps up with the store's collections.
func (g *Gateway) follow(config, upstreams spanrill.Collection) {
	jitter, patience := follow.WithJitter(g.random.Float64), follow.WithLongestPause(g.retryPause)
	g.startedAt = g.clock.Now()
	g.firstAt = g.startedAt + firstAsk(g.isSeed(), g.random.Float64())
	g.patience = patienceOf(g.random.Float64())
	first := follow.WithFirst(g.firstDue)
	g.configs = follow.New(config, g.clock, configSink{g}, follow.WithDue(g.proofDue), follow.WithAt(g.config.Revision), first, jitter, patience,
		follow.WithLogger(g.log, "configuration"))
	g.upstreams = follow.New(upstreams, g.clock, g.fleet, follow.WithDue(g.upstreamsDue), follow.WithAt(g.fleet.Revision), first, jitter, patience,
		follow.WithLimit(g.upstreamsLimit), follow.WithBehind(g.configs), follow.WithLogger(g.log, "upstreams"))
}

// firstDaemons is the size of the fleet that is assumed until peers are known:
// more than there are, so that the sum of all parts of a budget stays small.
const firstDaemons = 16

func (g *Gateway) freshness() spanrill.Millis {
	return max(1, g.settings.Bounds.Revoke-freshnessMargin)
}

func (g *Gateway) limits() spanrill.CallerLimits {
	if t := g.config.Table(); t != nil {
		return t.Limits()
	}
	return spanrill.CallerLimits{}
}

func (g *Gateway) models() []spanrill.ServiceInfo {
	if t := g.config.Table(); t != nil {
		return t.Services()
	}
	return nil
}

// healthPath returns the path of a service's health check, or "".
func (g *Gateway) healthPath(service string) string {
	if t := g.config.Table(); t != nil && t.Service(service) != nil {
		return t.Service(service).HealthPath
	}
	return ""
}

// upstreamRestarted closes the idle connections to an upstream that has started again, and
// has the requests that ran there look at their paths.
func (g *Gateway) upstreamRestarted(addr string) {
	g.http.Forget(addr)
	g.relay.RecheckDeadPaths()
}

// maxIdle is how many idle connections this daemon keeps to an address: its part of what an
// upstream takes, and as many as it likes to the platform's store.
func (g *Gateway) maxIdle(addr string) int {
	u, limit := g.fleet.View().ByAddr(addr), 0
	if table := g.config.Table(); u != nil && table != nil {
		if service := table.Service(u.Service()); service != nil {
			limit = service.MaxConnections
		}
	}
	return conncap.IdlePerUpstream(limit, int(g.daemons.Load()))
}

// noteHead takes what an upstream says of itself in an answer, whatever it was asked.
func (g *Gateway) noteHead(addr string, h *fasthttp.ResponseHeader, took spanrill.Millis) {
	g.fleet.HandleNotice(addr, g.adapter.Codec.ReadNotice(h), g.clock.Now()-took)
}

// targets returns what this daemon is ordering engines to hold.
func (g *Gateway) targets() map[string]fleet.Target { return g.placer.Targets() }

func (g *Gateway) listen() error {
	var err error
	if g.listener, err = g.listenAt(g.settings.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if g.ready, err = g.listenAt(g.settings.ReadyListen); err != nil {
		return fmt.Errorf("listen for the balancer: %w", err)
	}
	if g.settings.MetricsListen == "" {
		return nil
	}
	if g.metrics, err = g.listenAt(g.settings.MetricsListen); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// listenAt listens on an address. A lack of descriptors does not end the loop
// that takes its connections.
func (g *Gateway) listenAt(addr string) (*callerhttp.Acceptor, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return callerhttp.NewAcceptor(ln, g.clock), nil
}

// Done returns a channel that is closed when the gateway has stopped.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Meters returns the gateway's counters.
func (g *Gateway) Meters() *meter.Meters { return g.meters }
