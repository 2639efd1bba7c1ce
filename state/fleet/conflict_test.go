package fleet

import (
	"testing"

	"spanrill"
)

// Guards against replacing an upstream because of an entry with its address before the process at
// the address has confirmed that entry's name or the upstream is known to be gone.
func TestAddressConflict(t *testing.T) {
	type step func(t *testing.T, table *Table, now spanrill.Millis)
	answers := func(name string) step {
		return func(_ *testing.T, table *Table, _ spanrill.Millis) { table.ResolveAddress("1:1", name) }
	}
	changes := func(c func(*testing.T) spanrill.Change) step {
		return func(t *testing.T, table *Table, now spanrill.Millis) {
			table.HandleChanges([]spanrill.Change{c(t)}, 4, now)
		}
	}
	for _, c := range []struct {
		name       string
		steps      []step
		want       string // name of the upstream at the address
		unresolved int    // unresolved conflicts
	}{
		{"no answer yet", nil, "a", 1},
		{"the address answers with the new name", []step{answers("c")}, "c", 0},
		{"the address answers with the old name", []step{answers("a")}, "a", 0},
		{"the address answers with a third name", []step{answers("x")}, "a", 0},
		{"the address answers with the old name, and the old entry changes later", []step{answers("a"), changes(func(t *testing.T) spanrill.Change { return change(item(t, "a", "1:1", 4, false)) })}, "a", 0},
		{"the old upstream is dead", []step{func(_ *testing.T, table *Table, _ spanrill.Millis) {
			table.View().ByID("a").SetDead(true)
			table.Maintain()
		}}, "c", 0},
		{"the old entry is removed", []step{changes(func(*testing.T) spanrill.Change { return removal("a") })}, "c", 0},
		{"the conflicting entry is removed", []step{changes(func(*testing.T) spanrill.Change { return removal("c") })}, "a", 0},
		{"the conflicting entry gets another address", []step{changes(func(t *testing.T) spanrill.Change { return change(item(t, "c", "1:3", 4, false)) })}, "a", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual := newTable(t)
			table.HandleChanges([]spanrill.Change{change(item(t, "c", "1:1", 3, false))}, 3, manual.Now())
			for _, run := range c.steps {
				run(t, table, manual.Now())
			}
			if u := table.View().ByAddr("1:1"); u == nil || u.Name() != c.want || !u.AcceptsRequests() {
				t.Errorf("upstream %v at the address, want %s, accepting requests", u, c.want)
			}
			if unresolved := table.AddressConflicts(); len(unresolved) != c.unresolved {
				t.Errorf("unresolved conflicts %v, want %d", unresolved, c.unresolved)
			}
			if table.View().ByID("b") == nil {
				t.Error("an uninvolved upstream was removed")
			}
		})
	}
}

// Guards against replacing a new upstream when a write of the previous one at its address, which
// ended behind a network partition, reaches the store late.
func TestLateEntryOfEndedUpstream(t *testing.T) {
	table, manual := newTable(t)
	table.HandleChanges([]spanrill.Change{removal("a")}, 3, manual.Now())
	table.HandleChanges([]spanrill.Change{change(item(t, "c", "1:1", 4, false))}, 4, manual.Now())
	table.HandleChanges([]spanrill.Change{change(item(t, "a", "1:1", 5, false))}, 5, manual.Now())
	u := table.View().ByAddr("1:1")
	if u == nil || u.Name() != "c" || table.View().ByID("a") != nil {
		t.Fatalf("upstream %v at the address, want c", u)
	}
	table.ResolveAddress("1:1", "c")
	if len(table.AddressConflicts()) > 0 || table.View().ByAddr("1:1") != u {
		t.Fatal("the conflict is unresolved, or the upstream at the address was replaced")
	}
}

// Guards against applying a change of an entry to the address of another upstream before the
// process at that address has confirmed the entry's name.
func TestEntryChangesToAddressInUse(t *testing.T) {
	table, manual := newTable(t)
	b := table.View().ByID("b")
	table.HandleChanges([]spanrill.Change{change(item(t, "a", "1:2", 3, false))}, 3, manual.Now())
	if table.View().ByID("a") != nil || table.View().ByAddr("1:2") != b || !b.AcceptsRequests() {
		t.Fatal("the entry was applied before the address answered")
	}
	table.ResolveAddress("1:2", "a")
	if u := table.View().ByAddr("1:2"); u == nil || u.Name() != "a" || b.AcceptsRequests() {
		t.Fatal("the entry was not applied after the address answered with its name")
	}
}

// Guards against a daemon that doesn't learn of an address conflict from a peer, and so never asks
// the process at the address for its name.
func TestConflictsReachPeers(t *testing.T) {
	peer, manual := newTable(t)
	peer.HandleChanges([]spanrill.Change{change(item(t, "c", "1:1", 3, false))}, 3, manual.Now())
	table, _ := newTable(t)
	table.Merge(peer.FullUpdate(), manual.Now())
	if unresolved := table.AddressConflicts(); len(unresolved) != 1 || unresolved[0] != (AddressConflict{Addr: "1:1", Service: "s", Name: "c"}) {
		t.Fatalf("unresolved conflicts %v, want that of c", unresolved)
	}
}

// Guards against the use of an upstream whose entry has become unreadable, whether that is learned
// from a list, a change or a peer, and also after an outage of the store. Other upstreams stay in use.
func TestUnreadableEntries(t *testing.T) {
	bad := spanrill.Item{Name: "a", Revision: 3, Value: []byte("no entry")}
	for _, c := range []struct {
		name  string
		learn func(t *testing.T, table *Table, now spanrill.Millis)
	}{
		{"in a change", func(_ *testing.T, table *Table, now spanrill.Millis) {
			table.HandleChanges([]spanrill.Change{change(bad)}, 3, now)
		}},
		{"in a list", func(t *testing.T, table *Table, now spanrill.Millis) {
			table.HandleList([]spanrill.Item{bad, item(t, "b", "1:2", 2, false)}, 3, now)
		}},
		{"from a peer", func(t *testing.T, table *Table, now spanrill.Millis) {
			peer, _ := newTable(t)
			peer.HandleChanges([]spanrill.Change{change(bad)}, 3, now)
			table.Merge(peer.FullUpdate(), now)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual := newTable(t)
			table.RecordStoreFailure()
			before := table.View().ByID("a")
			c.learn(t, table, manual.Now())
			if table.View().ByID("a") != nil || table.View().ByAddr("1:1") != nil || before.AcceptsRequests() || table.View().ByID("b") == nil {
				t.Fatal("the upstream with the unreadable entry is in use, or the other one is not")
			}
			if before.Dead() || len(table.RecentlyRemoved()) != 1 {
				t.Error("the upstream is dead or not among the recently removed ones")
			}
			if current, _ := table.Unreadable(); current != 1 {
				t.Errorf("%d unreadable entries, want 1", current)
			}
			table.HandleChanges([]spanrill.Change{change(item(t, "a", "1:1", 9, false))}, 9, manual.Now())
			if current, _ := table.Unreadable(); current != 0 || table.View().ByID("a") == nil {
				t.Error("the entry is not used after it became readable again")
			}
		})
	}
}

// Guards against logging the same unreadable revision of an entry more than once.
func TestUnreadableEntryIsLoggedOnce(t *testing.T) {
	table, manual := newTable(t)
	for range 3 {
		table.HandleList([]spanrill.Item{{Name: "a", Revision: 3, Value: []byte("no entry")}}, 3, manual.Now())
	}
	table.HandleList([]spanrill.Item{{Name: "a", Revision: 4, Value: []byte("no entry")}}, 4, manual.Now())
	if _, total := table.Unreadable(); total != 2 {
		t.Fatalf("%d log lines, want 2", total)
	}
}
