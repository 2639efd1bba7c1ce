package fleet

import (
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// limit is the number of requests per second that an upstream accepts from all daemons
// combined.
type limit struct {
	perSecond  float64
	receivedAt spanrill.Millis // arrival of the last answer that updated or confirmed it
}

// noteLimit updates the limit of an upstream from an answer. An answer to a call that was begun
// before the limit was last received may be older than the limit, so it neither raises nor
// removes it. The caller holds the lock.
func (t *Table) noteLimit(u *Upstream, n spanrill.Notice, begun spanrill.Millis) {
	if n.UnreadableLimit != "" {
		t.noticeCounts.unreadableLimits.Add(1)
		events.LimitUnreadable.Log(t.log, logrus.Fields{"upstream": u.ID(), "value": n.UnreadableLimit})
	}
	old := u.notices.limit.Load()
	switch {
	case n.Limit.Set:
		if old != nil && n.Limit.PerSecond > old.perSecond && begun < old.receivedAt {
			return
		}
		u.notices.limit.Store(&limit{perSecond: n.Limit.PerSecond, receivedAt: t.clock.Now()})
		if old == nil || old.perSecond != n.Limit.PerSecond {
			t.noticeCounts.limits.Add(1)
			events.LimitSet.Log(t.log, logrus.Fields{"upstream": u.ID(), "per_second": n.Limit.PerSecond})
		}
	case old != nil && n.UnreadableLimit == "" && begun >= old.receivedAt:
		u.notices.limit.Store(nil)
		events.LimitRemoved.Log(t.log, logrus.Fields{"upstream": u.ID(), "per_second": old.perSecond})
	}
}

// addrHasLimit reports whether the upstream at an address has a limit. If so, an empty notice
// must be processed as well, since it removes the limit.
func (t *Table) addrHasLimit(addr string) bool {
	u := t.View().ByAddr(addr)
	return u != nil && u.Limit().Set
}

// Limit returns the rate limit of the upstream. It is not set if the upstream has none.
func (u *Upstream) Limit() spanrill.RateLimit {
	l := u.notices.limit.Load()
	if l == nil {
		return spanrill.RateLimit{}
	}
	return spanrill.RateLimit{Set: true, PerSecond: l.perSecond}
}

// LimitedUpstreams returns the number of upstreams that have a rate limit.
func (t *Table) LimitedUpstreams() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, u := range t.all {
		if u.Limit().Set {
			n++
		}
	}
	return n
}
