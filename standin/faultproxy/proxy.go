// Package faultproxy is a TCP proxy for tests that injects faults into the connections between two
// processes. It can refuse connections, delay or freeze the bytes that they carry, close them in the
// middle of a request or an answer or between the two, and stop forwarding without closing them.
//
// # Usage
//
//	p := faultproxy.New("127.0.0.1:8000")
//	addr, err := p.Listen("127.0.0.1:0")
//	p.SetFaults(faultproxy.Faults{CutAnswerAfter: 1})
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"spanrill/standin/web"
)

// Faults are the faults that a proxy injects. With the zero value it forwards everything. A byte count
// of 0 switches its fault off.
type Faults struct {
	Refuse          bool `json:"refuse"`            // close new connections at once
	Freeze          bool `json:"freeze"`            // forward no bytes
	FreezeRequests  bool `json:"freeze_requests"`   // forward no bytes from the client
	FreezeAnswers   bool `json:"freeze_answers"`    // forward no bytes from the target
	DelayMillis     int  `json:"delay_millis"`      // delay before each write of forwarded bytes
	CutRequestAfter int  `json:"cut_request_after"` // close a connection after this many bytes from the client
	CutAnswerAfter  int  `json:"cut_answer_after"`  // close a connection after this many bytes from the target
	CutBeforeAnswer bool `json:"cut_before_answer"` // close a connection when the first bytes from the target arrive
	// Silence permanently stops the connections that are open when it is set: the proxy no longer
	// forwards their bytes, nor that a side closed. New connections work.
	Silence bool `json:"silence"`
}

// Proxy forwards connections to one address.
type Proxy struct {
	target   string
	mu       sync.Mutex
	faults   Faults
	changed  chan struct{} // closed when the faults change; then replaced
	conns    map[net.Conn]bool
	silenced chan struct{} // closed when the connections that are open now become silent; then replaced
	accepted atomic.Int64
	ln       net.Listener
	closed   bool
	done     chan struct{} // closed when the proxy is closed
}

// New returns a proxy that forwards to target.
func New(target string) *Proxy {
	return &Proxy{
		target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{},
		silenced: make(chan struct{}), done: make(chan struct{}),
	}
}

// Listen starts the proxy on addr and returns the address that it is bound to.
func (p *Proxy) Listen(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", addr, err)
	}
	p.ln = ln
	go p.accept()
	return ln.Addr().String(), nil
}

// ListenControl serves an HTTP interface on addr and returns the address that it is bound to. A request
// with Faults as JSON in its body sets the faults.
func (p *Proxy) ListenControl(addr string) (string, error) {
	server := web.New(func(ctx *fasthttp.RequestCtx) {
		var f Faults
		if web.ReadJSON(ctx, &f) {
			p.SetFaults(f)
		}
	})
	return server.Listen(addr)
}

// SetFaults replaces the faults to inject.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f.Silence {
		close(p.silenced)
		p.silenced = make(chan struct{})
	}
}

// CloseConnections closes all open connections; the proxy goes on accepting new ones.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Accepted returns the number of connections that were accepted so far.
func (p *Proxy) Accepted() int64 { return p.accepted.Load() }

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
	p.mu.Unlock()
	if p.ln != nil {
		_ = p.ln.Close()
	}
	p.CloseConnections()
}

// currentFaults returns the faults and a channel that is closed when they change.
func (p *Proxy) currentFaults() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		if f, _ := p.currentFaults(); f.Refuse {
			_ = c.Close()
			continue
		}
		go p.forward(c, p.silenceSignal())
	}
}

// silenceSignal returns a channel that is closed when the connections that are open now become silent.
func (p *Proxy) silenceSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenced
}

// forward copies the bytes between a client and the target until one direction ends.
func (p *Proxy) forward(clientConn net.Conn, silenced <-chan struct{}) {
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = clientConn.Close()
		return
	}
	if !p.track(clientConn, targetConn) {
		return
	}
	closeBoth := func() { _ = clientConn.Close(); _ = targetConn.Close() }
	done := make(chan struct{}, 2)
	go func() { p.copyBytes(targetConn, clientConn, closeBoth, silenced, requestBytes); done <- struct{}{} }()
	go func() { p.copyBytes(clientConn, targetConn, closeBoth, silenced, answerBytes); done <- struct{}{} }()
	<-done
	closeBoth()
	<-done
	p.untrack(clientConn, targetConn)
}

// track registers open connections. If the proxy is closed, it closes them and returns false.
func (p *Proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if p.closed {
			_ = c.Close()
			continue
		}
		p.conns[c] = true
	}
	return !p.closed
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// direction is the direction in which bytes flow: from the client or from the target.
type direction bool

const (
	requestBytes direction = false
	answerBytes  direction = true
)

// cutLimit returns after how many bytes in a direction the connection is closed, or -1 for no limit.
func (f Faults) cutLimit(dir direction) int {
	switch {
	case dir == answerBytes && f.CutBeforeAnswer:
		return 0
	case dir == answerBytes && f.CutAnswerAfter > 0:
		return f.CutAnswerAfter
	case dir == requestBytes && f.CutRequestAfter > 0:
		return f.CutRequestAfter
	}
	return -1
}

// copyBytes copies one direction of a connection and applies the faults. After the connection became
// silent, it returns only once the proxy is closed: if it returned earlier, both sides would be closed.
func (p *Proxy) copyBytes(dst, src net.Conn, closeBoth func(), silenced <-chan struct{}, dir direction) {
	buf := make([]byte, 32<<10)
	copied := 0
	for {
		n, err := src.Read(buf)
		select {
		case <-silenced:
			<-p.done
			return
		default:
		}
		if n > 0 {
			f := p.awaitUnfrozen(dir)
			if f.DelayMillis > 0 {
				<-time.After(time.Duration(f.DelayMillis) * time.Millisecond)
			}
			limit := f.cutLimit(dir)
			if limit >= 0 && copied+n >= limit {
				_, _ = dst.Write(buf[:max(0, limit-copied)])
				closeBoth()
				return
			}
			copied += n
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// freezes reports whether bytes in a direction are not forwarded.
func (f Faults) freezes(dir direction) bool {
	return f.Freeze || dir == requestBytes && f.FreezeRequests || dir == answerBytes && f.FreezeAnswers
}

// awaitUnfrozen waits while a direction is frozen and returns the faults that apply afterwards. It
// also returns once the proxy is closed.
func (p *Proxy) awaitUnfrozen(dir direction) Faults {
	for {
		f, changed := p.currentFaults()
		if !f.freezes(dir) {
			return f
		}
		select {
		case <-changed:
		case <-p.done:
			return f
		}
	}
}
