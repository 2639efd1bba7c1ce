// Package web serves the stand-ins over HTTP.
//
// # Usage
//
//	s := web.New(handler)
//	addr, err := s.Listen("127.0.0.1:0")
//	s.Kill() // cuts all connections, as a crash does
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

// Server serves one stand-in.
type Server struct {
	http  *fasthttp.Server
	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	most  int // open at a time
	ended bool
}

// maxBody bounds a request, in bytes.
const maxBody = 64 << 20

// New returns a server with that handler.
func New(handler fasthttp.RequestHandler) *Server {
	return &Server{
		conns: map[net.Conn]bool{},
		http: &fasthttp.Server{
			Handler: handler, NoDefaultServerHeader: true, MaxRequestBodySize: maxBody, Logger: log.New(io.Discard, "", 0),
		},
	}
}

// Listen serves on addr and returns the address in use.
func (s *Server) Listen(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", addr, err)
	}
	s.ln = ln
	go func() { _ = s.http.Serve(tracked{Listener: ln, server: s}) }()
	return ln.Addr().String(), nil
}

// Close stops listening and lets open requests end.
func (s *Server) Close() {
	if s.ln != nil {
		_ = s.http.Shutdown()
	}
}

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// MostConnections returns how many connections were open at a time, at the most.
func (s *Server) MostConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// Kill stops listening and cuts all connections.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
}

// tracked notes the connections that it accepts.
type tracked struct {
	net.Listener
	server *Server
}

// Accept returns the next connection.
func (t tracked) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	if t.server.ended {
		_ = c.Close()
	}
	t.server.conns[c] = true
	t.server.most = max(t.server.most, len(t.server.conns))
	return &trackedConn{Conn: c, server: t.server}, nil
}

// trackedConn forgets itself when it is closed.
type trackedConn struct {
	net.Conn
	server *Server
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c.Conn)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// WriteJSON answers with v.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// ReadJSON decodes the request's body, or answers that it is wrong.
func ReadJSON(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}
