package reach

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"

	"github.com/vmihailenco/msgpack/v5"

	"spanrill"
	"spanrill/transport/frame"
	"spanrill/transport/tunnel"
)

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
	d.dials++
	cut := d.cuts[d.serviceOf[addr]]
	if d.silent[addr] {
		cut = simSilent
	}
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
