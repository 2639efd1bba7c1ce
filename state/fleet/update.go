package fleet

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// HandleList replaces all entries by a list of the whole collection as it stood at a revision.
// sentAt is when the read was sent.
func (t *Table) HandleList(items []spanrill.Item, revision uint64, sentAt spanrill.Millis) {
	update := Update{Entries: make([]spanrill.EngineEntry, 0, len(items)), Revision: revision, LastChange: revision}
	for _, item := range items {
		if entry, ok := t.decodeItem(item); ok {
			update.Entries = append(update.Entries, entry)
		} else {
			update.Unreadable = append(update.Unreadable, item.Name)
		}
	}
	if known := t.Revision(); !t.Merge(update, sentAt) {
		events.ListOutdated.Log(t.log, logrus.Fields{"collection": "upstreams", "revision": revision, "known": known})
	}
}

// Update holds all entries as they stood at a revision of the store, or the changes since an
// earlier revision.
type Update struct {
	Entries    []spanrill.EngineEntry
	Revision   uint64 // revision of the store
	LastChange uint64 // nothing changed after this revision, up to Revision
	// Unreadable lists the names of entries that cannot be decoded.
	Unreadable []string
	// Since is the revision since which the update holds the changes, or 0 if it holds all entries.
	Since uint64
	// Removed lists the names of the entries that were removed since that revision.
	Removed []string
}

// Merge applies an update from the store or from a peer unless it is older than the table or starts
// at a revision that the table has not reached, and reports whether it was applied. sentAt is when
// the read that confirmed the entries was sent.
func (t *Table) Merge(update Update, sentAt spanrill.Millis) bool {
	defer t.notifyRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	if update.Revision < t.revision || update.Since > t.revision {
		return false
	}
	if update.Since > 0 {
		t.mergeChanges(update, sentAt)
		return true
	}
	t.detectRestore(update.Revision)
	present, lastConfirmed := make(map[string]bool, len(update.Entries)), t.confirmedAt
	t.confirm(sentAt)
	for _, entry := range update.Entries {
		present[entry.ID] = true
		t.applyEntry(entry)
	}
	for _, name := range update.Unreadable {
		t.setUnreadable(name)
		present[name] = true
	}
	for name := range t.byName {
		if !present[name] {
			t.removeOrHold(name, lastConfirmed, sentAt)
		}
	}
	if update.Revision > t.revision {
		t.removals.reset(update.Revision) // removals in between may be missing
	}
	maps.DeleteFunc(t.restored.quarantined, func(name string, _ spanrill.EngineEntry) bool { return !present[name] })
	maps.DeleteFunc(t.conflicts, func(name string, _ *conflictingEntry) bool { return !present[name] })
	maps.DeleteFunc(t.unreadableNames, func(name string, _ bool) bool { return !present[name] })
	t.admitResolved()
	t.revision, t.lastChange = update.Revision, max(t.lastChange, update.LastChange)
	t.publishView()
	t.readyOnce.Do(func() { close(t.ready) })
	return true
}

// mergeChanges applies the changes since a revision that the table has reached. The caller holds
// the lock.
func (t *Table) mergeChanges(update Update, sentAt spanrill.Millis) {
	lastConfirmed := t.confirmedAt
	t.confirm(sentAt)
	for _, entry := range update.Entries {
		t.applyEntry(entry)
	}
	for _, name := range update.Unreadable {
		t.setUnreadable(name)
	}
	for _, name := range update.Removed {
		t.removeOrHold(name, lastConfirmed, sentAt)
		t.removals.add(name, update.Revision)
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
	for name, u := range t.byName {
		if _, held := t.held[name]; !held {
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

// Freshness returns the revision of the store up to which all entries are known, a revision at or
// before it after which nothing changed, and the time since the entries were last confirmed. Before the first confirmation that
// time exceeds every bound.
func (t *Table) Freshness() (revision, lastChange uint64, age spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision, t.lastChange, t.clock.Now() - t.confirmedAt
}

// ConfirmUnchanged records that nothing in the store changed after lastChange, up to revision. It
// reports whether the table has reached lastChange; if not, nothing is recorded. sentAt is when the
// read that confirmed this was sent.
func (t *Table) ConfirmUnchanged(revision, lastChange uint64, sentAt spanrill.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if lastChange > t.revision {
		return false
	}
	t.revision = max(t.revision, revision)
	t.confirm(sentAt)
	return true
}

// HandleChanges applies the changes up to a revision, of which there may be none. sentAt is when
// the read was sent.
func (t *Table) HandleChanges(changes []spanrill.Change, revision uint64, sentAt spanrill.Millis) {
	defer t.notifyRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision < t.revision {
		return
	}
	lastConfirmed, remaining := t.confirmedAt, remainingNames(changes)
	t.confirm(sentAt)
	for _, c := range changes {
		switch {
		case c.Deleted && !remaining[c.Name]:
			t.removeOrHold(c.Name, lastConfirmed, sentAt)
			t.removals.add(c.Name, revision)
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
	t.revision = revision
	if len(changes) > 0 {
		t.lastChange = revision
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
