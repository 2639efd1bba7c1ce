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
	Layers: 12, LayerMB: 100, Slots: 64, TokenBytes: 120000, StepMillis: 1, ReadPerMilli: 100, LoadSeconds: 0.01,
	UsualPrompt: 100, UsualAnswer: 100,
	Kinds: map[string]spanrill.KindModel{"card": {Name: "card", MemoryMB: 600, Pace: 1, ReadFactor: 1}},
}

// cards are engines that take orders, with faults.
type cards struct {
	mu       sync.Mutex
	held     map[string]spanrill.LayerRange
	sequence map[string]uint64
	orders   map[string]int
	lose     int // the next n orders are taken and not answered
	drop     int // the next n orders are neither taken nor answered
	dead     map[string]bool
}

var errNoAnswer = errors.New("no answer")

func (c *cards) Report(_ context.Context, addr string) (spanrill.EngineReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[addr] {
		return spanrill.EngineReport{}, errNoAnswer
	}
	return spanrill.EngineReport{Layers: c.held[addr], Sequence: c.sequence[addr], Pace: 1}, nil
}

func (c *cards) Place(_ context.Context, addr, _ string, o spanrill.PlaceOrder) (spanrill.OrderState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[addr]++
	if c.drop > 0 {
		c.drop--
		return 0, errNoAnswer
	}
	if o.Sequence != c.sequence[addr] {
		return spanrill.OrderConflict, nil
	}
	c.sequence[addr]++
	c.held[addr] = o.Layers
	if c.lose > 0 {
		c.lose--
		return 0, errNoAnswer
	}
	return spanrill.OrderBegun, nil
}

func (c *cards) Repath(context.Context, string, string, []spanrill.PathPart) error { return nil }

// place runs a placer over n engines until every one of them is done, and
// returns the engines and the table.
func place(t *testing.T, n int, c spanrill.LayerEngines, may MayAct) (*Placer, *fleet.Table) {
	t.Helper()
	p, table := placerOf(t, n, spanrill.LayerRange{}, c, may, clock.NewSystem())
	p.known["s"], p.grewAt["s"] = n, -settleMost // all engines have been there for long
	return p, table
}

// placerOf returns a placer of n engines that hold the same layers.
func placerOf(t *testing.T, n int, held spanrill.LayerRange, c spanrill.LayerEngines, may MayAct, now spanrill.Clock) (*Placer, *fleet.Table) {
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

func newCards() *cards {
	return &cards{held: map[string]spanrill.LayerRange{}, sequence: map[string]uint64{}, orders: map[string]int{}, dead: map[string]bool{}}
}

func always() (uint64, bool) { return 3, true }

// maxRounds is many times the rounds that any of the tests needs.
const maxRounds = 50

// rounds lets the placer look and carry out its orders until a condition holds.
func rounds(t *testing.T, p *Placer, ok func() bool) {
	t.Helper()
	for range maxRounds {
		if ok() {
			return
		}
		p.Round(context.Background())
		_ = p.orders.Wait() // their errors are logged where they happen
	}
	t.Fatal("the layout did not come about")
}

// covered reports whether engines hold all layers.
func (c *cards) covered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var at [12]bool
	for _, l := range c.held {
		for i := l.From; i < l.To; i++ {
			at[i] = true
		}
	}
	for _, ok := range at {
		if !ok {
			return false
		}
	}
	return true
}

func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(*cards)
	}{
		{"answered", func(*cards) {}},
		{"taken and not answered", func(c *cards) { c.lose = 3 }},
		{"neither taken nor answered", func(c *cards) { c.drop = 3 }},
		{"one engine is dead", func(c *cards) { c.dead["e1"] = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			engines := newCards()
			c.fault(engines)
			p, _ := place(t, 8, engines, always)
			rounds(t, p, engines.covered)
		})
	}
}

// Without the lease nothing is ordered.
func TestNoLeaseNoOrders(t *testing.T) {
	engines := newCards()
	p, _ := place(t, 8, engines, func() (uint64, bool) { return 0, false })
	for range 5 {
		p.Round(context.Background())
	}
	if _ = p.orders.Wait(); len(engines.orders) != 0 {
		t.Fatalf("orders were given: %v", engines.orders)
	}
}

// An engine that does not answer the placer counts as dead, so that the next
// round plans without it.
func TestDeadEngineIsNotOrderedAgain(t *testing.T) {
	engines := newCards()
	engines.dead["e1"] = true
	p, table := place(t, 8, engines, always)
	rounds(t, p, func() bool { return table.View().ByID("e1").Dead() })
	if n := engines.orders["e1"]; n != 0 {
		t.Fatalf("it got %d orders", n)
	}
}

// What an engine has answered is told before its entry shows it.
func TestDoneIsTold(t *testing.T) {
	engines := newCards()
	p, _ := place(t, 8, engines, always)
	rounds(t, p, func() bool {
		done := 0
		for _, target := range p.Targets() {
			if target.Done {
				done++
			}
		}
		return done == 8
	})
}

// An engine counts as just joined from when it is first heard of, for a while, and again
// when it comes back under another id.
func TestJoined(t *testing.T) {
	now := clock.NewManual()
	now.Advance(100 * spanrill.Second)
	p, table := placerOf(t, 2, spanrill.LayerRange{}, newCards(), always, now)
	look := func() map[string]bool {
		joined := map[string]bool{}
		engines, _ := p.look(t.Context(), &p.models()[0])
		for _, e := range engines {
			joined[e.ID] = joined[e.ID] || e.JustJoined // one that has gone serves on for a while
		}
		return joined
	}
	if got := look(); !got["e0"] || !got["e1"] {
		t.Fatalf("at first sight: %v", got)
	}
	now.Advance(joinTime)
	if got := look(); got["e0"] || got["e1"] {
		t.Fatalf("after %d ms: %v", joinTime, got)
	}
	table.Merge(fleet.Knowledge{Entries: []spanrill.EngineEntry{{ID: "e0", Service: "s", Addr: "e0"}, {ID: "new", Service: "s", Addr: "e1"}}, At: 2}, now.Now())
	if got := look(); got["e0"] || !got["new"] {
		t.Fatalf("one of them new: %v", got)
	}
	table.Merge(fleet.Knowledge{Entries: []spanrill.EngineEntry{{ID: "e0", Service: "s", Addr: "e0"}}, At: 3}, now.Now())
	now.Advance(joinTime)
	table.Merge(fleet.Knowledge{Entries: []spanrill.EngineEntry{{ID: "e0", Service: "s", Addr: "e0"}, {ID: "e1", Service: "s", Addr: "e1"}}, At: 4}, now.Now())
	if got := look(); !got["e1"] {
		t.Fatalf("one that has come back: %v", got)
	}
}
