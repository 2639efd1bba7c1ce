package soak

import (
	"fmt"
	"sync"
	"time"

	"spanrill/platform/platformtest"
	"spanrill/standin/faultproxy"
)

// Shape sets the number of daemons, zones, upstreams and callers.
type Shape struct {
	Daemons int
	Zones   int
	Engines int // engines of the model, over all zones
	Plain   int // upstreams of the plain service
	Callers int
}

// modelLayers is the number of layers of the model. Four engines of a zone hold them all.
const modelLayers = 12

// upstream is an engine or an instance of the plain service behind a fault-injecting link.
type upstream struct {
	engine *platformtest.Engine
	link   *faultproxy.Proxy
	faults platformtest.EngineFaults
}

// upstreamLink is the path of one daemon to all upstreams.
type upstreamLink struct {
	*faultproxy.Link
	control string // address at which the daemon's process asks for connections
}

// environment holds the stand-ins for the store and the upstreams, and the links to them.
type environment struct {
	shape     Shape
	store     *platformtest.Store
	fleet     *platformtest.Fleet
	storeAddr string

	mu            sync.Mutex
	upstreams     []*upstream         // by slot; an ended upstream is replaced in its slot
	upstreamCount int                 // upstreams started so far
	storeLinks    []*faultproxy.Proxy // from each daemon to the store
	upstreamLinks []upstreamLink      // from each daemon to the upstreams
	version       int
	versionTimes  []time.Time // when each version was written, the first one first
	routeTimeout  int         // timeout of routes in ms
	keys          []string
	withdrawn     []withdrawal
	keyCount      int
	keyWriteTimes map[string]time.Time // first write of each key to the store
}

const (
	normalRouteTimeout = 8000 // ms
	activeKeys         = 2    // keys in force at a time
)

func newEnvironment(shape Shape) (*environment, error) {
	env := &environment{shape: shape, store: platformtest.NewStore(), routeTimeout: normalRouteTimeout, keyWriteTimes: map[string]time.Time{}}
	var err error
	if env.storeAddr, err = env.store.Listen(); err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	env.fleet = platformtest.NewFleet(env.store, modelLayers)
	for range activeKeys {
		env.addKey()
	}
	for i := range shape.Engines + shape.Plain {
		u, err := env.startUpstream(i)
		if err != nil {
			return nil, err
		}
		env.upstreams = append(env.upstreams, u)
	}
	for range shape.Daemons {
		link := faultproxy.New(env.storeAddr)
		if _, err := link.Listen("127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("start link to the store: %w", err)
		}
		env.storeLinks = append(env.storeLinks, link)
		paths := upstreamLink{Link: faultproxy.NewLink()}
		if paths.control, err = paths.ListenControl("127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("start link to the upstreams: %w", err)
		}
		env.upstreamLinks = append(env.upstreamLinks, paths)
	}
	env.writeConfig()
	return env, nil
}

// startUpstream starts an upstream for a slot, under a new name.
func (env *environment) startUpstream(slot int) (*upstream, error) {
	env.upstreamCount++
	service, kind := platformtest.ModelService, "card"
	if slot >= env.shape.Engines {
		service, kind = platformtest.PlainService, ""
	}
	zone := fmt.Sprintf("zone-%d", slot%env.shape.Zones)
	e, err := env.fleet.Start(fmt.Sprintf("u-%03d", env.upstreamCount), service, zone, kind)
	if err != nil {
		return nil, fmt.Errorf("start upstream: %w", err)
	}
	link := faultproxy.New(e.Addr)
	addr, err := link.Listen("127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start link to an upstream: %w", err)
	}
	env.fleet.SetEngineAddr(e, addr)
	return &upstream{engine: e, link: link}, nil
}

// writeConfig writes the next version of the configuration to the store. The caller holds the lock,
// except during construction.
func (env *environment) writeConfig() {
	env.version++
	config := platformtest.Configuration(env.version, modelLayers, env.keys, env.routeTimeout)
	addVersionRoutes(config, env.version)
	env.store.Set("config", "main", config)
	env.versionTimes = append(env.versionTimes, time.Now())
	for _, key := range env.keys {
		if env.keyWriteTimes[key].IsZero() {
			env.keyWriteTimes[key] = time.Now()
		}
	}
}

// toggleTimeout switches between the two route timeouts and writes the configuration.
func (env *environment) toggleTimeout() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.toggleTimeoutLocked()
}

// toggleTimeoutLocked is toggleTimeout for a caller that holds the lock.
func (env *environment) toggleTimeoutLocked() {
	env.routeTimeout = normalRouteTimeout + shortRouteTimeout - env.routeTimeout
	env.writeConfig()
}

// restore restores the store from an older copy and then writes the current configuration and
// upstream entries again.
func (env *environment) restore(storeCopy platformtest.Backup) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.store.Restore(storeCopy, "config", "servers")
}

// removeStaleEntries removes the entries of upstreams that have ended, which a restore brings back.
func (env *environment) removeStaleEntries() {
	env.mu.Lock()
	defer env.mu.Unlock()
	alive := map[string]bool{}
	for _, u := range env.upstreams {
		alive[u.engine.ID] = !u.engine.Dead()
	}
	for _, name := range env.store.Names("servers") {
		if !alive[name] {
			env.store.Remove("servers", name)
		}
	}
}

// addKey issues a new key. The caller holds the lock, except during construction.
func (env *environment) addKey() {
	env.keyCount++
	env.keys = append(env.keys, fmt.Sprintf("key-%d", env.keyCount))
}

// key returns the n-th of the keys in force, modulo their number.
func (env *environment) key(n int) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.keys[n%len(env.keys)]
}

// upstreamAt takes a slot modulo the number of slots and returns it with the upstream in it.
func (env *environment) upstreamAt(slot int) (int, *upstream) {
	env.mu.Lock()
	defer env.mu.Unlock()
	slot %= len(env.upstreams)
	return slot, env.upstreams[slot]
}

// replaceUpstream starts a new upstream in a slot and closes the link to the previous one.
func (env *environment) replaceUpstream(slot int) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	u, err := env.startUpstream(slot)
	if err != nil {
		return err
	}
	old := env.upstreams[slot]
	env.upstreams[slot] = u
	old.link.Close()
	return nil
}

// stop stops all upstreams, links and the store.
func (env *environment) stop() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.fleet.KillAll()
	for _, u := range env.upstreams {
		u.link.Close()
	}
	for _, l := range env.storeLinks {
		l.Close()
	}
	for _, l := range env.upstreamLinks {
		l.Close()
	}
	env.store.Close()
}
