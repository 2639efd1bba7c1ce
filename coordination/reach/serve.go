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
	now := d.clock.Now()
	d.known.merge(service, target.Helpers, now)
	if target.Lost {
		d.known.recordDenied(service, spanrill.Helper{Name: target.Daemon}, now)
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

// Tell answers a daemon that asks for helpers for a service, and records what it has told.
func (s *Server) Tell(ctx context.Context, q tunnel.Question) tunnel.Told {
	d := s.dialer
	now := d.clock.Now()
	d.known.merge(q.Service, q.Helpers, now)
	d.known.recordDenied(q.Service, spanrill.Helper{Name: q.Daemon}, now)
	told := tunnel.Told{Lost: d.paths.isCut(q.Service), Helpers: d.known.tell(q.Service, q.Daemon, q.Zone)}
	if told.Lost {
		return told
	}
	d.refreshConnected(ctx, q.Service)
	if age := d.clock.Now() - d.paths.connectedAt(q.Service); age <= knownFor {
		told.Reaches, told.Age = true, age
	}
	return told
}

// HandleNotice handles what an upstream has told about itself in an answer to another daemon.
func (s *Server) HandleNotice(addr string, n spanrill.Notice, openedAt spanrill.Millis) {
	s.onNotice(addr, n, openedAt)
}

// Helpers returns the members that accept tunnels. hasLost reports whether a member has told that it has
// lost its own path.
func Helpers(members []peermsg.Member, hasLost func(name string) bool) []spanrill.Helper {
	var helpers []spanrill.Helper
	for _, m := range members {
		if m.TunnelAddr != "" {
			helpers = append(helpers, spanrill.Helper{Name: m.Name, Addr: m.TunnelAddr, Zone: m.Zone, Lost: hasLost(m.Name)})
		}
	}
	return helpers
}
