package fleet

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// An upstream whose entry cannot be decoded or has invalid contents is not used from then on, no
// matter whether the entry was in a list or in a change. Its running requests continue, as on an
// upstream that has left without notice.

// unreadableLog tracks which unreadable entries were logged.
type unreadableLog struct {
	mu        sync.Mutex
	revisions map[string]uint64 // by name, the last logged revision
	count     atomic.Uint64     // logged entries, counted once per name and revision
}

// maxLoggedNames is the maximum number of names whose logged revisions are remembered. When it
// is reached, the next entry to log clears them all.
const maxLoggedNames = 1024

// logUnreadable logs an entry that cannot be decoded, once for each revision.
func (t *Table) logUnreadable(item spanrill.Item, err error) {
	logged := &t.unreadableLog
	logged.mu.Lock()
	defer logged.mu.Unlock()
	if revision, ok := logged.revisions[item.Name]; ok && revision == item.Revision {
		return
	}
	if logged.revisions == nil || len(logged.revisions) >= maxLoggedNames {
		logged.revisions = map[string]uint64{}
	}
	logged.revisions[item.Name] = item.Revision
	logged.count.Add(1)
	events.UpstreamEntryUnreadable.Log(t.log, logrus.Fields{"upstream": item.Name, "revision": item.Revision, "bytes": len(item.Value), "error": err})
}

// setUnreadable records that an entry cannot be decoded, and removes its upstream. The caller holds
// the lock.
func (t *Table) setUnreadable(name string) {
	t.unreadableNames[name] = true
	t.removals.cancel(name)
	delete(t.conflicts, name)
	if t.byName[name] != nil {
		t.remove(name, "its entry cannot be read")
	}
}

// Unreadable returns how many entries in the store currently cannot be decoded, and how many
// unreadable entries were logged in total, counted once per revision.
func (t *Table) Unreadable() (current int, total uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.unreadableNames), t.unreadableLog.count.Load()
}
