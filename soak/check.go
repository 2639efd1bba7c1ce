package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"spanrill"
	"spanrill/platform/platformtest"
)

// Violation is something that must not have happened.
type Violation struct {
	Rule    string        `json:"rule"`
	Request string        `json:"request,omitempty"`
	Daemon  string        `json:"daemon,omitempty"`
	At      time.Duration `json:"at"` // since callers began
	What    string        `json:"what"`
}

// The rules that are checked.
const (
	ruleWhole    = "whole answers in order"
	ruleOnce     = "at most one run"
	ruleNotRun   = "not-run is true"
	ruleLayers   = "every layer once and in order"
	ruleRevoked  = "no run under a withdrawn key"
	ruleAnswered = "every request has an end"
	ruleLives    = "daemons end only when told"
	ruleRecovers = "service after the last fault"
	ruleInForce  = "a configuration in force in time"
)

// runsOf tells how often upstreams ran a request.
type runsOf func(id string) int

// checkReply judges one request by what its caller and the upstreams saw.
func checkReply(s seen, events int, runs runsOf) (rule, what string) {
	n := runs(s.id)
	switch {
	case s.path == platformtest.OncePath && n > 1:
		return ruleOnce, fmt.Sprintf("ran %d times", n)
	case promises(s.reply.Status) && !s.reply.Signed && n > 0:
		return ruleNotRun, fmt.Sprintf("status %d, and it ran %d times", s.reply.Status, n)
	case s.reply.Status == http.StatusOK:
		return ruleWhole, checkBody(s, events)
	case s.reply.Err != nil && s.reply.Elapsed >= callLimit:
		return ruleAnswered, fmt.Sprintf("no end within %v: %v", callLimit, s.reply.Err)
	}
	return "", ""
}

// checkBody says what is wrong with the body of a success, or "". One that was cut must be the
// beginning of the whole.
func checkBody(s seen, events int) string {
	want := string(platformtest.PlainAnswer([]byte(s.body)))
	if s.path == platformtest.StreamPath {
		var b strings.Builder
		for n := range events {
			b.WriteString(platformtest.Event([]byte(s.body), n+1))
		}
		want = b.String()
	}
	switch {
	case s.reply.Err == nil && s.reply.Body != want:
		return fmt.Sprintf("shown as whole: %q, want %q", s.reply.Body, want)
	case s.reply.Err != nil && !strings.HasPrefix(want, s.reply.Body):
		return fmt.Sprintf("cut: %q is no beginning of %q", s.reply.Body, want)
	}
	return ""
}

// promises reports whether a status says that a request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// check judges all that was seen.
func (r *run) check() []Violation {
	var all []Violation
	add := func(s seen, rule, what string) {
		if what != "" {
			all = append(all, Violation{Rule: rule, Request: s.id, Daemon: s.daemon.name, At: s.sent.Sub(r.begun).Round(time.Millisecond), What: what})
		}
	}
	for _, s := range r.records.list() {
		rule, what := checkReply(s, r.world.fleet.Events, r.world.fleet.Runs)
		if rule == ruleAnswered && r.wasDisturbed(s.daemon, s.sent, s.sent.Add(callLimit)) {
			continue // a process that stands still answers nobody
		}
		add(s, rule, what)
	}
	for _, s := range r.records.list() {
		if r.isStaleRefusal(s) {
			add(s, ruleInForce, fmt.Sprintf("key %s was refused with status %d, %v after it was written to the store", s.key, s.reply.Status, s.sent.Sub(r.world.keyWriteTime(s.key)).Round(time.Millisecond)))
		}
	}
	for _, s := range r.barred.list() {
		if n := r.world.fleet.Runs(s.id); n > 0 {
			add(s, ruleRevoked, fmt.Sprintf("key %s was withdrawn over %v before, and it ran", s.key, revoke))
		}
	}
	t := r.traffic()
	for rule, found := range map[string][]breach{ruleRests: t.rests(), ruleLeaves: t.leaves(), ruleBudget: t.budget(), ruleLimits: t.limits()} {
		for _, b := range found {
			add(b.by, rule, b.what)
		}
	}
	for _, what := range r.world.fleet.Violations() {
		all = append(all, Violation{Rule: ruleLayers, What: what})
	}
	for _, p := range r.daemons {
		p.mu.Lock()
		for _, what := range p.faults {
			all = append(all, Violation{Rule: ruleLives, Daemon: p.name, What: what})
		}
		p.mu.Unlock()
	}
	return append(all, r.recovered...)
}

// traffic is what callers sent and upstreams got until now.
func (r *run) traffic() *traffic {
	t := &traffic{arrivals: r.world.fleet.Arrivals(), requests: map[string]seen{}}
	for _, s := range append(r.records.list(), r.barred.list()...) {
		t.requests[s.id] = s
	}
	t.excused = func(p *process, upstream string, from, to time.Time) bool {
		return r.wasDisturbed(p, from, to) || r.wasCutOff(upstream, from, to)
	}
	return t
}

const (
	// applyDeadline is the time within which a configuration must be in force. It applies only
	// to a daemon that was undisturbed for undisturbedTime and a store that was undisturbed for
	// the sum of both.
	applyDeadline   = 2 * time.Second
	undisturbedTime = 3 * time.Second
)

// isStaleRefusal reports whether a request was refused because the daemon did not know a key that
// must be in force, or had no proof that its configuration is current, although neither the daemon
// nor the store was disturbed. Guards against daemons that do not apply a configuration in time.
func (r *run) isStaleRefusal(s seen) bool {
	refused := s.reply.Status == http.StatusUnauthorized || strings.Contains(s.reply.Body, spanrill.ReasonConfigStale.Code())
	if s.reply.Signed || !refused || s.sent.Sub(r.world.keyWriteTime(s.key)) < applyDeadline || r.world.wasWithdrawn(s.key, s.sent.Add(s.reply.Elapsed)) {
		return false
	}
	return !r.wasDisturbed(s.daemon, s.sent.Add(-undisturbedTime), s.sent) && !r.wasStoreDisturbed(s.sent.Add(-undisturbedTime-applyDeadline), s.sent)
}

// keyWriteTime returns the time at which a key was first written to the store.
func (w *world) keyWriteTime(key string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keyTimes[key]
}

// wasWithdrawn reports whether a key was withdrawn before the given time.
func (w *world) wasWithdrawn(key string, by time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.withdrawn, func(wd withdrawal) bool { return wd.key == key && wd.at.Before(by) })
}
