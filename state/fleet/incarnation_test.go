package fleet

import (
	"encoding/json"
	"testing"

	"spanrill"
	"spanrill/clock"
)

// starts is an entry of an upstream that tells its start and how often it has written.
func starts(t *testing.T, id string, revision uint64, born int64, beats uint64, layers int) spanrill.Item {
	t.Helper()
	value, err := json.Marshal(spanrill.EngineEntry{Service: "s", Addr: "1:1", Born: born, Beats: beats, Layers: spanrill.LayerRange{To: layers}})
	if err != nil {
		t.Fatal(err)
	}
	return spanrill.Item{Name: id, Revision: revision, Value: value}
}

func change(item spanrill.Item) spanrill.Change { return spanrill.Change{Item: item} }

// restartTable is a table whose upstream "a" was ordered, doubted, avoided and reserved.
func restartTable(t *testing.T, born int64, beats uint64) (*Table, *clock.Manual, *Upstream) {
	t.Helper()
	c := clock.NewManual()
	c.Advance(100 * spanrill.Second)
	table := New(c, decode)
	table.Listed([]spanrill.Item{starts(t, "a", 10, born, beats, 8)}, 10, c.Now())
	u := table.View().ByAddr("1:1")
	u.SetTarget(&Target{Layers: spanrill.LayerRange{To: 8}, Done: true})
	u.Reserve(900)
	u.Begin()
	u.SetPeers(500, 2)
	u.Refused(c.Now(), true)
	u.Failed(c.Now())
	u.Avoid(c.Now() + spanrill.Minute)
	u.SetPace(3)
	u.NoteLag(c.Now(), 5)
	return table, c, u
}

// isNew fails unless an upstream has started again and nothing is known of it but its
// entry.
func isNew(t *testing.T, table *Table, before *Upstream, now spanrill.Millis, held int) {
	t.Helper()
	u := table.View().ByAddr("1:1")
	if u == nil || u == before || u.ID() == before.ID() || u.Name() != "a" {
		t.Fatalf("the upstream is %v as before", u)
	}
	if u.Layers().Len() != held || u.Target() != nil || u.Tokens() != 0 || u.Calls() != 0 || u.Avoided(now) || u.Slow() || u.Risk(now) != 0 || u.Lag(now) != 1 || u.Dead() {
		t.Errorf("something of before holds: layers %v, target %v, tokens %d, calls %d, risk %v", u.Layers(), u.Target(), u.Tokens(), u.Calls(), u.Risk(now))
	}
	if !before.Dead() || before.Takes() || table.View().ByID(before.ID()) != nil {
		t.Error("the incarnation before has not ended")
	}
	before.SetDead(false)
	if !before.Dead() {
		t.Error("a late answer brings the incarnation before back")
	}
}

// With a new start everything that was known of the one before ends at once, however the
// start is heard of.
func TestStartedAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		born  int64 // of the first start, 0 where none is told
		hear  func(t *testing.T, table *Table, now spanrill.Millis)
		held  int // layers that it holds then
		again bool
	}{
		{"between two heartbeats", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Changed([]spanrill.Change{change(starts(t, "a", 11, 2000, 1, 0))}, 11, now)
		}, 0, true},
		{"while it holds layers again", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Changed([]spanrill.Change{change(starts(t, "a", 11, 2000, 9, 4))}, 11, now)
		}, 4, true},
		{"with its clock set back", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Changed([]spanrill.Change{change(starts(t, "a", 11, 500, 1, 0))}, 11, now)
		}, 0, true},
		{"in a list", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Listed([]spanrill.Item{starts(t, "a", 11, 2000, 1, 0)}, 11, now)
		}, 0, true},
		{"from a peer", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			peer, _, _ := restartTable(t, 1000, 5)
			peer.Changed([]spanrill.Change{change(starts(t, "a", 11, 2000, 1, 0))}, 11, now)
			table.Merge(peer.Knowledge(), now)
		}, 0, true},
		{"while its entry is away", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Changed([]spanrill.Change{gone("a")}, 11, now)
			table.Changed([]spanrill.Change{change(starts(t, "a", 12, 2000, 1, 0))}, 12, now)
		}, 0, true},
		{"while its entry may have lapsed", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.NoteOutage()
			table.Changed([]spanrill.Change{gone("a")}, 11, now)
			table.Changed([]spanrill.Change{change(starts(t, "a", 12, 2000, 1, 0))}, 12, now)
		}, 0, true},
		{"twice in a row", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Changed([]spanrill.Change{change(starts(t, "a", 11, 2000, 1, 8))}, 11, now)
			table.Changed([]spanrill.Change{change(starts(t, "a", 12, 3000, 1, 0))}, 12, now)
		}, 0, true},
		{"by a report, before its entry", 1000, func(_ *testing.T, table *Table, now spanrill.Millis) {
			table.Reported("1:1", &spanrill.EngineReport{Born: 2000}, now)
		}, 0, true},
		{"by a report, and a late entry of before comes then", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Reported("1:1", &spanrill.EngineReport{Born: 2000}, now)
			table.Changed([]spanrill.Change{change(starts(t, "a", 11, 1000, 6, 8))}, 11, now)
		}, 0, true},
		{"and a late entry and a late report of before come then", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Changed([]spanrill.Change{change(starts(t, "a", 11, 2000, 1, 0))}, 11, now)
			table.Changed([]spanrill.Change{change(starts(t, "a", 12, 1000, 6, 8))}, 12, now)
			table.Reported("1:1", &spanrill.EngineReport{Born: 1000, Sequence: 7}, now)
		}, 0, true},
		{"while its entry is away, and a late entry of before comes then", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Changed([]spanrill.Change{gone("a")}, 11, now)
			table.Changed([]spanrill.Change{change(starts(t, "a", 12, 2000, 1, 0))}, 12, now)
			table.Changed([]spanrill.Change{change(starts(t, "a", 13, 1000, 6, 8))}, 13, now)
		}, 0, true},
		{"no start is told, and its count falls", 0, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Changed([]spanrill.Change{change(starts(t, "a", 11, 0, 2, 0))}, 11, now)
		}, 0, true},
		{"no start is told, and its count of orders falls", 0, func(_ *testing.T, table *Table, now spanrill.Millis) {
			table.Reported("1:1", &spanrill.EngineReport{Sequence: 4}, now)
			table.Reported("1:1", &spanrill.EngineReport{Sequence: 0}, now+1)
		}, 0, true},
		{"an older report overtakes a newer one", 0, func(_ *testing.T, table *Table, now spanrill.Millis) {
			table.Reported("1:1", &spanrill.EngineReport{Sequence: 4}, now)
			table.Reported("1:1", &spanrill.EngineReport{Sequence: 3}, now-5)
		}, 8, false},
		{"an older count of the same revision comes from a peer", 0, func(t *testing.T, table *Table, now spanrill.Millis) {
			peer, _, _ := restartTable(t, 0, 3)
			table.Merge(peer.Knowledge(), now)
		}, 8, false},
		{"it goes on", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.Changed([]spanrill.Change{change(starts(t, "a", 11, 1000, 6, 8))}, 11, now)
			table.Reported("1:1", &spanrill.EngineReport{Born: 1000, Sequence: 0}, now+1)
		}, 8, false},
		{"its entry is back after a gap", 1000, func(t *testing.T, table *Table, now spanrill.Millis) {
			table.NoteOutage()
			table.Changed([]spanrill.Change{gone("a")}, 11, now)
			table.Changed([]spanrill.Change{change(starts(t, "a", 12, 1000, 6, 8))}, 12, now)
		}, 8, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual, before := restartTable(t, c.born, 5)
			var told []string
			table.onRestart = func(addr string) { told = append(told, addr) }
			c.hear(t, table, manual.Now())
			if c.again {
				isNew(t, table, before, manual.Now(), c.held)
				return
			}
			if u := table.View().ByAddr("1:1"); u != before || len(told) > 0 || u.Layers().Len() != c.held {
				t.Fatalf("it was taken for another start")
			}
		})
	}
}

// All daemons know a start that is told by one id, and nobody is told of a restart under a
// lock.
func TestStartsHaveOneID(t *testing.T) {
	var ids []string
	for range 2 {
		table, c, _ := restartTable(t, 1000, 5)
		table.onRestart = func(string) {
			ids = append(ids, table.View().ByAddr("1:1").ID()+" "+string(rune('0'+table.Restarts())))
		}
		table.Changed([]spanrill.Change{change(starts(t, "a", 11, 2000, 1, 0))}, 11, c.Now())
	}
	if len(ids) != 2 || ids[0] != ids[1] || ids[0] != "a/1jk 1" {
		t.Fatalf("ids and counts %v", ids)
	}
}
