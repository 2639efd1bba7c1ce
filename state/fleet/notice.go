package fleet

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// notices is what an upstream has said of itself in its answers to this daemon.
type notices struct {
	restUntil atomic.Int64 // it wants no requests before then
	leaving   atomic.Bool
}

// NoticeCounts is how many notices of each kind upstreams have given.
type NoticeCounts struct {
	Rests      uint64 // requests for rest
	Unreadable uint64 // of these, without a time that can be read
	Leaving    uint64 // upstreams that have said that they leave
}

// noticeCounts counts while others read.
type noticeCounts struct {
	rests, unreadable, leaving atomic.Uint64
}

// Notices returns how many notices were heard.
func (t *Table) Notices() NoticeCounts {
	c := &t.noticed
	return NoticeCounts{Rests: c.rests.Load(), Unreadable: c.unreadable.Load(), Leaving: c.leaving.Load()}
}

// Notice takes what the upstream at an address has said of itself in an answer.
func (t *Table) Notice(addr string, n spanrill.Notice) {
	u := t.View().ByAddr(addr)
	if u == nil || n.Empty() {
		return
	}
	now := t.clock.Now()
	if n.Unreadable != "" {
		t.noticed.unreadable.Add(1)
		events.RestUnreadable.Log(t.log, logrus.Fields{"upstream": u.ID(), "value": n.Unreadable})
	}
	if n.Rest > 0 {
		t.noticed.rests.Add(1)
		u.notices.restUntil.Store(int64(now + n.Rest))
		events.UpstreamRests.Log(t.log, logrus.Fields{"upstream": u.ID(), "rest_ms": n.Rest})
	}
	if n.Leaving && !u.notices.leaving.Swap(true) {
		t.noticed.leaving.Add(1)
		events.UpstreamSaysLeaving.Log(t.log, logrus.Fields{"upstream": u.ID(), "entry_leaving": u.Entry().Leaving, "entry_gone": u.Removed()})
	}
}

// RestLeft returns for how much longer the upstream wants no requests, or 0.
func (u *Upstream) RestLeft(now spanrill.Millis) spanrill.Millis {
	return max(0, spanrill.Millis(u.notices.restUntil.Load())-now)
}

// SaidLeaving reports whether the upstream has said in an answer that it leaves.
func (u *Upstream) SaidLeaving() bool { return u.notices.leaving.Load() }
