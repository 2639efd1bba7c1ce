package chainrouting

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/rng"
	"spanrill/state/fleet"
)

const service = "advice"

var model = &spanrill.EngineModel{
	Layers: 12, LayerMB: 100, Slots: 64, KVTokenBytes: 120000, ActivationBytes: 1000, StepMillis: 1, StepMillisPerRequest: 0.01,
	PrefillTokensPerMilli: 100, ZoneLinkMbps: 9000, MeanPromptTokens: 100, MeanAnswerTokens: 100,
	Kinds: map[string]spanrill.AcceleratorKind{"card": {Name: "card", MemoryMB: 1000, StepFactor: 1, PrefillFactor: 1}},
}

// testFleet is a router over engines whose entries a test sets.
type testFleet struct {
	table    *fleet.Table
	router   *Router
	clock    *clock.Manual
	revision uint64
	entries  map[string]spanrill.EngineEntry
}

func newTestFleet(entries ...spanrill.EngineEntry) *testFleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &testFleet{clock: clock.NewManual(), entries: map[string]spanrill.EngineEntry{}}
	f.table = fleet.New(f.clock, func(item spanrill.Item) (e spanrill.EngineEntry, err error) {
		err = json.Unmarshal(item.Value, &e)
		return e, err
	}, fleet.WithLogger(log))
	f.router = New(f.table, f.clock, log, rng.New(1))
	for _, e := range entries {
		f.entries[e.ID] = e
	}
	f.publish()
	return f
}

func (f *testFleet) publish() {
	f.revision++
	var items []spanrill.Item
	for id, e := range f.entries {
		e.Revision = f.revision
		value, err := json.Marshal(e)
		if err != nil {
			panic(err)
		}
		items = append(items, spanrill.Item{Name: id, Value: value})
	}
	f.table.HandleList(items, f.revision, f.clock.Now())
}

func engine(id, zone string, from, to int) spanrill.EngineEntry {
	return spanrill.EngineEntry{
		ID: id, Service: service, Addr: id + ":1", Zone: zone, Kind: "card", Slots: 64,
		Layers: spanrill.LayerRange{From: from, To: to},
	}
}

// twoChains returns the entries of two chains in two availability zones.
func twoChains() []spanrill.EngineEntry {
	return []spanrill.EngineEntry{
		engine("a1", "za", 0, 4), engine("a2", "za", 4, 8), engine("a3", "za", 8, 12),
		engine("b1", "zb", 0, 6), engine("b2", "zb", 6, 12),
	}
}

func needFrom(zone string) Need { return Need{Prompt: 100, Answer: 100, Zone: zone} }

// describePath returns the engines of a path and their layers, in order.
func describePath(p *Path) string {
	s := ""
	for _, part := range p.Parts() {
		s += fmt.Sprintf("%s=%d-%d ", part.Upstream.ID(), part.Layers.From, part.Layers.To)
	}
	return s
}

func TestPick(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *testFleet)
		need   Need
		want   string
		err    error
	}{
		{"a path in the zone of the daemon", func(*testFleet) {}, needFrom("za"), "a1=0-4 a2=4-8 a3=8-12 ", nil},
		{"a leaving engine is skipped", func(f *testFleet) {
			e := f.entries["a2"]
			e.Leaving = true
			f.entries["a2"] = e
			f.publish()
		}, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
		{"a dead engine is skipped", func(f *testFleet) { f.table.View().ByID("a1").SetDead(true) }, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
		{"an engine in Avoid is skipped", func(*testFleet) {}, Need{Prompt: 100, Answer: 100, Zone: "za", Avoid: map[string]bool{"a3": true}}, "b1=0-6 b2=6-12 ", nil},
		{"a path begins at an engine in First", func(*testFleet) {}, Need{Prompt: 100, Answer: 100, Zone: "za", First: map[string]bool{"b1": true}}, "b1=0-6 b2=6-12 ", nil},
		{"an engine ordered to hold other layers is skipped", func(f *testFleet) {
			f.table.View().ByID("a2").SetTarget(&fleet.Target{Layers: spanrill.LayerRange{From: 0, To: 5}})
			f.table.RefreshView()
		}, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
		{"a hole that no other engine covers", func(f *testFleet) {
			f.table.View().ByID("a2").SetDead(true)
			f.table.View().ByID("b1").SetDead(true)
		}, needFrom("za"), "", ErrNoPath},
		{"missing layers that no engine holds", func(f *testFleet) {
			delete(f.entries, "b2")
			delete(f.entries, "a2")
			f.publish()
		}, needFrom("za"), "", ErrNoPath},
		{"a full chain is skipped", func(f *testFleet) { f.table.View().ByID("a1").Reserve(1e7) }, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
		{"all chains are full", func(f *testFleet) {
			f.table.View().ByID("a1").Reserve(1e7)
			f.table.View().ByID("b2").Reserve(1e7)
		}, needFrom("za"), "", ErrNoRoom},
		{"an engine that has recently failed a request is skipped", func(f *testFleet) {
			f.table.View().ByID("a1").Avoid(f.clock.Now() + 400)
		}, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
		{"an engine that has recently failed a request is used when all else is full", func(f *testFleet) {
			f.table.View().ByID("a1").Avoid(f.clock.Now() + 400)
			f.table.View().ByID("b1").Reserve(1e7)
		}, needFrom("za"), "a1=0-4 a2=4-8 a3=8-12 ", nil},
		{"an engine that refuses requests is skipped even when all else is full", func(f *testFleet) {
			f.table.View().ByID("a1").RecordRefusal(f.clock.Now(), true)
			f.table.View().ByID("b1").Reserve(1e7)
		}, needFrom("za"), "", ErrNoRoom},
		{"no path begins at an engine that rests", func(f *testFleet) {
			f.table.HandleNotice("a1:1", spanrill.Notice{Rest: 3000}, f.clock.Now())
		}, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
		{"an engine that rests receives requests from another engine", func(f *testFleet) {
			f.table.HandleNotice("a2:1", spanrill.Notice{Rest: 3000}, f.clock.Now())
		}, needFrom("za"), "a1=0-4 a2=4-8 a3=8-12 ", nil},
		{"all engines at which paths begin rest", func(f *testFleet) {
			f.table.HandleNotice("a1:1", spanrill.Notice{Rest: 3000}, f.clock.Now())
			f.table.HandleNotice("b1:1", spanrill.Notice{Rest: 1000}, f.clock.Now())
		}, needFrom("za"), "", ErrResting},
		{"a path begins at an engine whose rest has ended", func(f *testFleet) {
			f.table.HandleNotice("a1:1", spanrill.Notice{Rest: 3000}, f.clock.Now())
			f.table.HandleNotice("b1:1", spanrill.Notice{Rest: 1000}, f.clock.Now())
			f.clock.Advance(1000)
		}, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
		{"no path begins at an engine whose rate limit is exhausted", func(f *testFleet) { f.exhaustLimit("a1") }, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
		{"an engine whose rate limit is exhausted receives requests from another engine", func(f *testFleet) { f.exhaustLimit("a2") }, needFrom("za"), "a1=0-4 a2=4-8 a3=8-12 ", nil},
		{"the rate limits of all engines at which paths begin are exhausted", func(f *testFleet) {
			f.exhaustLimit("a1")
			f.exhaustLimit("b1")
		}, needFrom("za"), "", ErrLimited},
		{"a path begins at an engine whose rate limit is no longer exhausted", func(f *testFleet) {
			f.exhaustLimit("a1")
			f.exhaustLimit("b1")
			f.clock.Advance(limitDelay)
			f.exhaustLimit("a1")
		}, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
		{"an engine that has announced in an answer that it leaves is skipped", func(f *testFleet) {
			f.table.HandleNotice("a2:1", spanrill.Notice{Leaving: true}, f.clock.Now())
		}, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
		{"a path whose first engine has answered late is avoided", func(f *testFleet) {
			for range 8 {
				f.table.View().ByID("a1").RecordLag(f.clock.Now(), 6)
			}
		}, needFrom("za"), "b1=0-6 b2=6-12 ", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(twoChains()...)
			c.change(f)
			p, err := f.router.Pick(service, model, c.need)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err != nil {
				return
			}
			if got := describePath(p); got != c.want || !p.Covers(model.Layers) {
				t.Fatalf("path %s, want %s, and every layer once", got, c.want)
			}
		})
	}
}

// Whatever layers engines hold and whichever engines are dead, a chosen path runs every layer
// once and in order, and no engine twice.
func TestPathRunsEveryLayerOnce(t *testing.T) {
	random := rng.New(7)
	found := 0
	for range 400 {
		var entries []spanrill.EngineEntry
		for i := range 4 + random.IntN(10) {
			from := random.IntN(12)
			entries = append(entries, engine(fmt.Sprintf("e%d", i), fmt.Sprint(random.IntN(2)), from, from+1+random.IntN(12-from)))
		}
		f := newTestFleet(entries...)
		f.table.View().Each(func(u *fleet.Upstream) { u.SetDead(random.IntN(6) == 0) })
		p, err := f.router.Pick(service, model, needFrom("0"))
		if err != nil {
			continue
		}
		found++
		if !p.Covers(model.Layers) {
			t.Fatalf("path %s does not run every layer once, over the engines %v", p, entries)
		}
		for _, part := range p.Parts() {
			if part.Upstream.Dead() || part.Layers.From < part.Upstream.Layers().From || part.Layers.To > part.Upstream.Layers().To {
				t.Fatalf("path %s uses a dead engine or layers that an engine does not hold, over the engines %v", p, entries)
			}
		}
	}
	if found < 50 {
		t.Fatalf("only %d of 400 fleets had a path, want at least 50", found)
	}
}

// Release returns the reservation once, including what Grow has added.
func TestReleaseReturnsReservationOnce(t *testing.T) {
	f := newTestFleet(twoChains()...)
	p, err := f.router.Pick(service, model, needFrom("za"))
	if err != nil {
		t.Fatal(err)
	}
	u := p.First()
	if u.Tokens() == 0 || u.Calls() != 1 {
		t.Fatalf("%d tokens and %d calls reserved, want some tokens and 1 call", u.Tokens(), u.Calls())
	}
	p.Grow(1000)
	if u.Tokens() != 1000 {
		t.Fatalf("%d tokens reserved after Grow(1000), want 1000", u.Tokens())
	}
	p.Release()
	p.Release()
	if u.Tokens() != 0 || u.Calls() != 0 {
		t.Fatalf("%d tokens and %d calls still reserved after Release, want none", u.Tokens(), u.Calls())
	}
}

// A dead part is replaced by an engine of its own availability zone if sameZone is set, and of any
// zone otherwise.
func TestReplace(t *testing.T) {
	f := newTestFleet(append(twoChains(), engine("a4", "za", 3, 9))...)
	p, err := f.router.Pick(service, model, needFrom("za"))
	if err != nil {
		t.Fatal(err)
	}
	f.table.View().ByID("a2").SetDead(true)
	next, err := f.router.Replace(service, model, p, needFrom("za"), true)
	if err != nil {
		t.Fatal(err)
	}
	if got := describePath(next); got != "a1=0-4 a4=4-8 a3=8-12 " || !next.Covers(model.Layers) {
		t.Fatalf("path %s, want a1=0-4 a4=4-8 a3=8-12", got)
	}
	f.table.View().ByID("a4").SetDead(true)
	if _, err := f.router.Replace(service, model, p, needFrom("za"), true); !errors.Is(err, ErrNoPath) {
		t.Fatalf("same zone: error %v, want %v", err, ErrNoPath)
	}
	far, err := f.router.Replace(service, model, p, needFrom("za"), false)
	if err != nil || !far.Covers(model.Layers) {
		t.Fatalf("any zone: path %v, error %v, want a path that covers all layers", far, err)
	}
}

// Replace keeps no engine that would refuse the moved request: one that leaves, or that is
// ordered to hold other layers.
func TestReplaceBypassesEnginesThatRefuseMoves(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *testFleet)
		want   string
	}{
		{"a later engine leaves", func(f *testFleet) { f.setLeaving("a3") }, "a1=0-4 a4=4-9 a5=9-12 "},
		{"a later engine is ordered to drop its layers", func(f *testFleet) {
			f.table.View().ByID("a3").SetTarget(&fleet.Target{Layers: spanrill.LayerRange{From: 0, To: 4}})
		}, "a1=0-4 a4=4-9 a5=9-12 "},
		{"the first engine leaves", func(f *testFleet) { f.setLeaving("a1") }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(append(twoChains(), engine("a4", "za", 3, 9), engine("a5", "za", 9, 12))...)
			p, err := f.router.Pick(service, model, needFrom("za"))
			if err != nil || describePath(p) != "a1=0-4 a2=4-8 a3=8-12 " {
				t.Fatalf("path %v, error %v, want a1=0-4 a2=4-8 a3=8-12", p, err)
			}
			c.change(f)
			f.table.View().ByID("a2").SetDead(true)
			next, err := f.router.Replace(service, model, p, needFrom("za"), true)
			if c.want == "" {
				if !errors.Is(err, ErrNoPath) {
					t.Fatalf("path %v, error %v, want %v", next, err, ErrNoPath)
				}
				return
			}
			if err != nil || describePath(next) != c.want {
				t.Fatalf("path %v, error %v, want %s", next, err, c.want)
			}
		})
	}
}

// A path loses layers only if an engine is ordered to drop layers that the path runs there.
func TestPathLosesLayers(t *testing.T) {
	for _, c := range []struct {
		name   string
		target *fleet.Target
		want   bool
	}{
		{"no order", nil, false},
		{"the engine keeps the layers", &fleet.Target{Layers: spanrill.LayerRange{From: 2, To: 8}}, false},
		{"the engine drops some of the layers", &fleet.Target{Layers: spanrill.LayerRange{From: 5, To: 9}}, true},
		{"the engine has carried out the order", &fleet.Target{Layers: spanrill.LayerRange{From: 5, To: 9}, Done: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(twoChains()...)
			p, err := f.router.Pick(service, model, needFrom("za"))
			if err != nil {
				t.Fatal(err)
			}
			f.table.View().ByID("a2").SetTarget(c.target)
			if p.LosesLayers() != c.want {
				t.Fatalf("loses layers: %t, want %t", p.LosesLayers(), c.want)
			}
		})
	}
}

// setLeaving publishes an entry that says that the engine leaves.
func (f *testFleet) setLeaving(id string) {
	e := f.entries[id]
	e.Leaving = true
	f.entries[id] = e
	f.publish()
}

// Requests that move at the same moment spread over the engines that hold the layers: on one
// engine their tokens would be read one after the other.
func TestSimultaneousMovesSpreadOverEngines(t *testing.T) {
	engineWithHalf := func(id string, from int) spanrill.EngineEntry {
		return spanrill.EngineEntry{ID: id, Service: service, Addr: id, Zone: "z", Kind: "card", Slots: 64, Layers: spanrill.LayerRange{From: from, To: from + 6}}
	}
	f := newTestFleet(engineWithHalf("first", 0), engineWithHalf("lost", 6), engineWithHalf("one", 6), engineWithHalf("other", 6))
	moves := map[string]int{}
	for range 64 {
		p, err := f.router.Pick(service, model, Need{Prompt: 10, Answer: 10, Avoid: map[string]bool{"one": true, "other": true}})
		if err != nil {
			t.Fatal(err)
		}
		f.table.View().ByID("lost").SetDead(true)
		next, err := f.router.Replace(service, model, p, Need{Prompt: 10, Answer: 10}, true)
		if err != nil {
			t.Fatal(err)
		}
		moves[next.Parts()[1].Upstream.ID()]++
		next.Release()
		p.Release()
		f.table.View().ByID("lost").SetDead(false)
	}
	if moves["one"] < 16 || moves["other"] < 16 {
		t.Fatalf("moves by engine: %v, want at least 16 of 64 at each", moves)
	}
}

// limitDelay is how long exhaustLimit defers requests.
const limitDelay spanrill.Millis = 500

// exhaustLimit sets a rate limit for an engine and defers requests to it.
func (f *testFleet) exhaustLimit(id string) {
	limit := spanrill.RateLimit{Set: true, PerSecond: 2}
	f.table.HandleNotice(id+":1", spanrill.Notice{Limit: limit}, f.clock.Now())
	f.table.View().ByID(id).DeferRequests(f.clock.Now(), limitDelay)
}
