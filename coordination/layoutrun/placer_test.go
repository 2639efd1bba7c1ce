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
	held        map[string]spanrill.LayerRange // by address, as all maps here
	sequence    map[string]uint64
	orders      map[string]int // orders received
	loseReplies int            // the next n orders are applied, and their replies lost
	loseOrders  int            // the next n orders are lost
	dead        map[string]bool
}

var errNoAnswer = errors.New("no answer")

func (e *fakeEngines) Report(_ context.Context, addr string) (spanrill.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead[addr] {
		return spanrill.EngineReport{}, errNoAnswer
	}
	return spanrill.EngineReport{Layers: e.held[addr], Sequence: e.sequence[addr], Pace: 1}, nil
}

func (e *fakeEngines) Place(_ context.Context, addr, _ string, o spanrill.PlacementOrder) (spanrill.OrderState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders[addr]++
	if e.loseOrders > 0 {
		e.loseOrders--
		return 0, errNoAnswer
	}
	if o.Sequence != e.sequence[addr] {
		return spanrill.OrderConflict, nil
	}
	e.sequence[addr]++
	e.held[addr] = o.Layers
	if e.loseReplies > 0 {
		e.loseReplies--
		return 0, errNoAnswer
	}
	return spanrill.OrderBegun, nil
}

func (e *fakeEngines) Reroute(context.Context, string, string, []spanrill.PathStage) error {
	return nil
}

// newStablePlacer returns a placer of n empty engines that appeared long enough ago for a first
// layout, and its table.
func newStablePlacer(t *testing.T, n int, engines spanrill.LayerEngines, mayPlace MayPlace) (*Placer, *fleet.Table) {
	t.Helper()
	p, table := newTestPlacer(t, n, spanrill.LayerRange{}, engines, mayPlace, clock.NewSystem())
	p.engineCounts["s"], p.lastAddedAt["s"] = n, -maxWaitForLayout // all engines appeared long ago
	return p, table
}

// newTestPlacer returns a placer of n engines that hold the same layers, and its table.
func newTestPlacer(t *testing.T, n int, held spanrill.LayerRange, engines spanrill.LayerEngines, mayPlace MayPlace, now spanrill.Clock) (*Placer, *fleet.Table) {
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
	table.HandleList(items, 1, 0)
	services := func() []spanrill.ServiceInfo { return []spanrill.ServiceInfo{{Name: "s", Model: model}} }
	return New(mayPlace, engines, table, services, now, log), table
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{held: map[string]spanrill.LayerRange{}, sequence: map[string]uint64{}, orders: map[string]int{}, dead: map[string]bool{}}
}

func mayAlwaysAct() (uint64, bool) { return 3, true }

// maxRounds is many times the rounds that any of the tests needs.
const maxRounds = 50

// runRounds performs rounds with their orders until a condition holds.
func runRounds(t *testing.T, p *Placer, condition func() bool) {
	t.Helper()
	for range maxRounds {
		if condition() {
			return
		}
		p.Round(context.Background())
		_ = p.tasks.Wait() // errors are logged where they occur
	}
	t.Fatal("the condition did not hold within maxRounds rounds")
}

// covered reports whether the engines together hold all layers.
func (e *fakeEngines) covered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held [12]bool
	for _, l := range e.held {
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

// The engines come to hold all layers although orders or replies are lost, or one engine is
// dead.
func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(*fakeEngines)
	}{
		{"all orders answered", func(*fakeEngines) {}},
		{"orders applied and not answered", func(e *fakeEngines) { e.loseReplies = 3 }},
		{"orders neither applied nor answered", func(e *fakeEngines) { e.loseOrders = 3 }},
		{"one engine is dead", func(e *fakeEngines) { e.dead["e1"] = true }},
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
		t.Fatalf("orders sent without the lease: %v, want none", engines.orders)
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
		t.Fatalf("the dead engine got %d orders, want none", n)
	}
}

// Targets shows an order as done once the engine has confirmed it, before its entry shows the
// layers.
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
	justJoined := func() map[string]bool {
		joined := map[string]bool{}
		engines, _ := p.planInput(t.Context(), &p.services()[0])
		for _, e := range engines {
			joined[e.ID] = joined[e.ID] || e.JustJoined // a departed engine is in the input for a while
		}
		return joined
	}
	if got := justJoined(); !got["e0"] || !got["e1"] {
		t.Fatalf("when first seen: just joined are %v, want both", got)
	}
	now.Advance(justJoinedTime)
	if got := justJoined(); got["e0"] || got["e1"] {
		t.Fatalf("after %d ms: just joined are %v, want none", justJoinedTime, got)
	}
	table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: "e0", Service: "s", Addr: "e0"}, {ID: "new", Service: "s", Addr: "e1"}}, Revision: 2}, now.Now())
	if got := justJoined(); got["e0"] || !got["new"] {
		t.Fatalf("one replaced: just joined are %v, want the new one only", got)
	}
	table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: "e0", Service: "s", Addr: "e0"}}, Revision: 3}, now.Now())
	now.Advance(justJoinedTime)
	table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: "e0", Service: "s", Addr: "e0"}, {ID: "e1", Service: "s", Addr: "e1"}}, Revision: 4}, now.Now())
	if got := justJoined(); !got["e1"] {
		t.Fatalf("one came back: just joined are %v, want it too", got)
	}
}
