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

// share returns the fraction of the engine's layers that the path runs. Of the memory that a token
// takes in all layers of the engine, the path needs that fraction.
func (p Part) share() float64 {
	held := p.Upstream.Layers().Len()
	if held <= 0 || p.Layers.Len() >= held {
		return 1
	}
	return float64(p.Layers.Len()) / float64(held)
}

// Path is the engines that a request crosses, with tokens reserved at each. A request to a plain
// service has a path too, of one part without layers or tokens.
type Path struct {
	parts          []Part
	reserved       []int64 // tokens, for each part
	tokens         atomic.Int64
	released       atomic.Bool
	expectedMillis float64 // time that the request is expected to take
	pipes          *pipes
	candidates     []candidate
}

// DescribeCandidates describes, for logs, the paths that were compared.
func (p *Path) DescribeCandidates() []string { return describeAll(p.candidates) }

func (r *Router) newPath(parts []Part, tokens int64, expectedMillis float64) *Path {
	p := &Path{parts: parts, reserved: make([]int64, len(parts)), expectedMillis: expectedMillis, pipes: &r.pipes}
	p.pipes.add(parts, 1)
	p.tokens.Store(tokens)
	for i, part := range parts {
		p.reserved[i] = int64(float64(tokens) * part.share())
		part.Upstream.Reserve(p.reserved[i])
	}
	parts[0].Upstream.Begin()
	return p
}

// PathTo returns a path of one upstream, which serves the request by itself.
func (r *Router) PathTo(u *fleet.Upstream) *Path { return r.newPath([]Part{{Upstream: u}}, 0, 0) }

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

// Grow raises the reservation to that many tokens. It does nothing if as many are reserved or the
// path is released. Only the goroutine of the request may call it.
func (p *Path) Grow(tokens int64) {
	increase := tokens - p.tokens.Load()
	if increase <= 0 || p.released.Load() {
		return
	}
	p.tokens.Store(tokens)
	for i, part := range p.parts {
		added := int64(float64(increase) * part.share())
		p.reserved[i] += added
		part.Upstream.Reserve(added)
	}
}

// Release returns the reserved tokens. Further calls do nothing.
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

// HasDeadEngine reports whether an engine of the path did not answer its last probe.
func (p *Path) HasDeadEngine() bool {
	for _, part := range p.parts {
		if part.Upstream.Dead() {
			return true
		}
	}
	return false
}

// DeadIDs returns the ids of the engines that did not answer their last probe.
func (p *Path) DeadIDs() []string {
	var ids []string
	for _, part := range p.parts {
		if part.Upstream.Dead() {
			ids = append(ids, part.Upstream.ID())
		}
	}
	return ids
}

// LosesLayers reports whether an engine of the path is ordered to drop layers that the path runs
// there. The engine carries out the order after its running requests have ended.
func (p *Path) LosesLayers() bool {
	for _, part := range p.parts {
		target := part.Upstream.Target()
		if target != nil && !target.Done && (part.Layers.From < target.Layers.From || part.Layers.To > target.Layers.To) {
			return true
		}
	}
	return false
}

// Stages returns the path in the form that is sent to engines, or nil if it runs no layers.
func (p *Path) Stages() []spanrill.PathStage {
	if !p.runsLayers() {
		return nil
	}
	stages := make([]spanrill.PathStage, len(p.parts))
	for i, part := range p.parts {
		stages[i] = spanrill.PathStage{ID: part.Upstream.ID(), Addr: part.Upstream.Addr(), Layers: part.Layers}
	}
	return stages
}

func (p *Path) runsLayers() bool { return p.parts[0].Layers.Len() > 0 }

// Covers reports whether the path runs each of that many layers once and in order, and uses no
// engine twice. Callers check it before they send a request.
func (p *Path) Covers(layers int) bool {
	next := 0
	seen := make(map[string]bool, len(p.parts))
	for _, part := range p.parts {
		if part.Layers.From != next || part.Layers.To <= next || seen[part.Upstream.ID()] {
			return false
		}
		seen[part.Upstream.ID()] = true
		next = part.Layers.To
	}
	return next == layers
}

// String returns the engines and layers for logs.
func (p *Path) String() string {
	if !p.runsLayers() {
		return p.First().ID()
	}
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
