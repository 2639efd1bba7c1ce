package gateway

import (
	"context"
	"fmt"
	"net"

	"spanrill/coordination/reach"
	"spanrill/transport/httpcall"
)

// wrapDial builds the dialer of upstreams on the dial function of the HTTP client, and returns the
// dial function for all calls.
func (g *Gateway) wrapDial(direct httpcall.DialFunc) httpcall.DialFunc {
	toUpstreams := reach.DialFunc(direct)
	if g.dialUpstream != nil {
		toUpstreams = g.dialUpstream
	}
	g.upstreamDialer = reach.New(g.serviceAt, g.clock, g.log, reach.WithDirect(toUpstreams), reach.WithMeters(g.meters))
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if g.serviceAt(addr) == "" {
			return direct(ctx, network, addr)
		}
		return g.upstreamDialer.DialContext(ctx, network, addr)
	}
}

// serviceAt returns the service of the upstream at an address, or "".
func (g *Gateway) serviceAt(addr string) string {
	if g.fleet == nil {
		return ""
	}
	if u := g.fleet.View().ByAddr(addr); u != nil {
		return u.Service()
	}
	return ""
}

// dialAndClose opens a connection to an upstream and closes it.
func (g *Gateway) dialAndClose(ctx context.Context, addr string) error {
	conn, err := g.upstreamDialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("check whether %s listens: %w", addr, err)
	}
	return conn.Close()
}
