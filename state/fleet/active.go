package fleet

import (
	"sync"
	"sync/atomic"

	"spanrill"
)

// active is the upstreams of which this daemon knows something by its own requests: what
// these hold there, and what they have met. A daemon has to do with a few of thousands, and
// goes over these alone in each round of news and each look for dead ones.
type active struct {
	mu        sync.Mutex
	set       map[*Upstream]struct{}
	lastHeard atomic.Int64 // when anything last came from any upstream
}

// note adds an upstream.
func (a *active) note(u *Upstream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set[u] = struct{}{}
}

// list returns the upstreams, and drops those of which nothing is known any more.
func (a *active) list(now spanrill.Millis) []*Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*Upstream, 0, len(a.set))
	for u := range a.set {
		if u.stillActive(now) {
			out = append(out, u)
			continue
		}
		u.listed.Store(false)
		if u.stillActive(now) && !u.listed.Swap(true) { // it has become so meanwhile
			out = append(out, u)
			continue
		}
		if !u.listed.Load() {
			delete(a.set, u)
		}
	}
	return out
}

// activate adds the upstream to the active ones of its table.
func (u *Upstream) activate() {
	if u.active != nil && !u.listed.Swap(true) {
		u.active.note(u)
	}
}

// stillActive reports whether anything is known of the upstream by requests of this daemon.
func (u *Upstream) stillActive(now spanrill.Millis) bool {
	return u.OwnTokens() != 0 || u.OwnCalls() != 0 || u.dead.Load() || u.pace.Load() > paceUnit || u.RefusedHere(now)
}

// EachActive calls f for every upstream of which something is known by this daemon's own
// requests: they run there, or it has refused them, asked for rest, been silent or slow.
// Upstreams whose entries have gone are left out.
func (t *Table) EachActive(f func(*Upstream)) {
	for _, u := range t.active.list(t.clock.Now()) {
		if !u.Removed() {
			f(u)
		}
	}
}

// LastHeard returns when anything last came from any upstream.
func (t *Table) LastHeard() spanrill.Millis { return spanrill.Millis(t.active.lastHeard.Load()) }

// heard notes that something has come from an upstream.
func (a *active) heard(now spanrill.Millis) {
	for {
		old := a.lastHeard.Load()
		if int64(now) <= old || a.lastHeard.CompareAndSwap(old, int64(now)) {
			return
		}
	}
}
