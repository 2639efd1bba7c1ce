package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"

	"spanrill"
	"spanrill/coordination/conncap"
	"spanrill/coordination/reach"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
	"spanrill/transport/httpcall"
	"spanrill/transport/tunnel"
)

// wrapDial builds the dialer of upstreams on the dial function of the HTTP client, and returns the
// dial function for all calls. Only connections to upstreams may go through other daemons.
func (g *Gateway) wrapDial(direct httpcall.DialFunc) httpcall.DialFunc {
	toUpstreams := reach.DialFunc(direct)
	if g.dialUpstream != nil {
		toUpstreams = g.dialUpstream
	}
	g.upstreamDialer = reach.New(upstreamDirectory{g}, g.clock, g.log, g.random, reach.WithDirect(toUpstreams, dialTimeout),
		reach.WithHelp(g.helpers, reach.NewTunnels(func() string { return g.peers.name }, g.settings.FleetSecret, dialTimeout, g.upstreamAt)), reach.WithZone(g.settings.Zone), reach.WithMeters(g.meters), reach.WithRunningTime(g.running), reach.WithOnLost(g.handlePathLost))
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if (upstreamDirectory{g}).ServiceAt(addr) == "" {
			return direct(ctx, network, addr)
		}
		return g.upstreamDialer.DialContext(ctx, network, addr)
	}
}

// upstreamDirectory is a gateway as a spanrill.UpstreamDirectory.
type upstreamDirectory struct{ gateway *Gateway }

// ServiceAt returns the service of the upstream at an address, or "" if there is none.
func (d upstreamDirectory) ServiceAt(addr string) string {
	if u := d.gateway.fleet.View().ByAddr(addr); u != nil {
		return u.Service()
	}
	return ""
}

// Addrs returns the addresses of the upstreams of a service, or of all services if it is "".
func (d upstreamDirectory) Addrs(service string) []string {
	var addrs []string
	view := d.gateway.fleet.View()
	if service == "" {
		view.Each(func(u *fleet.Upstream) { addrs = append(addrs, u.Addr()) })
		return addrs
	}
	for _, u := range view.ByService(service) {
		addrs = append(addrs, u.Addr())
	}
	return addrs
}

// LastHeard returns when any upstream last answered or produced output.
func (d upstreamDirectory) LastHeard() spanrill.Millis { return d.gateway.fleet.LastHeard() }

// dialAndClose opens a connection to an upstream and closes it.
func (g *Gateway) dialAndClose(ctx context.Context, addr string) error {
	conn, err := g.upstreamDialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("check whether %s listens: %w", addr, err)
	}
	return conn.Close()
}

// handlePathLost closes the idle connections to the upstreams of a service, which may hang, and drops
// what probes have concluded from silence since the path was lost.
func (g *Gateway) handlePathLost(service string, since spanrill.Millis) {
	upstreams := g.fleet.View().ByService(service)
	for _, u := range upstreams {
		g.http.CloseIdleTo(u.Addr())
	}
	g.prober.Forget(upstreams, since)
}

// isPathLost reports whether connections to an address go through other daemons.
func (g *Gateway) isPathLost(addr string) bool {
	_, lost := g.upstreamDialer.LostSince(addr)
	return lost
}

// helpers returns the daemons that may connect this one to the upstreams of a service.
func (g *Gateway) helpers(service string) []spanrill.Helper {
	return reach.Helpers(g.peers.Others(), func(name string) bool { return g.exchange.PeerPathLost(name, service) })
}

// upstreamAt returns the name of the upstream at an address, or "".
func (g *Gateway) upstreamAt(addr string) string {
	if u := g.fleet.View().ByAddr(addr); u != nil {
		return u.Name()
	}
	return ""
}

// newTunnels returns the server of tunnels, or nil if the settings have no address for it.
func newTunnels(g *Gateway) *tunnel.Server {
	if g.settings.TunnelListen == "" {
		return nil
	}
	return tunnel.NewServer([]byte(g.settings.FleetSecret), reach.NewServer(g.upstreamDialer, g.checkTunnel, g.fleet.HandleNotice), g.clock,
		tunnel.WithLogger(g.log), tunnel.WithMeters(g.meters), tunnel.WithMaxOpen(conncap.Tunnels(g.settings.Descriptors)))
}

// checkTunnel returns why another daemon may not be connected to an upstream, or nil.
func (g *Gateway) checkTunnel(target tunnel.Target) error {
	u := g.fleet.View().ByAddr(target.Addr)
	if u == nil || target.Upstream != "" && u.Name() != target.Upstream {
		return &tunnel.OpenError{Reason: tunnel.ReasonUnknown, Detail: "no such upstream at " + target.Addr}
	}
	if target.Request == "" {
		return nil
	}
	if err := u.CheckSend(g.clock.Now()); err != nil {
		return &tunnel.OpenError{Reason: tunnel.ReasonWithheld, Detail: err.Error()}
	}
	return nil
}

// serveTunnels connects other daemons to upstreams until the context ends.
func (g *Gateway) serveTunnels(ctx context.Context) error {
	if g.tunnels == nil {
		return nil
	}
	err := g.tunnels.Serve(ctx, g.tunnelListener)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// openTunnels returns the number of connections to upstreams that this daemon keeps for others.
func (g *Gateway) openTunnels() int {
	if g.tunnels == nil {
		return 0
	}
	return g.tunnels.Open()
}

// lostPaths returns the services to whose upstreams this daemon has lost its path, for its peers.
func (g *Gateway) lostPaths() []peermsg.LostPath {
	var lost []peermsg.LostPath
	for _, s := range g.upstreamDialer.LostServices() {
		lost = append(lost, peermsg.LostPath{Service: s.Service, For: s.For, Helped: s.Helped, Denied: s.Denied})
	}
	return lost
}

// mayPlaceByPath reports whether this daemon may hold the placement lease as far as its paths tell: it
// reaches the upstreams of all services itself, or no other daemon does.
func (g *Gateway) mayPlaceByPath() bool {
	if len(g.upstreamDialer.LostServices()) == 0 {
		return true
	}
	lost, daemons := g.exchange.LostByOthers("")
	return lost >= max(daemons, len(g.peers.Others()))
}
