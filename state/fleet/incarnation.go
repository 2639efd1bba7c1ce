package fleet

import (
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// An upstream may start again under the name that it had. It then holds nothing and knows
// nothing of before: each start is an incarnation with an Upstream of its own, so that
// all that was known of the one before ends with it, in this one place.
//
// The time of the start, which an upstream tells of itself, decides. Where it is not told,
// a count that falls does. Of two incarnations of one name the one with the later revision
// in the store is the newer, since a clock may be set back; what comes late of one that
// has ended changes nothing.

// endedKept is how many incarnations of a name are remembered that have ended: an upstream
// that starts again every second is heard of late by some seconds.
const endedKept = 8

// startsMark stands between a name and the starts that were counted here, in an id.
const startsMark = "~"

// startedAgain reports whether a newer entry is of another incarnation than an older one.
// The count rises without a new revision, so that of one revision two counts are seen.
func startedAgain(old, newer *spanrill.EngineEntry) bool {
	if fromOlderCopy(old, newer) {
		return false
	}
	if old.Born > 0 && newer.Born > 0 {
		return old.Born != newer.Born
	}
	return newer.Revision > old.Revision && newer.Beats > 0 && newer.Beats < old.Beats
}

// incarnationID names an incarnation: all daemons use the same where the start is told,
// and the count of starts that were noticed here otherwise.
func incarnationID(e *spanrill.EngineEntry, starts int) string {
	switch {
	case e.Born > 0:
		return e.ID + "/" + strconv.FormatInt(e.Born, 36)
	case starts > 0:
		return e.ID + startsMark + strconv.Itoa(starts)
	}
	return e.ID
}

// past is what is remembered of the starts of one name.
type past struct {
	starts int     // that were noticed after the first one
	ended  []int64 // when incarnations were started that have ended
	left   int64   // when the one was started whose entry has gone, or 0; it may be back
}

// pastKept bounds the names of which anything is remembered.
const pastKept = 4096

// pastOf returns what is remembered of a name, to be changed. The caller holds the lock.
func (t *Table) pastOf(name string) *past {
	if p := t.past[name]; p != nil {
		return p
	}
	if len(t.past) >= pastKept {
		clear(t.past)
	}
	p := &past{}
	t.past[name] = p
	return p
}

func (p *past) end(born int64) {
	if born > 0 {
		p.ended = append(p.ended, born)
		p.ended = p.ended[max(0, len(p.ended)-endedKept):]
	}
}

// hasEnded reports whether an entry is of an incarnation that has ended. The caller holds
// the lock.
func (t *Table) hasEnded(name string, born int64) bool {
	p := t.past[name]
	return born > 0 && p != nil && slices.Contains(p.ended, born)
}

// endOthers notes that the incarnation whose entry has gone has ended if another one is
// there now. The caller holds the lock.
func (t *Table) endOthers(entry spanrill.EngineEntry) {
	if p := t.past[entry.ID]; p != nil {
		if p.left > 0 && entry.Born > 0 && p.left != entry.Born {
			p.end(p.left)
			t.restarts.Add(1)
		}
		p.left = 0
	}
	for id, d := range t.left {
		if old := d.upstream.Entry(); old.ID == entry.ID && startedAgain(old, &entry) {
			d.upstream.end()
			delete(t.left, id)
			t.restarted = append(t.restarted, old.Addr)
		}
	}
}

// restart ends an incarnation and puts the next one in its place. The caller holds the
// lock.
func (t *Table) restart(u *Upstream, entry spanrill.EngineEntry, why string) {
	old := u.Entry()
	p := t.pastOf(entry.ID)
	p.end(old.Born)
	p.starts++
	u.end()
	next := t.newUpstream(entry, p.starts)
	next.foundAt, next.notices = u.foundAt, u.notices.startAgain()
	t.rememberNotices(next)
	next.activate() // its rest goes on
	next.knownAt, next.restartedAt = t.clock.Now(), t.clock.Now()
	t.vacate(u)
	t.all[entry.ID] = next
	t.occupy(next)
	t.restarted = append(t.restarted, old.Addr)
	t.restarts.Add(1)
	events.UpstreamRestarted.Log(t.log, logrus.Fields{
		"upstream": next.ID(), "before": u.ID(), "why": why, "held": old.Layers, "revision": entry.Revision,
		"born": entry.Born, "born_before": old.Born,
	})
}

// tellRestarts has connections closed and requests look at their paths, after the lock was
// given up.
func (t *Table) tellRestarts() {
	t.mu.Lock()
	addrs := t.restarted // addresses at which another process listens now
	t.restarted = nil
	t.mu.Unlock()
	for _, addr := range addrs {
		t.onRestart(addr)
	}
}

// Restarts returns how many upstreams have started again under their names.
func (t *Table) Restarts() uint64 { return t.restarts.Load() }

// Reported notes what an upstream said of itself when it was asked at the time given: a
// report may tell of another incarnation before the store does.
func (t *Table) Reported(addr string, r *spanrill.EngineReport, sent spanrill.Millis) {
	u := t.View().ByAddr(addr)
	if u == nil {
		return
	}
	why := u.reportedAgain(r, sent, t.clock.Now())
	if why == "" {
		return
	}
	defer t.tellRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := *u.Entry()
	if t.all[entry.ID] != u || t.hasEnded(entry.ID, r.Born) {
		return
	}
	entry.Born, entry.Beats, entry.Layers = r.Born, 0, spanrill.LayerRange{}
	t.restart(u, entry, why)
	t.publish()
}

// reportedAgain returns why a report is of another incarnation, or "".
func (u *Upstream) reportedAgain(r *spanrill.EngineReport, sent, now spanrill.Millis) string {
	if born := u.Entry().Born; born > 0 && r.Born > 0 {
		if born != r.Born {
			return "its report tells another start"
		}
		return ""
	}
	u.orders.mu.Lock()
	defer u.orders.mu.Unlock()
	if r.Sequence < u.orders.count && sent > u.orders.at {
		return "its report tells fewer orders"
	}
	if r.Sequence >= u.orders.count {
		u.orders.count, u.orders.at = r.Sequence, now
	}
	return ""
}
