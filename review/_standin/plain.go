package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	answerLines  = 40
	lineInterval = 50 * time.Millisecond
	serverSlots  = 30
	// requestsPerRound is the number of requests that run at once at all servers.
	requestsPerRound = 200
	// killAfter is the time from the last request of a round to the crash of a server. All answers have
	// begun by then, and none has ended.
	killAfter = 500 * time.Millisecond
)

// slowServer is a server of the plain service, as a process of its own. It writes its answers line by
// line. One in unframedEvery has no length and ends with its channel.
type slowServer struct {
	id      string
	answers atomic.Int64
}

// runSlowServer runs a server until it is ended. It serves at addr.
func runSlowServer(store, id, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() {
		for n := 1; ; n++ {
			writeEntry(store, id, map[string]any{
				"service": serviceName, "address": addr, "zone": "hall-un", "version": "v1", "slots": serverSlots,
				"state": "ready", "cold_remaining_ms": 0, "sequence": n,
			}, n == 1)
			time.Sleep(beat)
		}
	}()
	return http.Serve(ln, &slowServer{id: id})
}

func (s *slowServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("0,0,%d", serverSlots))
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	switch {
	case r.URL.Path == "/healthz":
		return
	case strings.HasPrefix(r.URL.Path, "/api/"):
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if s.answers.Add(1)%unframedEvery == 0 {
		s.answerUnframed(w, id)
		return
	}
	w.Header().Set("X-Response-Stamp", responseStamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(plainAnswer(id))))
	flusher, _ := w.(http.Flusher)
	_ = writeLines(w, id, flusher.Flush) // fails if the channel has closed
}

// answerUnframed answers without a length and closes the channel.
func (s *slowServer) answerUnframed(w http.ResponseWriter, id string) {
	hijacker, _ := w.(http.Hijacker)
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Instance-Id: %s\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\n\r\n", s.id, id, responseStamp)
	_ = writeLines(conn, id, func() {}) // fails if the channel has closed
}

// plainAnswer returns the whole body of the answer to a request.
func plainAnswer(id string) string { return strings.Repeat(id+" is stored\n", answerLines) }

func writeLines(w io.Writer, id string, flush func()) error {
	for line := range strings.Lines(plainAnswer(id)) {
		if _, err := io.WriteString(w, line); err != nil {
			return err
		}
		flush()
		time.Sleep(lineInterval)
	}
	return nil
}

// plainCase sends requests to a plain service in rounds. In each round one of its servers crashes.
type plainCase struct {
	record *record
	fronts []string
	pids   map[string]int // of the servers, by id
}

// plainResult is how a client saw the answer.
type plainResult struct {
	ID            string `json:"id"`
	Status        int    `json:"status"`
	Server        string `json:"server"`
	ContentLength int64  `json:"content_length"`
	Bytes         int    `json:"bytes"`
	Complete      bool   `json:"complete"` // the answer ended as a whole one does
	Whole         bool   `json:"whole"`    // it has the server's whole body
	Error         string `json:"error"`
}

// runPlain runs the case. Servers are given as ID=PID, daemons as FRONT=READY.
func runPlain(recordPath string, args []string) (exitCode int, err error) {
	c := &plainCase{pids: map[string]int{}}
	if c.record, err = newRecord(recordPath); err != nil {
		return exitCannotRun, err
	}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		if !strings.Contains(value, ":") {
			if c.pids[name], err = strconv.Atoi(value); err != nil {
				return exitCannotRun, err
			}
			continue
		}
		c.fronts = append(c.fronts, name)
		if err := awaitReady(value); err != nil {
			return exitCannotRun, err
		}
	}
	if err := c.awaitServed(); err != nil {
		return exitCannotRun, err
	}
	return c.run()
}

// awaitServed waits until every daemon serves a request.
func (c *plainCase) awaitServed() error {
	end := time.Now().Add(20 * time.Second)
	for _, front := range c.fronts {
		for r := (plainResult{}); !r.Whole; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("daemon at %s serves no requests", front)
			}
			r = c.call(front)
		}
	}
	return nil
}

func (c *plainCase) run() (exitCode int, err error) {
	c.record.add("case begins", map[string]bool{"trouble": withTrouble()})
	for range rounds {
		for _, r := range c.round() {
			switch {
			case r.Status == http.StatusOK && r.Complete && !r.Whole:
				c.record.violation("MIXED", "answer %s appears complete with %d of %d bytes", r.ID, r.Bytes, len(plainAnswer(r.ID)))
				exitCode = exitBroken
			case !withTrouble() && !r.Whole:
				return exitCannotRun, fmt.Errorf("request %s failed without a disruption", r.ID)
			}
		}
		time.Sleep(roundPause)
	}
	return exitCode, nil
}

func (c *plainCase) round() []plainResult {
	var wait sync.WaitGroup
	results := make([]plainResult, requestsPerRound)
	for i := range results {
		front := c.fronts[i%len(c.fronts)]
		wait.Add(1)
		time.Sleep(requestInterval)
		go func() {
			defer wait.Done()
			results[i] = c.call(front)
		}()
	}
	time.Sleep(killAfter)
	if withTrouble() {
		c.killOne()
	}
	wait.Wait()
	return results
}

// killOne kills a server.
func (c *plainCase) killOne() {
	for id, pid := range c.pids {
		c.record.add("server gets "+syscall.SIGKILL.String(), id)
		_ = syscall.Kill(pid, syscall.SIGKILL)
		delete(c.pids, id)
		return
	}
}

// call sends a request that may run once, and reads its answer.
func (c *plainCase) call(front string) plainResult {
	r := plainResult{ID: newID()}
	c.record.add("sent", map[string]string{"id": r.ID, "to": front})
	defer func() { c.record.add("answered", r) }()
	req, err := newRequest(http.MethodPost, front, "/once/x", r.ID, "weight 31.4")
	if err != nil {
		r.Error = err.Error()
		return r
	}
	transport := newTransport()
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.Status, r.Server, r.ContentLength = resp.StatusCode, resp.Header.Get("X-Instance-Id"), resp.ContentLength
	body, err := io.ReadAll(resp.Body)
	r.Bytes = len(body)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	r.Complete, r.Whole = true, r.Status == http.StatusOK && string(body) == plainAnswer(r.ID)
	return r
}
