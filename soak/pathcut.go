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
	// minMostPathsTime is the least time for which most paths are cut, so that requests are sent after
	// contactTime.
	minMostPathsTime = 2500 * time.Millisecond
	// minHelpedCalls is the number of requests from which on the rule is checked.
	minHelpedCalls = 20
)

// pathCuts lists the ways in which a path is cut, by Step.Variant.
var pathCuts = [variantCount]faultproxy.Cut{faultproxy.CutSilent, faultproxy.CutReset, faultproxy.CutNewOnly, faultproxy.CutAnswers}

// pathFault cuts the path of a daemon to all upstreams.
func (r *run) pathFault(ctx context.Context, s Step) error {
	r.cutPaths(ctx, s, 1)
	return nil
}

// mostPathsFault cuts the paths of more than half of the daemons, in half of the variants of all but one.
func (r *run) mostPathsFault(ctx context.Context, s Step) error {
	n := len(r.daemons)/2 + 1
	if s.Variant%2 == 1 {
		n = len(r.daemons) - 1
	}
	s.Duration = max(s.Duration, minMostPathsTime)
	r.cutPaths(ctx, s, min(n, len(r.daemons)-1))
	return nil
}

// cutPaths cuts the paths of n daemons to all upstreams.
func (r *run) cutPaths(ctx context.Context, s Step, n int) {
	begin := time.Now()
	for k := range n {
		r.env.upstreamLinks[(s.Target+k)%len(r.daemons)].SetCut(pathCuts[s.Variant])
	}
	wait(ctx, s.Duration)
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range n {
		i := (s.Target + k) % len(r.daemons)
		r.env.upstreamLinks[i].SetCut(faultproxy.CutNone)
		p := r.daemons[i]
		r.pathCuts[p] = append(r.pathCuts[p], interval{begin, time.Now()})
	}
}

// hadNoPath reports whether a daemon had been without a path for contactTime when a request was sent.
func (r *run) hadNoPath(p *process, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cut := range r.pathCuts[p] {
		if sent.After(cut.from.Add(contactTime)) && sent.Before(cut.to) {
			return true
		}
	}
	return false
}

// hasHelper reports whether another daemon had its path and was not disturbed while a call lasted.
func (r *run) hasHelper(call callRecord) bool {
	end := call.sent.Add(call.reply.Elapsed)
	for _, p := range r.daemons {
		if p != call.daemon && !r.isCut(p, call.sent.Add(-contactTime), end) && !r.wasDisturbed(p, call.sent.Add(-undisturbedTime), end) {
			return true
		}
	}
	return false
}

// isCut reports whether a daemon was without a path at any time from one time to another.
func (r *run) isCut(p *process, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cut := range r.pathCuts[p] {
		if cut.from.Before(to) && cut.to.After(from) {
			return true
		}
	}
	return false
}

// helpedViolations compares the first attempts at daemons without a path with those at the others while
// there was one. Requests at disturbed daemons, without an undisturbed helper and during faults of the
// store do not count.
func (r *run) helpedViolations() []Violation {
	var cutOff, others serviceCount
	for _, call := range r.records.list() {
		if r.wasDisturbed(call.daemon, call.sent.Add(-undisturbedTime), call.sent.Add(call.reply.Elapsed)) || r.wasStoreDisturbed(call.sent.Add(-undisturbedTime), call.sent.Add(call.reply.Elapsed)) {
			continue
		}
		switch {
		case r.hadNoPath(call.daemon, call.sent):
			if r.hasHelper(call) {
				cutOff.add(call)
			}
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
