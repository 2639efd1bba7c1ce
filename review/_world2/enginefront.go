package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"time"

	"spanrill/platform/platformtest"
)

// engineFront is the address of an engine. It answers streams itself, without a length or chunks, and
// passes everything else on to the stand-in of the engine. It can end as a process does: its listener and
// its channels are closed by the operating system.
type engineFront struct {
	engine *platformtest.Engine
	addr   string
	record *record
	ln     net.Listener
	behind http.Handler
	closed chan struct{} // closed once nothing listens at the address any more

	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  map[string]bool // by request id
	pass     chan struct{}   // closed at the end of the current pass
	crashDue bool
	ended    bool
}

func startEngineFront(f *platformtest.Fleet, e *platformtest.Engine, rec *record) (*engineFront, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	front := &engineFront{
		engine: e, addr: ln.Addr().String(), record: rec, ln: ln, conns: map[net.Conn]bool{}, running: map[string]bool{}, pass: make(chan struct{}),
		closed: make(chan struct{}),
	}
	behind := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: e.Addr})
	behind.ErrorLog = log.New(io.Discard, "", 0)
	front.behind = behind
	f.SetEngineAddr(e, front.addr)
	server := &http.Server{Handler: front, ConnState: front.recordConn}
	go func() {
		_ = server.Serve(ln)
		close(front.closed)
	}()
	go front.runPasses()
	return front, nil
}

func (f *engineFront) recordConn(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew:
		f.conns[c] = true
		if f.ended {
			_ = c.Close()
		}
	case http.StateClosed:
		delete(f.conns, c)
	}
}

// ServeHTTP answers streams and orders to move them, and passes on the rest.
func (f *engineFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get("Path") != "" && (r.Header.Get("X-Expect-Instance") == "" || r.Header.Get("X-Expect-Instance") == f.engine.ID):
		f.stream(w, r)
	case r.URL.Path == "/api/order":
		f.order(w, r)
	default:
		f.behind.ServeHTTP(w, r)
	}
}

// order accepts an order to move a running stream to another path, which changes nothing for its events.
func (f *engineFront) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o struct {
		Op string `json:"op"`
		ID string `json:"id"`
	}
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	runs := f.running[o.ID]
	f.mu.Unlock()
	if o.Op == "repath" && runs {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	f.behind.ServeHTTP(w, r)
}

func (f *engineFront) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	f.mu.Lock()
	f.conns[conn], f.running[id] = true, true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.conns, conn)
		delete(f.running, id)
		f.mu.Unlock()
		_ = conn.Close()
	}()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Response-Stamp: stamp.%s\r\nConnection: close\r\n\r\n", id, f.engine.ID)
	for n := after + 1; n <= streamEvents; n++ {
		if _, err := io.WriteString(conn, platformtest.Event([]byte("prompt"), n)); err != nil {
			f.record.printf("request %s at %s: its channel was closed before event %d", id, f.engine.ID, n)
			return
		}
		f.awaitPass()
	}
}

// awaitPass waits for the end of the engine's current pass, in which all its streams get an event.
func (f *engineFront) awaitPass() {
	f.mu.Lock()
	pass := f.pass
	f.mu.Unlock()
	<-pass
}

// runPasses ends a pass at each interval until the engine has ended. A crash that is due comes after a
// pass, when its events are on their way.
func (f *engineFront) runPasses() {
	for range time.Tick(passInterval) {
		f.mu.Lock()
		crash := f.crashDue
		close(f.pass)
		f.pass = make(chan struct{})
		f.mu.Unlock()
		if crash {
			d := time.Duration(rand.Int64N(int64(maxCrashDelay)))
			time.Sleep(d)
			f.record.printf("crash %v after a pass", d)
			f.record.printf("engine %s has crashed, %d streams ran there", f.engine.ID, f.end())
		}
		if f.hasEnded() {
			return
		}
	}
}

// maxCrashDelay is the longest time from the end of a pass to a crash.
const maxCrashDelay = time.Millisecond

// crash makes the engine crash after its current pass.
func (f *engineFront) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashDue = true
}

// runningStreams returns how many streams run on the engine as the first of their path.
func (f *engineFront) runningStreams() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running)
}

// end ends the engine as the end of its process does. Nothing listens at its address any more before the
// first of its channels is closed.
func (f *engineFront) end() (cut int) {
	_ = f.ln.Close()
	<-f.closed
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for c := range f.conns {
		_ = c.Close()
	}
	f.engine.Kill()
	return len(f.running)
}

// hasEnded reports whether the engine has ended.
func (f *engineFront) hasEnded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}
