package fleet

import (
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// conflictingEntry is an entry with the address of another known upstream that is not dead. Either
// another process listens there now, or the entry is wrong: the store may have applied a write of a
// dead process late, or another writer wrote it. The entries don't show which is the case, so the
// process at the address is asked for its name, and nothing changes until it has answered.
//
// The newest entry is not simply used, since it may be the late write of a dead engine after a
// network partition. It would replace an engine that has just started, which would count as removed
// until its own entry changes again: 1.6 s later in one trace.
type conflictingEntry struct {
	entry    spanrill.EngineEntry
	rejected bool // the address has answered with another name
}

// AddressConflict is an address that more than one entry has.
type AddressConflict struct {
	Addr    string
	Service string // of the conflicting entry
	Name    string // of the conflicting entry
}

// AddressConflicts returns the unresolved conflicts.
func (t *Table) AddressConflicts() []AddressConflict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unresolved []AddressConflict
	for name, c := range t.conflicts {
		if !c.rejected {
			unresolved = append(unresolved, AddressConflict{Addr: c.entry.Addr, Service: c.entry.Service, Name: name})
		}
	}
	return unresolved
}

// ResolveAddress resolves the conflicts at an address whose process has answered with its name: the
// conflicting entry of that name replaces the upstream at the address, and all others are rejected.
func (t *Table) ResolveAddress(addr, answeredName string) {
	defer t.notifyRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	for entryName, c := range t.conflicts {
		if c.entry.Addr != addr || c.rejected {
			continue
		}
		c.rejected = entryName != answeredName
		events.AddressConflictChecked.Log(t.log, logrus.Fields{"upstream": entryName, "addr": addr, "answered": answeredName, "taken": !c.rejected})
		if !c.rejected {
			t.admitConflicting(entryName)
			t.publishView()
		}
	}
}

// admitConflicting adds the upstream of a conflicting entry, which replaces the upstream that had
// its address. The caller holds the lock.
func (t *Table) admitConflicting(name string) {
	entry := t.conflicts[name].entry
	delete(t.conflicts, name)
	t.addUpstream(entry)
}

// checkConflict reports whether an entry has the address of another upstream that is in use. If so,
// it records the conflict, otherwise it drops a conflict recorded earlier. The caller holds the lock.
func (t *Table) checkConflict(entry spanrill.EngineEntry) bool {
	if t.addrHolder(entry) == nil {
		delete(t.conflicts, entry.ID)
		return false
	}
	c := t.conflicts[entry.ID]
	if c == nil || c.entry.Addr != entry.Addr {
		c = &conflictingEntry{}
		t.conflicts[entry.ID] = c
	}
	if c.entry.Revision <= entry.Revision {
		c.entry = entry
	}
	return true
}

// addrHolder returns the other upstream that uses the address of an entry, or nil. An upstream that is
// dead or whose entry is held does not count. The caller holds the lock.
func (t *Table) addrHolder(entry spanrill.EngineEntry) *Upstream {
	u := t.byAddr[entry.Addr]
	if u == nil || u.Name() == entry.ID || u.Dead() {
		return nil
	}
	if _, isHeld := t.held[u.Name()]; isHeld {
		return nil
	}
	return u
}

// admitResolved adds the upstreams of conflicting entries whose address has become free, and reports
// whether there were any. The caller holds the lock.
func (t *Table) admitResolved() bool {
	admitted := false
	for name, c := range t.conflicts {
		if t.addrHolder(c.entry) == nil {
			t.admitConflicting(name)
			admitted = true
		}
	}
	return admitted
}
