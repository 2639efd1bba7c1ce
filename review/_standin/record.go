package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one JSON object a line.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes a line with the time since the start of the record.
func (r *record) add(what string, details any) {
	line, err := json.Marshal(map[string]any{"ms": time.Since(r.start).Milliseconds(), "what": what, "details": details})
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%s\n", line)
}

// addRuns writes the runs that a stand-in tells at a URL, and returns them.
func (r *record) addRuns(url string) []run {
	resp, err := http.Get(url)
	if err != nil {
		r.add("server has ended", url)
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	var runs []run
	if err != nil || json.Unmarshal(data, &runs) != nil {
		return nil
	}
	for _, entry := range runs {
		r.add("run", entry)
	}
	return runs
}

// addRunFile writes the runs that engines have appended to a file.
func (r *record) addRunFile(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		r.add("no runs", err.Error())
		return
	}
	for line := range strings.Lines(string(data)) {
		r.add("run", json.RawMessage(line))
	}
}

// violation writes that a rule was broken.
func (r *record) violation(rule, format string, args ...any) {
	r.add("broken rule "+rule, fmt.Sprintf(format, args...))
}
