package fleet

import (
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// limitState holds the rate limit of an upstream and the effect of denied permits.
type limitState struct {
	last          atomic.Pointer[limit] // nil if no limit was ever received
	deferredUntil atomic.Int64          // no requests are sent before this time
}

// limit is the last received rate limit of an upstream, or the fact that it has none.
type limit struct {
	spanrill.RateLimit
	receivedAt spanrill.Millis // when the answer with the limit arrived; without a limit, when the call began
}

// removedLimitRetention is how long the removal of a limit is sent to other daemons, so that those
// with the old limit receive it.
const removedLimitRetention = 30 * spanrill.Second

// ErrLimited means that the rate limit of the upstream allows no further request now.
var ErrLimited = errors.New("the upstream's limit is used up")

// updateLimit updates the limit from an answer. An answer to a call that began before the limit was
// last received may be older than the limit, so it neither raises nor removes the limit. The caller
// holds the lock.
func (t *Table) updateLimit(u *Upstream, n spanrill.Notice, callStart spanrill.Millis) {
	if n.UnreadableLimit != "" {
		t.noticeCounts.unreadableLimits.Add(1)
		events.LimitUnreadable.Log(t.log, logrus.Fields{"upstream": u.ID(), "value": n.UnreadableLimit})
	}
	old := u.notices.limits.last.Load()
	switch {
	case n.Limit.Set:
		if old != nil && (!old.Set || n.Limit.PerSecond > old.PerSecond) && callStart < old.receivedAt {
			return
		}
		t.setLimit(u, &limit{RateLimit: n.Limit, receivedAt: t.clock.Now()}, "answer")
	case old != nil && old.Set && n.UnreadableLimit == "" && callStart >= old.receivedAt:
		t.setLimit(u, &limit{receivedAt: callStart}, "answer")
	}
}

// setLimit replaces the limit of an upstream. The caller holds the lock.
func (t *Table) setLimit(u *Upstream, next *limit, from string) {
	l := &u.notices.limits
	old := l.last.Swap(next)
	if old == nil {
		old = &limit{}
	}
	if old.RateLimit == next.RateLimit && t.limitedNames[u.Name()] {
		return
	}
	t.limitedNames[u.Name()] = true
	t.limitsDigest.Store(t.computeLimitsDigest())
	if old.RateLimit == next.RateLimit {
		return
	}
	if !next.Set || next.PerSecond > old.PerSecond {
		l.deferredUntil.Store(0)
	}
	if !next.Set {
		events.LimitRemoved.Log(t.log, logrus.Fields{"upstream": u.ID(), "per_second": old.PerSecond, "from": from})
		return
	}
	t.noticeCounts.limits.Add(1)
	events.LimitSet.Log(t.log, logrus.Fields{"upstream": u.ID(), "per_second": next.PerSecond, "from": from})
}

// addrHasLimit reports whether the upstream at an address has a limit. If it has, an answer without a
// limit removes it.
func (t *Table) addrHasLimit(addr string) bool {
	u := t.View().ByAddr(addr)
	return u != nil && u.Limit().Set
}

// KnownLimit is the limit of an upstream as exchanged between daemons.
type KnownLimit struct {
	Upstream uint32 // key
	Limit    spanrill.RateLimit
	At       spanrill.Millis // when the upstream sent it, or earlier
}

// LimitOf returns the known limit of an upstream.
func (t *Table) LimitOf(u *Upstream) KnownLimit {
	l := u.notices.limits.last.Load()
	if l == nil {
		return KnownLimit{Upstream: u.Key()}
	}
	return KnownLimit{Upstream: u.Key(), Limit: l.RateLimit, At: l.receivedAt}
}

// MergeLimit stores a limit received from another daemon if it is newer than the known one.
func (t *Table) MergeLimit(received KnownLimit) {
	rate := received.Limit.PerSecond
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.View().ByKey(received.Upstream)
	if u == nil || u.Removed() {
		return
	}
	old := u.notices.limits.last.Load()
	switch {
	case old == nil && !received.Limit.Set, old != nil && received.At <= old.receivedAt:
		return
	}
	t.rememberNotices(u)
	t.setLimit(u, &limit{RateLimit: received.Limit, receivedAt: received.At}, "daemon")
}

// Limits returns the known limits, and those removed within removedLimitRetention.
func (t *Table) Limits() (all []KnownLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.limitedNames {
		u := t.byName[name]
		if u == nil || !u.Limit().Set && t.clock.Now()-t.LimitOf(u).At > removedLimitRetention {
			delete(t.limitedNames, name)
			continue
		}
		all = append(all, t.LimitOf(u))
	}
	t.limitsDigest.Store(t.computeLimitsDigest())
	return all
}

// LimitsDigest returns a digest of the known limits, equal on daemons that know the same ones.
func (t *Table) LimitsDigest() uint64 { return t.limitsDigest.Load() }

// computeLimitsDigest computes the digest of the known limits. The caller holds the lock.
func (t *Table) computeLimitsDigest() (digest uint64) {
	for name := range t.limitedNames {
		if u := t.byName[name]; u != nil && u.Limit().Set {
			digest ^= xxhash.Sum64String(name) * (math.Float64bits(u.Limit().PerSecond) | 1)
		}
	}
	return digest
}

// LimitedUpstreams returns the number of upstreams that have a rate limit.
func (t *Table) LimitedUpstreams() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.limitedNames {
		if u := t.byName[name]; u != nil && u.Limit().Set {
			n++
		}
	}
	return n
}

// Limit returns the rate limit of the upstream for all daemons combined.
func (u *Upstream) Limit() spanrill.RateLimit {
	l := u.notices.limits.last.Load()
	if l == nil {
		return spanrill.RateLimit{}
	}
	return l.RateLimit
}

// DeferRequests keeps requests from the upstream for a time after a permit was denied. If several
// deferrals overlap, the earliest end applies.
func (u *Upstream) DeferRequests(now, wait spanrill.Millis) {
	l, until := &u.notices.limits, int64(now+wait)
	for {
		old := l.deferredUntil.Load()
		if old > int64(now) && old <= until || l.deferredUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// LimitWait returns how much longer requests to the upstream are deferred because of its rate
// limit, or 0.
func (u *Upstream) LimitWait(now spanrill.Millis) spanrill.Millis {
	if !u.Limit().Set {
		return 0
	}
	return max(0, spanrill.Millis(u.notices.limits.deferredUntil.Load())-now)
}
