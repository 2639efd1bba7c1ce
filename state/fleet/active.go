package fleet

import (
	"sync"
	"sync/atomic"

	"spanrill"
)

// activeSet holds the upstreams with state from this daemon's own requests: tokens or running
// requests, refusals, rests, slowness or missing answers. These are a few among thousands, so each
// exchange with peers and each probe for dead upstreams visits only them.
type activeSet struct {
	mu        sync.Mutex
	set       map[*Upstream]struct{}
	lastHeard atomic.Int64 // when any upstream last responded
}

func (a *activeSet) add(u *Upstream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set[u] = struct{}{}
}

// list returns the upstreams with activity and drops the others.
func (a *activeSet) list(now spanrill.Millis) []*Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*Upstream, 0, len(a.set))
	for u := range a.set {
		if u.hasActivity(now) {
			out = append(out, u)
			continue
		}
		u.inActiveSet.Store(false)
		if u.hasActivity(now) && !u.inActiveSet.Swap(true) { // it became active in between
			out = append(out, u)
			continue
		}
		if !u.inActiveSet.Load() {
			delete(a.set, u)
		}
	}
	return out
}

// addToActive adds the upstream to the active set of its table.
func (u *Upstream) addToActive() {
	if u.active != nil && !u.inActiveSet.Swap(true) {
		u.active.add(u)
	}
}

// hasActivity reports whether the upstream has state from requests of this daemon.
func (u *Upstream) hasActivity(now spanrill.Millis) bool {
	return u.OwnTokens() != 0 || u.OwnCalls() != 0 || u.dead.Load() || u.pace.Load() > paceUnit || u.RefusesThisDaemon(now)
}

// EachActive calls f for every upstream with state from this daemon's own requests: such requests
// are running on it, or it has refused them, asked for rest, announced that it is leaving, failed to
// answer or been slow. Removed upstreams are left out.
func (t *Table) EachActive(f func(*Upstream)) {
	for _, u := range t.active.list(t.clock.Now()) {
		if !u.Removed() {
			f(u)
		}
	}
}

// LastHeard returns when any upstream last responded.
func (t *Table) LastHeard() spanrill.Millis { return spanrill.Millis(t.active.lastHeard.Load()) }

// updateLastHeard records that an upstream has responded, unless a later response is known.
func (a *activeSet) updateLastHeard(now spanrill.Millis) {
	for {
		old := a.lastHeard.Load()
		if int64(now) <= old || a.lastHeard.CompareAndSwap(old, int64(now)) {
			return
		}
	}
}
