package reach

import (
	"context"
	"net"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/transport/tunnel"
)

// Server connects other daemons to upstreams over this daemon's own path. It is a tunnel.Upstreams.
type Server struct {
	dialer   *Dialer
	check    func(tunnel.Target) error
	onNotice func(addr string, n spanrill.Notice, openedAt spanrill.Millis)
	lines    *events.Limiter
}

// serveLinesPerSecond is the maximum number of log lines per second about connections for others.
const serveLinesPerSecond = 40

// NewServer returns a Server. Check returns why a target may not be connected to, or nil, and onNotice
// handles what upstreams tell about themselves in answers to other daemons.
func NewServer(d *Dialer, check func(tunnel.Target) error, onNotice func(addr string, n spanrill.Notice, openedAt spanrill.Millis)) *Server {
	return &Server{dialer: d, check: check, onNotice: onNotice, lines: events.NewLimiter(d.clock, serveLinesPerSecond)}
}

// Connect connects to an upstream for another daemon.
func (s *Server) Connect(ctx context.Context, target tunnel.Target) (net.Conn, error) {
	if err := s.check(target); err != nil {
		return nil, err
	}
	conn, err := s.dialer.DialForPeer(ctx, target.Addr)
	if err != nil {
		return nil, err
	}
	s.lines.Log(events.TunnelOpened, s.dialer.log, func() logrus.Fields {
		return logrus.Fields{"for": target.Daemon, "addr": target.Addr, "upstream": target.Upstream, "request": target.Request}
	})
	return conn, nil
}

// HandleNotice handles what an upstream has told about itself in an answer to another daemon.
func (s *Server) HandleNotice(addr string, n spanrill.Notice, openedAt spanrill.Millis) {
	s.onNotice(addr, n, openedAt)
}

// Helpers returns the members that accept tunnels, without those that are excluded.
func Helpers(members []peermsg.Member, exclude func(name string) bool) []spanrill.Helper {
	var helpers []spanrill.Helper
	for _, m := range members {
		if m.TunnelAddr != "" && !exclude(m.Name) {
			helpers = append(helpers, spanrill.Helper{Name: m.Name, Addr: m.TunnelAddr, Zone: m.Zone})
		}
	}
	return helpers
}

// Tunnel returns the TunnelFunc of the daemon with that name. upstreamAt returns the name of the
// upstream at an address, or "", and timeout bounds the helper's connection.
func Tunnel(daemon, secret string, timeout spanrill.Millis, upstreamAt func(addr string) string) TunnelFunc {
	return func(ctx context.Context, h spanrill.Helper, addr, request string) (net.Conn, int, error) {
		target := tunnel.Target{Addr: addr, Upstream: upstreamAt(addr), Request: request, Daemon: daemon, Timeout: timeout}
		conn, err := tunnel.Dial(ctx, h.Addr, []byte(secret), target)
		if err != nil {
			return nil, 0, err
		}
		return conn, conn.HelperLoad(), nil
	}
}
