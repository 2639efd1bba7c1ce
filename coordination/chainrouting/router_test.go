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
	Layers: 12, LayerMB: 100, Slots: 64, TokenBytes: 120000, ActBytes: 1000, StepMillis: 1, PerSequence: 0.01,
	ReadPerMilli: 100, PipeMbps: 9000, UsualPrompt: 100, UsualAnswer: 100,
	Kinds: map[string]spanrill.KindModel{"card": {Name: "card", MemoryMB: 1000, Pace: 1, ReadFactor: 1}},
}

// world is a router over engines that a test sets.
type world struct {
	table  *fleet.Table
	router *Router
	clock  *clock.Manual
	at     uint64
	items  map[string]spanrill.EngineEntry
}

func newWorld(entries ...spanrill.EngineEntry) *world {
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &world{clock: clock.NewManual(), items: map[string]spanrill.EngineEntry{}}
	w.table = fleet.New(w.clock, func(item spanrill.Item) (e spanrill.EngineEntry, err error) {
		err = json.Unmarshal(item.Value, &e)
		return e, err
	}, fleet.WithLogger(log))
	w.router = New(w.table, w.clock, log, rng.New(1))
	for _, e := range entries {
		w.items[e.ID] = e
	}
	w.list()
	return w
}

func (w *world) list() {
	w.at++
	var items []spanrill.Item
	for id, e := range w.items {
		e.Revision = w.at
		value, err := json.Marshal(e)
		if err != nil {
			panic(err)
		}
		items = append(items, spanrill.Item{Name: id, Value: value})
	}
	w.table.Listed(items, w.at, w.clock.Now())
}

func engine(id, zone string, from, to int) spanrill.EngineEntry {
	return spanrill.EngineEntry{
		ID: id, Service: service, Addr: id + ":1", Zone: zone, Kind: "card", Slots: 64,
		Layers: spanrill.LayerRange{From: from, To: to},
	}
}

// chains are two chains in two availability zones.
func chains() []spanrill.EngineEntry {
	return []spanrill.EngineEntry{
		engine("a1", "za", 0, 4), engine("a2", "za", 4, 8), engine("a3", "za", 8, 12),
		engine("b1", "zb", 0, 6), engine("b2", "zb", 6, 12),
	}
}

func need(zone string) Need { return Need{Prompt: 100, Answer: 100, Zone: zone} }

// ids returns the engines of a path in order.
func ids(p *Path) string {
	s := ""
	for _, part := range p.Parts() {
		s += fmt.Sprintf("%s=%d-%d ", part.Upstream.ID(), part.Layers.From, part.Layers.To)
	}
	return s
}

func TestPick(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(w *world)
		need   Need
		want   string
		err    error
	}{
		{"the own zone", func(*world) {}, need("za"), "a1=0-4 a2=4-8 a3=8-12 ", nil},
		{"a leaving engine is in no path", func(w *world) {
			e := w.items["a2"]
			e.Leaving = true
			w.items["a2"] = e
			w.list()
		}, need("za"), "b1=0-6 b2=6-12 ", nil},
		{"a dead engine is in no path", func(w *world) { w.table.View().ByID("a1").SetDead(true) }, need("za"), "b1=0-6 b2=6-12 ", nil},
		{"what the request has to avoid", func(*world) {}, Need{Prompt: 100, Answer: 100, Zone: "za", Avoid: map[string]bool{"a3": true}}, "b1=0-6 b2=6-12 ", nil},
		{"only these may be first", func(*world) {}, Need{Prompt: 100, Answer: 100, Zone: "za", First: map[string]bool{"b1": true}}, "b1=0-6 b2=6-12 ", nil},
		{"layers that are about to go", func(w *world) {
			w.table.View().ByID("a2").SetTarget(&fleet.Target{Layers: spanrill.LayerRange{From: 0, To: 5}})
			w.table.Touch()
		}, need("za"), "b1=0-6 b2=6-12 ", nil},
		{"a hole is bridged when there is no other chain", func(w *world) {
			w.table.View().ByID("a2").SetDead(true)
			w.table.View().ByID("b1").SetDead(true)
		}, need("za"), "", ErrNoPath},
		{"parts of what others hold", func(w *world) {
			delete(w.items, "b2")
			delete(w.items, "a2")
			w.list()
		}, need("za"), "", ErrNoPath},
		{"a chain that is full is left out", func(w *world) { w.table.View().ByID("a1").Reserve(1e7) }, need("za"), "b1=0-6 b2=6-12 ", nil},
		{"all are full", func(w *world) {
			w.table.View().ByID("a1").Reserve(1e7)
			w.table.View().ByID("b2").Reserve(1e7)
		}, need("za"), "", ErrNoRoom},
		{"an engine that has failed a request lately is left out", func(w *world) {
			w.table.View().ByID("a1").Avoid(w.clock.Now() + 400)
		}, need("za"), "b1=0-6 b2=6-12 ", nil},
		{"and is used when all else is full", func(w *world) {
			w.table.View().ByID("a1").Avoid(w.clock.Now() + 400)
			w.table.View().ByID("b1").Reserve(1e7)
		}, need("za"), "a1=0-4 a2=4-8 a3=8-12 ", nil},
		{"one that refuses is not", func(w *world) {
			w.table.View().ByID("a1").Refused(w.clock.Now(), true)
			w.table.View().ByID("b1").Reserve(1e7)
		}, need("za"), "", ErrNoRoom},
		{"no path begins at an engine that rests", func(w *world) {
			w.table.Notice("a1:1", spanrill.Notice{Rest: 3000}, w.clock.Now())
		}, need("za"), "b1=0-6 b2=6-12 ", nil},
		{"an engine that rests runs what another one hands on", func(w *world) {
			w.table.Notice("a2:1", spanrill.Notice{Rest: 3000}, w.clock.Now())
		}, need("za"), "a1=0-4 a2=4-8 a3=8-12 ", nil},
		{"all engines rest at which paths begin", func(w *world) {
			w.table.Notice("a1:1", spanrill.Notice{Rest: 3000}, w.clock.Now())
			w.table.Notice("b1:1", spanrill.Notice{Rest: 1000}, w.clock.Now())
		}, need("za"), "", ErrRests},
		{"one of them has rested", func(w *world) {
			w.table.Notice("a1:1", spanrill.Notice{Rest: 3000}, w.clock.Now())
			w.table.Notice("b1:1", spanrill.Notice{Rest: 1000}, w.clock.Now())
			w.clock.Advance(1000)
		}, need("za"), "b1=0-6 b2=6-12 ", nil},
		{"no path begins at an engine whose rate limit is exhausted", func(w *world) { w.exhaustLimit("a1") }, need("za"), "b1=0-6 b2=6-12 ", nil},
		{"an engine whose rate limit is exhausted receives requests from another engine", func(w *world) { w.exhaustLimit("a2") }, need("za"), "a1=0-4 a2=4-8 a3=8-12 ", nil},
		{"the rate limits of all engines at which paths begin are exhausted", func(w *world) {
			w.exhaustLimit("a1")
			w.exhaustLimit("b1")
		}, need("za"), "", ErrLimited},
		{"one of these engines accepts requests again", func(w *world) {
			w.exhaustLimit("a1")
			w.exhaustLimit("b1")
			w.clock.Advance(limitWait)
			w.exhaustLimit("a1")
		}, need("za"), "b1=0-6 b2=6-12 ", nil},
		{"no path has an engine that has said in an answer that it leaves", func(w *world) {
			w.table.Notice("a2:1", spanrill.Notice{Leaving: true}, w.clock.Now())
		}, need("za"), "b1=0-6 b2=6-12 ", nil},
		{"a path on which first events take long", func(w *world) {
			for range 8 {
				w.table.View().ByID("a1").NoteLag(w.clock.Now(), 6)
			}
		}, need("za"), "b1=0-6 b2=6-12 ", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(chains()...)
			c.change(w)
			p, err := w.router.Pick(service, model, c.need)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err != nil {
				return
			}
			if got := ids(p); got != c.want || !p.Whole(model.Layers) {
				t.Fatalf("path %s, want %s", got, c.want)
			}
		})
	}
}

// Whatever engines hold and whichever are lost, a path that is chosen runs every
// layer once and in order, and no engine twice.
func TestPathsAreWhole(t *testing.T) {
	random := rng.New(7)
	found := 0
	for range 400 {
		var entries []spanrill.EngineEntry
		for i := range 4 + random.IntN(10) {
			from := random.IntN(12)
			entries = append(entries, engine(fmt.Sprintf("e%d", i), fmt.Sprint(random.IntN(2)), from, from+1+random.IntN(12-from)))
		}
		w := newWorld(entries...)
		w.table.View().Each(func(u *fleet.Upstream) { u.SetDead(random.IntN(6) == 0) })
		p, err := w.router.Pick(service, model, need("0"))
		if err != nil {
			continue
		}
		found++
		if !p.Whole(model.Layers) {
			t.Fatalf("path %s over %v", p, entries)
		}
		for _, part := range p.Parts() {
			if part.Upstream.Dead() || part.Layers.From < part.Upstream.Layers().From || part.Layers.To > part.Upstream.Layers().To {
				t.Fatalf("path %s over %v", p, entries)
			}
		}
	}
	if found < 50 {
		t.Fatalf("only %d of 400 fleets had a path", found)
	}
}

// What a path reserves is given back once, also when it grew.
func TestRelease(t *testing.T) {
	w := newWorld(chains()...)
	p, err := w.router.Pick(service, model, need("za"))
	if err != nil {
		t.Fatal(err)
	}
	u := p.First()
	if u.Tokens() == 0 || u.Calls() != 1 {
		t.Fatalf("%d tokens and %d calls reserved", u.Tokens(), u.Calls())
	}
	p.Grow(1000)
	if u.Tokens() != 1000 {
		t.Fatalf("%d tokens reserved after it grew, want 1000", u.Tokens())
	}
	p.Release()
	p.Release()
	if u.Tokens() != 0 || u.Calls() != 0 {
		t.Fatalf("%d tokens and %d calls are left", u.Tokens(), u.Calls())
	}
}

// A dead part is replaced by an engine of its own zone if that is asked for.
func TestReplace(t *testing.T) {
	w := newWorld(append(chains(), engine("a4", "za", 3, 9))...)
	p, err := w.router.Pick(service, model, need("za"))
	if err != nil {
		t.Fatal(err)
	}
	w.table.View().ByID("a2").SetDead(true)
	next, err := w.router.Replace(service, model, p, need("za"), true)
	if err != nil {
		t.Fatal(err)
	}
	if got := ids(next); got != "a1=0-4 a4=4-8 a3=8-12 " || !next.Whole(model.Layers) {
		t.Fatalf("path %s", got)
	}
	w.table.View().ByID("a4").SetDead(true)
	if _, err := w.router.Replace(service, model, p, need("za"), true); !errors.Is(err, ErrNoPath) {
		t.Fatalf("near by: error %v, want %v", err, ErrNoPath)
	}
	far, err := w.router.Replace(service, model, p, need("za"), false)
	if err != nil || !far.Whole(model.Layers) {
		t.Fatalf("anywhere: path %v, error %v", far, err)
	}
}

// A path to which a running request is moved holds no engine that refuses the move:
// one that leaves, or that is being ordered to hold other layers.
func TestReplaceNeedsEnginesThatTakePart(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(w *world)
		want   string
	}{
		{"a later engine leaves", func(w *world) { w.leave("a3") }, "a1=0-4 a4=4-9 a5=9-12 "},
		{"a later engine gives its layers up", func(w *world) {
			w.table.View().ByID("a3").SetTarget(&fleet.Target{Layers: spanrill.LayerRange{From: 0, To: 4}})
		}, "a1=0-4 a4=4-9 a5=9-12 "},
		{"the first engine leaves", func(w *world) { w.leave("a1") }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(append(chains(), engine("a4", "za", 3, 9), engine("a5", "za", 9, 12))...)
			p, err := w.router.Pick(service, model, need("za"))
			if err != nil || ids(p) != "a1=0-4 a2=4-8 a3=8-12 " {
				t.Fatalf("path %v, error %v", p, err)
			}
			c.change(w)
			w.table.View().ByID("a2").SetDead(true)
			next, err := w.router.Replace(service, model, p, need("za"), true)
			if c.want == "" {
				if !errors.Is(err, ErrNoPath) {
					t.Fatalf("path %v, error %v, want %v", next, err, ErrNoPath)
				}
				return
			}
			if err != nil || ids(next) != c.want {
				t.Fatalf("path %v, error %v, want %s", next, err, c.want)
			}
		})
	}
}

// A path is told to leave engines that are to give up what it runs there, and no others.
func TestGivenUp(t *testing.T) {
	for _, c := range []struct {
		name   string
		target *fleet.Target
		want   bool
	}{
		{"no order", nil, false},
		{"it keeps the part", &fleet.Target{Layers: spanrill.LayerRange{From: 2, To: 8}}, false},
		{"it gives a part of it up", &fleet.Target{Layers: spanrill.LayerRange{From: 5, To: 9}}, true},
		{"it has changed already", &fleet.Target{Layers: spanrill.LayerRange{From: 5, To: 9}, Done: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(chains()...)
			p, err := w.router.Pick(service, model, need("za"))
			if err != nil {
				t.Fatal(err)
			}
			w.table.View().ByID("a2").SetTarget(c.target)
			if p.GivenUp() != c.want {
				t.Fatalf("given up %t, want %t", p.GivenUp(), c.want)
			}
		})
	}
}

// leave has an engine say that it leaves.
func (w *world) leave(id string) {
	e := w.items[id]
	e.Leaving = true
	w.items[id] = e
	w.list()
}

// Requests that move at the same moment spread over the engines that hold the
// layers: all at one would be read there one after the other.
func TestMovesSpread(t *testing.T) {
	half := func(id string, from int) spanrill.EngineEntry {
		return spanrill.EngineEntry{ID: id, Service: service, Addr: id, Zone: "z", Kind: "card", Slots: 64, Layers: spanrill.LayerRange{From: from, To: from + 6}}
	}
	w := newWorld(half("first", 0), half("lost", 6), half("one", 6), half("other", 6))
	taken := map[string]int{}
	for range 64 {
		p, err := w.router.Pick(service, model, Need{Prompt: 10, Answer: 10, Avoid: map[string]bool{"one": true, "other": true}})
		if err != nil {
			t.Fatal(err)
		}
		w.table.View().ByID("lost").SetDead(true)
		next, err := w.router.Replace(service, model, p, Need{Prompt: 10, Answer: 10}, true)
		if err != nil {
			t.Fatal(err)
		}
		taken[next.Parts()[1].Upstream.ID()]++
		next.Release()
		p.Release()
		w.table.View().ByID("lost").SetDead(false)
	}
	if taken["one"] < 16 || taken["other"] < 16 {
		t.Fatalf("moves went to %v", taken)
	}
}

// limitWait is how long exhaustLimit defers requests.
const limitWait spanrill.Millis = 500

// exhaustLimit sets a rate limit for an engine and defers requests to it.
func (w *world) exhaustLimit(id string) {
	limit := spanrill.RateLimit{Set: true, PerSecond: 2}
	w.table.Notice(id+":1", spanrill.Notice{Limit: limit}, w.clock.Now())
	w.table.View().ByID(id).DeferRequests(w.clock.Now(), limitWait)
}
