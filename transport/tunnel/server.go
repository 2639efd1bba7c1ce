package tunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"spanrill"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/task"
	"spanrill/transport/frame"
)

// Upstreams connects a helper to its upstreams.
type Upstreams interface {
	// Connect opens a connection to the target over the helper's own path, never through another
	// daemon. Its error may be an *OpenError.
	Connect(ctx context.Context, target Target) (net.Conn, error)
	// Helpers returns other daemons that reach the service of the target.
	Helpers(target Target) []Helper
	// Tell answers a question. The server sets what concerns its tunnels.
	Tell(ctx context.Context, q Question) Told
	// HandleNotice handles what an upstream has told in an answer that came through a tunnel opened
	// at a time.
	HandleNotice(addr string, n spanrill.Notice, openedAt spanrill.Millis)
}

// Server is the side of the helper.
type Server struct {
	secret    []byte
	upstreams Upstreams
	clock     spanrill.Clock
	log       logrus.FieldLogger
	meters    *meter.Meters
	max       int
	open      atomic.Int64 // tunnels
	conns     atomic.Int64 // connections of daemons, with those that have no tunnel yet
	leaving   atomic.Bool
	done      chan struct{}
}

// ServerOption changes a default of NewServer.
type ServerOption func(*Server)

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) ServerOption {
	return func(s *Server) { s.log = log }
}

// WithMeters sets the counters.
func WithMeters(m *meter.Meters) ServerOption {
	return func(s *Server) { s.meters = m }
}

// WithMaxOpen sets how many tunnels may be open at a time.
func WithMaxOpen(n int) ServerOption {
	return func(s *Server) { s.max = n }
}

const (
	defaultMaxOpen = 256
	// maxHandshakes is how many connections beyond the tunnels are accepted. Processes that do not
	// know the fleet secret can use up no more.
	maxHandshakes = 64
	// handshakeTimeout bounds the time from a connection to its request for a tunnel.
	handshakeTimeout = 2 * time.Second
	// defaultOpenTimeout bounds connecting to an upstream if the dialer names no time.
	defaultOpenTimeout = time.Second
	// writeTimeout is how long bytes may wait for a side that does not read.
	writeTimeout = 30 * time.Second
)

// NewServer returns the helper's side. Serve starts it.
func NewServer(secret []byte, upstreams Upstreams, clock spanrill.Clock, opts ...ServerOption) *Server {
	s := &Server{secret: secret, upstreams: upstreams, clock: clock, log: logrus.StandardLogger(), meters: meter.New(), max: defaultMaxOpen, done: make(chan struct{})}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Open returns the number of open tunnels.
func (s *Server) Open() int { return int(s.open.Load()) }

// Leave makes the server refuse new tunnels. Open ones go on.
func (s *Server) Leave() { s.leaving.Store(true) }

// Done returns a channel that is closed when Serve has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Serve accepts tunnels until the context ends, and then ends those that are open.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer close(s.done)
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var tasks task.Group
	var err error
	for {
		var conn net.Conn
		if conn, err = ln.Accept(); err != nil {
			break
		}
		if s.conns.Load() >= int64(s.max+maxHandshakes) {
			_ = conn.Close()
			continue
		}
		s.conns.Add(1)
		tasks.Start(ctx, "tunnel", func(ctx context.Context) error {
			defer s.conns.Add(-1)
			return s.serveConn(ctx, conn)
		})
	}
	_ = tasks.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("accept tunnels: %w", err)
}

// serveConn serves one connection of a daemon.
func (s *Server) serveConn(ctx context.Context, nc net.Conn) error {
	defer func() { _ = nc.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	setKeepAlive(nc)
	_ = nc.SetDeadline(time.Now().Add(handshakeTimeout))
	ses, first, err := s.accept(nc)
	if err == nil && first.Kind == kindAsk {
		return s.answer(ctx, ses, first.Payload)
	}
	var target Target
	if err == nil {
		err = decodeTarget(first, &target)
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, io.EOF) {
			s.meters.FramesRefused.Inc()
			events.PeerRefused.Log(s.log, logrus.Fields{"remote": nc.RemoteAddr().String(), "error": err})
		}
		return nil // the connection is closed
	}
	upstream, err := s.connect(ctx, &target)
	if err != nil {
		s.meters.TunnelsRefused.Inc()
		return ses.writeMessage(kindFailed, s.openError(&target, err))
	}
	defer s.open.Add(-1)
	defer func() { _ = upstream.Close() }()
	answer := &Answer{Open: s.Open(), Room: s.room(), Helpers: s.upstreams.Helpers(target)}
	if err := ses.writeMessage(kindOpened, answer); err != nil {
		return err
	}
	s.meters.TunnelsOpened.Inc()
	_ = nc.SetDeadline(time.Time{})
	s.forward(ctx, ses, upstream, target.Addr)
	return nil
}

// accept makes the handshake and returns the first frame of the dialer.
func (s *Server) accept(nc net.Conn) (*session, frame.Frame, error) {
	ses, err := handshake(nc, s.secret, false)
	if err != nil {
		return nil, frame.Frame{}, err
	}
	f, err := ses.readFrame()
	if err != nil {
		return nil, f, fmt.Errorf("read request: %w", err)
	}
	return ses, f, nil
}

// decodeTarget decodes the target that a dialer names.
func decodeTarget(f frame.Frame, target *Target) error {
	if f.Kind != kindOpen {
		return errProtocol
	}
	if err := msgpack.Unmarshal(f.Payload, target); err != nil {
		return fmt.Errorf("decode target: %w", err)
	}
	return nil
}

// answer answers a question about helpers.
func (s *Server) answer(ctx context.Context, ses *session, payload []byte) error {
	var q Question
	if err := msgpack.Unmarshal(payload, &q); err != nil {
		return fmt.Errorf("decode question: %w", err)
	}
	told := s.upstreams.Tell(ctx, q)
	told.Open, told.Room = s.Open(), s.room()
	return ses.writeMessage(kindTold, &told)
}

// room returns how many tunnels can be opened besides those that are open.
func (s *Server) room() int {
	if s.leaving.Load() {
		return 0
	}
	return max(0, s.max-s.Open())
}

// connect connects to the target and counts a tunnel, or returns why it does not.
func (s *Server) connect(ctx context.Context, target *Target) (net.Conn, error) {
	if s.leaving.Load() {
		return nil, &OpenError{Reason: ReasonLeaving, Detail: "this daemon is stopping"}
	}
	if n := s.open.Add(1); n > int64(s.max) {
		s.open.Add(-1)
		return nil, &OpenError{Reason: ReasonFull, Detail: fmt.Sprintf("%d tunnels are open", s.max)}
	}
	timeout := defaultOpenTimeout
	if target.Timeout > 0 {
		timeout = target.Timeout.Duration()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := s.upstreams.Connect(ctx, *target)
	if err != nil {
		s.open.Add(-1)
		return nil, err
	}
	return conn, nil
}

// openError returns the answer to a target for an error of connect.
func (s *Server) openError(target *Target, err error) *OpenError {
	answer := &OpenError{Reason: ReasonUnreachable, Detail: err.Error(), Helpers: s.upstreams.Helpers(*target)}
	var failure *OpenError
	switch {
	case errors.As(err, &failure):
		answer.Reason, answer.Detail = failure.Reason, failure.Detail
	case errors.Is(err, spanrill.ErrNoPath):
		answer.Reason = ReasonNoPath
	case spanrill.IsConnectionRefused(err):
		answer.Reason = ReasonRefused
	}
	return answer
}

// forward copies bytes in both directions until the daemon closes the tunnel or one of the sides
// fails.
func (s *Server) forward(ctx context.Context, ses *session, upstream net.Conn, addr string) {
	openedAt := s.clock.Now()
	answers := task.Start(ctx, "tunnel answers", func(context.Context) error { return s.copyAnswers(ses, upstream) })
	_ = s.copyRequests(ses, upstream, addr, openedAt) // any error ends the tunnel
	_ = upstream.Close()
	_ = ses.Close()
	<-answers.Done()
}

// copyRequests forwards the daemon's bytes to the upstream.
func (s *Server) copyRequests(ses *session, upstream net.Conn, addr string, openedAt spanrill.Millis) error {
	for {
		f, err := ses.readFrame()
		if err != nil {
			return err
		}
		switch f.Kind {
		case kindData:
			_ = upstream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := upstream.Write(f.Payload); err != nil {
				_ = ses.writeFrame(kindBroken, nil)
				return fmt.Errorf("write to upstream: %w", err)
			}
			s.meters.TunnelBytes.Add(len(f.Payload))
		case kindNotice:
			var n Notice
			if err := msgpack.Unmarshal(f.Payload, &n); err != nil {
				return fmt.Errorf("decode notice: %w", err)
			}
			s.upstreams.HandleNotice(addr, spanrill.Notice{Leaving: n.Leaving, Rest: n.Rest, UnreadableRest: n.UnreadableRest}, openedAt)
		default:
			return errProtocol
		}
	}
}

// copyAnswers forwards the upstream's bytes to the daemon, and how they end.
func (s *Server) copyAnswers(ses *session, upstream net.Conn) error {
	buf := make([]byte, chunkSize)
	for {
		n, err := upstream.Read(buf)
		_ = ses.SetWriteDeadline(time.Now().Add(writeTimeout))
		if n > 0 {
			if err := ses.writeFrame(kindData, buf[:n]); err != nil {
				_ = ses.Close()
				return err
			}
			s.meters.TunnelBytes.Add(n)
		}
		if errors.Is(err, io.EOF) {
			return ses.writeFrame(kindEnd, nil)
		}
		if err != nil {
			return ses.writeFrame(kindBroken, nil)
		}
	}
}
