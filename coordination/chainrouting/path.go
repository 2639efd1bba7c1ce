package chainrouting

import (
	"strconv"
	"strings"
	"sync/atomic"

	"spanrill"
	"spanrill/state/fleet"
)

// Part is one engine of a path and the layers it runs.
type Part struct {
	Upstream *fleet.Upstream
	Layers   spanrill.LayerRange
}

// share is the part of the engine's layers that the path runs, and so the part
// of its memory that a token takes.
func (p Part) share() float64 {
	held := p.Upstream.Layers().Len()
	if held <= 0 || p.Layers.Len() >= held {
		return 1
	}
	return float64(p.Layers.Len()) / float64(held)
}

// Path is the engines that a request passes, with tokens reserved at each.
type Path struct {
	parts    []Part
	reserved []int64 // at each part
	tokens   atomic.Int64
	released atomic.Bool
	expected float64 // milliseconds that the whole request is expected to take
	pipes    *pipes
	seen     []considered
}

// Considered returns what the paths that were compared looked like, for logs.
func (p *Path) Considered() []string { return describeAll(p.seen) }

func (r *Router) newPath(parts []Part, tokens int64, expected float64) *Path {
	p := &Path{parts: parts, reserved: make([]int64, len(parts)), expected: expected, pipes: &r.pipes}
	p.pipes.add(parts, 1)
	p.tokens.Store(tokens)
	for i, part := range parts {
		p.reserved[i] = int64(float64(tokens) * part.share())
		part.Upstream.Reserve(p.reserved[i])
	}
	parts[0].Upstream.Begin()
	return p
}

// Parts returns the engines in order. The slice must not be changed.
func (p *Path) Parts() []Part { return p.parts }

// Upstreams returns the engines in order.
func (p *Path) Upstreams() []*fleet.Upstream {
	all := make([]*fleet.Upstream, len(p.parts))
	for i, part := range p.parts {
		all[i] = part.Upstream
	}
	return all
}

// First returns the engine that the request is sent to.
func (p *Path) First() *fleet.Upstream { return p.parts[0].Upstream }

// Grow reserves tokens beyond those reserved, for a request that has grown. It
// is called by the request's own goroutine alone.
func (p *Path) Grow(tokens int64) {
	more := tokens - p.tokens.Load()
	if more <= 0 || p.released.Load() {
		return
	}
	p.tokens.Store(tokens)
	for i, part := range p.parts {
		add := int64(float64(more) * part.share())
		p.reserved[i] += add
		part.Upstream.Reserve(add)
	}
}

// Release gives back what the path has reserved. It may be called again.
func (p *Path) Release() {
	if p.released.Swap(true) {
		return
	}
	for i, part := range p.parts {
		part.Upstream.Reserve(-p.reserved[i])
	}
	p.parts[0].Upstream.End()
	p.pipes.add(p.parts, -1)
}

// HasDead reports whether an engine of the path did not answer when it was
// asked last.
func (p *Path) HasDead() bool {
	for _, part := range p.parts {
		if part.Upstream.Dead() {
			return true
		}
	}
	return false
}

// Dead returns the ids of the engines that did not answer when they were asked last.
func (p *Path) Dead() []string {
	var ids []string
	for _, part := range p.parts {
		if part.Upstream.Dead() {
			ids = append(ids, part.Upstream.ID())
		}
	}
	return ids
}

// GivenUp reports whether an engine of the path is being ordered to give layers up
// that the path runs there. It serves on what runs, and the order waits for that.
func (p *Path) GivenUp() bool {
	for _, part := range p.parts {
		target := part.Upstream.Target()
		if target != nil && !target.Done && (part.Layers.From < target.Layers.From || part.Layers.To > target.Layers.To) {
			return true
		}
	}
	return false
}

// Wire returns the path as engines are told it.
func (p *Path) Wire() []spanrill.PathPart {
	out := make([]spanrill.PathPart, len(p.parts))
	for i, part := range p.parts {
		out[i] = spanrill.PathPart{ID: part.Upstream.ID(), Addr: part.Upstream.Addr(), Layers: part.Layers}
	}
	return out
}

// Whole reports whether the path runs each of that many layers once and in
// order, and no engine twice. It is checked before a request is sent.
func (p *Path) Whole(layers int) bool {
	at := 0
	seen := make(map[string]bool, len(p.parts))
	for _, part := range p.parts {
		if part.Layers.From != at || part.Layers.To <= at || seen[part.Upstream.ID()] {
			return false
		}
		seen[part.Upstream.ID()] = true
		at = part.Layers.To
	}
	return at == layers
}

// String returns the path for logs.
func (p *Path) String() string {
	var b strings.Builder
	for i, part := range p.parts {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(part.Upstream.ID())
		b.WriteByte('=')
		b.WriteString(strconv.Itoa(part.Layers.From))
		b.WriteByte('-')
		b.WriteString(strconv.Itoa(part.Layers.To))
	}
	return b.String()
}
