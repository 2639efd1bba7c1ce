package layoutrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/state/fleet"
)

var model = &spanrill.EngineModel{
	Layers: 12, LayerMB: 100, Slots: 64, KVTokenBytes: 120000, StepMillis: 1, PrefillTokensPerMilli: 100, LoadSeconds: 0.01,
	MeanPromptTokens: 100, MeanAnswerTokens: 100,
	Kinds: map[string]spanrill.AcceleratorKind{"card": {Name: "card", MemoryMB: 600, StepFactor: 1, PrefillFactor: 1}},
}

// fakeEngines are engines that apply orders, with injected faults.
type fakeEngines struct {
	mu          sync.Mutex
	held        map[string]spanrill.LayerRange
	sequence    map[string]uint64
	orders      map[string]int
	loseReplies int // the next n orders are applied, and their replies lost
	loseOrders  int // the next n orders are lost
	dead        map[string]bool
}

var errNoAnswer = errors.New("no answer")

func (c *fakeEngines) Report(_ context.Context, addr string) (spanrill.EngineReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[addr] {
		return spanrill.EngineReport{}, errNoAnswer
	}
	return spanrill.EngineReport{Layers: c.held[addr], Sequence: c.sequence[addr], Pace: 1}, nil
}

func (c *fakeEngines) Place(_ context.Context, addr, _ string, o spanrill.PlacementOrder) (spanrill.OrderState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[addr]++
	if c.loseOrders > 0 {
		c.loseOrders--
		return 0, errNoAnswer
	}
	if o.Sequence != c.sequence[addr] {
		return spanrill.OrderConflict, nil
	}
	c.sequence[addr]++
	c.held[addr] = o.Layers
	if c.loseReplies > 0 {
		c.loseReplies--
		return 0, errNoAnswer
	}
	return spanrill.OrderBegun, nil
}

func (c *fakeEngines) Reroute(context.Context, string, string, []spanrill.PathStage) error {
	return nil
}

// newStablePlacer returns a placer over n empty engines that have been there for long enough
// for a first layout, and its table.
func newStablePlacer(t *testing.T, n int, c spanrill.LayerEngines, may MayAct) (*Placer, *fleet.Table) {
	t.Helper()
	p, table := newTestPlacer(t, n, spanrill.LayerRange{}, c, may, clock.NewSystem())
	p.engineCounts["s"], p.lastAddedAt["s"] = n, -maxWaitForLayout // all engines appeared long ago
	return p, table
}

// newTestPlacer returns a placer over n engines that hold the same layers, and its table.
func newTestPlacer(t *testing.T, n int, held spanrill.LayerRange, c spanrill.LayerEngines, may MayAct, now spanrill.Clock) (*Placer, *fleet.Table) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := fleet.New(now, func(item spanrill.Item) (e spanrill.EngineEntry, err error) {
		err = json.Unmarshal(item.Value, &e)
		return e, err
	}, fleet.WithLogger(log))
	var items []spanrill.Item
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		value, err := json.Marshal(spanrill.EngineEntry{ID: id, Service: "s", Addr: id, Zone: "z", Kind: "card", Layers: held})
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, spanrill.Item{Name: id, Value: value})
	}
	table.Listed(items, 1, 0)
	models := func() []spanrill.ServiceInfo { return []spanrill.ServiceInfo{{Name: "s", Model: model}} }
	return New(may, c, table, models, now, log), table
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{held: map[string]spanrill.LayerRange{}, sequence: map[string]uint64{}, orders: map[string]int{}, dead: map[string]bool{}}
}

func mayAlwaysAct() (uint64, bool) { return 3, true }

// maxRounds is many times the rounds that any of the tests needs.
const maxRounds = 50

// runRounds performs rounds with their orders until a condition holds.
func runRounds(t *testing.T, p *Placer, ok func() bool) {
	t.Helper()
	for range maxRounds {
		if ok() {
			return
		}
		p.Round(context.Background())
		_ = p.tasks.Wait() // errors are logged where they occur
	}
	t.Fatal("the condition did not hold within maxRounds rounds")
}

// covered reports whether the engines together hold all layers.
func (c *fakeEngines) covered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held [12]bool
	for _, l := range c.held {
		for i := l.From; i < l.To; i++ {
			held[i] = true
		}
	}
	for _, ok := range held {
		if !ok {
			return false
		}
	}
	return true
}

func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(*fakeEngines)
	}{
		{"answered", func(*fakeEngines) {}},
		{"applied and not answered", func(c *fakeEngines) { c.loseReplies = 3 }},
		{"neither applied nor answered", func(c *fakeEngines) { c.loseOrders = 3 }},
		{"one engine is dead", func(c *fakeEngines) { c.dead["e1"] = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			engines := newFakeEngines()
			c.fault(engines)
			p, _ := newStablePlacer(t, 8, engines, mayAlwaysAct)
			runRounds(t, p, engines.covered)
		})
	}
}

// Without the lease no orders are sent.
func TestNoLeaseNoOrders(t *testing.T) {
	engines := newFakeEngines()
	p, _ := newStablePlacer(t, 8, engines, func() (uint64, bool) { return 0, false })
	for range 5 {
		p.Round(context.Background())
	}
	if _ = p.tasks.Wait(); len(engines.orders) != 0 {
		t.Fatalf("orders were sent without the lease: %v", engines.orders)
	}
}

// An engine that does not answer the placer is marked dead, so that the next round plans
// without it.
func TestDeadEngineIsNotOrderedAgain(t *testing.T) {
	engines := newFakeEngines()
	engines.dead["e1"] = true
	p, table := newStablePlacer(t, 8, engines, mayAlwaysAct)
	runRounds(t, p, func() bool { return table.View().ByID("e1").Dead() })
	if n := engines.orders["e1"]; n != 0 {
		t.Fatalf("the dead engine got %d orders", n)
	}
}

// Targets contains what an engine has confirmed before its entry shows it.
func TestTargetsReportDoneOrders(t *testing.T) {
	engines := newFakeEngines()
	p, _ := newStablePlacer(t, 8, engines, mayAlwaysAct)
	runRounds(t, p, func() bool {
		done := 0
		for _, target := range p.Targets() {
			if target.Done {
				done++
			}
		}
		return done == 8
	})
}

// An engine counts as just joined for a while after it is first seen, and again when it comes
// back under another id.
func TestJustJoined(t *testing.T) {
	now := clock.NewManual()
	now.Advance(100 * spanrill.Second)
	p, table := newTestPlacer(t, 2, spanrill.LayerRange{}, newFakeEngines(), mayAlwaysAct, now)
	look := func() map[string]bool {
		joined := map[string]bool{}
		engines, _ := p.planInput(t.Context(), &p.models()[0])
		for _, e := range engines {
			joined[e.ID] = joined[e.ID] || e.JustJoined // a departed engine is in the input for a while
		}
		return joined
	}
	if got := look(); !got["e0"] || !got["e1"] {
		t.Fatalf("when first seen: just joined are %v, want both", got)
	}
	now.Advance(justJoinedTime)
	if got := look(); got["e0"] || got["e1"] {
		t.Fatalf("after %d ms: just joined are %v, want none", justJoinedTime, got)
	}
	table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: "e0", Service: "s", Addr: "e0"}, {ID: "new", Service: "s", Addr: "e1"}}, Revision: 2}, now.Now())
	if got := look(); got["e0"] || !got["new"] {
		t.Fatalf("one replaced: just joined are %v, want the new one only", got)
	}
	table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: "e0", Service: "s", Addr: "e0"}}, Revision: 3}, now.Now())
	now.Advance(justJoinedTime)
	table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: "e0", Service: "s", Addr: "e0"}, {ID: "e1", Service: "s", Addr: "e1"}}, Revision: 4}, now.Now())
	if got := look(); !got["e1"] {
		t.Fatalf("one came back: just joined are %v, want it too", got)
	}
}
