package load

import (
	"testing"

	"spanrill"
	"spanrill/clock"
)

// A report can be older than the daemon that reads it.
func TestReportOlderThanDaemonCounts(t *testing.T) {
	table := NewTable(clock.NewManual())
	table.SetBoxes([]spanrill.Box{{Name: "e1", Role: spanrill.RoleEngine, Addr: "127.0.0.1:1"}})
	status := spanrill.UpstreamStatus{Model: "m", Version: "1", Layers: spanrill.LayerRange{To: 4}, Slots: 1}
	table.Report("e1", status, 200)
	if table.View().Model(ModelKey{Model: "m", Version: "1"}) == nil {
		t.Fatal("the engine is not in the view")
	}
}

func TestOlderReportIsDropped(t *testing.T) {
	c := clock.NewManual()
	c.Advance(spanrill.Minute)
	table := NewTable(c)
	table.SetBoxes([]spanrill.Box{{Name: "e1", Role: spanrill.RoleEngine, Addr: "127.0.0.1:1"}})
	table.Report("e1", spanrill.UpstreamStatus{Running: 2}, 100)
	table.Report("e1", spanrill.UpstreamStatus{Running: 9}, 200)
	if got := table.Upstream("e1").Report().Running; got != 2 {
		t.Fatalf("running is %d, want that of the newer report, 2", got)
	}
}
