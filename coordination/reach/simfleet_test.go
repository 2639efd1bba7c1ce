package reach

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"spanrill"
	"spanrill/clock"
	"spanrill/rng"
	"spanrill/task"
	"spanrill/transport/frame"
	"spanrill/transport/tunnel"
)

// simFleet is a fleet of dialers in simulated time. They reach upstreams and each other over a network
// on which connections can be cut.
type simFleet struct {
	*testing.T
	clock     *clock.System
	random    *rng.Source
	upstreams []string          // addresses
	serviceOf map[string]string // by address
	group     task.Group
	ctx       context.Context

	mu       sync.Mutex
	daemons  []*simDaemon
	callTime spanrill.Millis // how long a call keeps its connection
	requests int             // number of the last request
	bytes    int             // of messages about helpers
}

// simDaemon is one daemon. It is a spanrill.UpstreamDirectory.
type simDaemon struct {
	*simFleet
	name, zone string
	dialer     *Dialer
	server     *Server
	random     *rng.Source
	stop       context.CancelFunc
	maxOpen    int // tunnels

	// The lock of the fleet guards the rest.
	cuts     map[string]simCut // by service
	down     bool              // killed: connections are refused
	frozen   bool              // connections hang
	leaving  bool
	delay    spanrill.Millis // of answers to peers
	island   int             // daemons reach those of the same island only
	known    []*simDaemon    // members that it knows
	news     map[*simDaemon]simNews
	open     int // tunnels
	mostOpen int
	served   int // tunnels that it opened for others
	asked    int // tunnels and helpers that others asked for
	heardAt  spanrill.Millis
}

// simNews is what a daemon has told another one with its news.
type simNews struct {
	lost []string
	at   spanrill.Millis
}

// simCut is a way in which a daemon loses its path to the upstreams of a service.
type simCut uint8

const (
	simWhole  simCut = iota
	simSilent        // connections hang
	simReset         // connections are refused
	simLossy         // three packets in ten are lost
)

const (
	simUpstreams = 24 // of each of the two services
	simZones     = 4
	// simDialTimeout is the time that a direct connection may take, as in gateways.
	simDialTimeout spanrill.Millis = 350
	// simRequestTime is the time that a request has to get a connection.
	simRequestTime = 1500 * spanrill.Millis(1)
	simNewsRound   = 250 * spanrill.Millis(1)
	simNewsTTL     = 2 * spanrill.Second
	simNewsPeers   = 4 // that a daemon of a large fleet asks in a round
	simMaxTries    = 3 // upstreams that a request tries
)

var simServices = []string{"reading", "register"}

// playFleet plays a fleet of n daemons.
func playFleet(t *testing.T, n int, play func(f *simFleet)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		boot := func() time.Duration { return time.Since(start) }
		ctx, cancel := context.WithCancel(context.Background())
		f := &simFleet{T: t, clock: clock.NewSystem(clock.WithBootTime(boot)), random: rng.New(1), serviceOf: map[string]string{}, ctx: ctx, callTime: 100}
		f.pass(100 * spanrill.Second)
		for i := range simUpstreams {
			for _, service := range simServices {
				addr := fmt.Sprint(service, i)
				f.upstreams = append(f.upstreams, addr)
				f.serviceOf[addr] = service
			}
		}
		for i := range n {
			f.start(fmt.Sprint("d", i), fmt.Sprint("z", i%simZones))
		}
		f.introduceAll()
		play(f)
		cancel()
		f.pass(20 * spanrill.Second)
		_ = f.group.Wait()
	})
}

// start starts a daemon that knows no other one.
func (f *simFleet) start(name, zone string) *simDaemon {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	d := &simDaemon{simFleet: f, name: name, zone: zone, random: rng.New(f.random.Uint64()), maxOpen: 256, cuts: map[string]simCut{}, news: map[*simDaemon]simNews{}}
	d.dialer = New(d, f.clock, log, d.random, WithDirect(d.dialDirect, simDialTimeout), WithHelp(d.helpers, d), WithZone(zone))
	d.server = NewServer(d.dialer, func(tunnel.Target) error { return nil }, func(string, spanrill.Notice, spanrill.Millis) {})
	ctx, cancel := context.WithCancel(f.ctx)
	d.stop = cancel
	f.group.Start(ctx, "paths", d.dialer.Run)
	f.group.Start(ctx, "news", d.exchangeNews)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, d)
	return d
}

// introduceAll makes each daemon know all that run.
func (f *simFleet) introduceAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		d.known = slices.DeleteFunc(slices.Clone(f.daemons), func(o *simDaemon) bool { return o == d || o.down })
	}
}

// kill ends a daemon's process.
func (d *simDaemon) kill() {
	d.set(func() { d.down = true })
	d.stop()
}

// set changes the state of the fleet.
func (f *simFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// cut cuts daemons off from services, all if none is named.
func (f *simFleet) cut(cut simCut, daemons []*simDaemon, services ...string) {
	if len(services) == 0 {
		services = simServices
	}
	f.set(func() {
		for _, d := range daemons {
			for _, s := range services {
				d.cuts[s] = cut
			}
		}
	})
}

func (f *simFleet) pass(d spanrill.Millis) {
	<-f.clock.After(d)
	synctest.Wait()
}

// ServiceAt returns the service of an upstream.
func (f *simFleet) ServiceAt(addr string) string { return f.serviceOf[addr] }

// Addrs returns the upstreams of a service, or all.
func (f *simFleet) Addrs(service string) []string {
	return slices.DeleteFunc(slices.Clone(f.upstreams), func(addr string) bool { return service != "" && f.serviceOf[addr] != service })
}

// LastHeard returns when an upstream last answered this daemon.
func (d *simDaemon) LastHeard() spanrill.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heardAt
}

// wait waits for a time, or for the end of the context.
func (f *simFleet) wait(ctx context.Context, d spanrill.Millis) error {
	select {
	case <-f.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// roundTrip returns the time of a round trip.
func (d *simDaemon) roundTrip() spanrill.Millis { return 1 + spanrill.Millis(d.random.IntN(2)) }

// simConn is a connection that reports its end.
type simConn struct {
	net.Conn
	onClose func()
	once    sync.Once
}

func newSimConn(onClose func()) *simConn {
	conn, other := net.Pipe()
	_ = other.Close()
	return &simConn{Conn: conn, onClose: onClose}
}

func (c *simConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// dialDirect connects to an upstream over the daemon's own path.
func (d *simDaemon) dialDirect(ctx context.Context, _, addr string) (net.Conn, error) {
	d.mu.Lock()
	cut := d.cuts[d.serviceOf[addr]]
	d.mu.Unlock()
	if cut == simLossy && (d.random.Float64() < 0.3 || d.random.Float64() < 0.3) {
		cut = simSilent // a lost packet is sent again after a second
	}
	if cut == simSilent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := d.wait(ctx, d.roundTrip()); err != nil {
		return nil, err
	}
	if cut == simReset {
		return nil, syscall.ECONNREFUSED
	}
	d.set(func() { d.heardAt = d.clock.Now() })
	return newSimConn(func() {}), nil
}

// reach waits for a round trip to a peer, and fails if there is no way to it.
func (d *simDaemon) reach(ctx context.Context, to *simDaemon) error {
	d.mu.Lock()
	hangs := to.frozen || to.island != d.island
	down, delay := to.down, to.delay
	d.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := d.wait(ctx, d.roundTrip()+delay); err != nil {
		return err
	}
	if down {
		return syscall.ECONNREFUSED
	}
	return nil
}

// daemon returns the running daemon with that name.
func (f *simFleet) daemon(name string) *simDaemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.daemons, func(d *simDaemon) bool { return d.name == name })
	return f.daemons[i]
}

// helpers returns the members, and which of them have told of a lost path.
func (d *simDaemon) helpers(service string) []spanrill.Helper {
	d.mu.Lock()
	defer d.mu.Unlock()
	helpers := make([]spanrill.Helper, 0, len(d.known))
	now := d.clock.Now()
	for _, o := range d.known {
		n, ok := d.news[o]
		lost := ok && now-n.at <= simNewsTTL && slices.Contains(n.lost, service)
		helpers = append(helpers, spanrill.Helper{Name: o.name, Addr: o.name, Zone: o.zone, Lost: lost})
	}
	return helpers
}

// Open connects to an upstream through a helper.
func (d *simDaemon) Open(ctx context.Context, h spanrill.Helper, target tunnel.Target) (net.Conn, tunnel.Answer, error) {
	to := d.daemon(h.Name)
	if err := d.reachTunnels(ctx, to); err != nil {
		return nil, tunnel.Answer{}, err
	}
	d.countBytes(&target)
	target.Daemon, target.Timeout = d.name, simDialTimeout
	open, err := to.acceptTunnel()
	if err != nil {
		return nil, tunnel.Answer{}, to.openError(target, err)
	}
	conn, err := to.server.Connect(ctx, target)
	if err != nil {
		to.set(func() { to.open-- })
		return nil, tunnel.Answer{}, to.openError(target, err)
	}
	to.set(func() { to.served++ })
	answer := tunnel.Answer{Open: open, Room: to.maxOpen - open, Helpers: to.server.Helpers(target)}
	d.countBytes(&answer)
	return newSimConn(func() {
		_ = conn.Close()
		to.set(func() { to.open-- })
	}), answer, nil
}

// reachTunnels waits for a connection, a handshake and a request.
func (d *simDaemon) reachTunnels(ctx context.Context, to *simDaemon) error {
	for range 3 {
		if err := d.reach(ctx, to); err != nil {
			return err
		}
	}
	to.set(func() { to.asked++ })
	return nil
}

// Ask asks a daemon for helpers.
func (d *simDaemon) Ask(ctx context.Context, h spanrill.Helper, q tunnel.Question) (tunnel.Told, error) {
	to := d.daemon(h.Name)
	if err := d.reachTunnels(ctx, to); err != nil {
		return tunnel.Told{}, err
	}
	q.Daemon = d.name
	told := to.server.Tell(ctx, q)
	to.set(func() { told.Open, told.Room = to.open, to.maxOpen-to.open })
	d.countBytes(&q)
	d.countBytes(&told)
	return told, nil
}

// acceptTunnel counts a tunnel, or refuses it.
func (d *simDaemon) acceptTunnel() (open int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.leaving:
		return 0, &tunnel.OpenError{Reason: tunnel.ReasonLeaving}
	case d.open >= d.maxOpen:
		return 0, &tunnel.OpenError{Reason: tunnel.ReasonFull}
	}
	d.open++
	d.mostOpen = max(d.mostOpen, d.open)
	return d.open, nil
}

// openError returns the answer of a helper that has failed to connect.
func (d *simDaemon) openError(target tunnel.Target, err error) error {
	answer := &tunnel.OpenError{Reason: tunnel.ReasonUnreachable, Helpers: d.server.Helpers(target)}
	var failure *tunnel.OpenError
	switch {
	case errors.As(err, &failure):
		answer.Reason = failure.Reason
	case errors.Is(err, spanrill.ErrNoPath):
		answer.Reason = tunnel.ReasonNoPath
	case spanrill.IsConnectionRefused(err):
		answer.Reason = tunnel.ReasonRefused
	}
	d.countBytes(answer)
	return answer
}

// simHandshakeBytes is the size of a frame of a handshake: a nonce with header and tag.
const simHandshakeBytes = 16 + frame.HeaderSize + frame.TagSize

// countBytes counts a message with its part of the handshake.
func (f *simFleet) countBytes(message any) {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		f.Error(err)
	}
	f.set(func() { f.bytes += len(payload) + frame.HeaderSize + frame.TagSize + simHandshakeBytes })
}

// exchangeNews asks a few others in rounds which paths they have lost.
func (d *simDaemon) exchangeNews(ctx context.Context) error {
	for d.wait(ctx, simNewsRound*9/10+spanrill.Millis(d.random.IntN(int(simNewsRound/5)))) == nil {
		for range simNewsPeers {
			d.askNews(ctx)
		}
	}
	return ctx.Err()
}

func (d *simDaemon) askNews(ctx context.Context) {
	d.mu.Lock()
	known := d.known
	d.mu.Unlock()
	if len(known) == 0 {
		return
	}
	to := known[d.random.IntN(len(known))]
	ctx, cancel := context.WithTimeout(ctx, simNewsRound.Duration())
	defer cancel()
	at := d.clock.Now()
	if d.reach(ctx, to) != nil {
		return
	}
	var lost []string
	for _, s := range to.dialer.LostServices() {
		lost = append(lost, s.Service)
	}
	d.set(func() { d.news[to] = simNews{lost: lost, at: at} })
}

// simResult counts first attempts.
type simResult struct {
	sent, served, noPath, full int
	slowestRefusal             spanrill.Millis
}

func (r *simResult) add(o simResult) {
	r.sent, r.served, r.noPath, r.full = r.sent+o.sent, r.served+o.served, r.noPath+o.noPath, r.full+o.full
	r.slowestRefusal = max(r.slowestRefusal, o.slowestRefusal)
}

func (r simResult) share() float64 { return float64(r.served) / float64(max(1, r.sent)) }

// send sends requests to all running daemons for a time, each daemon getting them at intervals that
// vary, and returns the results by daemon once all requests have ended.
func (f *simFleet) send(duration, interval spanrill.Millis) map[*simDaemon]simResult {
	f.mu.Lock()
	daemons := slices.DeleteFunc(slices.Clone(f.daemons), func(d *simDaemon) bool { return d.down })
	f.mu.Unlock()
	end := f.clock.Now() + duration
	var mu sync.Mutex
	results := map[*simDaemon]simResult{}
	var calls task.Group
	for _, d := range daemons {
		calls.Start(f.ctx, "callers", func(ctx context.Context) error {
			var requests task.Group
			for {
				if f.wait(ctx, spanrill.Millis(d.random.IntN(int(2*interval)))) != nil || f.clock.Now() >= end {
					return requests.Wait()
				}
				requests.Start(ctx, "request", func(ctx context.Context) error {
					result := d.request(ctx)
					mu.Lock()
					defer mu.Unlock()
					total := results[d]
					total.add(result)
					results[d] = total
					return nil
				})
			}
		})
	}
	_ = calls.Wait()
	return results
}

// request makes a request at a random upstream, and at others if that fails as relays do.
func (d *simDaemon) request(ctx context.Context) simResult {
	service := simServices[d.random.IntN(len(simServices))]
	d.mu.Lock()
	d.requests++
	id, frozen := fmt.Sprint("r", d.requests), d.down || d.frozen
	d.mu.Unlock()
	if frozen {
		return simResult{}
	}
	ctx, cancel := context.WithTimeout(WithRequest(ctx, id), simRequestTime.Duration())
	defer cancel()
	began := d.clock.Now()
	var err error
	for range simMaxTries {
		var conn net.Conn
		conn, err = d.dialer.DialContext(ctx, "tcp", fmt.Sprint(service, d.random.IntN(simUpstreams)))
		if err == nil {
			_ = d.wait(ctx, d.callTime)
			_ = conn.Close()
			return simResult{sent: 1, served: 1}
		}
		if errors.Is(err, spanrill.ErrNoPath) || ctx.Err() != nil {
			break
		}
	}
	result := simResult{sent: 1, slowestRefusal: d.clock.Now() - began}
	switch {
	case errors.Is(err, spanrill.ErrHelpersFull):
		result.full = 1
	case errors.Is(err, spanrill.ErrNoPath):
		result.noPath = 1
	}
	return result
}

// sumOf adds the results of daemons.
func sumOf(results map[*simDaemon]simResult, daemons []*simDaemon) (sum simResult) {
	for _, d := range daemons {
		sum.add(results[d])
	}
	return sum
}

// picked returns a share of the daemons at random, and the others.
func (f *simFleet) picked(share float64) (some, others []*simDaemon) {
	all := slices.Clone(f.daemons)
	for i := range all {
		j := i + f.random.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	n := int(share*float64(len(all)) + 0.5)
	return all[:n], all[n:]
}
