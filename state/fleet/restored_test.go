package fleet

import (
	"encoding/json"
	"testing"

	"spanrill"
)

// listedEntry is an entry of a list, with the upstream's write count and start time.
type listedEntry struct {
	id, addr   string
	counter    uint64
	writeCount uint64
	startedAt  int64
	leaving    bool
}

func listItems(t *testing.T, era uint64, entries ...listedEntry) (items []spanrill.Item) {
	t.Helper()
	for _, e := range entries {
		value, err := json.Marshal(spanrill.EngineEntry{Service: "s", Addr: e.addr, Leaving: e.leaving, WriteCount: e.writeCount, StartedAt: e.startedAt})
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, spanrill.Item{Name: e.id, Revision: spanrill.RevisionOf(era, e.counter), Value: value})
	}
	return items
}

// Guards against an older copy of the store that overrides newer states of upstreams.
func TestEntriesAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after []listedEntry // lists of the first and of the second era
		wantPresent   bool
		wantAccepts   bool
		wantRestart   bool
	}{
		{"unchanged entry", []listedEntry{{"a", "1:1", 90, 5, 0, false}}, []listedEntry{{"a", "1:1", 90, 5, 0, false}}, true, true, false},
		{"leaving before the restore", []listedEntry{{"a", "1:1", 90, 5, 0, true}}, []listedEntry{{"a", "1:1", 40, 3, 0, false}}, true, false, false},
		{"leaving before the restore, without write counts", []listedEntry{{"a", "1:1", 90, 0, 0, true}}, []listedEntry{{"a", "1:1", 40, 0, 0, false}}, true, false, false},
		{"leaving after the restore, with a lower counter", []listedEntry{{"a", "1:1", 90, 5, 0, false}}, []listedEntry{{"a", "1:1", 60, 6, 0, true}}, true, false, false},
		{"fewer writes are not a restart", []listedEntry{{"a", "1:1", 90, 5, 0, false}}, []listedEntry{{"a", "1:1", 40, 3, 0, false}}, true, true, false},
		{"earlier start", []listedEntry{{"a", "1:1", 90, 2, 7000, true}}, []listedEntry{{"a", "1:1", 40, 9, 6000, false}}, true, false, false},
		{"later start", []listedEntry{{"a", "1:1", 90, 9, 6000, true}}, []listedEntry{{"a", "1:1", 40, 1, 7000, false}}, true, true, true},
		{"missing from the copy", []listedEntry{{"a", "1:1", 90, 1, 0, false}}, []listedEntry{{"b", "1:2", 10, 1, 0, false}}, true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, clock := newTable(t)
			table.HandleList(listItems(t, 1, c.before...), spanrill.RevisionOf(1, 100), clock.Now())
			clock.Advance(1000)
			restarts := table.Restarts()
			table.HandleList(listItems(t, 2, c.after...), spanrill.RevisionOf(2, 60), clock.Now())
			if table.Revision() != spanrill.RevisionOf(2, 60) {
				t.Fatalf("revision %d of the table", table.Revision())
			}
			u := table.View().ByAddr("1:1")
			if (u != nil) != c.wantPresent {
				t.Fatalf("present: %t, want %t", u != nil, c.wantPresent)
			}
			if u != nil && u.AcceptsRequestsAt(clock.Now()) != c.wantAccepts {
				t.Errorf("accepts requests: %t, want %t", u.AcceptsRequestsAt(clock.Now()), c.wantAccepts)
			}
			if restarted := table.Restarts() > restarts; restarted != c.wantRestart {
				t.Errorf("restart detected: %t, want %t", restarted, c.wantRestart)
			}
		})
	}
}

// Guards against the use of a removed entry that an older copy of the store still lists, and against
// an upstream that stays in quarantine.
func TestRemovedEntryAfterRestore(t *testing.T) {
	entry := func(era, counter, writeCount uint64) []spanrill.Item {
		return listItems(t, era, listedEntry{"a", "1:1", counter, writeCount, 0, false})
	}
	for _, c := range []struct {
		name         string
		sinceRemoval spanrill.Millis // time from the removal to the restore
		then         func(*Table, spanrill.Millis)
		wait         spanrill.Millis
		wantUsed     bool
		wantListed   bool // in the update sent to peers
	}{
		{"directly after the restore", 1000, nil, 0, false, false},
		{"just before the end of quarantine", 1000, nil, quarantineTime - 1, false, false},
		{"still listed after quarantine", 1000, nil, quarantineTime, true, true},
		{"removed by the platform", 1000, func(table *Table, now spanrill.Millis) {
			table.HandleChanges([]spanrill.Change{removal("a")}, spanrill.RevisionOf(2, 61), now)
		}, quarantineTime, false, false},
		{"written again by the upstream", 1000, func(table *Table, now spanrill.Millis) {
			table.HandleChanges([]spanrill.Change{{Item: entry(2, 61, 9)[0]}}, spanrill.RevisionOf(2, 61), now)
		}, 0, true, true},
		{"removed before the retention period", removalRetention + 1, nil, 0, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, clock := newTable(t)
			clock.Advance(storeFailureMemory * 3)
			table.HandleList(entry(1, 90, 5), spanrill.RevisionOf(1, 100), clock.Now())
			table.HandleChanges([]spanrill.Change{removal("a")}, spanrill.RevisionOf(1, 101), clock.Now())
			clock.Advance(c.sinceRemoval)
			table.HandleList(entry(2, 40, 3), spanrill.RevisionOf(2, 60), clock.Now())
			if c.then != nil {
				c.then(table, clock.Now())
			}
			clock.Advance(c.wait)
			table.Maintain()
			u := table.View().ByID("a")
			if used := u != nil && u.AcceptsRequestsAt(clock.Now()); used != c.wantUsed {
				t.Errorf("used: %t, want %t", used, c.wantUsed)
			}
			if listed := len(table.FullUpdate().Entries) > 0; listed != c.wantListed {
				t.Errorf("sent to peers: %t, want %t", listed, c.wantListed)
			}
		})
	}
}

// Guards against an update of an earlier era that replaces entries of a later one.
func TestMergeFromEarlierEra(t *testing.T) {
	table, clock := newTable(t)
	table.HandleList(listItems(t, 2, listedEntry{"a", "1:1", 10, 1, 0, false}), spanrill.RevisionOf(2, 10), clock.Now())
	if table.Merge(Update{Revision: spanrill.RevisionOf(1, 900), LastChange: spanrill.RevisionOf(1, 900)}, clock.Now()) {
		t.Error("an update of an earlier era was merged")
	}
	if table.View().ByID("a") == nil {
		t.Error("the upstream was removed")
	}
}
