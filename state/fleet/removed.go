package fleet

import (
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

const (
	// drainHoldMargin is subtracted from the drain time to get the hold time of an entry that may have
	// expired. It covers the longest dial of 350 ms and the transfer of the request.
	// Users report that such entries are back about 2 s after the store's return, and 2 s is also
	// the shortest drain time, so the margin cannot be larger.
	drainHoldMargin spanrill.Millis = 370
	// unavailableMargin is subtracted from the drain time to get the time without an answer of the
	// store to any daemon after which entries may have expired.
	unavailableMargin spanrill.Millis = 300
)

// defaultDrainTime is how long after the removal of its entry an upstream may receive requests
// unless WithDrain is used: the shortest drain time of the users' deployments.
const defaultDrainTime = 2 * spanrill.Second

// serveAfterRemoval is how long after the removal of its entry an upstream is expected to serve
// its running requests. Users report 2 to 3 s and sometimes much more, but a longer wait would
// delay repairs.
const serveAfterRemoval = 4 * spanrill.Second

// storeFailureMemory is how long after the last failed call to the store a removed entry may merely
// have expired: three missed heartbeats of 1.2 s.
const storeFailureMemory spanrill.Millis = 3600

// removeOrHold removes an upstream whose entry is no longer in the store, or holds the entry if it
// may merely have expired. lastConfirmed is when the entry was last confirmed, and sentAt is when
// the read that no longer has it was sent. The caller holds the lock.
func (t *Table) removeOrHold(name string, lastConfirmed, sentAt spanrill.Millis) {
	delete(t.unreadableNames, name)
	delete(t.conflicts, name)
	delete(t.restored.quarantined, name)
	if t.byName[name] == nil {
		return
	}
	if _, isHeld := t.held[name]; isHeld {
		return
	}
	sinceFailure := t.clock.Now() - spanrill.Millis(t.lastStoreFailure.Load())
	if sinceFailure >= storeFailureMemory || t.byName[name].Leaving() {
		t.remove(name, "entry gone")
		return
	}
	h := heldEntry{lastConfirmed: lastConfirmed, heldSince: lastConfirmed}
	if t.storeAvailable.from > lastConfirmed {
		h.heldSince = sentAt // no daemon had an answer for a while: the entry may have expired
	}
	t.holdEntry(name, h)
	events.UpstreamEntryKept.Log(t.log, logrus.Fields{"upstream": name, "ms_since_outage": sinceFailure, "proof_age_ms": t.clock.Now() - lastConfirmed})
}

// removedUpstream is an upstream whose entry was removed.
type removedUpstream struct {
	upstream  *Upstream
	removedAt spanrill.Millis
}

// RecentlyRemoved returns the upstreams whose entries were removed recently. Unless they have
// crashed, they still serve their running requests.
func (t *Table) RecentlyRemoved() []*Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var removed []*Upstream
	for id, r := range t.recentlyRemoved {
		if t.clock.Now()-r.removedAt >= serveAfterRemoval {
			delete(t.recentlyRemoved, id)
			continue
		}
		removed = append(removed, r.upstream)
	}
	return removed
}

// remove removes the upstream with a name from the table. The caller holds the lock.
func (t *Table) remove(name, reason string) {
	u := t.byName[name]
	u.removed.Store(true)
	if startedAt := u.Entry().StartedAt; startedAt > 0 {
		t.pastStartsOf(name).removedStart = startedAt
	}
	t.recentlyRemoved[u.ID()] = removedUpstream{upstream: u, removedAt: t.clock.Now()}
	delete(t.byName, name)
	t.recordRemoval(name)
	t.clearAddr(u)
	delete(t.held, name)
	t.logLimits.removed.Log(events.UpstreamRemoved, t.log, func() logrus.Fields {
		return logrus.Fields{"upstream": u.ID(), "why": reason}
	})
}

// Maintain removes upstreams whose entries were held for the full time, and adds those of
// quarantined and conflicting entries that may now be used. It must be called regularly.
func (t *Table) Maintain() {
	defer t.notifyRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	now, removed := t.clock.Now(), false
	for name, h := range t.held {
		if now-h.heldSince >= t.holdDuration {
			t.remove(name, "entry did not come back")
			removed = true
		}
	}
	if t.releaseQuarantined() || t.admitResolved() || removed {
		t.publishView()
	}
}
