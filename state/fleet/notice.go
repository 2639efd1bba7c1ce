package fleet

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// notices is what an upstream has said of itself in its answers to this daemon. It belongs
// to the name: an entry that goes and comes back, or changes, takes nothing back.
//
// When only entries said that an upstream leaves, and a refusal kept requests away for 60
// to 1,920 ms whatever the upstream asked for, one that wanted 3 s of rest got 14 requests
// of daemons that it had asked, in 8 s of one play, and none with this.
type notices struct {
	rest    atomic.Pointer[rest] // the last one, or nil
	limits  limitState
	leaving atomic.Bool
	by      spanrill.EngineEntry // of the start that said it, under the table's lock
}

// rest is a time in which an upstream wants no requests from this daemon. It counts from
// the arrival of the answer, on a clock that goes on while the machine is suspended: an
// answer that waited unread gives a rest that ends late, never early.
type rest struct {
	from, until spanrill.Millis
}

const (
	// longestRest bounds what is honoured of a request for rest, so that no value bars an
	// upstream for good. The users' deployments ask for 1 to 3 s; no request beyond an hour
	// can be meant for a caller of today, whose deadlines are under 60 s.
	longestRest = 3600 * spanrill.Second
	// unreadRest is the rest of an upstream that asks for one in words that are no time:
	// the least that upstreams of today ask for.
	unreadRest = spanrill.Second
)

// after returns the rest that holds after one more request for rest. The later end counts:
// a shorter rest that is asked for later, or none, ends none that was asked for before.
func (r *rest) after(n spanrill.Notice, now spanrill.Millis) *rest {
	length := min(n.Rest, longestRest)
	if n.Unreadable != "" {
		length = max(length, unreadRest)
	}
	next := rest{from: now, until: now + length}
	if r != nil && r.until > now {
		next.from, next.until = r.from, max(r.until, next.until)
	}
	return &next
}

// ask takes a request for rest.
func (n *notices) ask(asked spanrill.Notice, now spanrill.Millis) {
	for {
		old := n.rest.Load()
		if n.rest.CompareAndSwap(old, old.after(asked, now)) {
			return
		}
	}
}

// NoticeCounts is how many notices of each kind upstreams have given.
type NoticeCounts struct {
	Rests      uint64 // requests for rest
	Unreadable uint64 // of these, without a time that can be read
	Leaving    uint64 // upstreams that have said that they leave
	Limits     uint64 // rate limits that were set or changed

	UnreadableLimits uint64 // invalid values of rate limits
}

// noticeCounts counts while others read.
type noticeCounts struct {
	rests, unreadable, leaving, limits, unreadableLimits atomic.Uint64
}

// Notices returns how many notices were heard.
func (t *Table) Notices() NoticeCounts {
	c := &t.noticeCounts
	return NoticeCounts{
		Rests: c.rests.Load(), Unreadable: c.unreadable.Load(), Leaving: c.leaving.Load(),
		Limits: c.limits.Load(), UnreadableLimits: c.unreadableLimits.Load(),
	}
}

// Notice takes what the upstream at an address has said of itself in an answer to a call
// that was begun at the time given. An answer whose call is older than the upstream's
// stay at the address is one of the upstream that was there before.
func (t *Table) Notice(addr string, n spanrill.Notice, begun spanrill.Millis) {
	if n.Empty() && !t.addrHasLimit(addr) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.servesAt(addr)
	if u == nil || u.foundAt > begun {
		return
	}
	t.rememberNotices(u)
	t.noteRest(u, n)
	t.noteLimit(u, n, begun)
	defer u.activate()
	if n.Leaving && !u.notices.leaving.Swap(true) {
		t.noticeCounts.leaving.Add(1)
		events.UpstreamSaysLeaving.Log(t.log, logrus.Fields{"upstream": u.ID(), "entry_leaving": u.Entry().Leaving, "entry_gone": u.Removed()})
		t.publish()
	}
}

func (t *Table) noteRest(u *Upstream, n spanrill.Notice) {
	if n.Unreadable != "" {
		t.noticeCounts.unreadable.Add(1)
		events.RestUnreadable.Log(t.log, logrus.Fields{"upstream": u.ID(), "value": n.Unreadable})
	}
	if n.Rest <= 0 && n.Unreadable == "" {
		return
	}
	now := t.clock.Now()
	t.noticeCounts.rests.Add(1)
	u.notices.ask(n, now)
	events.UpstreamRests.Log(t.log, logrus.Fields{"upstream": u.ID(), "rest_ms": n.Rest, "left_ms": u.RestLeft(now)})
}

// servesAt returns the upstream at an address, also if its entry has gone and it only
// serves on. The caller holds the lock.
func (t *Table) servesAt(addr string) *Upstream {
	if u := t.byAddr[addr]; u != nil {
		return u
	}
	for _, d := range t.left {
		if d.upstream.Addr() == addr {
			return d.upstream
		}
	}
	return nil
}

// rememberNotices keeps what an upstream says by its name. The caller holds the lock.
func (t *Table) rememberNotices(u *Upstream) {
	if len(t.noticed) >= pastKept {
		for name := range t.noticed {
			if t.all[name] == nil {
				delete(t.noticed, name)
			}
		}
	}
	u.notices.by = *u.Entry()
	t.noticed[u.Name()] = u.notices
}

// noticesOf returns what holds for the upstream of an entry that is new of what was said under
// its name before. The caller holds the lock.
func (t *Table) noticesOf(entry *spanrill.EngineEntry) *notices {
	said := t.noticed[entry.ID]
	switch {
	case said == nil:
		return &notices{}
	case startedAgain(&said.by, entry):
		next := said.startAgain()
		next.by = *entry
		t.noticed[entry.ID] = next
		return next
	}
	return said
}

// startAgain returns what holds of the notices for another start under the same name. Its
// rest and its limit carry over, because they apply to the server. Leaving does not carry
// over, because it applies to the previous process.
func (n *notices) startAgain() *notices {
	next := &notices{}
	next.rest.Store(n.rest.Load())
	next.limits.last.Store(n.limits.last.Load())
	return next
}

// Why an upstream must not be sent a request now.
var (
	// ErrRests means that it has asked this daemon for rest.
	ErrRests = errors.New("the upstream has asked for rest")
	// ErrLeaves means that it leaves, or that its entry has gone.
	ErrLeaves = errors.New("the upstream leaves")
)

// MaySend returns why the upstream must not be sent a request now, or nil. It is asked
// when the connection stands, just before the first byte: a new connection takes up to
// 350 ms, in which an upstream may ask for rest or leave.
func (u *Upstream) MaySend(now spanrill.Millis) error {
	switch {
	case !u.TakesAt(now):
		return ErrLeaves
	case u.Rests(now):
		return ErrRests
	case u.LimitWait(now) > 0:
		return ErrLimited
	}
	return nil
}

// Rests reports whether the upstream has asked this daemon for rest that is not over.
func (u *Upstream) Rests(now spanrill.Millis) bool { return u.RestLeft(now) > 0 }

// RestLeft returns for how much longer the upstream wants no requests, or 0.
func (u *Upstream) RestLeft(now spanrill.Millis) spanrill.Millis {
	r := u.notices.rest.Load()
	if r == nil {
		return 0
	}
	return max(0, r.until-now)
}

// RestedFor returns how long ago the rest of the upstream began, or 0 if it does not rest.
func (u *Upstream) RestedFor(now spanrill.Millis) spanrill.Millis {
	r := u.notices.rest.Load()
	if r == nil || now >= r.until {
		return 0
	}
	return now - r.from
}

// SaidLeaving reports whether the upstream has said in an answer that it leaves.
func (u *Upstream) SaidLeaving() bool { return u.notices.leaving.Load() }

// Leaving reports whether the upstream leaves, by its entry or its own word.
func (u *Upstream) Leaving() bool { return u.Entry().Leaving || u.SaidLeaving() }
