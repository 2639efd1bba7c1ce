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

// sizeEngines generates the entries of many engines that load their layers one after another, as
// when all start together.
type sizeEngines struct {
	count       int
	from, until spanrill.Millis // when the first and the last engine have loaded
}

const (
	sizeLayers        = 80
	sizeParts         = 10 // engines in a chain
	sizeFirstRevision = 1  // revision of the entries before any layer is loaded
)

// heldAt returns when an engine has loaded its layers.
func (s *sizeEngines) heldAt(i int) spanrill.Millis {
	return s.from + (s.until-s.from)*spanrill.Millis(i)/spanrill.Millis(s.count)
}

// heldCount returns how many engines have loaded their layers.
func (s *sizeEngines) heldCount(now spanrill.Millis) int {
	if now < s.from {
		return 0
	}
	n := int((now - s.from) * spanrill.Millis(s.count) / (s.until - s.from))
	return min(s.count, n)
}

func (s *sizeEngines) revision(now spanrill.Millis) uint64 {
	return uint64(sizeFirstRevision + s.heldCount(now))
}

// layers returns the layers that an engine has to load.
func (s *sizeEngines) layers(i int) spanrill.LayerRange {
	part := i / startZones % sizeParts
	return spanrill.LayerRange{From: part * sizeLayers / sizeParts, To: (part + 1) * sizeLayers / sizeParts}
}

func (s *sizeEngines) id(i int) string { return fmt.Sprintf("i-%010x", i*2654435761%(1<<40)) }

func (s *sizeEngines) item(i int, held bool) spanrill.Item {
	e := spanrill.EngineEntry{
		ID: s.id(i), Service: "s", Addr: fmt.Sprintf("10.%d.%d.%d:8080", i%startZones, i/250, i%250),
		Zone: fmt.Sprint("zone-", i%startZones), Kind: "l4", Slots: 192, Revision: sizeFirstRevision,
	}
	if held {
		e.Layers, e.Revision = s.layers(i), uint64(sizeFirstRevision+i+1)
	}
	value, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return spanrill.Item{Name: e.ID, Revision: e.Revision, Value: value}
}

func (s *sizeEngines) items(now spanrill.Millis) []spanrill.Item {
	items, held := make([]spanrill.Item, s.count), s.heldCount(now)
	for i := range items {
		items[i] = s.item(i, i < held)
	}
	return items
}

func (s *sizeEngines) changes(after uint64, now spanrill.Millis) []spanrill.Change {
	var changes []spanrill.Change
	for i := int(after - sizeFirstRevision); i < s.heldCount(now); i++ {
		changes = append(changes, spanrill.Change{Item: s.item(i, true)})
	}
	return changes
}

// targets returns the layers that the placing daemon is ordering engines to load.
func (s *sizeEngines) targets(now spanrill.Millis) map[string]fleet.Target {
	targets := map[string]fleet.Target{}
	for i := s.heldCount(now - sizeEntryDelay); i < s.heldCount(now+sizeLoadTime); i++ {
		targets[s.id(i)] = fleet.Target{Layers: s.layers(i), Done: i < s.heldCount(now)}
	}
	return targets
}

const (
	// sizeLoadTime is how long an engine loads, and sizeEntryDelay how much later its entry
	// lists the layers.
	sizeLoadTime   spanrill.Millis = 2000
	sizeEntryDelay spanrill.Millis = 400
)

// sizePlacerRound is the pause between two rounds of the placer.
const sizePlacerRound spanrill.Millis = 150

// sentBytes counts the bytes of messages between daemons, by kind.
type sentBytes struct {
	mu    sync.Mutex
	kinds map[peernet.Kind]int64
}

func (s *sentBytes) add(kind peernet.Kind, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind] += int64(size)
}

// take returns the bytes of a kind and resets its counter.
func (s *sentBytes) take(kind peernet.Kind) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.kinds[kind]
	delete(s.kinds, kind)
	return n
}

// fleetCost is the traffic of a fleet while entries of engines change.
type fleetCost struct {
	news, entries, gossip float64 // mean bytes that a daemon sends in a second
	calls                 int     // of the store
	spread                spanrill.Millis
}

// measureCost starts daemons and measures their traffic while the entries of all engines change
// one after another.
func measureCost(t *testing.T, daemons, engines int) fleetCost {
	t.Helper()
	const starts, observed = 6 * spanrill.Second, 4 * spanrill.Second
	e := &sizeEngines{count: engines, from: startBegin + starts, until: startBegin + starts + observed}
	f := newSizeFleet(t, daemons, e, 1)
	f.run(starts)
	for _, kind := range []peernet.Kind{peermsg.KindNews, peermsg.KindEntries, peermsg.KindGossip} {
		f.sent.take(kind)
	}
	f.calls = 0
	f.run(observed)
	each := func(kind peernet.Kind) float64 {
		return float64(f.sent.take(kind)) / float64(daemons) / float64(observed/spanrill.Second)
	}
	c := fleetCost{news: each(peermsg.KindNews), entries: each(peermsg.KindEntries), gossip: each(peermsg.KindGossip), calls: f.calls}
	for incomplete := true; incomplete && c.spread < sizeSpread; c.spread += simStep {
		f.run(simStep)
		incomplete = false
		for _, d := range f.daemons {
			incomplete = incomplete || d.Gateway.fleet.Revision() < e.revision(e.until)
		}
	}
	return c
}

const (
	// sizeBudget is the maximum of control traffic of a daemon, in bytes per second.
	sizeBudget = 18_000
	// sizeSpread is how long a change may take to reach all daemons.
	sizeSpread = 10 * spanrill.Second
)

// Guards against traffic that grows with engines times changes, as when daemons sent all entries
// at each change and all orders in each round: 43 MB of entries and 82 MB of news among 60
// daemons with 2,922 engines in 24 s. Traffic may grow with the number of changes only, and
// store calls may not grow.
func TestDaemonCostByFleetSize(t *testing.T) {
	small, large := measureCost(t, 40, 150), measureCost(t, 120, 450)
	t.Logf("40 daemons: %+v", small)
	t.Logf("120 daemons: %+v", large)
	if sent := large.news + large.entries; sent > sizeBudget || sent > 3.5*(small.news+small.entries) {
		t.Errorf("a daemon sends %.0f bytes per second, and %.0f in the small fleet", sent, small.news+small.entries)
	}
	if large.calls > small.calls*3/2 {
		t.Errorf("%d store calls, and %d in the small fleet", large.calls, small.calls)
	}
	if large.spread >= sizeSpread || small.spread >= sizeSpread {
		t.Errorf("a change takes %d ms in the small fleet and %d ms in the large one to reach all daemons", small.spread, large.spread)
	}
}
