package fleet

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// Listed replaces all entries by a list of the whole collection as it stood at a revision. The read
// was sent at the time given.
func (t *Table) Listed(items []spanrill.Item, at uint64, sent spanrill.Millis) {
	update := Update{Entries: make([]spanrill.EngineEntry, 0, len(items)), Revision: at, LastChange: at}
	for _, item := range items {
		if entry, ok := t.decodeItem(item); ok {
			update.Entries = append(update.Entries, entry)
		} else {
			update.Unreadable = append(update.Unreadable, item.Name)
		}
	}
	if known := t.Revision(); !t.Merge(update, sent) {
		events.ListOutdated.Log(t.log, logrus.Fields{"collection": "upstreams", "revision": at, "known": known})
	}
}

// Update holds all entries as they stood at a revision of the store, or the changes since an
// earlier revision.
type Update struct {
	Entries    []spanrill.EngineEntry
	Revision   uint64 // revision of the store
	LastChange uint64 // revision up to which there were changes, at most the revision of the update
	// Unreadable lists the names of entries that cannot be decoded.
	Unreadable []string
	// Since is the revision since which the update holds the changes, or 0 if it holds all entries.
	Since uint64
	// Removed lists the names of the entries that were removed since that revision.
	Removed []string
}

// Merge applies an update from the store or from a peer unless it is older than the table or starts
// at a revision that the table has not reached, and reports whether it was applied. The read
// that confirmed the entries was sent at the time given.
func (t *Table) Merge(update Update, sent spanrill.Millis) bool {
	defer t.notifyRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	if update.Revision < t.revision || update.Since > t.revision {
		return false
	}
	if update.Since > 0 {
		t.mergeChanges(update, sent)
		return true
	}
	t.noteRestore(update.Revision)
	present, lastConfirmed := make(map[string]bool, len(update.Entries)), t.confirmedAt
	t.confirm(sent)
	for _, entry := range update.Entries {
		present[entry.ID] = true
		t.applyEntry(entry)
	}
	for _, id := range update.Unreadable {
		t.setUnreadable(id)
		present[id] = true
	}
	for id := range t.byName {
		if !present[id] {
			t.entryGone(id, lastConfirmed, sent)
		}
	}
	if update.Revision > t.revision {
		t.removals.reset(update.Revision) // removals in between may be missing
	}
	maps.DeleteFunc(t.restored.quarantined, func(id string, _ spanrill.EngineEntry) bool { return !present[id] })
	maps.DeleteFunc(t.conflicts, func(id string, _ *conflictingEntry) bool { return !present[id] })
	maps.DeleteFunc(t.unreadableNames, func(id string, _ bool) bool { return !present[id] })
	t.admitResolved()
	t.revision, t.lastChange = update.Revision, max(t.lastChange, update.LastChange)
	t.publishView()
	t.readyOnce.Do(func() { close(t.ready) })
	return true
}

// mergeChanges applies the changes since a revision that the table has reached. The caller holds
// the lock.
func (t *Table) mergeChanges(update Update, sent spanrill.Millis) {
	lastConfirmed := t.confirmedAt
	t.confirm(sent)
	for _, entry := range update.Entries {
		t.applyEntry(entry)
	}
	for _, id := range update.Unreadable {
		t.setUnreadable(id)
	}
	for _, id := range update.Removed {
		t.entryGone(id, lastConfirmed, sent)
		t.removals.add(id, update.Revision)
	}
	t.admitResolved()
	t.revision, t.lastChange = update.Revision, max(t.lastChange, update.LastChange)
	t.publishView()
}

// UpdateSince returns the changes since a revision of the store, or all entries if those changes
// are not known.
func (t *Table) UpdateSince(after uint64) Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	update := t.fullUpdate()
	removed, ok := t.removals.since(after)
	if !ok || after == 0 || after > t.revision {
		return update
	}
	update.Since, update.Removed = after, removed
	update.Entries = slices.DeleteFunc(update.Entries, func(e spanrill.EngineEntry) bool { return e.Revision <= after })
	return update
}

// FullUpdate returns all entries for a peer. Held entries are left out: the store no longer has
// them, and a peer that noticed no outage must not keep them.
func (t *Table) FullUpdate() Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fullUpdate()
}

// fullUpdate is FullUpdate for a caller that holds the lock.
func (t *Table) fullUpdate() Update {
	update := Update{Revision: t.revision, LastChange: t.lastChange, Unreadable: slices.Collect(maps.Keys(t.unreadableNames))}
	for _, c := range t.conflicts {
		update.Entries = append(update.Entries, c.entry)
	}
	for id, u := range t.byName {
		if _, held := t.held[id]; !held {
			update.Entries = append(update.Entries, *u.Entry())
		}
	}
	return update
}

// Revision returns the revision of the store up to which all entries are known.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Freshness returns the revision of the store up to which all entries are known, the revision of
// the last change, and the time since the entries were last confirmed.
func (t *Table) Freshness() (at, change uint64, age spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision, t.lastChange, t.clock.Now() - t.confirmedAt
}

// ConfirmUnchanged records that the last change up to revision at was the one at revision change. It
// returns false if that change is not known here.
func (t *Table) ConfirmUnchanged(at, change uint64, sent spanrill.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change > t.revision {
		return false
	}
	t.revision = max(t.revision, at)
	t.confirm(sent)
	return true
}

// Changed applies the changes up to a revision, which may be none. The read was sent at the time
// given.
func (t *Table) Changed(changes []spanrill.Change, at uint64, sent spanrill.Millis) {
	defer t.notifyRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	if at < t.revision {
		return
	}
	lastConfirmed, remaining := t.confirmedAt, remainingNames(changes)
	t.confirm(sent)
	for _, c := range changes {
		switch {
		case c.Deleted && !remaining[c.Name]:
			t.entryGone(c.Name, lastConfirmed, sent)
			t.removals.add(c.Name, at)
		case c.Deleted || c.Revision <= t.revision: // the entry exists again, or the change is known from a peer
		default:
			if entry, ok := t.decodeItem(c.Item); ok {
				t.applyEntry(entry)
			} else {
				t.setUnreadable(c.Name)
			}
		}
	}
	admitted := t.admitResolved()
	t.revision = at
	if len(changes) > 0 {
		t.lastChange = at
	}
	if admitted || len(changes) > 0 {
		t.publishView()
	}
}

// remainingNames returns, for each changed item, whether it exists after the changes.
func remainingNames(changes []spanrill.Change) map[string]bool {
	names := map[string]bool{}
	for _, c := range changes {
		names[c.Name] = !c.Deleted
	}
	return names
}

// decodeItem decodes an item, and logs it if it cannot be decoded.
func (t *Table) decodeItem(item spanrill.Item) (spanrill.EngineEntry, bool) {
	entry, err := t.decode(item)
	if err != nil {
		t.logUnreadable(item, err)
	}
	return entry, err == nil
}
