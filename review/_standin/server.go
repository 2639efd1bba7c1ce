package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	AtMillis    int64  `json:"at_ms"`
	Server      string `json:"server"`
	ID          string `json:"id"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	BodyBytes   int    `json:"body_bytes"`
	Body        string `json:"body,omitempty"`
	Tenant      string `json:"tenant"`
	LastEventID string `json:"last_event_id"`
	Unframed    bool   `json:"unframed"` // the answer has no length and ends with its channel
}

// runLog collects the runs of all servers, and tells them over HTTP.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l.runs)
}

// server is one server of the plain service.
type server struct {
	id, addr string
	log      *runLog
}

// maxBodyInLog is the size up to which a request's body is recorded.
const maxBodyInLog = 200

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Instance-Load", "0,0,6")
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	entry := run{
		AtMillis: time.Now().UnixMilli(), Server: s.id, ID: id, Method: r.Method, Path: r.RequestURI, BodyBytes: len(body),
		Tenant: r.Header.Get("X-Tenant"), LastEventID: r.Header.Get("Last-Event-Id"),
	}
	if len(body) <= maxBodyInLog {
		entry.Body = string(body)
	}
	s.log.add(entry)
	w.Header().Set("X-Response-Stamp", responseStamp)
	if strings.HasPrefix(r.URL.Path, "/events/") {
		s.serveEvents(w, r)
		return
	}
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil {
		size = 800
	}
	answer := answerBody(id, size)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// answerBody returns the body of the answer to a request.
func answerBody(id string, size int) []byte {
	line := id + " is stored\n"
	return []byte(strings.Repeat(line, size/len(line)+1))[:size]
}

const (
	events        = 40
	eventInterval = 10 * time.Millisecond
)

// serveEvents answers with the events after the one that the request names.
func (s *server) serveEvents(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // without one, the stream begins at its first event
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: reading %d\n\n", n, n); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}
