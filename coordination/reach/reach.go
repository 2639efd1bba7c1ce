// Package reach opens the connections of a daemon to upstreams: over the daemon's own network path, or
// through another daemon where that path is lost.
//
// A connection is first tried directly. If that fails, or takes much longer than connections usually
// do, a helper, which is another daemon, is asked for the same connection. An upstream that the helper
// reaches and this daemon does not is taken as lost to this daemon; one that neither reaches is left to
// the callers' own judgement, as before. Once this daemon has lost several upstreams of a service and
// reached none, all connections to the service go through helpers at once. Direct connections are
// checked meanwhile, and the first that succeeds ends this. A path that is lost again soon after has to
// connect several times in a row.
//
// A helper connects directly or not at all, so that a connection never passes two helpers.
//
//	reach.go   the choice between the two ways
//	attempt.go connection attempts that outlive their callers
//	compare.go what the results of both ways tell
//	others.go  other upstreams that tell a lost path from a failed upstream
//	search.go  the search for a helper that reaches an upstream
//	known.go   what is known about helpers
//	learn.go   questions to other daemons about helpers
//	tunnels.go connections to other daemons
//	help.go    connections through helpers
//	paths.go   which upstreams are lost
//	lostservices.go lost paths as others are told of them
//	delay.go   how long a connection usually takes
//	budget.go  how often helpers are asked
//	check.go   checks of lost upstreams
//	serve.go   connections for other daemons
//
// # Usage
//
//	d := reach.New(directory, clock, log, random, reach.WithHelp(helpers, tunnels))
//	go d.Run(ctx)
//	conn, err := d.DialContext(ctx, "tcp", addr)
package reach

import (
	"context"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/rng"
	"spanrill/task"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer opens connections to upstreams.
type Dialer struct {
	directory spanrill.UpstreamDirectory
	clock     spanrill.Clock
	running   spanrill.RunningTime
	log       logrus.FieldLogger
	meters    *meter.Meters
	random    *rng.Source
	zone      string
	direct    DialFunc
	timeout   spanrill.Millis // of a direct connection
	helpers   func(service string) []spanrill.Helper
	tunnels   Tunnels
	paths     *paths
	known     *knownHelpers
	asks      *budget // of daemons that may not be able to help
	// compareBudget limits how often helpers are asked beside the direct path.
	compareBudget *budget
	// comparisons are the comparisons of the direct path with a helper that are running.
	comparisons *comparisons
	checks      *checks
	directTime  *delay // of direct connections
	helpTime    *delay // of connections through helpers
	helpLog     *events.Limiter
	tasks       task.Group
	done        chan struct{}
}

// Option changes a default of New.
type Option func(*Dialer)

// WithDirect sets the function that opens a connection over this daemon's own network path, and the
// time that it may take.
func WithDirect(dial DialFunc, timeout spanrill.Millis) Option {
	return func(d *Dialer) { d.direct, d.timeout = dial, timeout }
}

// WithHelp sets the function that returns the daemons that may be asked for connections to a service,
// and what connects to them.
func WithHelp(helpers func(service string) []spanrill.Helper, tunnels Tunnels) Option {
	return func(d *Dialer) { d.helpers, d.tunnels = helpers, tunnels }
}

// WithZone sets this daemon's availability zone. Helpers in it are preferred.
func WithZone(zone string) Option {
	return func(d *Dialer) { d.zone, d.known.zone = zone, zone }
}

// WithRunningTime sets what tells for how long this process has run, so that a direct connection that it
// has not noticed yet does not count as failed.
func WithRunningTime(r spanrill.RunningTime) Option {
	return func(d *Dialer) { d.running = r }
}

// WithMeters sets the counters.
func WithMeters(m *meter.Meters) Option {
	return func(d *Dialer) { d.meters = m }
}

// WithOnLost sets a function that is called when the path to the upstreams of a service is found to be
// lost, with the time since which connections have failed.
func WithOnLost(f func(service string, since spanrill.Millis)) Option {
	return func(d *Dialer) { d.paths.onLost = f }
}

// helpLinesPerSecond is the maximum number of log lines per second about connections through helpers.
const helpLinesPerSecond = 40

// New returns a Dialer. Without WithHelp it connects directly only.
func New(directory spanrill.UpstreamDirectory, clock spanrill.Clock, log logrus.FieldLogger, random *rng.Source, opts ...Option) *Dialer {
	d := &Dialer{
		directory: directory, clock: clock, running: spanrill.NeverStalled{Clock: clock}, log: log, meters: meter.New(), random: random,
		direct: (&net.Dialer{}).DialContext, timeout: spanrill.Second,
		helpers: func(string) []spanrill.Helper { return nil },
		paths:   newPaths(directory, clock, log), known: newKnownHelpers(clock, random), asks: newBudget(clock, maxAskTokens, askTokensPerSecond),
		compareBudget: newBudget(clock, maxCompareTokens, compareTokensPerSecond), comparisons: newComparisons(), checks: &checks{last: map[string]*attempt{}},
		directTime: newDelay(minDirectDelay), helpTime: newDelay(minHelpDelay),
		helpLog: events.NewLimiter(clock, helpLinesPerSecond), done: make(chan struct{}),
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Done returns a channel that is closed when Run has returned and no attempt runs.
func (d *Dialer) Done() <-chan struct{} { return d.done }

// LostSince returns since when connections to an address go through helpers, and whether they do.
func (d *Dialer) LostSince(addr string) (spanrill.Millis, bool) {
	return d.paths.lostSince(d.directory.ServiceAt(addr), addr)
}

// LostServices returns the services to whose upstreams this daemon has lost its path.
func (d *Dialer) LostServices() []LostService { return d.paths.lostServices() }

// DialContext connects to the upstream at an address. The error wraps spanrill.ErrNoPath if this
// daemon's path is lost and no helper connects it.
func (d *Dialer) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	service := d.directory.ServiceAt(addr)
	if _, lost := d.paths.lostSince(service, addr); lost {
		conn, err := d.dialThroughHelper(ctx, service, addr)
		if err == nil || !isNoHelp(err) || d.paths.isCut(service) {
			return conn, err
		}
	}
	return d.race(ctx, service, addr)
}

// race connects directly and, if that fails or takes longer than usual, also through a helper. The
// first connection is used.
func (d *Dialer) race(ctx context.Context, service, addr string) (net.Conn, error) {
	direct := d.startDirect(ctx, service, addr)
	select {
	case <-direct.done:
		if direct.err == nil || spanrill.IsLocalResourceError(direct.err) {
			return direct.conn, direct.err
		}
	case <-d.clock.After(d.directTime.bound(d.timeout)):
	case <-ctx.Done():
		d.discard(direct)
		return nil, fmt.Errorf("connect to %s: %w", addr, ctx.Err())
	}
	if !d.compareBudget.take() {
		return d.awaitComparison(ctx, service, addr, direct)
	}
	help := d.startHelp(ctx, service, addr)
	finish := d.comparisons.begin(service)
	d.tasks.Start(context.WithoutCancel(ctx), "compare paths", func(context.Context) error {
		defer finish()
		d.compare(service, addr, direct, help)
		return nil
	})
	conn, err := d.first(ctx, addr, direct, help)
	if err == nil || !isNoHelp(help.errNow()) || d.reachesOther(ctx, service, addr) {
		return conn, err
	}
	// Helpers may have become known while the direct connection was awaited.
	conn, helpErr := d.dialThroughHelper(ctx, service, addr)
	if isNoHelp(helpErr) {
		return nil, fmt.Errorf("connect to %s: %w: %v", addr, helpErr, err)
	}
	return conn, helpErr
}

// await returns the result of an attempt.
func (d *Dialer) await(ctx context.Context, addr string, a *attempt) (net.Conn, error) {
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		d.discard(a)
		return nil, fmt.Errorf("connect to %s: %w", addr, ctx.Err())
	}
}
