package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// textService is an instance of a service whose manifest entry has no engine figures. It answers stream
// routes as the pages say: with events whose ids rise, behind Last-Event-Id if the request has one.
type textService struct {
	id, addr string
	beats    int
	record   *record
	runs     atomic.Int64
	served   atomic.Int64 // streams written to their end
}

// textEvents and textInterval shape the streams of the service; scenarios set them before the start.
var (
	textEvents   = 40
	textInterval = 30 * time.Millisecond
)

func startTextService(id string, rec *record) (*textService, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &textService{id: id, addr: ln.Addr().String(), record: rec}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// ServeHTTP answers health checks and streams.
func (s *textService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id, after := r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id")
	s.runs.Add(1)
	s.record.printf("request %s runs at %s, Last-Event-Id %q", id, s.id, after)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", "stamp."+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(after)
	flusher := w.(http.Flusher)
	for n := last + 1; n <= textEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: text %d\n\n", n, n); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-r.Context().Done():
			s.record.printf("request %s: its channel was closed after event %d", id, n)
			return
		case <-time.After(textInterval):
		}
	}
	s.served.Add(1)
}
