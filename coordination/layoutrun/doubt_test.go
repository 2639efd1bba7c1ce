package layoutrun

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/state/fleet"
)

// teller is an engine whose report a test sets.
type teller struct {
	spanrill.LayerEngines
	used   float64 // of a memory of 100
	silent bool
}

func (e *teller) Report(context.Context, string) (spanrill.EngineReport, error) {
	if e.silent {
		return spanrill.EngineReport{}, errNoAnswer
	}
	return spanrill.EngineReport{KVUsed: e.used, KVTotal: 100, Pace: 1}, nil
}

// step is what happens to an engine before the placer looks again.
type step struct {
	refuses bool
	used    float64
	silent  bool
	dead    bool // requests take it for dead
}

// An engine that requests doubt is given up only if the placer finds the same:
// one that is full for a moment refuses as one that leaves does.
func TestDoubt(t *testing.T) {
	for _, c := range []struct {
		name         string
		steps        []step
		lost, leaves bool
	}{
		{"full, then empty", []step{{refuses: true, used: 99}, {used: 99}, {used: 10}, {used: 10}, {used: 10}}, false, false},
		{"refuses with room once", []step{{refuses: true, used: 10}, {used: 10}, {used: 10}}, false, false},
		{"refuses after it had room for long", []step{{refuses: true, used: 10}, {used: 10}, {used: 10}, {refuses: true, used: 10}, {used: 10}}, false, true},
		{"full again and again", []step{{refuses: true, used: 99}, {used: 10}, {refuses: true, used: 99}, {used: 10}, {refuses: true, used: 99}}, false, false},
		{"silent for requests only", []step{{dead: true}, {dead: true}}, false, false},
		{"silent for the placer too", []step{{dead: true, silent: true}, {dead: true, silent: true}}, true, false},
		{"answers again", []step{{dead: true, silent: true}, {dead: true, silent: true}, {}}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			manual := clock.NewManual()
			manual.Advance(100 * spanrill.Second)
			table := fleet.New(manual, func(spanrill.Item) (spanrill.EngineEntry, error) {
				return spanrill.EngineEntry{ID: "e", Service: "s", Addr: "e"}, nil
			}, fleet.WithLogger(log))
			table.Listed([]spanrill.Item{{Name: "e"}}, 1, 0)
			u, engine := table.View().ByID("e"), &teller{}
			p := New(always, engine, table, nil, manual, log)
			var lost, leaves bool
			for _, s := range c.steps {
				manual.Advance(doubtGap)
				engine.used, engine.silent = s.used, s.silent
				u.SetDead(s.dead)
				if s.refuses {
					u.Refused(manual.Now(), true)
				}
				for range 2 { // to ask, and to see the answer
					p.mu.Lock()
					lost, leaves = p.judge(context.Background(), u, manual.Now(), true)
					p.mu.Unlock()
					_ = p.orders.Wait()
				}
			}
			if lost != c.lost || leaves != c.leaves {
				t.Fatalf("lost %t and leaves %t, want %t and %t", lost, leaves, c.lost, c.leaves)
			}
		})
	}
}

// An engine whose entry has gone without a word serves on what runs there, so that
// nothing is cut for its sake, unless it has crashed.
func TestEngineLeavesWithoutAWord(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent bool
		want   int // leaving engines that the planner is told of
	}{
		{"it serves on", false, 1},
		{"it has crashed", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			manual := clock.NewManual()
			manual.Advance(100 * spanrill.Second)
			table := fleet.New(manual, func(item spanrill.Item) (spanrill.EngineEntry, error) {
				return spanrill.EngineEntry{ID: item.Name, Service: "s", Addr: item.Name, Layers: spanrill.LayerRange{From: 0, To: 4}}, nil
			}, fleet.WithLogger(log))
			table.Listed([]spanrill.Item{{Name: "stays"}, {Name: "goes"}}, 1, manual.Now())
			table.Changed([]spanrill.Change{{Item: spanrill.Item{Name: "goes"}, Gone: true}}, 2, manual.Now())
			p := New(always, &teller{silent: c.silent}, table, nil, manual, log)
			var leaving int
			for range 2 { // to ask, and to see the answer
				engines, _ := p.look(context.Background(), &spanrill.ServiceInfo{Name: "s"})
				_ = p.orders.Wait()
				leaving = 0
				for _, e := range engines {
					if e.Leaves {
						leaving++
					}
				}
			}
			if leaving != c.want {
				t.Fatalf("%d leaving engines, want %d", leaving, c.want)
			}
		})
	}
}
