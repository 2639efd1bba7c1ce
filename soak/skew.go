package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"spanrill/platform/platformtest"
	"spanrill/rng"
)

// ruleSkewed is broken if a daemon that gets most new connections serves far fewer first attempts than
// the others.
const ruleSkewed = "service while most new connections go to one daemon"

const (
	// skewTime is how long most new connections go to one daemon, beside Step.Duration.
	skewTime = 2 * contactTime
	// skewedShare is the share of new connections that go to it.
	skewedShare = 0.9
	// skewedRequestsPerConnection replaces requestsPerConnection meanwhile.
	skewedRequestsPerConnection = 4
	// minSkewedShare is the least ratio of the share that is served at the daemon, from contactTime on, to
	// that at the others.
	minSkewedShare = 0.75
	// minSkewedCalls is the number of requests from which on the rule is checked.
	minSkewedCalls = 20
)

// skew is a period in which most new connections go to one daemon.
type skew struct {
	daemon *process
	during interval
}

// skewStep makes most new connections go to one daemon, until another step does so for another one.
func (r *run) skewStep(ctx context.Context, s Step) error {
	begin := r.setFavored(r.daemons[s.Target%len(r.daemons)])
	wait(ctx, s.Duration+skewTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.favoredSince.Equal(begin) {
		r.recordSkew()
		r.favored = nil
	}
	return nil
}

// setFavored makes most new connections go to a daemon from now on, and returns the time.
func (r *run) setFavored(p *process) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSkew()
	r.favored, r.favoredSince = p, time.Now()
	return r.favoredSince
}

// recordSkew records the period that ends now, if there is one. The caller holds r.mu.
func (r *run) recordSkew() {
	if r.favored != nil {
		r.skews = append(r.skews, skew{r.favored, interval{r.favoredSince, time.Now()}})
	}
}

// maxRequestsPerConnection returns how many requests a caller sends on one connection now.
func (r *run) maxRequestsPerConnection() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.favored == nil {
		return requestsPerConnection
	}
	return skewedRequestsPerConnection
}

// chooseDaemon returns the daemon of a new connection and the number of requests to send on it.
func (r *run) chooseDaemon(random *rng.Source) (p *process, requests int) {
	p, requests = r.daemons[random.IntN(len(r.daemons))], r.maxRequestsPerConnection()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.favored != nil && random.Float64() < skewedShare {
		p = r.favored
	}
	return p, requests
}

// skewViolations compares the first attempts at daemons that got most new connections with those at the
// others at that time, which meet the same faults of upstreams. Requests at disturbed daemons and during
// faults of the store do not count.
func (r *run) skewViolations() []Violation {
	var skewed, others serviceCount
	statuses := map[int]int{}
	for _, call := range r.records.list() {
		from, to := call.sent.Add(-undisturbedTime), call.sent.Add(call.reply.Elapsed)
		if doesNotCount(call.reply) || r.wasDisturbed(call.daemon, from, to) || r.wasStoreDisturbed(from, to) {
			continue
		}
		switch r.favoredAt(call.sent) {
		case nil:
		case call.daemon:
			skewed.add(call)
			statuses[call.reply.Status]++
		default:
			others.add(call)
		}
	}
	if skewed.sent < minSkewedCalls || others.sent < minSkewedCalls || skewed.share() >= minSkewedShare*others.share() {
		return nil
	}
	return []Violation{{Rule: ruleSkewed, Description: fmt.Sprintf("daemons that got most new connections served %d of %d first attempts (by status: %v), the others %d of %d", skewed.served, skewed.sent, statuses, others.served, others.sent)}}
}

// doesNotCount reports whether a daemon did not accept the connection of a request, or refused it for a key
// that a restored store lacks.
func doesNotCount(reply platformtest.Reply) bool {
	return errors.Is(reply.Err, syscall.ECONNREFUSED) || reply.Status == http.StatusUnauthorized
}

// favoredAt returns the daemon to which most new connections had gone for contactTime at a time, or nil.
func (r *run) favoredAt(at time.Time) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.skews {
		if at.Sub(s.during.from) >= contactTime && at.Before(s.during.to) {
			return s.daemon
		}
	}
	return nil
}
