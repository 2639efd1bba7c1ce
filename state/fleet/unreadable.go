package fleet

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// An entry that cannot be read, or that says what no upstream says of itself, names no
// upstream to use from that moment on, in a list as in a change. What runs on an upstream
// whose entry turns so goes on as on one that has left without a word.

// unreadable is what was said of entries that cannot be read.
type unreadable struct {
	mu     sync.Mutex
	logged map[string]uint64 // by name, the revision of which a line was written
	count  atomic.Uint64     // entries found unreadable, by name and revision
}

// unreadableKept bounds the names that are remembered, so that no line is written twice.
const unreadableKept = 1024

// noteUnreadable logs an entry that cannot be read, once for each revision.
func (t *Table) noteUnreadable(item spanrill.Item, err error) {
	u := &t.unread
	u.mu.Lock()
	defer u.mu.Unlock()
	if at, ok := u.logged[item.Name]; ok && at == item.Revision {
		return
	}
	if u.logged == nil || len(u.logged) >= unreadableKept {
		u.logged = map[string]uint64{}
	}
	u.logged[item.Name] = item.Revision
	u.count.Add(1)
	events.UpstreamBadItem.Log(t.log, logrus.Fields{"upstream": item.Name, "revision": item.Revision, "bytes": len(item.Value), "error": err})
}

// setUnreadable takes an upstream out whose entry cannot be read. The caller holds the
// lock.
func (t *Table) setUnreadable(name string) {
	t.bad[name] = true
	t.ends.undo(name)
	delete(t.claims, name)
	if t.all[name] != nil {
		t.remove(name, "its entry cannot be read")
	}
}

// Unreadable returns how many entries stand in the store that cannot be read, and how many
// were found in all.
func (t *Table) Unreadable() (now int, all uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.bad), t.unread.count.Load()
}
