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

// StartsMark stands between a name and the starts that were counted here, in an id.
const StartsMark = "~"

// startedAgain reports whether a newer entry is of another incarnation than an older one.
// The count rises without a new revision, so that of one revision two counts are seen.
func startedAgain(old, newer *spanrill.EngineEntry) bool {
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
		return e.ID + StartsMark + strconv.Itoa(starts)
	}
	return e.ID
}

// hasEnded reports whether an entry is of an incarnation that has ended. The caller holds
// the lock.
func (t *Table) hasEnded(name string, born int64) bool {
	return born > 0 && slices.Contains(t.ended[name], born)
}

// noteEnded remembers that an incarnation has ended. The caller holds the lock.
func (t *Table) noteEnded(name string, born int64) {
	all := append(t.ended[name], born)
	t.ended[name] = all[max(0, len(all)-endedKept):]
}

// noteLeft remembers the start of an upstream whose entry has gone: the entry may be back.
// The caller holds the lock.
func (t *Table) noteLeft(e *spanrill.EngineEntry) {
	if e.Born == 0 {
		return
	}
	if len(t.lastBorn) >= leftKept {
		t.lastBorn = map[string]int64{}
	}
	t.lastBorn[e.ID] = e.Born
}

// leftKept bounds the starts that are remembered of upstreams whose entries have gone.
const leftKept = 4096

// endOthers notes that the incarnation whose entry has gone has ended if another one is
// there now. The caller holds the lock.
func (t *Table) endOthers(entry spanrill.EngineEntry) {
	if born := t.lastBorn[entry.ID]; born > 0 && entry.Born > 0 && born != entry.Born {
		t.noteEnded(entry.ID, born)
		t.restarts.Add(1)
	}
	delete(t.lastBorn, entry.ID)
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
	if old.Born > 0 {
		t.noteEnded(entry.ID, old.Born)
	}
	t.starts[entry.ID]++
	u.end()
	next := newUpstream(entry, t.starts[entry.ID])
	next.restartedAt = t.clock.Now()
	t.all[entry.ID] = next
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
