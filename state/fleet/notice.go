package fleet

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// notices holds the state that an upstream has announced in its answers to this daemon. It belongs
// to the upstream's name and stays in effect when the entry changes, or is removed and added again.
//
// Waits after refusals, of 60 to 1,920 ms, are no substitute for a requested rest: without notices, an
// upstream that had asked for 3 s of rest received 14 requests in 8 s from daemons that it had asked.
// With notices it received none.
type notices struct {
	rest    atomic.Pointer[rest] // the current or last rest, or nil
	limits  limitState
	leaving atomic.Bool
	entry   spanrill.EngineEntry // of the incarnation that gave the notices; guarded by Table.mu
}

// rest is a period in which an upstream wants no requests from this daemon. It begins when the answer
// is read, on a clock that also runs while the machine is suspended. If an answer was read late,
// its rest ends late, never early.
type rest struct {
	from, until spanrill.Millis
}

const (
	// maxRestTime limits the length of a rest, so that no value excludes an upstream forever. The
	// users' deployments ask for 1 to 3 s, and callers' deadlines are under 60 s, so a rest of more
	// than an hour cannot be meant.
	maxRestTime = 3600 * spanrill.Second
	// unreadableRestTime is the rest of an upstream that asks for one with an invalid value: the
	// shortest rest that the users' upstreams ask for.
	unreadableRestTime = spanrill.Second
)

// extend returns the rest that applies after another request for rest. The later end applies: a
// shorter rest or no rest doesn't end one that was requested before.
func (r *rest) extend(n spanrill.Notice, now spanrill.Millis) *rest {
	length := min(n.Rest, maxRestTime)
	if n.UnreadableRest != "" {
		length = max(length, unreadableRestTime)
	}
	next := rest{from: now, until: now + length}
	if r != nil && r.until > now {
		next.from, next.until = r.from, max(r.until, next.until)
	}
	return &next
}

// extendRest applies a request for rest, which may extend the current rest.
func (n *notices) extendRest(notice spanrill.Notice, now spanrill.Millis) {
	for {
		old := n.rest.Load()
		if n.rest.CompareAndSwap(old, old.extend(notice, now)) {
			return
		}
	}
}

// NoticeCounts holds the number of notices of each kind from all upstreams.
type NoticeCounts struct {
	Rests           uint64 // requests for rest
	UnreadableRests uint64 // of these, with an invalid time
	Leaving         uint64 // upstreams that announced that they are leaving
	Limits          uint64 // rate limits that were set or changed

	UnreadableLimits uint64 // invalid values of rate limits
}

// noticeCounts holds the counters behind NoticeCounts.
type noticeCounts struct {
	rests, unreadableRests, leaving, limits, unreadableLimits atomic.Uint64
}

// NoticeCounts returns the number of notices received so far.
func (t *Table) NoticeCounts() NoticeCounts {
	c := &t.noticeCounts
	return NoticeCounts{
		Rests: c.rests.Load(), UnreadableRests: c.unreadableRests.Load(), Leaving: c.leaving.Load(),
		Limits: c.limits.Load(), UnreadableLimits: c.unreadableLimits.Load(),
	}
}

// HandleNotice applies a notice that the upstream at an address sent in its answer to a call.
// callStart is when the call began. If the upstream got the address later than that, the answer is
// from the previous upstream at the address, and the notice is ignored.
func (t *Table) HandleNotice(addr string, n spanrill.Notice, callStart spanrill.Millis) {
	if n.Empty() && !t.addrHasLimit(addr) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreamAt(addr)
	if u == nil || u.addrSince > callStart {
		return
	}
	t.rememberNotices(u)
	t.recordRest(u, n)
	t.updateLimit(u, n, callStart)
	defer u.addToActive()
	if n.Leaving && !u.notices.leaving.Swap(true) {
		t.noticeCounts.leaving.Add(1)
		events.UpstreamAnnouncedLeaving.Log(t.log, logrus.Fields{"upstream": u.ID(), "entry_leaving": u.Entry().Leaving, "entry_gone": u.Removed()})
		t.publishView()
	}
}

// recordRest applies the request for rest in a notice, if there is one. The caller holds the lock.
func (t *Table) recordRest(u *Upstream, n spanrill.Notice) {
	if n.UnreadableRest != "" {
		t.noticeCounts.unreadableRests.Add(1)
		events.RestUnreadable.Log(t.log, logrus.Fields{"upstream": u.ID(), "value": n.UnreadableRest})
	}
	if n.Rest <= 0 && n.UnreadableRest == "" {
		return
	}
	now := t.clock.Now()
	t.noticeCounts.rests.Add(1)
	u.notices.extendRest(n, now)
	events.UpstreamResting.Log(t.log, logrus.Fields{"upstream": u.ID(), "rest_ms": n.Rest, "left_ms": u.RestRemaining(now)})
}

// upstreamAt returns the upstream at an address, including one that was removed recently and may
// still serve running requests, or nil. The caller holds the lock.
func (t *Table) upstreamAt(addr string) *Upstream {
	if u := t.byAddr[addr]; u != nil {
		return u
	}
	for _, r := range t.recentlyRemoved {
		if r.upstream.Addr() == addr {
			return r.upstream
		}
	}
	return nil
}

// rememberNotices stores an upstream's notices by its name. The caller holds the lock.
func (t *Table) rememberNotices(u *Upstream) {
	if len(t.noticesByName) >= maxRememberedNames {
		for name := range t.noticesByName {
			if t.byName[name] == nil {
				delete(t.noticesByName, name)
			}
		}
	}
	u.notices.entry = *u.Entry()
	t.noticesByName[u.Name()] = u.notices
}

// noticesOf returns the earlier notices of an entry's name that apply to its new upstream. The
// caller holds the lock.
func (t *Table) noticesOf(entry *spanrill.EngineEntry) *notices {
	earlier := t.noticesByName[entry.ID]
	switch {
	case earlier == nil:
		return &notices{}
	case isRestart(&earlier.entry, entry):
		carried := earlier.afterRestart()
		carried.entry = *entry
		t.noticesByName[entry.ID] = carried
		return carried
	}
	return earlier
}

// afterRestart returns the notices that apply after a restart under the same name. Rest and limit
// carry over, because they apply to the server. Leaving does not, because it applies to the
// previous process.
func (n *notices) afterRestart() *notices {
	next := &notices{}
	next.rest.Store(n.rest.Load())
	next.limits.last.Store(n.limits.last.Load())
	return next
}

// Reasons why no request may be sent to an upstream now.
var (
	// ErrResting means that the upstream has asked this daemon for rest.
	ErrResting = errors.New("the upstream has asked for rest")
	// ErrLeaving means that the upstream is leaving or that its entry was removed.
	ErrLeaving = errors.New("the upstream is leaving or was removed")
)

// CheckSend returns the reason why no request may be sent to the upstream now, or nil. It is called
// on an open connection just before the first byte is sent, since opening one takes up to 350 ms, in
// which the upstream may ask for rest or leave.
func (u *Upstream) CheckSend(now spanrill.Millis) error {
	switch {
	case !u.AcceptsRequestsAt(now):
		return ErrLeaving
	case u.Resting(now):
		return ErrResting
	case u.LimitWait(now) > 0:
		return ErrLimited
	}
	return nil
}

// Resting reports whether a rest that the upstream has asked this daemon for is not over yet.
func (u *Upstream) Resting(now spanrill.Millis) bool { return u.RestRemaining(now) > 0 }

// RestRemaining returns how much longer the upstream wants no requests, or 0.
func (u *Upstream) RestRemaining(now spanrill.Millis) spanrill.Millis {
	r := u.notices.rest.Load()
	if r == nil {
		return 0
	}
	return max(0, r.until-now)
}

// RestElapsed returns how long ago the current rest of the upstream began, or 0 without a rest.
func (u *Upstream) RestElapsed(now spanrill.Millis) spanrill.Millis {
	r := u.notices.rest.Load()
	if r == nil || now >= r.until {
		return 0
	}
	return now - r.from
}

// AnnouncedLeaving reports whether the upstream has announced in an answer that it is leaving.
func (u *Upstream) AnnouncedLeaving() bool { return u.notices.leaving.Load() }

// Leaving reports whether the upstream is leaving, according to its entry or an answer.
func (u *Upstream) Leaving() bool { return u.Entry().Leaving || u.AnnouncedLeaving() }
