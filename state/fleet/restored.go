package fleet

import (
	"maps"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// A store restored from an older copy lists entries as of that copy: a leaving upstream may be
// listed as ready, a removed entry may be listed again, and a newer upstream may be missing until
// it writes its entry again. A leaving state known before the restore is therefore retained, and a
// removed entry that reappears is quarantined until the platform would have removed it for missed
// heartbeats.

const (
	// quarantineTime is how long after a restore a removed entry that reappears is not used: longer
	// than the three heartbeats of 1.2 s after which the platform removes an entry.
	quarantineTime = 6 * spanrill.Second
	// removalRetention is how long a removal is remembered: longer than the age of any copy from which
	// the store is restored.
	removalRetention = 120 * spanrill.Second
	// maxRememberedRemovals is the maximum number of remembered removals.
	maxRememberedRemovals = 4096
)

// restoreState tracks restores of the store from an older copy.
type restoreState struct {
	detectedAt  spanrill.Millis                 // when the last restore was detected, or 0
	removed     map[string]spanrill.Millis      // by name, when the entry was removed
	quarantined map[string]spanrill.EngineEntry // by name, removed entries that reappeared
}

func newRestoreState() restoreState {
	return restoreState{removed: map[string]spanrill.Millis{}, quarantined: map[string]spanrill.EngineEntry{}}
}

// detectRestore records a restore of the store if a revision belongs to a later era than that of the
// table. Upstreams that were leaving before the restore stay so. The caller holds the lock.
func (t *Table) detectRestore(revision uint64) {
	if spanrill.EraOf(t.revision) == 0 || spanrill.EraOf(revision) <= spanrill.EraOf(t.revision) {
		return
	}
	t.restored.detectedAt = t.clock.Now()
	t.lastStoreFailure.Store(int64(t.restored.detectedAt)) // entries missing from the copy may be written again
	clear(t.restored.quarantined)
	for _, u := range t.byName {
		if u.Entry().Leaving && !u.notices.leaving.Load() {
			t.rememberNotices(u)
			u.notices.leaving.Store(true)
		}
	}
}

// fromOlderCopy reports whether an entry read in a later era was written before the known one. An
// upstream's write count and start time do not go back when the store is restored.
func fromOlderCopy(known, entry *spanrill.EngineEntry) bool {
	if spanrill.EraOf(entry.Revision) <= spanrill.EraOf(known.Revision) {
		return false
	}
	if known.StartedAt > 0 && entry.StartedAt > 0 && known.StartedAt != entry.StartedAt {
		return entry.StartedAt < known.StartedAt
	}
	return entry.WriteCount > 0 && entry.WriteCount < known.WriteCount
}

// recordRemoval records when an entry was removed, so that quarantine recognizes it after a restore.
// The caller holds the lock.
func (t *Table) recordRemoval(name string) {
	now := t.clock.Now()
	if len(t.restored.removed) >= maxRememberedRemovals {
		maps.DeleteFunc(t.restored.removed, func(_ string, at spanrill.Millis) bool { return now-at > removalRetention })
	}
	if len(t.restored.removed) < maxRememberedRemovals {
		t.restored.removed[name] = now
	}
}

// quarantine reports whether an entry of an unknown upstream was removed before the store was
// restored, and stores it for releaseQuarantined if so. An entry that is written again is not
// quarantined. The caller holds the lock.
func (t *Table) quarantine(entry spanrill.EngineEntry) bool {
	r := &t.restored
	now := t.clock.Now()
	removedAt, wasRemoved := r.removed[entry.ID]
	if !wasRemoved || r.detectedAt == 0 || removedAt > r.detectedAt || now-removedAt > removalRetention || now-r.detectedAt >= quarantineTime {
		delete(r.quarantined, entry.ID)
		return false
	}
	if before, known := r.quarantined[entry.ID]; known && entry.Revision > before.Revision {
		delete(r.quarantined, entry.ID)
		delete(r.removed, entry.ID)
		return false
	}
	if _, known := r.quarantined[entry.ID]; !known {
		events.EntryQuarantined.Log(t.log, logrus.Fields{"upstream": entry.ID, "revision": entry.Revision, "gone_ms": now - removedAt})
	}
	r.quarantined[entry.ID] = entry
	return true
}

// releaseQuarantined puts quarantined entries into the table after quarantineTime, and reports
// whether there were any. The caller holds the lock.
func (t *Table) releaseQuarantined() bool {
	r := &t.restored
	if len(r.quarantined) == 0 || t.clock.Now()-r.detectedAt < quarantineTime {
		return false
	}
	entries := r.quarantined
	r.quarantined = map[string]spanrill.EngineEntry{}
	for _, entry := range entries {
		t.applyEntry(entry)
	}
	return true
}
