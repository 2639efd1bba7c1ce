package fleet

import (
	"testing"

	"spanrill"
)

// An entry with the address of another upstream is believed once the address says so, or
// the other one is known to be gone; nothing changes until then.
func TestClaimOfAnAddress(t *testing.T) {
	type happens func(t *testing.T, table *Table, now spanrill.Millis)
	says := func(who string) happens {
		return func(_ *testing.T, table *Table, _ spanrill.Millis) { table.Identified("1:1", who) }
	}
	changes := func(c func(*testing.T) spanrill.Change) happens {
		return func(t *testing.T, table *Table, now spanrill.Millis) { table.Changed([]spanrill.Change{c(t)}, 4, now) }
	}
	for _, c := range []struct {
		name    string
		happens []happens
		want    string // who is at the address
		open    int    // claims that are not decided
	}{
		{"nobody has said anything", nil, "a", 1},
		{"the one that claims it answers", []happens{says("c")}, "c", 0},
		{"the one that was there answers", []happens{says("a")}, "a", 0},
		{"a third one answers", []happens{says("x")}, "a", 0},
		{"the one that was there answers, and changes later", []happens{says("a"), changes(func(t *testing.T) spanrill.Change { return change(item(t, "a", "1:1", 4, false)) })}, "a", 0},
		{"the one that was there does not answer requests", []happens{func(_ *testing.T, table *Table, _ spanrill.Millis) {
			table.View().ByID("a").SetDead(true)
			table.Tend()
		}}, "c", 0},
		{"the entry of the one that was there goes", []happens{changes(func(*testing.T) spanrill.Change { return gone("a") })}, "c", 0},
		{"the entry that claims it goes", []happens{changes(func(*testing.T) spanrill.Change { return gone("c") })}, "a", 0},
		{"the entry that claims it moves", []happens{changes(func(t *testing.T) spanrill.Change { return change(item(t, "c", "1:3", 4, false)) })}, "a", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual := newTable(t)
			table.Changed([]spanrill.Change{change(item(t, "c", "1:1", 3, false))}, 3, manual.Now())
			for _, happens := range c.happens {
				happens(t, table, manual.Now())
			}
			if u := table.View().ByAddr("1:1"); u == nil || u.Name() != c.want || !u.Takes() {
				t.Errorf("%v is at the address, want %s", u, c.want)
			}
			if open := table.Claims(); len(open) != c.open {
				t.Errorf("open claims %v, want %d", open, c.open)
			}
			if table.View().ByID("b") == nil {
				t.Error("another upstream is gone")
			}
		})
	}
}

// An upstream that has ended behind a cut is written into the store late, after the one
// that was started at its address: the newer one stays.
func TestLateEntryOfAnUpstreamThatEnded(t *testing.T) {
	table, manual := newTable(t)
	table.Changed([]spanrill.Change{gone("a")}, 3, manual.Now())
	table.Changed([]spanrill.Change{change(item(t, "c", "1:1", 4, false))}, 4, manual.Now())
	table.Changed([]spanrill.Change{change(item(t, "a", "1:1", 5, false))}, 5, manual.Now())
	u := table.View().ByAddr("1:1")
	if u == nil || u.Name() != "c" || table.View().ByID("a") != nil {
		t.Fatalf("%v is at the address", u)
	}
	table.Identified("1:1", "c")
	if len(table.Claims()) > 0 || table.View().ByAddr("1:1") != u {
		t.Fatal("the claim is not decided")
	}
}

// An entry that turns to the address of another upstream names none until that address
// says so; the other one holds.
func TestEntryThatTurnsToAnotherAddress(t *testing.T) {
	table, manual := newTable(t)
	b := table.View().ByID("b")
	table.Changed([]spanrill.Change{change(item(t, "a", "1:2", 3, false))}, 3, manual.Now())
	if table.View().ByID("a") != nil || table.View().ByAddr("1:2") != b || !b.Takes() {
		t.Fatal("the entry is believed")
	}
	table.Identified("1:2", "a")
	if u := table.View().ByAddr("1:2"); u == nil || u.Name() != "a" || b.Takes() {
		t.Fatal("the address has answered, and the entry is not believed")
	}
}

// A daemon hears of a claim from a peer and asks itself.
func TestClaimsReachPeers(t *testing.T) {
	peer, manual := newTable(t)
	peer.Changed([]spanrill.Change{change(item(t, "c", "1:1", 3, false))}, 3, manual.Now())
	table, _ := newTable(t)
	table.Merge(peer.Knowledge(), manual.Now())
	if open := table.Claims(); len(open) != 1 || open[0] != (Claim{Addr: "1:1", Service: "s", Name: "c"}) {
		t.Fatalf("open claims %v", open)
	}
}

// An entry that turns unreadable names no upstream from then on, in a list, in a change and
// from a peer, also around an outage of the store; all others hold.
func TestUnreadableEntries(t *testing.T) {
	bad := spanrill.Item{Name: "a", Revision: 3, Value: []byte("no entry")}
	for _, c := range []struct {
		name  string
		hears func(t *testing.T, table *Table, now spanrill.Millis)
	}{
		{"in a change", func(_ *testing.T, table *Table, now spanrill.Millis) {
			table.Changed([]spanrill.Change{change(bad)}, 3, now)
		}},
		{"in a list", func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Listed([]spanrill.Item{bad, item(t, "b", "1:2", 2, false)}, 3, now)
		}},
		{"from a peer", func(t *testing.T, table *Table, now spanrill.Millis) {
			peer, _ := newTable(t)
			peer.Changed([]spanrill.Change{change(bad)}, 3, now)
			table.Merge(peer.Knowledge(), now)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual := newTable(t)
			table.NoteOutage()
			before := table.View().ByID("a")
			c.hears(t, table, manual.Now())
			if table.View().ByID("a") != nil || table.View().ByAddr("1:1") != nil || before.Takes() || table.View().ByID("b") == nil {
				t.Fatal("it is used, or another one is not")
			}
			if before.Dead() || len(table.Departed()) != 1 {
				t.Error("what runs there does not go on")
			}
			if now, _ := table.Unreadable(); now != 1 {
				t.Errorf("%d entries are counted as unreadable", now)
			}
			table.Changed([]spanrill.Change{change(item(t, "a", "1:1", 9, false))}, 9, manual.Now())
			if now, _ := table.Unreadable(); now != 0 || table.View().ByID("a") == nil {
				t.Error("an entry that can be read again is not used")
			}
		})
	}
}

// One line is written for each revision of an entry that cannot be read.
func TestUnreadableIsSaidOnce(t *testing.T) {
	table, manual := newTable(t)
	for range 3 {
		table.Listed([]spanrill.Item{{Name: "a", Revision: 3, Value: []byte("no entry")}}, 3, manual.Now())
	}
	table.Listed([]spanrill.Item{{Name: "a", Revision: 4, Value: []byte("no entry")}}, 4, manual.Now())
	if _, all := table.Unreadable(); all != 2 {
		t.Fatalf("%d lines were written, want 2", all)
	}
}
