package fleet

import (
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// An upstream may restart under the same name. It then holds no layers and no requests, so each
// start is an incarnation with an Upstream value of its own, and all state of the previous
// incarnation is dropped at once.
//
// A restart is detected by a different start time, which an upstream reports itself, or if it
// reports none, by a counter that falls. Of two incarnations of a name, the one with the later
// revision in the store is the newer one, since a clock may be set back. Late entries and reports of
// an ended incarnation are ignored.

// maxEndedStarts is how many ended incarnations of a name are remembered. An upstream may restart
// every second, and its entries may arrive some seconds late.
const maxEndedStarts = 8

// restartSeparator stands in an id between the name and the count of restarts detected by this
// daemon.
const restartSeparator = "~"

// isRestart reports whether a newer entry belongs to another incarnation than an older one. The
// write count may rise without a new revision, so a lower count is a restart only with a later
// revision.
func isRestart(old, newer *spanrill.EngineEntry) bool {
	if fromOlderCopy(old, newer) {
		return false
	}
	if old.StartedAt > 0 && newer.StartedAt > 0 {
		return old.StartedAt != newer.StartedAt
	}
	return newer.Revision > old.Revision && newer.WriteCount > 0 && newer.WriteCount < old.WriteCount
}

// incarnationID returns the id of an incarnation. With a start time all daemons use the same id;
// otherwise the id contains the number of restarts detected by this daemon.
func incarnationID(e *spanrill.EngineEntry, restarts int) string {
	switch {
	case e.StartedAt > 0:
		return e.ID + "/" + strconv.FormatInt(e.StartedAt, 36)
	case restarts > 0:
		return e.ID + restartSeparator + strconv.Itoa(restarts)
	}
	return e.ID
}

// pastStarts records earlier starts of the upstreams of one name.
type pastStarts struct {
	restarts     int     // number of detected restarts
	endedStarts  []int64 // start times of ended incarnations
	removedStart int64   // start time of the incarnation whose entry was removed and may come back, or 0
}

// maxRememberedNames is the maximum number of names with remembered starts or notices.
const maxRememberedNames = 4096

// pastStartsOf returns the earlier starts of a name, which the caller may modify, and adds an empty
// record if there is none. The caller holds the lock.
func (t *Table) pastStartsOf(name string) *pastStarts {
	if p := t.pastStarts[name]; p != nil {
		return p
	}
	if len(t.pastStarts) >= maxRememberedNames {
		clear(t.pastStarts)
	}
	p := &pastStarts{}
	t.pastStarts[name] = p
	return p
}

// addEnded records the start time of an ended incarnation, unless it is unknown (0).
func (p *pastStarts) addEnded(startedAt int64) {
	if startedAt > 0 {
		p.endedStarts = append(p.endedStarts, startedAt)
		p.endedStarts = p.endedStarts[max(0, len(p.endedStarts)-maxEndedStarts):]
	}
}

// hasEnded reports whether an entry with this name and start time belongs to an ended incarnation.
// The caller holds the lock.
func (t *Table) hasEnded(name string, startedAt int64) bool {
	p := t.pastStarts[name]
	return startedAt > 0 && p != nil && slices.Contains(p.endedStarts, startedAt)
}

// endPrevious marks removed incarnations of an entry's name as ended if the entry belongs to a
// different one. The caller holds the lock.
func (t *Table) endPrevious(entry spanrill.EngineEntry) {
	if p := t.pastStarts[entry.ID]; p != nil {
		if p.removedStart > 0 && entry.StartedAt > 0 && p.removedStart != entry.StartedAt {
			p.addEnded(p.removedStart)
			t.restarts.Add(1)
		}
		p.removedStart = 0
	}
	for id, r := range t.recentlyRemoved {
		if old := r.upstream.Entry(); old.ID == entry.ID && isRestart(old, &entry) {
			r.upstream.markReplaced()
			delete(t.recentlyRemoved, id)
			t.restartedAddrs = append(t.restartedAddrs, old.Addr)
		}
	}
}

// restart ends an incarnation and replaces it by the next one. The caller holds the lock.
func (t *Table) restart(u *Upstream, entry spanrill.EngineEntry, reason string) {
	old := u.Entry()
	p := t.pastStartsOf(entry.ID)
	p.addEnded(old.StartedAt)
	p.restarts++
	u.markReplaced()
	next := t.newUpstream(entry, p.restarts)
	next.addrSince, next.notices = u.addrSince, u.notices.afterRestart()
	t.rememberNotices(next)
	next.addToActive() // its rest carries over
	next.discoveredAt, next.restartedAt = t.clock.Now(), t.clock.Now()
	t.clearAddr(u)
	t.byName[entry.ID] = next
	t.setAddr(next)
	t.restartedAddrs = append(t.restartedAddrs, old.Addr)
	t.restarts.Add(1)
	events.UpstreamRestarted.Log(t.log, logrus.Fields{
		"upstream": next.ID(), "before": u.ID(), "why": reason, "held": old.Layers, "revision": entry.Revision,
		"born": entry.StartedAt, "born_before": old.StartedAt,
	})
}

// notifyRestarts calls onRestart for the addresses at which another process listens now, so that
// connections are closed and requests check their paths. The caller doesn't hold the lock.
func (t *Table) notifyRestarts() {
	t.mu.Lock()
	addrs := t.restartedAddrs
	t.restartedAddrs = nil
	t.mu.Unlock()
	for _, addr := range addrs {
		t.onRestart(addr)
	}
}

// Restarts returns the number of detected restarts of upstreams under the same name.
func (t *Table) Restarts() uint64 { return t.restarts.Load() }

// HandleReport replaces the upstream at an address by its next incarnation if a report shows that
// it has restarted. A report may show that before the entry in the store does. sentAt is when the
// report was requested.
func (t *Table) HandleReport(addr string, r *spanrill.EngineReport, sentAt spanrill.Millis) {
	u := t.View().ByAddr(addr)
	if u == nil {
		return
	}
	reason := u.restartReason(r, sentAt, t.clock.Now())
	if reason == "" {
		return
	}
	defer t.notifyRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := *u.Entry()
	if t.byName[entry.ID] != u || t.hasEnded(entry.ID, r.StartedAt) {
		return
	}
	entry.StartedAt, entry.WriteCount, entry.Layers = r.StartedAt, 0, spanrill.LayerRange{}
	t.restart(u, entry, reason)
	t.publishView()
}

// restartReason returns why a report belongs to another incarnation, or "" if it doesn't.
func (u *Upstream) restartReason(r *spanrill.EngineReport, sentAt, now spanrill.Millis) string {
	if startedAt := u.Entry().StartedAt; startedAt > 0 && r.StartedAt > 0 {
		if startedAt != r.StartedAt {
			return "its report has another start time"
		}
		return ""
	}
	u.orders.mu.Lock()
	defer u.orders.mu.Unlock()
	if r.Sequence < u.orders.count && sentAt > u.orders.receivedAt {
		return "its report counts fewer orders"
	}
	if r.Sequence >= u.orders.count {
		u.orders.count, u.orders.receivedAt = r.Sequence, now
	}
	return ""
}
