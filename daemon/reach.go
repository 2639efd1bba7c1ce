package daemon

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/reach"
	"spanrill/transport/httpcall"
	"spanrill/transport/tunnel"
)

// upstreamPaths are the connections of a daemon to upstreams, also through and for other daemons. It
// is a spanrill.UpstreamDirectory.
type upstreamPaths struct {
	daemon  *Daemon
	dialer  *reach.Dialer
	tunnels *tunnel.Server // nil if the settings have no address for it
	heard   atomic.Int64   // when an upstream last answered
}

const (
	// engineService is the name under which the paths to all engines are tracked.
	engineService = "engines"
	// upstreamDialTimeout bounds a connection to an upstream.
	upstreamDialTimeout = spanrill.Second
)

// wrapDial builds the dialer of upstreams on the dial function of the HTTP client, and returns the
// dial function for all calls.
func (p *upstreamPaths) wrapDial(direct httpcall.DialFunc) httpcall.DialFunc {
	d := p.daemon
	toUpstreams := reach.DialFunc(direct)
	if d.dialUpstream != nil {
		toUpstreams = d.dialUpstream
	}
	tunnels := reach.NewTunnels(func() string { return d.settings.Name }, d.settings.FleetSecret, upstreamDialTimeout, p.upstreamAt)
	p.dialer = reach.New(p, d.clock, d.log, d.random, reach.WithDirect(toUpstreams, upstreamDialTimeout), reach.WithZone(d.settings.Zone),
		reach.WithMeters(d.meters), reach.WithOnLost(p.closeIdle), reach.WithHelp(p.helpers, tunnels))
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if p.ServiceAt(addr) == "" {
			return direct(ctx, network, addr)
		}
		return p.dialer.DialContext(ctx, network, addr)
	}
}

// newTunnels returns the server of tunnels, or nil if the settings have no address for it.
func (p *upstreamPaths) newTunnels() *tunnel.Server {
	d := p.daemon
	if d.settings.TunnelListen == "" {
		return nil
	}
	ignoreNotice := func(string, spanrill.Notice, spanrill.Millis) {} // upstreams of this interface give none
	return tunnel.NewServer([]byte(d.settings.FleetSecret), reach.NewServer(p.dialer, p.checkTunnel, ignoreNotice), d.clock,
		tunnel.WithLogger(d.log), tunnel.WithMeters(d.meters))
}

// checkTunnel returns why another daemon may not be connected to an upstream, or nil.
func (p *upstreamPaths) checkTunnel(target tunnel.Target) error {
	if name := p.upstreamAt(target.Addr); name == "" || target.Upstream != "" && name != target.Upstream {
		return &tunnel.OpenError{Reason: tunnel.ReasonUnknown, Detail: "no such upstream at " + target.Addr}
	}
	return nil
}

// openTunnels returns the number of connections to upstreams that this daemon keeps for others.
func (p *upstreamPaths) openTunnels() int {
	if p.tunnels == nil {
		return 0
	}
	return p.tunnels.Open()
}

// serve connects other daemons to upstreams until the context ends.
func (p *upstreamPaths) serve(ctx context.Context) error {
	if p.tunnels == nil {
		return nil
	}
	err := p.tunnels.Serve(ctx, p.daemon.tunnelListener)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (p *upstreamPaths) helpers(string) []spanrill.Helper {
	return reach.Helpers(p.daemon.peers.list.Others(), func(string) bool { return false })
}

// upstreamAt returns the name of the upstream at an address, or "".
func (p *upstreamPaths) upstreamAt(addr string) string {
	if u := p.daemon.table.ByAddr(addr); u != nil {
		return u.Name()
	}
	return ""
}

// ServiceAt returns the service of the upstream at an address, or "" if there is none.
func (p *upstreamPaths) ServiceAt(addr string) string {
	u := p.daemon.table.ByAddr(addr)
	switch {
	case u == nil:
		return ""
	case u.Service() == "":
		return engineService
	}
	return u.Service()
}

// Addrs returns the addresses of the upstreams of a service, or of all services if it is "".
func (p *upstreamPaths) Addrs(service string) []string {
	var addrs []string
	for _, u := range p.daemon.table.Upstreams() {
		if service == "" || p.ServiceAt(u.Addr()) == service {
			addrs = append(addrs, u.Addr())
		}
	}
	return addrs
}

// LastHeard returns when any upstream last answered.
func (p *upstreamPaths) LastHeard() spanrill.Millis { return spanrill.Millis(p.heard.Load()) }

// recordAnswer records that an upstream has answered.
func (p *upstreamPaths) recordAnswer(addr string, _ *fasthttp.ResponseHeader, _ spanrill.Millis, _ net.Conn) {
	if p.ServiceAt(addr) != "" {
		p.heard.Store(int64(p.daemon.clock.Now()))
	}
}

// closeIdle closes the idle connections to the upstreams of a service, which may hang.
func (p *upstreamPaths) closeIdle(service string, _ spanrill.Millis) {
	for _, addr := range p.Addrs(service) {
		p.daemon.http.CloseIdleTo(addr)
	}
}

// isLost reports whether connections to an address go through other daemons.
func (p *upstreamPaths) isLost(addr string) bool {
	_, lost := p.dialer.LostSince(addr)
	return lost
}

// LostPath is a service to whose upstreams a daemon has lost its network path.
type LostPath struct {
	Service string          `json:"service"` // "engines" for the engines of all models
	For     spanrill.Millis `json:"for_ms"`
	Helped  map[string]int  `json:"helped"` // connections since then by the daemon that made them
	Denied  int             `json:"denied"` // daemons that answered since then that they cannot help
}

// lostPaths returns the services to whose upstreams this daemon has lost its path.
func (p *upstreamPaths) lostPaths() []LostPath {
	var lost []LostPath
	for _, s := range p.dialer.LostServices() {
		lost = append(lost, LostPath{Service: s.Service, For: s.For, Helped: s.Helped, Denied: s.Denied})
	}
	return lost
}
