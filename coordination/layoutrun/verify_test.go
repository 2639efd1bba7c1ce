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

// reportingEngine is an engine whose report a test sets.
type reportingEngine struct {
	spanrill.LayerEngines
	used   float64 // memory in use, of 100
	silent bool
}

func (e *reportingEngine) Report(context.Context, string) (spanrill.EngineReport, error) {
	if e.silent {
		return spanrill.EngineReport{}, errNoAnswer
	}
	return spanrill.EngineReport{KVUsed: e.used, KVTotal: 100, Pace: 1}, nil
}

// verifyStep is what happens to an engine before the placer verifies it again.
type verifyStep struct {
	refuses bool
	used    float64 // memory in use, of 100
	silent  bool    // does not answer the placer
	dead    bool    // requests report it as dead
}

// An engine that requests report as failing counts as crashed or leaving only if the placer
// finds the same: an engine whose memory is full for a moment refuses just as a leaving one does.
func TestVerify(t *testing.T) {
	for _, c := range []struct {
		name             string
		steps            []verifyStep
		crashed, leaving bool
	}{
		{"full at the refusal, then free", []verifyStep{{refuses: true, used: 99}, {used: 99}, {used: 10}, {used: 10}, {used: 10}}, false, false},
		{"refuses once with free memory", []verifyStep{{refuses: true, used: 10}, {used: 10}, {used: 10}}, false, false},
		{"refuses after it had free memory for a while", []verifyStep{{refuses: true, used: 10}, {used: 10}, {used: 10}, {refuses: true, used: 10}, {used: 10}}, false, true},
		{"full at every refusal", []verifyStep{{refuses: true, used: 99}, {used: 10}, {refuses: true, used: 99}, {used: 10}, {refuses: true, used: 99}}, false, false},
		{"silent for requests only", []verifyStep{{dead: true}, {dead: true}}, false, false},
		{"silent for the placer too", []verifyStep{{dead: true, silent: true}, {dead: true, silent: true}}, true, false},
		{"answers again", []verifyStep{{dead: true, silent: true}, {dead: true, silent: true}, {}}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			manual := clock.NewManual()
			manual.Advance(100 * spanrill.Second)
			table := fleet.New(manual, func(spanrill.Item) (spanrill.EngineEntry, error) {
				return spanrill.EngineEntry{ID: "e", Service: "s", Addr: "e"}, nil
			}, fleet.WithLogger(log))
			table.HandleList([]spanrill.Item{{Name: "e"}}, 1, 0)
			u, engine := table.View().ByID("e"), &reportingEngine{}
			p := New(mayAlwaysAct, engine, table, nil, manual, log)
			var crashed, leaving bool
			for _, s := range c.steps {
				manual.Advance(verifyInterval)
				engine.used, engine.silent = s.used, s.silent
				u.SetDead(s.dead)
				if s.refuses {
					u.RecordRefusal(manual.Now(), true)
				}
				for range 2 { // the second call returns the result of the first
					p.mu.Lock()
					crashed, leaving = p.verify(context.Background(), u, manual.Now(), true)
					p.mu.Unlock()
					_ = p.tasks.Wait()
				}
			}
			if crashed != c.crashed || leaving != c.leaving {
				t.Fatalf("crashed %t and leaving %t, want %t and %t", crashed, leaving, c.crashed, c.leaving)
			}
		})
	}
}

// An engine whose entry has disappeared without notice still finishes its requests and counts
// as leaving, so that none of them is cut, unless it has crashed.
func TestEngineEntryDisappears(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent bool
		want   int // leaving engines in the input of the planner
	}{
		{"still serves", false, 1},
		{"has crashed", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			manual := clock.NewManual()
			manual.Advance(100 * spanrill.Second)
			table := fleet.New(manual, func(item spanrill.Item) (spanrill.EngineEntry, error) {
				return spanrill.EngineEntry{ID: item.Name, Service: "s", Addr: item.Name, Layers: spanrill.LayerRange{From: 0, To: 4}}, nil
			}, fleet.WithLogger(log))
			table.HandleList([]spanrill.Item{{Name: "stays"}, {Name: "goes"}}, 1, manual.Now())
			table.HandleChanges([]spanrill.Change{{Item: spanrill.Item{Name: "goes"}, Deleted: true}}, 2, manual.Now())
			p := New(mayAlwaysAct, &reportingEngine{silent: c.silent}, table, nil, manual, log)
			var leaving int
			for range 2 { // the second call sees the result of the first
				engines, _ := p.planInput(context.Background(), &spanrill.ServiceInfo{Name: "s"})
				_ = p.tasks.Wait()
				leaving = 0
				for _, e := range engines {
					if e.Leaving {
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
