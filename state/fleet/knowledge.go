package fleet

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// Listed takes the whole collection.
func (t *Table) Listed(items []spanrill.Item, at uint64, sent spanrill.Millis) {
	k := Knowledge{Entries: make([]spanrill.EngineEntry, 0, len(items)), At: at, Change: at}
	for _, item := range items {
		if entry, ok := t.read(item); ok {
			k.Entries = append(k.Entries, entry)
		} else {
			k.Unreadable = append(k.Unreadable, item.Name)
		}
	}
	if known := t.At(); !t.Merge(k, sent) {
		events.ListOutdated.Log(t.log, logrus.Fields{"collection": "upstreams", "revision": at, "known": known})
	}
}

// Knowledge is all entries as they stood at a revision of the store, or what has changed of
// them behind an earlier one.
type Knowledge struct {
	Entries []spanrill.EngineEntry
	At      uint64
	Change  uint64 // revision up to which there were changes, at most At
	// Unreadable are the names of entries that name no upstream to use.
	Unreadable []string
	// After is the revision behind which these are the changes, or 0 for all entries.
	After uint64
	// Gone are the names of the entries that have gone behind After.
	Gone []string
}

// Merge takes what the store or a peer knows, if it is newer than what is known
// here, and reports whether it was.
func (t *Table) Merge(k Knowledge, sent spanrill.Millis) bool {
	defer t.tellRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.At < t.at || k.After > t.at {
		return false
	}
	if k.After > 0 {
		t.mergeChanges(k, sent)
		return true
	}
	t.noteRestore(k.At)
	there, before := make(map[string]bool, len(k.Entries)), t.proved
	t.prove(sent)
	for _, entry := range k.Entries {
		there[entry.ID] = true
		t.put(entry)
	}
	for _, id := range k.Unreadable {
		t.setUnreadable(id)
		there[id] = true
	}
	for id := range t.all {
		if !there[id] {
			t.gone(id, before, sent)
		}
	}
	if k.At > t.at {
		t.ends.restart(k.At) // what came and went meanwhile is not known
	}
	maps.DeleteFunc(t.restored.quarantined, func(id string, _ spanrill.EngineEntry) bool { return !there[id] })
	maps.DeleteFunc(t.claims, func(id string, _ *claim) bool { return !there[id] })
	maps.DeleteFunc(t.bad, func(id string, _ bool) bool { return !there[id] })
	t.admitFree()
	t.at, t.change = k.At, max(t.change, k.Change)
	t.publish()
	t.once.Do(func() { close(t.seen) })
	return true
}

// mergeChanges takes what has changed behind a revision up to which all is known here. The
// caller holds the lock.
func (t *Table) mergeChanges(k Knowledge, sent spanrill.Millis) {
	before := t.proved
	t.prove(sent)
	for _, entry := range k.Entries {
		t.put(entry)
	}
	for _, id := range k.Unreadable {
		t.setUnreadable(id)
	}
	for _, id := range k.Gone {
		t.gone(id, before, sent)
		t.ends.note(id, k.At)
	}
	t.admitFree()
	t.at, t.change = k.At, max(t.change, k.Change)
	t.publish()
}

// KnowledgeAfter returns what has changed behind a revision of the store, or all entries if
// that is not known.
func (t *Table) KnowledgeAfter(after uint64) Knowledge {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.knowledge()
	gone, ok := t.ends.after(after)
	if !ok || after == 0 || after > t.at {
		return k
	}
	k.After, k.Gone = after, gone
	k.Entries = slices.DeleteFunc(k.Entries, func(e spanrill.EngineEntry) bool { return e.Revision <= after })
	return k
}

// Knowledge returns all entries, for a peer. Those that are held are not among
// them: the store no longer has them, and a peer that has seen no outage must not
// keep them.
func (t *Table) Knowledge() Knowledge {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.knowledge()
}

// knowledge is Knowledge for a caller that holds the lock.
func (t *Table) knowledge() Knowledge {
	k := Knowledge{At: t.at, Change: t.change, Unreadable: slices.Collect(maps.Keys(t.bad))}
	for _, c := range t.claims {
		k.Entries = append(k.Entries, c.entry)
	}
	for id, u := range t.all {
		if _, held := t.held[id]; !held {
			k.Entries = append(k.Entries, *u.Entry())
		}
	}
	return k
}

// At returns the revision of the store up to which everything is known.
func (t *Table) At() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at
}

// Proof returns up to which revision of the store everything is known, the
// revision of the last change, and how old that knowledge is.
func (t *Table) Proof() (at, change uint64, age spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at, t.change, t.clock.Now() - t.proved
}

// Prove notes that up to a revision there was no change behind the one given.
// It returns false if that change is not known here.
func (t *Table) Prove(at, change uint64, sent spanrill.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change > t.at {
		return false
	}
	t.at = max(t.at, at)
	t.prove(sent)
	return true
}

// Changed takes the changes up to a revision.
func (t *Table) Changed(changes []spanrill.Change, at uint64, sent spanrill.Millis) {
	defer t.tellRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	if at < t.at {
		return
	}
	before, stays := t.proved, stay(changes)
	t.prove(sent)
	for _, c := range changes {
		switch {
		case c.Gone && !stays[c.Name]:
			t.gone(c.Name, before, sent)
			t.ends.note(c.Name, at)
		case c.Gone || c.Revision <= t.at: // there again, or known from a peer
		default:
			if entry, ok := t.read(c.Item); ok {
				t.put(entry)
			} else {
				t.setUnreadable(c.Name)
			}
		}
	}
	admitted := t.admitFree()
	t.at = at
	if len(changes) > 0 {
		t.change = at
	}
	if admitted || len(changes) > 0 {
		t.publish()
	}
}

// stay returns the names of the items that are there after the changes.
func stay(changes []spanrill.Change) map[string]bool {
	names := map[string]bool{}
	for _, c := range changes {
		names[c.Name] = !c.Gone
	}
	return names
}

func (t *Table) read(item spanrill.Item) (spanrill.EngineEntry, bool) {
	entry, err := t.decode(item)
	if err != nil {
		t.noteUnreadable(item, err)
	}
	return entry, err == nil
}
