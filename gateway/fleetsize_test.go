package gateway

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
	"spanrill/transport/peernet"
)

// sizeEngines is the entries of many engines that are given their layers one after the
// other, as after the start of all.
type sizeEngines struct {
	count       int
	from, until spanrill.Millis // the first and the last engine holds its layers
}

const (
	sizeLayers = 80
	sizeParts  = 10 // engines of a chain
	sizeBorn   = 1  // revision of the entries before any layer is held
)

// heldAt returns when an engine holds its layers.
func (s *sizeEngines) heldAt(i int) spanrill.Millis {
	return s.from + (s.until-s.from)*spanrill.Millis(i)/spanrill.Millis(s.count)
}

// changed returns how many engines hold their layers.
func (s *sizeEngines) changed(now spanrill.Millis) int {
	if now < s.from {
		return 0
	}
	n := int((now - s.from) * spanrill.Millis(s.count) / (s.until - s.from))
	return min(s.count, n)
}

func (s *sizeEngines) revision(now spanrill.Millis) uint64 {
	return uint64(sizeBorn + s.changed(now))
}

// layers returns what an engine is to hold.
func (s *sizeEngines) layers(i int) spanrill.LayerRange {
	part := i / startZones % sizeParts
	return spanrill.LayerRange{From: part * sizeLayers / sizeParts, To: (part + 1) * sizeLayers / sizeParts}
}

func (s *sizeEngines) id(i int) string { return fmt.Sprintf("i-%010x", i*2654435761%(1<<40)) }

func (s *sizeEngines) item(i int, held bool) spanrill.Item {
	e := spanrill.EngineEntry{
		ID: s.id(i), Service: "s", Addr: fmt.Sprintf("10.%d.%d.%d:8080", i%startZones, i/250, i%250),
		Zone: fmt.Sprint("zone-", i%startZones), Kind: "l4", Slots: 192, Revision: sizeBorn,
	}
	if held {
		e.Layers, e.Revision = s.layers(i), uint64(sizeBorn+i+1)
	}
	value, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return spanrill.Item{Name: e.ID, Revision: e.Revision, Value: value}
}

func (s *sizeEngines) items(now spanrill.Millis) []spanrill.Item {
	items, held := make([]spanrill.Item, s.count), s.changed(now)
	for i := range items {
		items[i] = s.item(i, i < held)
	}
	return items
}

func (s *sizeEngines) changes(after uint64, now spanrill.Millis) []spanrill.Change {
	var changes []spanrill.Change
	for i := int(after - sizeBorn); i < s.changed(now); i++ {
		changes = append(changes, spanrill.Change{Item: s.item(i, true)})
	}
	return changes
}

// targets returns what a daemon that gives the orders is bringing engines to.
func (s *sizeEngines) targets(now spanrill.Millis) map[string]fleet.Target {
	targets := map[string]fleet.Target{}
	for i := s.changed(now - sizeShown); i < s.changed(now+sizeLoad); i++ {
		targets[s.id(i)] = fleet.Target{Layers: s.layers(i), Done: i < s.changed(now)}
	}
	return targets
}

const (
	// sizeLoad is how long an engine loads, and sizeShown how long after that its entry
	// shows it.
	sizeLoad  spanrill.Millis = 2000
	sizeShown spanrill.Millis = 400
)

// sizePlacerRound is the pause between two looks of the placer.
const sizePlacerRound spanrill.Millis = 150

// sentBytes counts the bytes of messages between daemons by kind.
type sentBytes struct {
	mu    sync.Mutex
	kinds map[peernet.Kind]int64
}

func (s *sentBytes) add(kind peernet.Kind, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind] += int64(size)
}

// take returns the bytes of a kind so far and counts it anew.
func (s *sentBytes) take(kind peernet.Kind) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.kinds[kind]
	delete(s.kinds, kind)
	return n
}

// fleetCost is what a fleet costs while engines change.
type fleetCost struct {
	news, entries, gossip float64 // bytes that a daemon sends in a second, in the mean
	calls                 int     // of the store
	spread                spanrill.Millis
}

// costOf has daemons start before engines, a part of which changes in each second later on.
func costOf(t *testing.T, daemons, engines int) fleetCost {
	t.Helper()
	const starts, watched = 6 * spanrill.Second, 4 * spanrill.Second
	e := &sizeEngines{count: engines, from: startBegin + starts, until: startBegin + starts + watched}
	f := newSizeFleet(t, daemons, e, 1)
	f.run(starts)
	for _, kind := range []peernet.Kind{peermsg.KindNews, peermsg.KindEntries, peermsg.KindGossip} {
		f.sent.take(kind)
	}
	f.calls = 0
	f.run(watched)
	each := func(kind peernet.Kind) float64 {
		return float64(f.sent.take(kind)) / float64(daemons) / float64(watched/spanrill.Second)
	}
	c := fleetCost{news: each(peermsg.KindNews), entries: each(peermsg.KindEntries), gossip: each(peermsg.KindGossip), calls: f.calls}
	for behind := true; behind && c.spread < sizeSpread; c.spread += simStep {
		f.run(simStep)
		behind = false
		for _, d := range f.daemons {
			behind = behind || d.Gateway.fleet.Revision() < e.revision(e.until)
		}
	}
	return c
}

const (
	// sizeBudget is the bytes a second that control may take of a daemon.
	sizeBudget = 18_000
	// sizeSpread is how long a change may take to be in force everywhere.
	sizeSpread = 10 * spanrill.Second
)

// A daemon was told all entries at each change and all orders in each round, so that what a
// daemon of a larger fleet was told grew with the engines times the changes: 43 MB of entries
// and 82 MB of news among 60 daemons in 24 s before 2,922 engines. What is told now grows
// with what changes, and the calls of the store do not grow.
func TestCostOfADaemonInALargerFleet(t *testing.T) {
	small, large := costOf(t, 40, 150), costOf(t, 120, 450)
	t.Logf("40 daemons: %+v", small)
	t.Logf("120 daemons: %+v", large)
	if told := large.news + large.entries; told > sizeBudget || told > 3.5*(small.news+small.entries) {
		t.Errorf("a daemon is told %.0f bytes a second, and %.0f in the small fleet", told, small.news+small.entries)
	}
	if large.calls > small.calls*3/2 {
		t.Errorf("%d calls of the store, and %d in the small fleet", large.calls, small.calls)
	}
	if large.spread >= sizeSpread || small.spread >= sizeSpread {
		t.Errorf("a change takes %d and %d ms to all daemons", small.spread, large.spread)
	}
}
