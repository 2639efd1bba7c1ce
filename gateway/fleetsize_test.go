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
// they do when all start together.
type sizeEngines struct {
	count       int
	from, until spanrill.Millis // when the first and the last engine have loaded their layers
}

const (
	sizeLayers        = 80
	sizeParts         = 10 // engines in a chain
	sizeFirstRevision = 1  // revision of the entries before any layer is loaded
)

// loadedAt returns when an engine has loaded its layers.
func (s *sizeEngines) loadedAt(i int) spanrill.Millis {
	return s.from + (s.until-s.from)*spanrill.Millis(i)/spanrill.Millis(s.count)
}

// loadedCount returns how many engines have loaded their layers.
func (s *sizeEngines) loadedCount(now spanrill.Millis) int {
	if now < s.from {
		return 0
	}
	n := int((now - s.from) * spanrill.Millis(s.count) / (s.until - s.from))
	return min(s.count, n)
}

func (s *sizeEngines) revision(now spanrill.Millis) uint64 {
	return uint64(sizeFirstRevision + s.loadedCount(now))
}

// layers returns the layers that engine i has to load.
func (s *sizeEngines) layers(i int) spanrill.LayerRange {
	part := i / startZones % sizeParts
	return spanrill.LayerRange{From: part * sizeLayers / sizeParts, To: (part + 1) * sizeLayers / sizeParts}
}

func (s *sizeEngines) id(i int) string { return fmt.Sprintf("i-%010x", i*2654435761%(1<<40)) }

func (s *sizeEngines) item(i int, loaded bool) spanrill.Item {
	e := spanrill.EngineEntry{
		ID: s.id(i), Service: "s", Addr: fmt.Sprintf("10.%d.%d.%d:8080", i%startZones, i/250, i%250),
		Zone: fmt.Sprint("zone-", i%startZones), Kind: "l4", Slots: 192, Revision: sizeFirstRevision,
	}
	if loaded {
		e.Layers, e.Revision = s.layers(i), uint64(sizeFirstRevision+i+1)
	}
	value, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return spanrill.Item{Name: e.ID, Revision: e.Revision, Value: value}
}

func (s *sizeEngines) items(now spanrill.Millis) []spanrill.Item {
	items, loaded := make([]spanrill.Item, s.count), s.loadedCount(now)
	for i := range items {
		items[i] = s.item(i, i < loaded)
	}
	return items
}

func (s *sizeEngines) changes(after uint64, now spanrill.Millis) []spanrill.Change {
	var changes []spanrill.Change
	for i := int(after - sizeFirstRevision); i < s.loadedCount(now); i++ {
		changes = append(changes, spanrill.Change{Item: s.item(i, true)})
	}
	return changes
}

// targets returns the layers that the lease holder is ordering engines to load.
func (s *sizeEngines) targets(now spanrill.Millis) map[string]fleet.Target {
	targets := map[string]fleet.Target{}
	for i := s.loadedCount(now - sizeEntryDelay); i < s.loadedCount(now+sizeLoadTime); i++ {
		targets[s.id(i)] = fleet.Target{Layers: s.layers(i), Done: i < s.loadedCount(now)}
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
	mu     sync.Mutex
	byKind map[peernet.Kind]int64
}

func (s *sentBytes) add(kind peernet.Kind, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byKind[kind] += int64(size)
}

// take returns the number of bytes of a kind and resets its counter.
func (s *sentBytes) take(kind peernet.Kind) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.byKind[kind]
	delete(s.byKind, kind)
	return n
}

// fleetCost is the control traffic of a fleet while entries of engines change.
type fleetCost struct {
	news, entries, gossip float64 // mean bytes that a daemon sends in a second
	storeCalls            int
	propagationTime       spanrill.Millis
}

// measureCost starts daemons and measures their traffic while the entries of all engines change
// one after another.
func measureCost(t *testing.T, daemons, engines int) fleetCost {
	t.Helper()
	const startTime, measuredTime = 6 * spanrill.Second, 4 * spanrill.Second
	e := &sizeEngines{count: engines, from: startBegin + startTime, until: startBegin + startTime + measuredTime}
	f := newSizeFleet(t, daemons, e, 1)
	f.run(startTime)
	for _, kind := range []peernet.Kind{peermsg.KindNews, peermsg.KindEntries, peermsg.KindGossip} {
		f.sent.take(kind)
	}
	f.storeCalls = 0
	f.run(measuredTime)
	perSecond := func(kind peernet.Kind) float64 {
		return float64(f.sent.take(kind)) / float64(daemons) / float64(measuredTime/spanrill.Second)
	}
	c := fleetCost{news: perSecond(peermsg.KindNews), entries: perSecond(peermsg.KindEntries), gossip: perSecond(peermsg.KindGossip), storeCalls: f.storeCalls}
	for incomplete := true; incomplete && c.propagationTime < maxPropagationTime; c.propagationTime += simStep {
		f.run(simStep)
		incomplete = false
		for _, d := range f.daemons {
			incomplete = incomplete || d.Gateway.fleet.Revision() < e.revision(e.until)
		}
	}
	return c
}

const (
	// maxSentPerSecond is the maximum control traffic of a daemon, in bytes per second.
	maxSentPerSecond = 18_000
	// maxPropagationTime is how long a change may take to reach all daemons.
	maxPropagationTime = 10 * spanrill.Second
)

// Guards against traffic that grows with the number of engines times the number of changes. It did
// when daemons sent all entries at each change and all orders in each round: 60 daemons with 2,922
// engines sent 43 MB of entries and 82 MB of news in 24 s. Traffic may grow with the number of
// changes only, and store calls may not grow.
func TestDaemonCostByFleetSize(t *testing.T) {
	small, large := measureCost(t, 40, 150), measureCost(t, 120, 450)
	t.Logf("40 daemons: %+v", small)
	t.Logf("120 daemons: %+v", large)
	if sent := large.news + large.entries; sent > maxSentPerSecond || sent > 3.5*(small.news+small.entries) {
		t.Errorf("a daemon of the large fleet sends %.0f bytes of news and entries per second, which is too many compared with the limit or with %.0f in the small fleet", sent, small.news+small.entries)
	}
	if large.storeCalls > small.storeCalls*3/2 {
		t.Errorf("%d store calls in the large fleet, want at most 1.5 times the %d of the small fleet", large.storeCalls, small.storeCalls)
	}
	if large.propagationTime >= maxPropagationTime || small.propagationTime >= maxPropagationTime {
		t.Errorf("a change takes %d ms in the small fleet and %d ms in the large one to reach all daemons, want less than maxPropagationTime", small.propagationTime, large.propagationTime)
	}
}
