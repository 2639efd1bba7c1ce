package soak

import (
	"fmt"
	"sync"
	"time"

	"spanrill/platform/platformtest"
	"spanrill/standin/faultproxy"
)

// Shape is how much of everything there is.
type Shape struct {
	Daemons int
	Zones   int
	Engines int // of the model, in all zones
	Plain   int // upstreams of the plain service
	Callers int
}

// layers of the model. Four engines of a zone hold them.
const layers = 12

// upstream is an engine or a plain service behind a link that may fail.
type upstream struct {
	engine *platformtest.Engine
	link   *faultproxy.Proxy
	faults platformtest.EngineFaults
}

// world is the stand-ins of everything around the daemons.
type world struct {
	shape Shape
	store *platformtest.Store
	fleet *platformtest.Fleet
	addr  string // of the store

	mu        sync.Mutex
	upstreams []*upstream         // in a fixed order; one that ends is replaced in its place
	started   int                 // upstreams so far
	links     []*faultproxy.Proxy // of each daemon to the store
	version   int
	timeout   int // of routes, in ms
	keys      []string
	withdrawn []withdrawal
	keyCount  int
	keyTimes  map[string]time.Time // of the first write to the store
}

const (
	usualTimeout = 8000
	firstKeys    = 2
)

func newWorld(shape Shape) (*world, error) {
	w := &world{shape: shape, store: platformtest.NewStore(), timeout: usualTimeout, keyTimes: map[string]time.Time{}}
	var err error
	if w.addr, err = w.store.Listen(); err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	w.fleet = platformtest.NewFleet(w.store, layers)
	for range firstKeys {
		w.addKey()
	}
	for i := range shape.Engines + shape.Plain {
		u, err := w.startUpstream(i)
		if err != nil {
			return nil, err
		}
		w.upstreams = append(w.upstreams, u)
	}
	for range shape.Daemons {
		link := faultproxy.New(w.addr)
		if _, err := link.Listen("127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("link to the store: %w", err)
		}
		w.links = append(w.links, link)
	}
	w.configure()
	return w, nil
}

// startUpstream starts the upstream of a place, under a name of its own.
func (w *world) startUpstream(place int) (*upstream, error) {
	w.started++
	service, kind := platformtest.ModelService, "card"
	if place >= w.shape.Engines {
		service, kind = platformtest.PlainService, ""
	}
	zone := fmt.Sprintf("zone-%d", place%w.shape.Zones)
	e, err := w.fleet.Start(fmt.Sprintf("u-%03d", w.started), service, zone, kind)
	if err != nil {
		return nil, fmt.Errorf("start upstream: %w", err)
	}
	link := faultproxy.New(e.Addr)
	addr, err := link.Listen("127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link to an upstream: %w", err)
	}
	w.fleet.SetEngineAddr(e, addr)
	return &upstream{engine: e, link: link}, nil
}

// configure writes the next version of the configuration. The caller holds the lock, or is
// alone.
func (w *world) configure() {
	w.version++
	w.store.Set("config", "main", platformtest.Configuration(w.version, layers, w.keys, w.timeout))
	for _, key := range w.keys {
		if w.keyTimes[key].IsZero() {
			w.keyTimes[key] = time.Now()
		}
	}
}

// toggleTimeout writes a configuration with the other of the two route timeouts.
func (w *world) toggleTimeout() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.toggleTimeoutLocked()
}

// toggleTimeoutLocked is toggleTimeout for a caller that holds the lock.
func (w *world) toggleTimeoutLocked() {
	w.timeout = usualTimeout + shortTimeout - w.timeout
	w.configure()
}

// restore restores the store from an older copy and then writes the current configuration and
// upstream entries again.
func (w *world) restore(storeCopy platformtest.Copy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Restore(storeCopy, "config", "servers")
}

// removeStaleEntries removes the entries of upstreams that have ended, which a restore brings back.
func (w *world) removeStaleEntries() {
	w.mu.Lock()
	defer w.mu.Unlock()
	alive := map[string]bool{}
	for _, u := range w.upstreams {
		alive[u.engine.ID] = !u.engine.Dead()
	}
	for _, name := range w.store.Names("servers") {
		if !alive[name] {
			w.store.Remove("servers", name)
		}
	}
}

// addKey gives out one more key. The caller holds the lock, or is alone.
func (w *world) addKey() {
	w.keyCount++
	w.keys = append(w.keys, fmt.Sprintf("key-%d", w.keyCount))
}

// key returns a key that is in force.
func (w *world) key(n int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[n%len(w.keys)]
}

// at returns the upstream of a place, counted round.
func (w *world) at(place int) (int, *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	place %= len(w.upstreams)
	return place, w.upstreams[place]
}

// replace starts another upstream in a place.
func (w *world) replace(place int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, err := w.startUpstream(place)
	if err != nil {
		return err
	}
	old := w.upstreams[place]
	w.upstreams[place] = u
	old.link.Close()
	return nil
}

// stop ends everything.
func (w *world) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.KillAll()
	for _, u := range w.upstreams {
		u.link.Close()
	}
	for _, l := range w.links {
		l.Close()
	}
	w.store.Close()
}
