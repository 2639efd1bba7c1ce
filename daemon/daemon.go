// Package daemon assembles a spanrill router that runs on the project's own interface: its store,
// its box list, and its own protocols of engines and services.
//
// # Usage
//
//	d, err := daemon.New(settings, daemon.WithLogger(log))
//	if err != nil {
//		return fmt.Errorf("build daemon: %w", err)
//	}
//	err = d.Run(ctx) // until the context ends, then drains
package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/coordination/admission"
	"spanrill/coordination/claim"
	"spanrill/coordination/dispatch"
	"spanrill/coordination/lease"
	"spanrill/coordination/observe"
	"spanrill/coordination/pipeline"
	"spanrill/coordination/reach"
	"spanrill/coordination/routing"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/protocol/callerapi"
	"spanrill/protocol/engineapi"
	"spanrill/protocol/objectapi"
	"spanrill/protocol/serviceapi"
	"spanrill/rng"
	"spanrill/settings"
	"spanrill/state/config"
	"spanrill/state/load"
	"spanrill/task"
	"spanrill/transport/httpcall"
)

// Daemon is one spanrill router.
type Daemon struct {
	settings settings.Settings
	clock    spanrill.Clock
	log      *logrus.Entry
	random   *rng.Source
	meters   *meter.Meters

	http        *httpcall.Client
	paths       *upstreamPaths
	platform    *objectapi.Client
	follower    *config.Follower
	table       *load.Table
	router      *routing.Router
	observer    *observe.Observer
	gate        *admission.Gate
	claimKeeper *claim.Keeper
	api         *callerapi.Server
	peers       *peers
	engines     spanrill.Engines
	// lease is the placement lease of this daemon's site, nil until runPlacement sets it.
	lease atomic.Pointer[lease.Lease]

	dialUpstream   reach.DialFunc // opens connections to upstreams, or nil for the network's
	tunnelListener net.Listener
	callerListener net.Listener
	adminListener  net.Listener
	draining       atomic.Bool
	stopRequested  chan struct{} // closed when an operator asks for a planned stop
	stopOnce       sync.Once
	done           chan struct{}

	work   context.Context // ends when the daemon has drained
	cancel context.CancelFunc
}

// Option changes a default of New.
type Option func(*Daemon)

// WithLogger sets where events go.
func WithLogger(log *logrus.Logger) Option {
	return func(d *Daemon) { d.log = logrus.NewEntry(log) }
}

// WithClock sets the daemon's clock.
func WithClock(c spanrill.Clock) Option {
	return func(d *Daemon) { d.clock = c }
}

// WithUpstreamDial sets the function that opens connections to upstreams.
func WithUpstreamDial(dial reach.DialFunc) Option {
	return func(d *Daemon) { d.dialUpstream = dial }
}

// New returns a daemon that listens on its addresses but does not serve yet.
func New(s settings.Settings, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: s, clock: clock.NewSystem(), log: logrus.NewEntry(logrus.StandardLogger()),
		meters: meter.New(), stopRequested: make(chan struct{}), done: make(chan struct{}),
	}
	d.work, d.cancel = context.WithCancel(context.Background())
	for _, o := range opts {
		o(d)
	}
	d.log = d.log.WithField("daemon", s.Name)
	d.random = rng.New(seedOf(s))
	if err := d.build(); err != nil {
		return nil, fmt.Errorf("build %s: %w", s.Name, err)
	}
	if err := d.listen(); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return d, nil
}

// seedOf returns the configured seed of the random source, or one derived from the time.
func seedOf(s settings.Settings) uint64 {
	if s.Seed != 0 {
		return s.Seed
	}
	return uint64(time.Now().UnixNano())
}

func (d *Daemon) build() error {
	policy, err := routing.NewPolicy(d.settings.RoutingPolicy, d.random)
	if err != nil {
		return fmt.Errorf("choose routing policy: %w", err)
	}
	d.table = load.NewTable(d.clock, load.WithLogger(d.log))
	d.paths = &upstreamPaths{daemon: d}
	d.http = httpcall.New(httpcall.WithLogger(d.log), httpcall.WithMeters(d.meters), httpcall.WithDial(d.paths.wrapDial),
		httpcall.WithOnHeaders(d.paths.recordAnswer), httpcall.WithResetOnClose(d.paths.isLost))
	d.paths.tunnels = d.paths.newTunnels()
	d.platform = objectapi.New(d.settings.Platform, d.http)
	d.router = routing.New(d.clock, routing.WithPolicy(policy))
	if d.peers, err = newPeers(d); err != nil {
		return fmt.Errorf("build peers: %w", err)
	}
	d.follower = config.NewFollower(d.platform, config.WithClock(d.clock), config.WithLogger(d.log),
		config.WithJitter(d.jitter), config.WithOnChange(d.applyConfig), config.WithWatchesHead(d.peers.shouldWatchHead))
	engines, services := engineapi.New(d.http), serviceapi.New(d.http)
	d.engines = engines
	d.observer = observe.New(d.platform, engines, services, d.table, d.clock, observe.WithLogger(d.log),
		observe.WithShare(d.peers), observe.WithOnBoxes(d.peers.setBoxes), observe.WithFallback(d.peers),
		observe.WithIntervals(d.settings.Observe.Boxes, d.settings.Observe.Status))
	d.gate = admission.New(d.clock, d.table, admission.WithMeters(d.meters),
		admission.WithQueue(d.settings.Limits.Queue, d.settings.Limits.QueueWait),
		admission.WithRequestsPerSlot(d.settings.Limits.PerSlot))
	d.claimKeeper = claim.NewKeeper(d.work, d.platform, d.clock)
	d.peers.claims = claim.New(d.claimKeeper, d.peers, d.peers, d.clock, d.random, claim.WithLogger(d.log))
	d.api = d.newAPI(engines, services)
	return nil
}

func (d *Daemon) newAPI(engines spanrill.Engines, services spanrill.Services) *callerapi.Server {
	waits, limits := d.settings.Waits, d.settings.Limits
	runner := pipeline.New(engines, d.table, d.router, d.clock,
		pipeline.WithLogger(d.log), pipeline.WithMeters(d.meters),
		pipeline.WithOnEjection(func(u *load.Upstream) { d.observer.RecheckZone(u.Zone()) }),
		pipeline.WithTokenTimeouts(waits.FirstToken, waits.Token))
	dispatcher := dispatch.New(services, d.table, d.router, d.clock,
		dispatch.WithLogger(d.log), dispatch.WithMeters(d.meters), dispatch.WithTimeout(waits.Service))
	bounds := callerapi.DefaultLimits
	bounds.BodyBytes, bounds.HeaderBytes, bounds.StreamTokens = limits.BodyBytes, limits.HeaderBytes, limits.StreamTokens
	return callerapi.New(callerapi.Dependencies{
		Config: d.follower.Current, Runner: runner, Services: dispatcher,
		Admission: d.gate, Claims: d.peers.claims, Clock: d.clock, Meters: d.meters,
		Log: d.log, Random: d.random, ResumeSecret: d.settings.FleetSecret,
	}, bounds)
}

// jitter returns a random duration between 0.5 and 1.5 times the pause.
func (d *Daemon) jitter(pause spanrill.Millis) spanrill.Millis {
	return pause/2 + spanrill.Millis(d.random.Float64()*float64(pause))
}

// applyConfig applies the sites of a new configuration, and gossips its revision at once.
func (d *Daemon) applyConfig(s *config.Snapshot) {
	d.table.SetSites(func(zone string) string {
		if site := s.SiteOf(zone); site != nil {
			return site.Name
		}
		return ""
	})
	d.peers.list.TriggerRound()
}

func (d *Daemon) listen() error {
	var err error
	if d.callerListener, err = net.Listen("tcp", d.settings.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if d.adminListener, err = net.Listen("tcp", d.settings.AdminListen); err != nil {
		_ = d.callerListener.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	if d.settings.TunnelListen == "" {
		return nil
	}
	if d.tunnelListener, err = net.Listen("tcp", d.settings.TunnelListen); err != nil {
		_ = d.callerListener.Close()
		_ = d.adminListener.Close()
		return fmt.Errorf("listen for tunnels: %w", err)
	}
	return nil
}

// Addr returns the address that callers use.
func (d *Daemon) Addr() string { return d.callerListener.Addr().String() }

// AdminAddr returns the address that operators use.
func (d *Daemon) AdminAddr() string { return d.adminListener.Addr().String() }

// Meters returns the daemon's counters.
func (d *Daemon) Meters() *meter.Meters { return d.meters }

// Stop starts a planned stop.
func (d *Daemon) Stop() { d.stopOnce.Do(func() { close(d.stopRequested) }) }

// Done returns a channel that is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Run serves until the context ends, Stop is called or a component fails. In the first two cases
// it drains before it stops.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	events.DaemonStarted.Log(d.log, logrus.Fields{"listen": d.Addr(), "admin": d.AdminAddr()})
	defer d.cancel()
	var tasks task.Group
	failed := make(chan error, 1)
	for name, run := range d.components() {
		tasks.Start(d.work, name, func(ctx context.Context) error {
			return d.runComponent(ctx, name, run, failed)
		})
	}
	var err error
	select {
	case <-ctx.Done():
		d.drain()
	case <-d.stopRequested:
		d.drain()
	case err = <-failed:
	}
	d.cancel()
	d.close()
	stopped := tasks.Wait()
	_ = d.claimKeeper.Wait()
	if err == nil {
		err = stopped
	}
	events.DaemonStopped.Log(d.log, nil)
	return err
}

// components returns the long-running components by name.
func (d *Daemon) components() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"configuration": d.follower.Run,
		"observer":      d.observer.Run,
		"callers":       func(ctx context.Context) error { return d.api.Serve(ctx, d.callerListener) },
		"admin":         d.serveAdmin,
		"readiness":     d.logReady,
		"peers":         d.peers.run,
		"placement":     d.runPlacement,
		"paths":         d.paths.dialer.Run,
		"tunnels":       d.paths.serve,
	}
}

func (d *Daemon) runComponent(ctx context.Context, name string, run func(context.Context) error, failed chan<- error) error {
	err := run(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	events.ComponentFailed.Log(d.log, logrus.Fields{"part": name, "error": err})
	select {
	case failed <- fmt.Errorf("component %s: %w", name, err):
	default:
	}
	return err
}

// logReady logs when the daemon has read the configuration and seen upstreams.
func (d *Daemon) logReady(ctx context.Context) error {
	for _, ready := range []<-chan struct{}{d.follower.Ready(), d.observer.Ready()} {
		select {
		case <-ready:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	events.DaemonReady.Log(d.log, logrus.Fields{"revision": d.follower.Revision()})
	return nil
}

// readyError returns why the daemon should get no requests, or nil.
func (d *Daemon) readyError() error {
	if d.draining.Load() {
		return errors.New("draining")
	}
	if d.follower.Current() == nil {
		return errors.New("no configuration yet")
	}
	select {
	case <-d.observer.Ready():
		return nil
	default:
		return errors.New("no upstreams seen yet")
	}
}
