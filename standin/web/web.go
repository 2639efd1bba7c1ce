// Package web is the HTTP server of the stand-ins. It can stop as a crashed process would.
//
// # Usage
//
//	s := web.New(handler)
//	addr, err := s.Listen("127.0.0.1:0")
//	s.Kill() // closes all connections, as a crash does
package web

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// Server is the HTTP server of one stand-in. Create it with New.
type Server struct {
	http      *fasthttp.Server
	mu        sync.Mutex
	ln        net.Listener
	conns     map[net.Conn]bool
	peakConns int // highest number of connections open at a time
	killed    bool
}

// maxBodyBytes is the maximum size of a request body, in bytes.
const maxBodyBytes = 64 << 20

// New returns a server that calls handler for each request.
func New(handler fasthttp.RequestHandler) *Server {
	return &Server{
		conns: map[net.Conn]bool{},
		http: &fasthttp.Server{
			Handler: handler, NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes, Logger: log.New(io.Discard, "", 0),
		},
	}
}

// Listen starts the server on addr and returns the address that it is bound to.
func (s *Server) Listen(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", addr, err)
	}
	s.ln = ln
	go func() { _ = s.http.Serve(trackingListener{Listener: ln, server: s}) }()
	return ln.Addr().String(), nil
}

// Close stops listening and waits for open requests.
func (s *Server) Close() {
	if s.ln != nil {
		_ = s.http.Shutdown()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// MostConnections returns the highest number of connections that were open at a time.
func (s *Server) MostConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakConns
}

// Kill stops listening and closes all connections, also those that are being accepted.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = true
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
}

// trackingListener registers the connections that it accepts with the server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection, which is already closed if the server was killed.
func (t trackingListener) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	if t.server.killed {
		_ = c.Close()
	}
	t.server.conns[c] = true
	t.server.peakConns = max(t.server.peakConns, len(t.server.conns))
	return &trackedConn{Conn: c, server: t.server}, nil
}

// trackedConn is a connection that the server counts until it is closed.
type trackedConn struct {
	net.Conn
	server *Server
}

// Close closes the connection and removes it from the server.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c.Conn)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger sets how Close ends the connection; see net.TCPConn.
func (c *trackedConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetLinger(seconds)
}

// WriteJSON answers a request with v, encoded as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// ReadJSON decodes the request's body into v. If that fails, it answers with status 400 and returns
// false.
func ReadJSON(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}
