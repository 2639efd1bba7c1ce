package chainrouting

import (
	"fmt"
	"strings"

	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/state/fleet"
)

// NoPathError says why no path could be chosen.
type NoPathError struct {
	cause error // ErrNoRoom, ErrNoPath, ErrRests or ErrLimited
	seen  []considered
}

// Error returns the cause.
func (e *NoPathError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *NoPathError) Unwrap() error { return e.cause }

// Considered returns what was wrong with each chain, for logs.
func (e *NoPathError) Considered() []string { return describeAll(e.seen) }

// considered is a path that was compared, or a chain that is not complete.
type considered struct {
	first          *fleet.Upstream
	estimate, base float64
	room, pipe     bool
	now            spanrill.Millis
	full           []*fleet.Upstream // without room for the request

	lenient bool   // engines that have only failed a request lately were used
	zone    string // of a chain that is not complete
	faults  []fault
}

// fault is a part of a chain that cannot be used, or a hole if there is no engine.
type fault struct {
	layers   spanrill.LayerRange
	upstream *fleet.Upstream
}

// fullParts returns the engines of a path that have no room for the request.
func (s *search) fullParts(parts []Part, room bool) []*fleet.Upstream {
	if room {
		return nil
	}
	var full []*fleet.Upstream
	for _, p := range parts {
		if s.free(p.Upstream) < s.need.tokens()*p.share() {
			full = append(full, p.Upstream)
		}
	}
	return full
}

// incomplete says which parts of a chain are missing or cannot be used.
func (s *search) incomplete(c *chain.Chain) considered {
	seen := considered{zone: c.Zone(), now: s.now}
	for _, hole := range c.Holes() {
		seen.faults = append(seen.faults, fault{layers: hole})
	}
	for _, p := range c.Parts() {
		if u := s.view.ByID(p.ID); u != nil && !s.mayRun(u, p.Layers.From) {
			seen.faults = append(seen.faults, fault{layers: p.Layers, upstream: u})
		}
	}
	return seen
}

// String returns what decided about the path.
func (c considered) String() string {
	if c.first == nil {
		return fmt.Sprintf("%s incomplete%s", c.zone, c.describeFaults())
	}
	full := ""
	for _, u := range c.full {
		full += fmt.Sprintf(" full=%s:%d", u.ID(), u.Tokens())
	}
	if c.lenient {
		full += " lenient=true"
	}
	return fmt.Sprintf("%s est=%.0f base=%.0f tokens=%d lag=%.1f risk=%.2f room=%t pipe=%t%s", c.first.ID(), c.estimate, c.base,
		c.first.Tokens(), c.first.Lag(c.now), c.first.Risk(c.now), c.room, c.pipe, full)
}

func (c considered) describeFaults() string {
	var b strings.Builder
	for _, f := range c.faults {
		if f.upstream == nil {
			fmt.Fprintf(&b, " hole=%d-%d", f.layers.From, f.layers.To)
			continue
		}
		fmt.Fprintf(&b, " %s=%d-%d:dead=%t,avoided=%t,takes=%t,rest_ms=%d,limit_wait_ms=%d", f.upstream.ID(), f.layers.From, f.layers.To,
			f.upstream.Dead(), f.upstream.Avoided(c.now), f.upstream.Takes(), f.upstream.RestLeft(c.now), f.upstream.LimitWait(c.now))
	}
	return b.String()
}

func describeAll(seen []considered) []string {
	out := make([]string, len(seen))
	for i, c := range seen {
		out[i] = c.String()
	}
	return out
}
