// Package callerhttp accepts callers' connections and parses their requests.
//
// The operator bounds what callers may send and how long a connection may be
// idle, and changes these bounds while the daemon runs. The package asks for
// them with every use.
//
// # Usage
//
//	s := callerhttp.New(handler, limits)
//	err := s.Serve(listener)
package callerhttp

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
)

// Limits returns the bounds in force.
type Limits func() spanrill.CallerLimits

// Server serves callers.
type Server struct {
	http     *fasthttp.Server
	limits   Limits
	open     atomic.Int64
	shutdown sync.Once
	mu       sync.Mutex
	ln       net.Listener
}

const (
	// headerRoom bounds the head of a request whatever the operator says.
	headerRoom = 32 << 10
	// bodyRoom bounds a body while no configuration is known.
	bodyRoom = 8 << 20
	// idleMark is the idle time that the HTTP library is told. Each connection
	// replaces it by the operator's.
	idleMark = time.Hour
	// idleSlack is added to the operator's idle time, so that a request sent
	// in its last moment is still read.
	idleSlack spanrill.Millis = 1500
	// idleUnknown is the idle time while no configuration is known.
	idleUnknown = 60 * spanrill.Second
)

// New returns a server.
func New(handler fasthttp.RequestHandler, limits Limits) *Server {
	s := &Server{limits: limits}
	s.http = &fasthttp.Server{
		Handler: handler, HeaderReceived: s.bounds, ErrorHandler: answerParseError,
		ReadBufferSize: headerRoom, MaxRequestBodySize: bodyRoom, IdleTimeout: idleMark,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, Logger: log.New(io.Discard, "", 0), ReduceMemoryUsage: true,
	}
	return s
}

func (s *Server) bounds(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	if n := s.limits().BodyBytes; n > 0 {
		return fasthttp.RequestConfig{MaxRequestBodySize: n}
	}
	return fasthttp.RequestConfig{}
}

// answerParseError answers a request that could not be read. None of it was
// sent on.
func answerParseError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Error(err.Error(), status)
}

// Serve serves the connections of a listener until it is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	if err := s.http.Serve(listener{Listener: ln, server: s}); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Open returns how many connections are open.
func (s *Server) Open() int64 { return s.open.Load() }

// CloseIdle stops listening and closes the connections on which no request is
// being served. It does not wait, and may be called again.
func (s *Server) CloseIdle() {
	s.shutdown.Do(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.http.ShutdownWithContext(ctx) // its error is that it did not wait
	})
}

type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	l.server.open.Add(1)
	return &callerConn{TCPConn: tcp, server: l.server}, nil
}

// callerConn is a connection whose idle time is the operator's.
type callerConn struct {
	*net.TCPConn
	server *Server
	closed atomic.Bool
}

// SetReadDeadline takes any deadline for the start of an idle time: the HTTP
// library sets no other.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.TCPConn.SetReadDeadline(t)
	}
	idle := c.server.limits().IdleTimeout
	if idle <= 0 {
		idle = idleUnknown
	}
	return c.TCPConn.SetReadDeadline(time.Now().Add((idle + idleSlack).Duration()))
}

// Close closes the connection.
func (c *callerConn) Close() error {
	if !c.closed.Swap(true) {
		c.server.open.Add(-1)
	}
	return c.TCPConn.Close()
}
