package gateway

import (
	"encoding/json"
	"fmt"
	"sync"

	"spanrill"
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
