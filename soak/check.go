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

// Violation is one breach of a rule.
type Violation struct {
	Rule        string        `json:"rule"`
	Request     string        `json:"request,omitempty"`
	Daemon      string        `json:"daemon,omitempty"`
	At          time.Duration `json:"at"` // since the callers started
	Description string        `json:"what"`
}

// The rules. Their texts appear in the report.
const (
	ruleComplete      = "whole answers in order"
	ruleOnce          = "at most one run"
	ruleNotRun        = "not-run is true"
	ruleLayers        = "every layer once and in order"
	ruleRevoked       = "no run under a withdrawn key"
	ruleTerminates    = "every request has an end"
	ruleUnexpectedEnd = "daemons end only when told"
	ruleRecovers      = "service after the last fault"
	ruleConfigApplied = "a configuration in force in time"
)

// runCounter returns the number of times that upstreams ran a request.
type runCounter func(id string) int

// checkReply checks one request by the reply of its caller and its runs at upstreams. It returns the
// rule and a description of the violation, which is empty if there is none.
func checkReply(s callRecord, events int, runs runCounter) (rule, what string) {
	n := runs(s.id)
	switch {
	case s.path == platformtest.OncePath && n > 1:
		return ruleOnce, fmt.Sprintf("ran %d times", n)
	case promisesNotRun(s.reply.Status) && !s.reply.Signed && n > 0:
		return ruleNotRun, fmt.Sprintf("status %d, but it ran %d times", s.reply.Status, n)
	case s.reply.Status == http.StatusOK:
		return ruleComplete, checkBody(s, events)
	case s.reply.Err != nil && s.reply.Elapsed >= callLimit:
		return ruleTerminates, fmt.Sprintf("not finished within %v: %v", callLimit, s.reply.Err)
	}
	return "", ""
}

// checkBody describes what is wrong with the body of a successful answer, or returns "". The body of
// an answer that was cut off must be a prefix of the complete body.
func checkBody(s callRecord, events int) string {
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
		return fmt.Sprintf("ended without an error: %q, want %q", s.reply.Body, want)
	case s.reply.Err != nil && !strings.HasPrefix(want, s.reply.Body):
		return fmt.Sprintf("cut off: %q is not a prefix of %q", s.reply.Body, want)
	}
	return ""
}

// promisesNotRun reports whether a status guarantees that the request has not run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// findViolations checks all rules against the recorded requests, arrivals and process failures.
func (r *run) findViolations() []Violation {
	var all []Violation
	addViolation := func(s callRecord, rule, what string) {
		if what != "" {
			all = append(all, Violation{Rule: rule, Request: s.id, Daemon: s.daemon.name, At: s.sent.Sub(r.startTime).Round(time.Millisecond), Description: what})
		}
	}
	for _, s := range r.records.list() {
		rule, what := checkReply(s, r.env.fleet.Events, r.env.fleet.Runs)
		if rule == ruleTerminates && r.wasDisturbed(s.daemon, s.sent, s.sent.Add(callLimit)) {
			continue // a frozen or stopped process does not answer
		}
		addViolation(s, rule, what)
	}
	for _, s := range r.records.list() {
		if r.isStaleRefusal(s) {
			addViolation(s, ruleConfigApplied, fmt.Sprintf("key %s was refused with status %d, %v after it was written to the store", s.key, s.reply.Status, s.sent.Sub(r.env.keyWriteTime(s.key)).Round(time.Millisecond)))
		}
	}
	for _, s := range r.withdrawnKeyRecords.list() {
		if n := r.env.fleet.Runs(s.id); n > 0 {
			addViolation(s, ruleRevoked, fmt.Sprintf("key %s had been withdrawn for more than %v, but the request ran", s.key, revokeTime))
		}
	}
	t := r.traffic()
	for rule, found := range map[string][]boundViolation{ruleRest: t.restViolations(), ruleLeaving: t.leavingViolations(), ruleRetryBudget: t.retryBudgetViolations(), ruleRateLimit: t.rateLimitViolations()} {
		for _, b := range found {
			addViolation(b.request, rule, b.description)
		}
	}
	for _, what := range r.env.fleet.Violations() {
		all = append(all, Violation{Rule: ruleLayers, Description: what})
	}
	for _, p := range r.daemons {
		p.mu.Lock()
		for _, what := range p.failures {
			all = append(all, Violation{Rule: ruleUnexpectedEnd, Daemon: p.name, Description: what})
		}
		p.mu.Unlock()
	}
	return append(all, r.recoveryViolations...)
}

// traffic returns what callers have sent and upstreams have received so far.
func (r *run) traffic() *traffic {
	t := &traffic{arrivals: r.env.fleet.Arrivals(), requests: map[string]callRecord{}}
	for _, s := range append(r.records.list(), r.withdrawnKeyRecords.list()...) {
		t.requests[s.id] = s
	}
	t.isExcused = func(p *process, upstream string, from, to time.Time) bool {
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
func (r *run) isStaleRefusal(s callRecord) bool {
	refused := s.reply.Status == http.StatusUnauthorized || strings.Contains(s.reply.Body, spanrill.ReasonConfigStale.Code())
	if s.reply.Signed || !refused || s.sent.Sub(r.env.keyWriteTime(s.key)) < applyDeadline || r.env.wasWithdrawn(s.key, s.sent.Add(s.reply.Elapsed)) {
		return false
	}
	return !r.wasDisturbed(s.daemon, s.sent.Add(-undisturbedTime), s.sent) && !r.wasStoreDisturbed(s.sent.Add(-undisturbedTime-applyDeadline), s.sent)
}

// keyWriteTime returns the time at which a key was first written to the store.
func (env *environment) keyWriteTime(key string) time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.keyWriteTimes[key]
}

// wasWithdrawn reports whether a key was withdrawn before the given time.
func (env *environment) wasWithdrawn(key string, by time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.ContainsFunc(env.withdrawn, func(wd withdrawal) bool { return wd.key == key && wd.at.Before(by) })
}
