package chainrouting

import (
	"fmt"
	"strings"

	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/state/fleet"
)

// NoPathError reports why no path could be chosen.
type NoPathError struct {
	cause      error // ErrNoRoom, ErrNoPath, ErrResting or ErrLimited
	candidates []candidate
}

// Error returns the message of the cause.
func (e *NoPathError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *NoPathError) Unwrap() error { return e.cause }

// DescribeCandidates describes for logs why each chain was not chosen.
func (e *NoPathError) DescribeCandidates() []string { return describeAll(e.candidates) }

// candidate describes, for logs, a path that was compared or a chain that is incomplete.
type candidate struct {
	first                  *fleet.Upstream // first engine of the path, or nil for an incomplete chain
	estimate, base         float64
	hasRoom, pipesHaveRoom bool
	now                    spanrill.Millis
	fullUpstreams          []*fleet.Upstream // engines of the path without room for the request

	lenient bool    // engines were allowed that have recently failed a request
	zone    string  // of an incomplete chain
	faults  []fault // of an incomplete chain
}

// fault is a part of a chain that cannot be used, or a hole if upstream is nil.
type fault struct {
	layers   spanrill.LayerRange
	upstream *fleet.Upstream
}

// fullUpstreams returns the engines of a path that have no room for the request.
func (s *search) fullUpstreams(parts []Part, hasRoom bool) []*fleet.Upstream {
	if hasRoom {
		return nil
	}
	var full []*fleet.Upstream
	for _, p := range parts {
		if s.freeTokens(p.Upstream) < s.need.tokens()*p.share() {
			full = append(full, p.Upstream)
		}
	}
	return full
}

// incompleteCandidate describes which parts of a chain are missing or cannot be used.
func (s *search) incompleteCandidate(c *chain.Chain) candidate {
	result := candidate{zone: c.Zone(), now: s.now}
	for _, hole := range c.Holes() {
		result.faults = append(result.faults, fault{layers: hole})
	}
	for _, p := range c.Parts() {
		if u := s.view.ByID(p.ID); u != nil && !s.canRun(u, p.Layers.From) {
			result.faults = append(result.faults, fault{layers: p.Layers, upstream: u})
		}
	}
	return result
}

// String returns the figures by which the path was compared, or the faults of an incomplete chain.
func (c candidate) String() string {
	if c.first == nil {
		return fmt.Sprintf("%s incomplete%s", c.zone, c.describeFaults())
	}
	fullText := ""
	for _, u := range c.fullUpstreams {
		fullText += fmt.Sprintf(" full=%s:%d", u.ID(), u.Tokens())
	}
	if c.lenient {
		fullText += " lenient=true"
	}
	return fmt.Sprintf("%s est=%.0f base=%.0f tokens=%d lag=%.1f risk=%.2f room=%t pipe=%t%s", c.first.ID(), c.estimate, c.base,
		c.first.Tokens(), c.first.Lag(c.now), c.first.FailureRate(c.now), c.hasRoom, c.pipesHaveRoom, fullText)
}

func (c candidate) describeFaults() string {
	var b strings.Builder
	for _, f := range c.faults {
		if f.upstream == nil {
			fmt.Fprintf(&b, " hole=%d-%d", f.layers.From, f.layers.To)
			continue
		}
		fmt.Fprintf(&b, " %s=%d-%d:dead=%t,avoided=%t,takes=%t,rest_ms=%d,limit_wait_ms=%d", f.upstream.ID(), f.layers.From, f.layers.To,
			f.upstream.Dead(), f.upstream.Avoided(c.now), f.upstream.AcceptsRequests(), f.upstream.RestRemaining(c.now), f.upstream.LimitWait(c.now))
	}
	return b.String()
}

func describeAll(candidates []candidate) []string {
	texts := make([]string, len(candidates))
	for i, c := range candidates {
		texts[i] = c.String()
	}
	return texts
}
