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

// heard is one thing that is heard of the upstream: an entry in a change, in a list or from
// a peer, its end, or a report.
type heard struct {
	how      string
	born     int64
	count    uint64 // of writes, or of orders in a report
	layers   int
	revision uint64 // behind 10, unless it is the next one
	at       spanrill.Millis
}

func (h heard) tell(t *testing.T, table *Table, next uint64, now spanrill.Millis) {
	t.Helper()
	entry := starts(t, "a", 10+next, h.born, h.count, h.layers)
	if h.revision > 0 {
		entry.Revision = h.revision
	}
	switch h.how {
	case "change":
		table.Changed([]spanrill.Change{change(entry)}, entry.Revision, now)
	case "list":
		table.Listed([]spanrill.Item{entry}, entry.Revision, now)
	case "peer":
		peer := New(table.clock, decode)
		peer.Listed([]spanrill.Item{entry}, entry.Revision, now)
		table.Merge(peer.Knowledge(), now)
	case "gone":
		table.Changed([]spanrill.Change{gone("a")}, entry.Revision, now)
	case "outage":
		table.NoteOutage()
	case "report":
		table.Reported("1:1", &spanrill.EngineReport{Born: h.born, Sequence: h.count}, now+h.at)
	}
}

// With a new start everything that was known of the one before ends at once, however the
// start is heard of.
func TestStartedAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		born  int64 // of the first start, 0 where none is told
		heard []heard
		held  int // layers that it holds then
		again bool
	}{
		{"between two heartbeats", 1000, []heard{{how: "change", born: 2000, count: 1}}, 0, true},
		{"while it holds layers again", 1000, []heard{{how: "change", born: 2000, count: 9, layers: 4}}, 4, true},
		{"with its clock set back", 1000, []heard{{how: "change", born: 500, count: 1}}, 0, true},
		{"in a list", 1000, []heard{{how: "list", born: 2000, count: 1}}, 0, true},
		{"from a peer", 1000, []heard{{how: "peer", born: 2000, count: 1}}, 0, true},
		{"while its entry is away", 1000, []heard{{how: "gone"}, {how: "change", born: 2000, count: 1}}, 0, true},
		{"while its entry may have lapsed", 1000, []heard{{how: "outage"}, {how: "gone"}, {how: "change", born: 2000, count: 1}}, 0, true},
		{"twice in a row", 1000, []heard{{how: "change", born: 2000, count: 1, layers: 8}, {how: "change", born: 3000, count: 1}}, 0, true},
		{"by a report, before its entry", 1000, []heard{{how: "report", born: 2000}}, 0, true},
		{"by a report, and a late entry of before comes then", 1000, []heard{{how: "report", born: 2000}, {how: "change", born: 1000, count: 6, layers: 8}}, 0, true},
		{"and a late entry and a late report of before come then", 1000, []heard{{how: "change", born: 2000, count: 1}, {how: "change", born: 1000, count: 6, layers: 8}, {how: "report", born: 1000, count: 7}}, 0, true},
		{"while its entry is away, and a late entry of before comes then", 1000, []heard{{how: "gone"}, {how: "change", born: 2000, count: 1}, {how: "change", born: 1000, count: 6, layers: 8}}, 0, true},
		{"no start is told, and its count falls", 0, []heard{{how: "change", count: 2}}, 0, true},
		{"no start is told, and its count of orders falls", 0, []heard{{how: "report", count: 4}, {how: "report", at: 1}}, 0, true},
		{"an older report overtakes a newer one", 0, []heard{{how: "report", count: 4}, {how: "report", count: 3, at: -5}}, 8, false},
		{"an older count of the same revision comes from a peer", 0, []heard{{how: "peer", count: 3, layers: 8, revision: 10}}, 8, false},
		{"it goes on", 1000, []heard{{how: "change", born: 1000, count: 6, layers: 8}, {how: "report", born: 1000, at: 1}}, 8, false},
		{"its entry is back after a gap", 1000, []heard{{how: "outage"}, {how: "gone"}, {how: "change", born: 1000, count: 6, layers: 8}}, 8, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual, before := restartTable(t, c.born, 5)
			var told []string
			table.onRestart = func(addr string) { told = append(told, addr) }
			for i, h := range c.heard {
				h.tell(t, table, uint64(i+1), manual.Now())
			}
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
