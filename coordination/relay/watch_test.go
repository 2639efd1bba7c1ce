package relay

import (
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/state/fleet"
)

// The silence after which engines are probed follows the usual time between events, which depends on
// how many tokens per event the engines choose.
func TestWatchGap(t *testing.T) {
	for _, c := range []struct {
		name   string
		pauses []spanrill.Millis // between events
		want   spanrill.Millis
	}{
		{"no pauses", nil, minWatchGap},
		{"short pauses", []spanrill.Millis{20, 20, 20}, minWatchGap},
		{"long pauses", []spanrill.Millis{100, 100, 100}, 140},
		{"one long pause has little weight", []spanrill.Millis{50, 50, 210}, 84},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := fleet.New(clock.NewManual(), func(spanrill.Item) (spanrill.EngineEntry, error) {
				return spanrill.EngineEntry{ID: "e"}, nil
			})
			table.HandleList([]spanrill.Item{{Name: "e"}}, 1, 0)
			g := &generation{firstEngine: table.View().ByID("e")}
			for _, p := range c.pauses {
				g.firstEngine.RecordEventGap(p)
			}
			if got := g.watchGap(); got != c.want {
				t.Fatalf("watch gap %d ms, want %d ms", got, c.want)
			}
		})
	}
}
