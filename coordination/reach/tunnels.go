package reach

import (
	"context"
	"net"

	"spanrill"
	"spanrill/transport/tunnel"
)

// tcpTunnels are the Tunnels of a daemon over TCP.
type tcpTunnels struct {
	daemon     func() string
	secret     []byte
	timeout    spanrill.Millis
	upstreamAt func(addr string) string
}

// NewTunnels returns the Tunnels of a daemon. Daemon returns its name, upstreamAt the name of the
// upstream at an address, or "", and timeout bounds the helper's connection.
func NewTunnels(daemon func() string, secret string, timeout spanrill.Millis, upstreamAt func(addr string) string) Tunnels {
	return &tcpTunnels{daemon: daemon, secret: []byte(secret), timeout: timeout, upstreamAt: upstreamAt}
}

// Open connects to an upstream through a helper.
func (t *tcpTunnels) Open(ctx context.Context, helper spanrill.Helper, target tunnel.Target) (net.Conn, tunnel.Answer, error) {
	target.Daemon, target.Upstream, target.Timeout = t.daemon(), t.upstreamAt(target.Addr), t.timeout
	conn, err := tunnel.Dial(ctx, helper.Addr, t.secret, target)
	if err != nil {
		return nil, tunnel.Answer{}, err
	}
	return conn, conn.Answer(), nil
}

// Ask asks a helper what it knows about helpers for a service.
func (t *tcpTunnels) Ask(ctx context.Context, helper spanrill.Helper, question tunnel.Question) (tunnel.Told, error) {
	question.Daemon = t.daemon()
	return tunnel.Ask(ctx, helper.Addr, t.secret, question)
}
