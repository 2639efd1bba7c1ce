package load

import (
	"testing"

	"spanrill"
	"spanrill/clock"
)

// Guards against dropping a report that was made before the daemon started.
func TestReportOlderThanDaemonIsUsed(t *testing.T) {
	table := NewTable(clock.NewManual())
	table.SetBoxes([]spanrill.Box{{Name: "e1", Role: spanrill.RoleEngine, Addr: "127.0.0.1:1"}})
	status := spanrill.UpstreamStatus{Model: "m", Version: "1", Layers: spanrill.LayerRange{To: 4}, Slots: 1}
	table.RecordReport("e1", status, 200)
	if table.View().Model(ModelKey{Model: "m", Version: "1"}) == nil {
		t.Fatal("the engine of the report is not in the view")
	}
}

// Guards against an older report that replaces a newer one.
func TestOlderReportIsDropped(t *testing.T) {
	c := clock.NewManual()
	c.Advance(spanrill.Minute)
	table := NewTable(c)
	table.SetBoxes([]spanrill.Box{{Name: "e1", Role: spanrill.RoleEngine, Addr: "127.0.0.1:1"}})
	table.RecordReport("e1", spanrill.UpstreamStatus{Running: 2}, 100)
	table.RecordReport("e1", spanrill.UpstreamStatus{Running: 9}, 200)
	if got := table.Upstream("e1").Report().Running; got != 2 {
		t.Fatalf("%d running requests, want 2 as in the newer report", got)
	}
}
