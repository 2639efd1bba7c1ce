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

// Connect connects to an upstream for another daemon, and records what that daemon has told.
func (s *Server) Connect(ctx context.Context, target tunnel.Target) (net.Conn, error) {
	d := s.dialer
	service := d.directory.ServiceAt(target.Addr)
	d.known.merge(service, target.Helpers)
	if target.Lost {
		d.known.recordDenied(service, spanrill.Helper{Name: target.Daemon}, d.clock.Now())
	}
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

// Helpers returns daemons that reach the service of a target, for the daemon that asks.
func (s *Server) Helpers(target tunnel.Target) []tunnel.Helper {
	return s.dialer.known.tell(s.dialer.directory.ServiceAt(target.Addr), target.Daemon, target.Zone)
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
	return func(ctx context.Context, h spanrill.Helper, target tunnel.Target) (net.Conn, tunnel.Answer, error) {
		target.Upstream, target.Daemon, target.Timeout = upstreamAt(target.Addr), daemon, timeout
		conn, err := tunnel.Dial(ctx, h.Addr, []byte(secret), target)
		if err != nil {
			return nil, tunnel.Answer{}, err
		}
		return conn, conn.Answer(), nil
	}
}
