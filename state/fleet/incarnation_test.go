package fleet

import (
	"encoding/json"
	"testing"

	"spanrill"
	"spanrill/clock"
)

// startItem returns an entry with a start time, a write count and a number of layers.
func startItem(t *testing.T, id string, revision uint64, startedAt int64, writeCount uint64, layers int) spanrill.Item {
	t.Helper()
	value, err := json.Marshal(spanrill.EngineEntry{Service: "s", Addr: "1:1", StartedAt: startedAt, WriteCount: writeCount, Layers: spanrill.LayerRange{To: layers}})
	if err != nil {
		t.Fatal(err)
	}
	return spanrill.Item{Name: id, Revision: revision, Value: value}
}

func change(item spanrill.Item) spanrill.Change { return spanrill.Change{Item: item} }

// restartTable returns a table whose upstream "a" has a target, reservations, refusals, failures and
// other state that a restart must reset.
func restartTable(t *testing.T, startedAt int64, writeCount uint64) (*Table, *clock.Manual, *Upstream) {
	t.Helper()
	c := clock.NewManual()
	c.Advance(100 * spanrill.Second)
	table := New(c, decode)
	table.HandleList([]spanrill.Item{startItem(t, "a", 10, startedAt, writeCount, 8)}, 10, c.Now())
	u := table.View().ByAddr("1:1")
	u.SetTarget(&Target{Layers: spanrill.LayerRange{To: 8}, Done: true})
	u.Reserve(900)
	u.Begin()
	u.SetPeerLoad(500, 2)
	u.RecordRefusal(c.Now(), true)
	u.RecordFailure(c.Now())
	u.Avoid(c.Now() + spanrill.Minute)
	u.SetPace(3)
	u.RecordLag(c.Now(), 5)
	return table, c, u
}

// requireNewIncarnation fails unless a new incarnation has replaced the upstream and has no state
// but its entry.
func requireNewIncarnation(t *testing.T, table *Table, before *Upstream, now spanrill.Millis, held int) {
	t.Helper()
	u := table.View().ByAddr("1:1")
	if u == nil || u == before || u.ID() == before.ID() || u.Name() != "a" {
		t.Fatalf("upstream %v at the address, want a new incarnation of a", u)
	}
	if u.Layers().Len() != held || u.Target() != nil || u.Tokens() != 0 || u.Calls() != 0 || u.Avoided(now) || u.Slow() || u.FailureRate(now) != 0 || u.Lag(now) != 1 || u.Dead() {
		t.Errorf("state of the previous incarnation remains: layers %v, target %v, tokens %d, calls %d, failure rate %v", u.Layers(), u.Target(), u.Tokens(), u.Calls(), u.FailureRate(now))
	}
	if !before.Dead() || before.AcceptsRequests() || table.View().ByID(before.ID()) != nil {
		t.Error("the previous incarnation has not ended")
	}
	before.SetDead(false)
	if !before.Dead() {
		t.Error("a late answer made the previous incarnation alive again")
	}
}

// observation is one event from which a table may learn about the upstream: an entry in a change, in
// a list or from a peer, the removal of its entry, an outage of the store, or a report.
type observation struct {
	source     string
	startedAt  int64
	count      uint64 // number of writes, or of orders in a report
	layers     int
	revision   uint64          // of the entry, if not the next one after 10
	sentOffset spanrill.Millis // when a report was requested, relative to its arrival
}

// apply passes the observation to a table. Its entry has the revision 10+next unless it sets one.
func (o observation) apply(t *testing.T, table *Table, next uint64, now spanrill.Millis) {
	t.Helper()
	entry := startItem(t, "a", 10+next, o.startedAt, o.count, o.layers)
	if o.revision > 0 {
		entry.Revision = o.revision
	}
	switch o.source {
	case "change":
		table.HandleChanges([]spanrill.Change{change(entry)}, entry.Revision, now)
	case "list":
		table.HandleList([]spanrill.Item{entry}, entry.Revision, now)
	case "peer":
		peer := New(table.clock, decode)
		peer.HandleList([]spanrill.Item{entry}, entry.Revision, now)
		table.Merge(peer.FullUpdate(), now)
	case "gone":
		table.HandleChanges([]spanrill.Change{removal("a")}, entry.Revision, now)
	case "outage":
		table.RecordStoreFailure()
	case "report":
		table.HandleReport("1:1", &spanrill.EngineReport{StartedAt: o.startedAt, Sequence: o.count}, now+o.sentOffset)
	}
}

// Guards against state of the previous incarnation that remains after a restart, whichever way the
// restart becomes known, and against taking a late or reordered observation for a restart.
func TestRestartDetection(t *testing.T) {
	for _, c := range []struct {
		name         string
		startedAt    int64 // of the first incarnation, 0 without a start time
		observations []observation
		wantLayers   int // number of layers held at the end
		wantRestart  bool
	}{
		{"between two heartbeats", 1000, []observation{{source: "change", startedAt: 2000, count: 1}}, 0, true},
		{"and it already holds layers again", 1000, []observation{{source: "change", startedAt: 2000, count: 9, layers: 4}}, 4, true},
		{"with its clock set back", 1000, []observation{{source: "change", startedAt: 500, count: 1}}, 0, true},
		{"in a list", 1000, []observation{{source: "list", startedAt: 2000, count: 1}}, 0, true},
		{"from a peer", 1000, []observation{{source: "peer", startedAt: 2000, count: 1}}, 0, true},
		{"while its entry is removed", 1000, []observation{{source: "gone"}, {source: "change", startedAt: 2000, count: 1}}, 0, true},
		{"while its entry is held", 1000, []observation{{source: "outage"}, {source: "gone"}, {source: "change", startedAt: 2000, count: 1}}, 0, true},
		{"twice in a row", 1000, []observation{{source: "change", startedAt: 2000, count: 1, layers: 8}, {source: "change", startedAt: 3000, count: 1}}, 0, true},
		{"by a report, before its entry", 1000, []observation{{source: "report", startedAt: 2000}}, 0, true},
		{"by a report, followed by a late entry of the previous incarnation", 1000, []observation{{source: "report", startedAt: 2000}, {source: "change", startedAt: 1000, count: 6, layers: 8}}, 0, true},
		{"followed by a late entry and a late report of the previous incarnation", 1000, []observation{{source: "change", startedAt: 2000, count: 1}, {source: "change", startedAt: 1000, count: 6, layers: 8}, {source: "report", startedAt: 1000, count: 7}}, 0, true},
		{"while its entry is removed, followed by a late entry of the previous incarnation", 1000, []observation{{source: "gone"}, {source: "change", startedAt: 2000, count: 1}, {source: "change", startedAt: 1000, count: 6, layers: 8}}, 0, true},
		{"no start time, lower write count", 0, []observation{{source: "change", count: 2}}, 0, true},
		{"no start time, lower order count", 0, []observation{{source: "report", count: 4}, {source: "report", sentOffset: 1}}, 0, true},
		{"no restart: an older report arrives after a newer one", 0, []observation{{source: "report", count: 4}, {source: "report", count: 3, sentOffset: -5}}, 8, false},
		{"no restart: a peer sends a lower write count of the same revision", 0, []observation{{source: "peer", count: 3, layers: 8, revision: 10}}, 8, false},
		{"no restart: the same start time", 1000, []observation{{source: "change", startedAt: 1000, count: 6, layers: 8}, {source: "report", startedAt: 1000, sentOffset: 1}}, 8, false},
		{"no restart: the entry is written again after its removal", 1000, []observation{{source: "outage"}, {source: "gone"}, {source: "change", startedAt: 1000, count: 6, layers: 8}}, 8, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual, before := restartTable(t, c.startedAt, 5)
			var restarted []string
			table.onRestart = func(addr string) { restarted = append(restarted, addr) }
			for i, o := range c.observations {
				o.apply(t, table, uint64(i+1), manual.Now())
			}
			if c.wantRestart {
				requireNewIncarnation(t, table, before, manual.Now(), c.wantLayers)
				return
			}
			if u := table.View().ByAddr("1:1"); u != before || len(restarted) > 0 || u.Layers().Len() != c.wantLayers {
				t.Fatalf("a restart was detected, or the layers have changed")
			}
		})
	}
}

// Guards against different ids of the same incarnation on different daemons, and against a call of
// onRestart while the lock is held.
func TestIncarnationIDIsShared(t *testing.T) {
	var ids []string
	for range 2 {
		table, c, _ := restartTable(t, 1000, 5)
		table.onRestart = func(string) {
			ids = append(ids, table.View().ByAddr("1:1").ID()+" "+string(rune('0'+table.Restarts())))
		}
		table.HandleChanges([]spanrill.Change{change(startItem(t, "a", 11, 2000, 1, 0))}, 11, c.Now())
	}
	if len(ids) != 2 || ids[0] != ids[1] || ids[0] != "a/1jk 1" {
		t.Fatalf("ids and restart counts %v, want twice \"a/1jk 1\"", ids)
	}
}
