// Package gateway assembles a router that runs on the users' platform.
//
// All gateways are equal. Each reads routes and engines from the platform's
// store, serves callers, and exchanges state with the others. One of them holds
// the placement lease and orders the engines which layers to load.
//
//	gateway.go   construction
//	options.go   options of New
//	listen.go    listeners
//	run.go       start, supervision and shutdown of the components
//	due.go       when to read the store, contend for the lease and place
//	askage.go    the age of its data at which a daemon asks the store
//	config.go    the configuration of routes
//	proof.go     how old the proof may be that it is the newest, and requests that need a newer one
//	peers.go     messages of other daemons
//	reach.go     connections to upstreams, also for other daemons
//	parts.go     parts of prompts that are withheld
//	stalls.go    stalls of this process
//	ready.go     callers' connections, readiness and metrics
//	metrics.go   gauges
//	room*.go     division of the room on the chains of a service
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
	"spanrill/coordination/quarantine"
	"spanrill/coordination/ratelimit"
	"spanrill/coordination/reach"
	"spanrill/coordination/relay"
	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/rng"
	"spanrill/settings"
	"spanrill/stall"
	"spanrill/state/fleet"
	"spanrill/state/follow"
	"spanrill/state/routes"
	"spanrill/transport/callerhttp"
	"spanrill/transport/httpcall"
	"spanrill/transport/tunnel"
	"spanrill/turn"
)

// Adapter connects a gateway to the platform.
type Adapter struct {
	Store        spanrill.ObjectStore
	Config       spanrill.Collection
	Upstreams    spanrill.Collection
	Engines      spanrill.LayerEngines
	Identifier   spanrill.Identifier
	Codec        spanrill.HeaderCodec
	DecodeConfig func(value []byte) (*spanrill.RouteConfig, error)
	DecodeEntry  func(spanrill.Item) (spanrill.EngineEntry, error)
	ConfigName   string        // name of the item that holds the configuration
	ReadyPath    string        // path that the platform's load balancer polls
	Era          func() uint64 // one more than the latest era of the store, or 0 if unknown
}

// Connect builds an adapter that uses the client for all of its calls, and
// reports each completed store call to onCall.
type Connect func(platform string, http *httpcall.Client, onCall func(call string, err error)) Adapter

// Gateway is one router.
type Gateway struct {
	settings settings.Gateway
	clock    spanrill.Clock
	log      *logrus.Entry
	random   *rng.Source
	meters   *meter.Meters
	adapter  Adapter

	http             *httpcall.Client
	upstreamDialer   *reach.Dialer
	tunnels          *tunnel.Server // for other daemons, or nil if the settings have no address for it
	dialUpstream     reach.DialFunc // opens connections to upstreams, or nil for the network's
	config           *routes.Current
	fleet            *fleet.Table
	relay            *relay.Relay
	router           *chainrouting.Router
	prober           *probe.Prober
	resolver         *probe.AddressResolver
	budgets          *retry.Budgets
	suspects         *suspect.Ledger
	suspectKeeper    *suspect.Keeper
	parts            *quarantine.Ledger
	limiter          *ratelimit.Limiter
	room             *room // nil if this daemon divides no room
	exchange         *exchange.Exchange
	lease            *lease.Lease
	placer           *layoutrun.Placer
	peers            *peers
	callers          *callerhttp.Server
	upstreamFollower *follow.Follower
	configFollower   *follow.Follower

	listener        *callerhttp.Acceptor
	readyListener   net.Listener
	metricsListener net.Listener
	tunnelListener  net.Listener
	stalls          *stall.Meter
	running         spanrill.RunningTime
	turns           *turn.Gate
	stallLog        *events.Limiter
	startedAt       spanrill.Millis
	askStoreAt      spanrill.Millis // when the store is listed, unless peers have supplied its contents before
	maxCallerWait   spanrill.Millis // how long callers wait at most before the store is listed, even before askStoreAt
	// callersWaitingSince returns when the first caller began to wait for the configuration or
	// upstreams, and whether any caller waits.
	callersWaitingSince func() (spanrill.Millis, bool)
	draining            atomic.Bool
	wasKeyFresh         atomic.Bool
	wasProved           atomic.Bool
	reportedTable       *routes.Table // whose ignored values were logged; used by upkeep only
	storeEra            uint64        // last era seen by logEraChange
	liveDaemons         atomic.Int64  // number of daemons known to be alive, including this one
	wasAccepting        atomic.Bool   // result of the last check in logAccepting
	leaseHeldAt         atomic.Int64  // when this daemon last held the placement lease
	leaseFreeSince      atomic.Int64  // time since which no daemon is known to hold it, or -1
	lateContentionAt    atomic.Int64  // when this daemon last contended because the first in rank had not
	droppedLines        func() uint64
	loggedDrops         uint64 // number of dropped lines that were logged
	done                chan struct{}
}

const (
	// freshnessMargin is subtracted from the time after which no request may
	// run under a withdrawn key. It covers the time from the check of a request
	// to its arrival at the engine, and clock drift.
	freshnessMargin spanrill.Millis = 700
	// leaseTime is how long the placement lease is valid after each write. When
	// its holder is lost, another daemon gives orders after 1.25 times this.
	leaseTime spanrill.Millis = 2000
	// configRefreshAge is the time since the last confirmation of the
	// configuration after which the first daemon in rank asks the store again.
	// Daemons poll one another, so all learn of the answer within a quarter of
	// a second, and the fleet makes one call in this time. It is a third of the
	// time in which a new configuration has to be in force.
	configRefreshAge spanrill.Millis = 650
	// rankDelay is how long after the first in rank the second one asks if it has
	// no news: two exchange rounds, plus one for each further level of the
	// trees that news crosses.
	rankDelay spanrill.Millis = 2 * newsRound
	newsRound                 = exchange.RoundInterval
	// rankStep is the additional delay of each further daemon in rank.
	rankStep spanrill.Millis = 150
	// rankedDaemons is how many daemons have a rank of their own; all others
	// share the last rank.
	rankedDaemons = 3
	// refreshPoll is how often ages are checked.
	refreshPoll spanrill.Millis = 50
	// dialTimeout bounds a new connection. If its first packet is lost, TCP sends
	// it again after a second; trying another upstream is faster.
	dialTimeout spanrill.Millis = 350
)

// New returns a gateway that listens on its addresses but does not serve yet.
func New(s settings.Gateway, connect Connect, opts ...Option) (*Gateway, error) {
	g := &Gateway{
		settings: s, clock: clock.NewSystem(), log: logrus.NewEntry(logrus.StandardLogger()),
		meters: meter.New(), random: rng.New(uint64(time.Now().UnixNano())), done: make(chan struct{}),
		droppedLines: func() uint64 { return 0 },
	}
	g.leaseHeldAt.Store(-int64(holderGrace))
	g.lateContentionAt.Store(-int64(holderGrace))
	g.liveDaemons.Store(assumedDaemons)
	g.leaseFreeSince.Store(-1)
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
	g.stallLog = events.NewLimiter(g.clock, stallLinesPerSecond)
	g.stalls = stall.New(g.clock, stall.WithOnStall(g.logStall))
	g.running, g.turns = g.stalls, turn.New()
	g.http = httpcall.New(httpcall.WithDialTimeout(dialTimeout), httpcall.WithDial(g.wrapDial), httpcall.WithLogger(g.log), httpcall.WithMeters(g.meters),
		httpcall.WithOnHeaders(g.handleHeaders), httpcall.WithResetOnClose(g.isPathLost), httpcall.WithMaxIdle(g.maxIdle),
		httpcall.WithMaxIdleTotal(conncap.IdleTotal(g.settings.Descriptors)))
	g.config = routes.NewCurrent(g.clock)
	g.adapter = connect(g.settings.Platform, g.http, g.recordStoreCall)
	g.fleet = fleet.New(g.clock, g.adapter.DecodeEntry, fleet.WithLogger(g.log), fleet.WithDrain(g.settings.Bounds.Drain), fleet.WithStoreSilent(g.storeAnswersNobody),
		fleet.WithOnRestart(g.handleRestart))
	engines := g.fleet.WrapEngines(g.adapter.Engines)
	g.prober = probe.New(engines, g.clock, g.log, probe.WithLastHeard(g.fleet.LastHeard), probe.WithDial(g.dialAndClose))
	g.resolver = probe.NewAddressResolver(g.adapter.Identifier, g.clock, g.log, g.healthPath)
	b := g.settings.Bounds
	g.budgets = retry.NewBudgets(g.clock, retry.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}, assumedDaemons,
		retry.WithBorrow(func(ctx context.Context, service string, want float64) float64 {
			return g.exchange.Borrow(ctx, service, want)
		}))
	g.suspects = suspect.New(g.clock, suspect.WithRandom(g.random.Float64))
	g.parts = quarantine.New(g.clock, quarantine.WithRandom(g.random.Float64), quarantine.WithMayTry(g.mayTryParts), quarantine.WithTurn(g.partTurn),
		quarantine.WithObserver(g.handlePartChange))
	var err error
	if g.peers, err = newPeers(g); err != nil {
		return fmt.Errorf("build peers: %w", err)
	}
	g.tunnels = newTunnels(g)
	g.limiter = ratelimit.New(g.fleet, g.clock, g.peers)
	g.lease = lease.New(g.adapter.Store, g.clock, "placement", g.peers.name, lease.WithDuration(leaseTime),
		lease.WithLogger(g.log), lease.WithCandidate(g.isLeaseCandidate), lease.WithYield(g.shouldYieldLease), lease.WithEra(g.adapter.Era))
	g.suspectKeeper = suspect.NewKeeper(g.suspects, g.parts, g.adapter.Store, g.clock, g.log, func() bool { _, ok := g.lease.Held(); return ok },
		suspect.WithEra(g.adapter.Era), suspect.WithStartDelay(g.listDelay))
	g.exchange = exchange.New(g.peers, exchange.State{
		Name: g.peers.name, Zone: g.settings.Zone, Seeds: g.seeds(), Config: g.config, Fleet: g.fleet, Decode: g.adapter.DecodeConfig,
		HoldsPlacement: g.holdsPlacement, Leaving: g.draining.Load, StoreSilent: g.storeSilent, LateRounds: g.lateRounds, Targets: g.targets, Budgets: g.budgets, Lease: g.lease,
		Suspects: g.suspects, Parts: g.parts, Known: g.suspectKeeper.IsKnown, SetKnown: g.suspectKeeper.SetKnown, LostPaths: g.lostPaths,
	}, g.clock, g.log, g.random)
	g.placer = layoutrun.New(g.mayPlace, engines, g.fleet, g.services, g.clock, g.log, layoutrun.WithPropagationTime(g.exchange.BroadcastTime))
	g.router = chainrouting.New(g.fleet, g.clock, g.log, g.random)
	g.room = newRoom(g)
	g.relay = relay.New(relay.Dependencies{
		Config: g.config, Fleet: g.fleet, Router: g.router, Prober: g.prober,
		Engines: engines, Codec: g.adapter.Codec, HTTP: g.http, Budgets: g.budgets, Suspects: g.suspects, OnSuspected: g.peers.broadcastSuspect,
		Parts: g.parts, OnParts: g.peers.broadcastParts, SuspectsKnown: g.suspectKeeper.Known(),
		Permit: g.limiter.Permit, Daemons: func() int { return int(g.liveDaemons.Load()) },
		Clock: g.clock, Log: g.log, Meters: g.meters, Random: g.random, StoreSilentAtStart: g.storeSilentAtStart,
		Proof: configProver{g}, Turn: g.turns.Pass, Room: g.room.gate(), Paths: g.upstreamDialer,
	}, relay.Options{Zone: g.settings.Zone, MaxChangeAge: g.maxChangeAge(), MaxKeyAge: g.maxKeyAge(), AnswerMemory: g.settings.MemoryMB * megabyte / answerMemoryDivisor})
	g.callersWaitingSince = g.relay.CallersWaitingSince
	g.registerGauges()
	g.callers = callerhttp.New(g.relay.Serve, g.callerLimits)
	g.buildFollowers(g.adapter.Config, g.adapter.Upstreams)
	return nil
}

const (
	megabyte = 1 << 20
	// answerMemoryDivisor is the ratio of the memory of the process to that of large answers in it.
	answerMemoryDivisor = 4
)

// buildFollowers builds the followers of the store's collections.
func (g *Gateway) buildFollowers(config, upstreams spanrill.Collection) {
	jitter, maxRetryDelay := follow.WithJitter(g.random.Float64), follow.WithMaxRetryDelay(g.maxRetryPause)
	g.startedAt = g.clock.Now()
	g.askStoreAt = g.startedAt + firstAskDelay(g.isSeed(), g.random.Float64())
	g.maxCallerWait = randomCallerWait(g.random.Float64())
	listDelay, running := follow.WithListDelay(g.listDelay), follow.WithRunningTime(g.running)
	g.configFollower = follow.New(config, g.clock, configSink{g}, follow.WithPollDelay(g.configPollDelay), follow.WithKnownRevision(g.config.Revision), listDelay, running, jitter, maxRetryDelay,
		follow.WithFirstCallTimeout(g.configCallTimeout), follow.WithLogger(g.log, "configuration"))
	g.upstreamFollower = follow.New(upstreams, g.clock, g.fleet, follow.WithPollDelay(g.upstreamsPollDelay), follow.WithKnownRevision(g.fleet.Revision), listDelay, running, jitter, maxRetryDelay,
		follow.WithFirstCallTimeout(g.upstreamsCallTimeout), follow.WithPrimary(g.configFollower), follow.WithLogger(g.log, "upstreams"))
}

// assumedDaemons is the fleet size that is assumed until peers are known. It is larger than a usual
// fleet, so that the daemons' shares of a budget do not add up to more than the budget.
const assumedDaemons = 16

func (g *Gateway) callerLimits() spanrill.CallerLimits {
	if t := g.config.Table(); t != nil {
		return t.Limits()
	}
	return spanrill.CallerLimits{}
}

func (g *Gateway) services() []spanrill.ServiceInfo {
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

// handleRestart closes the idle connections to an upstream that has restarted, and rechecks
// the paths of the requests that ran there.
func (g *Gateway) handleRestart(addr string) {
	g.http.CloseIdleTo(addr)
	g.relay.RecheckDeadPaths()
}

// maxIdle returns how many idle connections this daemon keeps to an address: its share of those
// that an upstream accepts. For the platform's store there is no such limit.
func (g *Gateway) maxIdle(addr string) int {
	u, limit := g.fleet.View().ByAddr(addr), 0
	if table := g.config.Table(); u != nil && table != nil {
		if service := table.Service(u.Service()); service != nil {
			limit = service.MaxConnections
		}
	}
	return conncap.IdlePerUpstream(limit, int(g.liveDaemons.Load()))
}

// handleHeaders records what an upstream reports about itself in the headers of any answer. If the
// answer came through another daemon, that is told as well: the upstream sees its address.
func (g *Gateway) handleHeaders(addr string, h *fasthttp.ResponseHeader, elapsed spanrill.Millis, conn net.Conn) {
	n := g.adapter.Codec.ReadNotice(h)
	g.fleet.HandleNotice(addr, n, g.clock.Now()-elapsed)
	if t, ok := conn.(*tunnel.Conn); ok && (n.Leaving || n.Rest > 0 || n.UnreadableRest != "") {
		if err := t.SendNotice(n); err != nil {
			g.log.WithError(err).WithField("helper", t.Helper()).Debug("notice of an upstream not passed on") // the tunnel is broken
		}
	}
}

// targets returns the layers that this daemon is ordering engines to load.
func (g *Gateway) targets() map[string]fleet.Target { return g.placer.Targets() }

// Done returns a channel that is closed when the gateway has stopped.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Meters returns the gateway's counters.
func (g *Gateway) Meters() *meter.Meters { return g.meters }
