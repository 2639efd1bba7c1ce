package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The model of the engines. One engine holds all of its layers.
const (
	modelService = "apiconseil"
	modelLayers  = 12
	layerMB      = 1750
	engineMB     = 36000
	kvTokenBytes = 88500 // of all layers; as much for a layer as on ruche-nord
	loadTime     = 200 * time.Millisecond
	drainTime    = 2000 * time.Millisecond
	// lingerTime is the "little longer" that a draining engine serves on.
	lingerTime = 500 * time.Millisecond
)

// modelEngine is an engine of the model, as a process of its own. On SIGUSR1 it leaves as the pages
// say: it tells the store that it is draining, serves on for drainTime and a little longer, and ends.
type modelEngine struct {
	id, addr, store string

	mu       sync.Mutex
	state    string
	layers   *layerRange
	busy     bool
	sequence int
	writes   int
	answers  int
	paths    map[string]string // of running requests, by id
	runs     *os.File          // takes a line for each run
}

type layerRange struct {
	From int `json:"source"`
	To   int `json:"target_version"`
}

// runEngine runs an engine until it is ended. It serves at addr, and appends its runs to a file.
func runEngine(store, id, addr, runsPath string) error {
	runs, err := os.OpenFile(runsPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e := &modelEngine{id: id, addr: addr, store: store, state: "ready", paths: map[string]string{}, runs: runs}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	notice := make(chan os.Signal, 1)
	signal.Notify(notice, syscall.SIGUSR1)
	go func() {
		<-notice
		e.mu.Lock()
		e.state = "draining"
		e.mu.Unlock()
		e.writeEntry()
		time.Sleep(drainTime + lingerTime)
		os.Exit(0)
	}()
	go func() {
		for {
			e.writeEntry()
			time.Sleep(beat)
		}
	}()
	return http.Serve(ln, e)
}

// writeEntry writes the engine's entry to the store.
func (e *modelEngine) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writes++
	spec := map[string]any{
		"service": modelService, "address": e.addr, "zone": "hall-un", "version": "v1", "slots": 192, "state": e.state,
		"cold_remaining_ms": 0, "sequence": e.writes, "stage": "dual", "models": []any{}, "layers": e.layers, "kind": "a100s",
	}
	writeEntry(e.store, e.id, spec, e.writes == 1)
}

// writeEntry writes the entry of a server or an engine to the store, which has to be created first.
func writeEntry(store, id string, spec map[string]any, isFirst bool) {
	body, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": id, "finalizers": []string{}}, "spec": spec})
	method, path := http.MethodPut, "/api/objects/servers/"+id
	if isFirst {
		method, path = http.MethodPost, "/api/objects/servers"
	}
	req, err := http.NewRequest(method, "http://"+store+path, strings.NewReader(string(body)))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}

func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	e.mu.Lock()
	draining := e.state == "draining"
	e.mu.Unlock()
	switch {
	case r.URL.Path == "/held":
		e.serveHeld(w)
	case r.URL.Path == "/healthz":
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/api/report":
		e.serveReport(w)
	case r.URL.Path == "/api/order":
		e.serveOrder(w, r)
	default:
		e.serveStream(w, r)
	}
}

func (e *modelEngine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := 0
	if e.layers != nil {
		held = e.layers.To - e.layers.From
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "dual", "models": []any{}, "busy": e.busy, "sequence": e.sequence, "waiting": 0, "running": len(e.paths),
		"kv_used": len(e.paths) * tokensPerRequest * held, "kv_total": (engineMB - held*layerMB) * 1000000 / (kvTokenBytes / modelLayers), "handles": 0,
		"layers": e.layers, "kind": "a100s", "pace": 1, "stalled": []any{},
	})
}

// orderBody is an order to place layers or to move a running request to another path.
type orderBody struct {
	Op       string `json:"op"`
	From     int    `json:"source"`
	To       int    `json:"target_version"`
	Expected *int   `json:"expected_rev"`
	ID       string `json:"id"`
	Path     string `json:"path"`
}

func (e *modelEngine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch o.Op {
	case "place":
		w.WriteHeader(e.place(o))
	case "repath":
		w.WriteHeader(e.repath(o))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// place carries out an order to hold layers, which are held after loadTime.
func (e *modelEngine) place(o orderBody) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Expected != nil && *o.Expected != e.sequence || e.busy:
		return http.StatusConflict
	case e.layers != nil && e.layers.From == o.From && e.layers.To == o.To:
		return http.StatusOK
	}
	e.sequence++
	e.busy = true
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		e.busy, e.layers = false, &layerRange{From: o.From, To: o.To}
		e.mu.Unlock()
		e.writeEntry()
	})
	return http.StatusAccepted
}

// repath moves a running request to another path with the same first part.
func (e *modelEngine) repath(o orderBody) int {
	e.mu.Lock()
	old, ok := e.paths[o.ID]
	e.mu.Unlock()
	switch {
	case !ok:
		return http.StatusNotFound
	case firstPart(old) != firstPart(o.Path):
		return http.StatusConflict
	}
	if atFault, _ := e.checkPath(o.Path); atFault != "" {
		return http.StatusConflict
	}
	e.mu.Lock()
	e.paths[o.ID] = o.Path
	e.mu.Unlock()
	return http.StatusOK
}

func firstPart(path string) string {
	first, _, _ := strings.Cut(path, ",")
	return first
}

// checkPath returns the address of the first engine of a path that can't run its part, or "", and
// the status of the answer.
func (e *modelEngine) checkPath(path string) (atFault string, status int) {
	for i, part := range strings.Split(path, ",") {
		addr, layers, _ := strings.Cut(part, "=")
		var want layerRange
		if _, err := fmt.Sscanf(layers, "%d-%d", &want.From, &want.To); err != nil || (i == 0) != (addr == e.addr) {
			return addr, http.StatusBadRequest
		}
		held, ready := e.heldAt(addr)
		switch {
		case !ready:
			return addr, http.StatusServiceUnavailable
		case held == nil || held.From > want.From || held.To < want.To:
			return addr, http.StatusMisdirectedRequest
		}
	}
	return "", http.StatusOK
}

// heldAt returns the layers that the engine at an address holds, and whether it takes requests.
func (e *modelEngine) heldAt(addr string) (held *layerRange, ready bool) {
	if addr == e.addr {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.layers, e.state == "ready"
	}
	resp, err := peerClient.Get("http://" + addr + "/held")
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&held)
	return held, err == nil && resp.StatusCode == http.StatusOK
}

// peerClient is used among engines.
var peerClient = &http.Client{Timeout: 500 * time.Millisecond}

// serveHeld tells other engines what this one holds.
func (e *modelEngine) serveHeld(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(e.layers)
}

const (
	streamEvents   = 86
	tokensPerEvent = 2
	// tokensPerRequest is the memory that a request takes, in tokens.
	tokensPerRequest = 972
	streamInterval   = 60 * time.Millisecond
	// unframedEvery is after how many answers one has no length and ends with its channel: 0.05 of
	// the answers, the dose of the site's days.
	unframedEvery = 20
)

// serveStream answers a generation.
func (e *modelEngine) serveStream(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, path := r.Header.Get("X-Request-Id"), r.Header.Get("Path")
	if atFault, status := e.checkPath(path); atFault != "" {
		w.Header().Set("At-Server", atFault)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	e.mu.Lock()
	e.paths[id] = path
	e.answers++
	unframed := e.answers%unframedEvery == 0
	_ = json.NewEncoder(e.runs).Encode(run{
		AtMillis: time.Now().UnixMilli(), Server: e.id, ID: id, Method: r.Method, Path: r.RequestURI, BodyBytes: len(body),
		Tenant: r.Header.Get("X-Tenant"), LastEventID: r.Header.Get("Last-Event-Id"),
		Unframed: unframed,
	})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.paths, id)
		e.mu.Unlock()
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // without one, the stream begins at its first event
	_, maxTokens, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(maxTokens)
	if unframed {
		e.streamUnframed(w, id, last, tokens/tokensPerEvent)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Stamp", responseStamp)
	w.Header().Set("Versions", "1")
	flusher, _ := w.(http.Flusher)
	_ = writeEvents(w, last, tokens/tokensPerEvent, flusher.Flush) // fails if the channel has closed
}

const responseStamp = "3e1b.07.5a2.600.0.c9f2a4d1"

// streamUnframed answers with a stream that has no length and ends with its channel.
func (e *modelEngine) streamUnframed(w http.ResponseWriter, id string, last, end int) {
	hijacker, _ := w.(http.Hijacker)
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Instance-Id: %s\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nVersions: 1\r\n\r\n", e.id, id, responseStamp)
	_ = writeEvents(conn, last, end, func() {}) // fails if the channel has closed
}

// writeEvents writes the events from the one after last to end.
func writeEvents(w io.Writer, last, end int, flush func()) error {
	for n := last + 1; n <= end; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return err
		}
		flush()
		time.Sleep(streamInterval)
	}
	return nil
}
