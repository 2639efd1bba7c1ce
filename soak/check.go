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
	ruleNotRun        = "a refused request did not run"
	ruleLayers        = "every layer once and in order"
	ruleWithdrawnKey  = "no run under a withdrawn key"
	ruleTerminates    = "every request ends in time"
	ruleUnexpectedEnd = "daemons exit only when stopped" // also broken by a daemon that does not exit when stopped
	ruleRecovers      = "service after the last fault"
	ruleConfigApplied = "configuration applied in time"
	ruleVersions      = "answers by recent versions of the configuration"
)

// runCounter returns the number of times that upstreams ran a request.
type runCounter func(id string) int

// checkReply checks the reply to one request and how often upstreams ran the request. It returns the
// violated rule and a description of the violation. The description is empty if there is none.
func checkReply(call callRecord, eventCount int, runs runCounter) (rule, description string) {
	n := runs(call.id)
	switch {
	case call.path == platformtest.OncePath && n > 1:
		return ruleOnce, fmt.Sprintf("ran %d times", n)
	case promisesNotRun(call.reply.Status) && !call.reply.Signed && n > 0:
		return ruleNotRun, fmt.Sprintf("status %d, but it ran %d times", call.reply.Status, n)
	case call.reply.Status == http.StatusOK:
		return ruleComplete, checkBody(call, eventCount)
	case call.reply.Err != nil && call.reply.Elapsed >= callLimit:
		return ruleTerminates, fmt.Sprintf("not finished within %v: %v", callLimit, call.reply.Err)
	}
	return "", ""
}

// checkBody describes what is wrong with the body of a successful answer, or returns "". The body of
// an answer that was cut off must be a prefix of the complete body.
func checkBody(call callRecord, eventCount int) string {
	want := string(platformtest.PlainAnswer([]byte(call.body)))
	if call.path == platformtest.StreamPath {
		var b strings.Builder
		for n := range eventCount {
			b.WriteString(platformtest.Event([]byte(call.body), n+1))
		}
		want = b.String()
	}
	switch {
	case call.reply.Err == nil && call.reply.Body != want:
		return fmt.Sprintf("ended without an error: %q, want %q", call.reply.Body, want)
	case call.reply.Err != nil && !strings.HasPrefix(want, call.reply.Body):
		return fmt.Sprintf("cut off: %q is not a prefix of %q", call.reply.Body, want)
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
	addViolation := func(call callRecord, rule, description string) {
		if description != "" {
			all = append(all, Violation{Rule: rule, Request: call.id, Daemon: call.daemon.name, At: call.sent.Sub(r.startTime).Round(time.Millisecond), Description: description})
		}
	}
	for _, call := range slices.Concat(r.records.list(), r.partRecords.list()) {
		rule, description := checkReply(call, r.env.fleet.Events, r.env.fleet.Runs)
		if rule == ruleTerminates && r.wasDisturbed(call.daemon, call.sent, call.sent.Add(callLimit)) {
			continue // a frozen or stopped process does not answer
		}
		addViolation(call, rule, description)
	}
	for _, call := range r.records.list() {
		if r.isStaleRefusal(call) {
			addViolation(call, ruleConfigApplied, fmt.Sprintf("key %s was refused with status %d, %v after it was written to the store", call.key, call.reply.Status, call.sent.Sub(r.env.keyWriteTime(call.key)).Round(time.Millisecond)))
		}
	}
	for _, call := range r.withdrawnKeyRecords.list() {
		if n := r.env.fleet.Runs(call.id); n > 0 {
			addViolation(call, ruleWithdrawnKey, fmt.Sprintf("key %s had been withdrawn for more than %v, but the request ran", call.key, revokeTime))
		}
	}
	t := r.traffic()
	for rule, found := range map[string][]boundViolation{ruleRest: t.restViolations(), ruleLeaving: t.leavingViolations(), ruleRetryBudget: t.retryBudgetViolations(), ruleRateLimit: t.rateLimitViolations()} {
		for _, b := range found {
			addViolation(b.request, rule, b.description)
		}
	}
	for _, description := range r.env.fleet.Violations() {
		all = append(all, Violation{Rule: ruleLayers, Description: description})
	}
	for _, p := range r.daemons {
		p.mu.Lock()
		for _, description := range p.failures {
			all = append(all, Violation{Rule: ruleUnexpectedEnd, Daemon: p.name, Description: description})
		}
		p.mu.Unlock()
	}
	all = append(all, r.helpedViolations()...)
	all = append(all, r.skewViolations()...)
	all = append(all, r.versionViolations()...)
	all = append(all, r.partViolations()...)
	return append(all, r.recoveryViolations...)
}

// traffic returns what callers have sent and upstreams have received so far.
func (r *run) traffic() *traffic {
	t := &traffic{arrivals: r.env.fleet.Arrivals(), requests: map[string]callRecord{}}
	for _, call := range slices.Concat(r.records.list(), r.withdrawnKeyRecords.list(), r.partRecords.list()) {
		t.requests[call.id] = call
	}
	t.isExempt = func(p *process, upstream string, from, to time.Time) bool {
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

// isStaleRefusal reports whether a daemon refused a request because it did not know a key that must
// be in force, or because it had no proof that its configuration is current, although neither the
// daemon nor the store was disturbed. It detects daemons that do not apply a configuration in time.
func (r *run) isStaleRefusal(call callRecord) bool {
	refused := call.reply.Status == http.StatusUnauthorized || strings.Contains(call.reply.Body, spanrill.ReasonConfigStale.Code())
	if call.reply.Signed || !refused || call.sent.Sub(r.env.keyWriteTime(call.key)) < applyDeadline || r.env.wasWithdrawn(call.key, call.sent.Add(call.reply.Elapsed)) {
		return false
	}
	return !r.wasDisturbed(call.daemon, call.sent.Add(-undisturbedTime), call.sent) && !r.wasStoreDisturbed(call.sent.Add(-undisturbedTime-applyDeadline), call.sent)
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
