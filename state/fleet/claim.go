package fleet

import (
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// A claim is an entry with the address of an upstream that is there and answers. Either
// another process listens there now, or the entry is not true: a process that has died may
// have written it, which the store carried out late, or another writer did. Entries cannot
// tell, so that the address is asked who it is, and until it has answered nothing changes.
//
// When the entry that came last was believed, an engine that had just started was taken
// for the one that had died behind a cut, and for gone until its own entry changed again,
// 1.6 s later in one trace.
type claim struct {
	entry    spanrill.EngineEntry
	rejected bool // the upstream that was there has answered
}

// Claim is an address that more than one entry names.
type Claim struct {
	Addr    string
	Service string // of the entry that claims the address
	Name    string // under which the entry stands
}

// Claims returns the claims that are not decided.
func (t *Table) Claims() []Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []Claim
	for name, c := range t.claims {
		if !c.rejected {
			open = append(open, Claim{Addr: c.entry.Addr, Service: c.entry.Service, Name: name})
		}
	}
	return open
}

// Identified takes the name that an address has answered with.
func (t *Table) Identified(addr, name string) {
	defer t.tellRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, c := range t.claims {
		if c.entry.Addr != addr || c.rejected {
			continue
		}
		c.rejected = id != name
		events.AddressClaimed.Log(t.log, logrus.Fields{"upstream": id, "addr": addr, "answered": name, "taken": !c.rejected})
		if !c.rejected {
			t.admit(id)
			t.publish()
		}
	}
}

// admit puts a claim in the place of the upstream that had its address. The caller holds
// the lock.
func (t *Table) admit(name string) {
	entry := t.claims[name].entry
	delete(t.claims, name)
	t.enter(entry)
}

// claimed reports whether an entry has the address of another upstream that is there, and
// notes the claim if so. The caller holds the lock.
func (t *Table) claimed(entry spanrill.EngineEntry) bool {
	if t.holder(entry) == nil {
		delete(t.claims, entry.ID)
		return false
	}
	c := t.claims[entry.ID]
	if c == nil || c.entry.Addr != entry.Addr {
		c = &claim{}
		t.claims[entry.ID] = c
	}
	if c.entry.Revision <= entry.Revision {
		c.entry = entry
	}
	return true
}

// holder returns another upstream at the address of an entry, unless it is known to be
// gone. The caller holds the lock.
func (t *Table) holder(entry spanrill.EngineEntry) *Upstream {
	u := t.byAddr[entry.Addr]
	if u == nil || u.Name() == entry.ID || u.Dead() {
		return nil
	}
	if _, lapsed := t.held[u.Name()]; lapsed {
		return nil
	}
	return u
}

// admitFree admits the claims whose address has become free, and reports whether there
// were any. The caller holds the lock.
func (t *Table) admitFree() bool {
	found := false
	for name, c := range t.claims {
		if t.holder(c.entry) == nil {
			t.admit(name)
			found = true
		}
	}
	return found
}
