package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"spanrill/standin/faultproxy"
)

// ruleHelped is broken by daemons that have lost their path to the upstreams and serve far fewer first
// attempts than the others.
const ruleHelped = "service through other daemons"

const (
	// contactTime is how long after the loss of its path a daemon may serve its callers worse.
	contactTime = time.Second
	// minHelpedShare is the least ratio of the share that is served at daemons without a path to that
	// at the others.
	minHelpedShare = 2.0 / 3
	// minHelpedCalls is the number of requests from which on the rule is checked.
	minHelpedCalls = 20
)

// pathCuts lists the ways in which a path is cut, by Step.Variant.
var pathCuts = [variantCount]faultproxy.Cut{faultproxy.CutSilent, faultproxy.CutReset, faultproxy.CutNewOnly, faultproxy.CutAnswers}

// pathFault cuts the path of a daemon to all upstreams.
func (r *run) pathFault(ctx context.Context, s Step) error {
	i := s.Target % len(r.daemons)
	begin := time.Now()
	r.env.upstreamLinks[i].SetCut(pathCuts[s.Variant])
	wait(ctx, s.Duration)
	r.env.upstreamLinks[i].SetCut(faultproxy.CutNone)
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.daemons[i]
	r.pathCuts[p] = append(r.pathCuts[p], interval{begin.Add(contactTime), time.Now()})
	return nil
}

// hadNoPath reports whether a daemon had been without a path for contactTime when a request was sent.
func (r *run) hadNoPath(p *process, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cut := range r.pathCuts[p] {
		if sent.After(cut.from) && sent.Before(cut.to) {
			return true
		}
	}
	return false
}

// helpedViolations compares the first attempts at daemons without a path with those at the others while
// there was one. Requests at disturbed daemons and during faults of the store do not count.
func (r *run) helpedViolations() []Violation {
	var cutOff, others serviceCount
	for _, call := range r.records.list() {
		if r.wasDisturbed(call.daemon, call.sent.Add(-undisturbedTime), call.sent.Add(call.reply.Elapsed)) || r.wasStoreDisturbed(call.sent.Add(-undisturbedTime), call.sent.Add(call.reply.Elapsed)) {
			continue
		}
		switch {
		case r.hadNoPath(call.daemon, call.sent):
			cutOff.add(call)
		case r.anyHadNoPath(call.sent):
			others.add(call)
		}
	}
	if cutOff.sent < minHelpedCalls || others.sent < minHelpedCalls || cutOff.share() >= minHelpedShare*others.share() {
		return nil
	}
	return []Violation{{Rule: ruleHelped, Description: fmt.Sprintf("daemons without a path served %d of %d first attempts, the others %d of %d", cutOff.served, cutOff.sent, others.served, others.sent)}}
}

// anyHadNoPath reports whether any daemon had been without a path for contactTime at a time.
func (r *run) anyHadNoPath(at time.Time) bool {
	for _, p := range r.daemons {
		if r.hadNoPath(p, at) {
			return true
		}
	}
	return false
}

// serviceCount counts requests and how many of them were served.
type serviceCount struct{ sent, served int }

func (c *serviceCount) add(call callRecord) {
	c.sent++
	if call.reply.Status == http.StatusOK && call.reply.Err == nil {
		c.served++
	}
}

func (c *serviceCount) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }
