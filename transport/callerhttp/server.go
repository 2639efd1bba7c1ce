// Package callerhttp accepts callers' connections and parses their requests.
//
// The configuration limits the size of request bodies and the idle time of connections. It may
// change while the daemon runs, so the package gets the current limits at each use.
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

// Limits returns the limits in force. A limit of 0 stands for the default.
type Limits func() spanrill.CallerLimits

// Server accepts callers' connections and passes their requests to a handler.
type Server struct {
	http         *fasthttp.Server
	limits       Limits
	open         atomic.Int64 // number of open connections
	shutdownOnce sync.Once
	mu           sync.Mutex
	ln           net.Listener
}

const (
	// maxHeaderBytes bounds the headers of a request. It is not configurable.
	maxHeaderBytes = 32 << 10
	// defaultMaxBodyBytes bounds a request body while no configuration is known.
	defaultMaxBodyBytes = 8 << 20
	// placeholderIdleTimeout makes fasthttp set idle deadlines. callerConn replaces them by the
	// configured idle time.
	placeholderIdleTimeout = time.Hour
	// idleGrace is added to the configured idle time, so that a request sent in its last moment
	// is still read.
	idleGrace spanrill.Millis = 1500
	// defaultIdleTimeout is the idle time of connections while no configuration is known.
	defaultIdleTimeout = 60 * spanrill.Second
)

// New returns a Server that passes requests to handler.
func New(handler fasthttp.RequestHandler, limits Limits) *Server {
	s := &Server{limits: limits}
	s.http = &fasthttp.Server{
		Handler: handler, HeaderReceived: s.requestConfig, ErrorHandler: answerParseError,
		ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: defaultMaxBodyBytes, IdleTimeout: placeholderIdleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, Logger: log.New(io.Discard, "", 0), ReduceMemoryUsage: true,
	}
	return s
}

// requestConfig applies the configured limit of body sizes to one request.
func (s *Server) requestConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	if n := s.limits().BodyBytes; n > 0 {
		return fasthttp.RequestConfig{MaxRequestBodySize: n}
	}
	return fasthttp.RequestConfig{}
}

// answerParseError answers a request that could not be read. Nothing of it has been forwarded.
func answerParseError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var bufferErr *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &bufferErr):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Error(err.Error(), status)
}

// Serve serves the connections of a listener until it is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	if err := s.http.Serve(countingListener{Listener: ln, server: s}); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// OpenConnections returns how many connections are open.
func (s *Server) OpenConnections() int64 { return s.open.Load() }

// CloseIdle stops listening and closes the connections on which no request is
// being served. It does not wait, and may be called again.
func (s *Server) CloseIdle() {
	s.shutdownOnce.Do(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.http.ShutdownWithContext(ctx) // the context is canceled so that this does not wait; an error says that connections are still open
	})
}

// countingListener counts the open connections of a server.
type countingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection as a callerConn.
func (l countingListener) Accept() (net.Conn, error) {
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

// callerConn is a connection that is closed after the configured idle time.
type callerConn struct {
	*net.TCPConn
	server *Server
	closed atomic.Bool
}

// SetReadDeadline sets the deadline to the end of the configured idle time and ignores t, since
// fasthttp sets read deadlines only when an idle time starts. The zero time clears the deadline.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.TCPConn.SetReadDeadline(t)
	}
	idle := c.server.limits().IdleTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	return c.TCPConn.SetReadDeadline(time.Now().Add((idle + idleGrace).Duration()))
}

// Close closes the connection and takes it off the count of open ones.
func (c *callerConn) Close() error {
	if !c.closed.Swap(true) {
		c.server.open.Add(-1)
	}
	return c.TCPConn.Close()
}
