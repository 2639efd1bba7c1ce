package gateway

import (
	"fmt"
	"net"

	"spanrill/transport/callerhttp"
)

func (g *Gateway) listen() error {
	var err error
	if g.listener, err = g.listenAt(g.settings.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if g.readyListener, err = g.listenAt(g.settings.ReadyListen); err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	if g.settings.TunnelListen != "" {
		if g.tunnelListener, err = g.listenAt(g.settings.TunnelListen); err != nil {
			return fmt.Errorf("listen for tunnels: %w", err)
		}
	}
	if g.settings.MetricsListen == "" {
		return nil
	}
	if g.metricsListener, err = g.listenAt(g.settings.MetricsListen); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// listenAt listens on an address. The accept loop survives a lack of file descriptors.
func (g *Gateway) listenAt(addr string) (*callerhttp.Acceptor, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return callerhttp.NewAcceptor(ln, g.clock), nil
}
