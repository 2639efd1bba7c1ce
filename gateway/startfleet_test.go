package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/exchange"
	"spanrill/coordination/layoutrun"
	"spanrill/coordination/lease"
	"spanrill/coordination/membership"
	"spanrill/coordination/probe"
	"spanrill/coordination/reach"
	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/settings"
	"spanrill/state/fleet"
	"spanrill/state/routes"
	"spanrill/transport/peernet"
)

// startFleet simulates daemons that start, with a store that counts its calls, on a clock that the
// test advances.
type startFleet struct {
	now         atomic.Int64
	daemons     []*startDaemon
	byName      map[string]*startDaemon
	storeCalls  int
	holder      *startDaemon                   // of the placement lease, or nil
	storeDown   func(now spanrill.Millis) bool // whether the store refuses all calls
	withCallers bool                           // whether each daemon has callers from firstCallerDelay on
	engines     *sizeEngines                   // in the store, or nil for one whose entry does not change
	sent        sentBytes
	cpuShare    func(i int) float64 // returns the CPU share of a daemon; may be nil
}

// firstCallerDelay is how long after its start a daemon that starts under load gets its first
// caller.
const firstCallerDelay spanrill.Millis = 20

// startDaemon is one daemon of a startFleet. It is also the daemon's clock and transport.
type startDaemon struct {
	*Gateway
	fleet           *startFleet
	startAt         spanrill.Millis            // does not run before
	readyAfter      spanrill.Millis            // after its start, or -1
	nextAt          map[string]spanrill.Millis // when each periodic activity is due, by name
	cannotTakeLease bool                       // its attempts to take the lease fail
}

const (
	startBegin spanrill.Millis = 100_000
	// startJitter is the time within which the daemons start, in milliseconds.
	startJitter = 300
	// startSeeds is the number of daemons that are configured as peers.
	startSeeds = 3
	startZones = 5
)

func (d *startDaemon) Now() spanrill.Millis                         { return spanrill.Millis(d.fleet.now.Load()) }
func (d *startDaemon) Unix() spanrill.Millis                        { return d.Now() }
func (d *startDaemon) After(spanrill.Millis) <-chan spanrill.Millis { return nil }
func (d *startDaemon) Others() []peermsg.Member                     { return d.peers.list.Others() }
func (d *startDaemon) Ranked() []peermsg.Member                     { return d.peers.Ranked() }

func (d *startDaemon) isRunning() bool { return d.Now() >= d.startAt }

func (d *startDaemon) Request(_ context.Context, addr string, kind uint8, req, reply any) error {
	other := d.fleet.byName[addr]
	if !other.isRunning() {
		return errNoAnswer
	}
	size, err := replyOf(other.exchange, kind, req, reply)
	d.fleet.sent.add(peernet.Kind(kind), size)
	return err
}

// startStore is a collection of the fleet's store.
type startStore struct {
	fleet   *startFleet
	items   []spanrill.Item
	engines *sizeEngines // in place of items, or nil
}

// countCall counts a call, and returns the store's revision or an error if the store is down.
func (s startStore) countCall() (uint64, error) {
	s.fleet.storeCalls++
	now := spanrill.Millis(s.fleet.now.Load())
	if s.fleet.storeDown(now) {
		return 0, spanrill.ErrUnavailable
	}
	if s.engines != nil {
		return s.engines.revision(now), nil
	}
	return simRevisionAt(now), nil
}

func (s startStore) List(context.Context) ([]spanrill.Item, uint64, error) {
	revision, err := s.countCall()
	if s.engines != nil {
		return s.engines.items(spanrill.Millis(s.fleet.now.Load())), revision, err
	}
	return s.items, revision, err
}

func (s startStore) Watch(_ context.Context, after uint64, _ spanrill.Millis) ([]spanrill.Change, uint64, error) {
	revision, err := s.countCall()
	if s.engines != nil {
		return s.engines.changes(after, spanrill.Millis(s.fleet.now.Load())), revision, err
	}
	return nil, revision, err
}

func startDecode(value []byte) (*spanrill.RouteConfig, error) {
	c := &spanrill.RouteConfig{}
	return c, json.Unmarshal(value, c)
}

func newStartFleet(t testing.TB, daemons int, seed uint64) *startFleet {
	t.Helper()
	return newSizeFleet(t, daemons, nil, seed)
}

// newSizeFleet returns a fleet with the given engines in the store.
func newSizeFleet(t testing.TB, daemons int, engines *sizeEngines, seed uint64) *startFleet {
	t.Helper()
	return newMixedShareFleet(t, daemons, engines, seed, nil)
}

// newMixedShareFleet is like newSizeFleet, with the CPU share that cpuShare returns for each daemon.
func newMixedShareFleet(t testing.TB, daemons int, engines *sizeEngines, seed uint64, cpuShare func(i int) float64) *startFleet {
	t.Helper()
	f := &startFleet{byName: map[string]*startDaemon{}, storeDown: func(spanrill.Millis) bool { return false }, engines: engines, sent: sentBytes{byKind: map[peernet.Kind]int64{}}, cpuShare: cpuShare}
	f.now.Store(int64(startBegin))
	random := rng.New(seed)
	for i := range daemons {
		f.add(t, i, daemons, random)
	}
	return f
}

func (f *startFleet) add(t testing.TB, i, daemons int, random *rng.Source) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	name := fmt.Sprintf("daemon-%03d", i)
	d := &startDaemon{fleet: f, readyAfter: -1, nextAt: map[string]spanrill.Millis{}}
	d.startAt = startBegin + spanrill.Millis(random.IntN(startJitter))
	g := &Gateway{clock: d, running: spanrill.NeverStalled{Clock: d}, log: logrus.NewEntry(log), random: rng.New(random.Uint64()), settings: settings.Gateway{PeerListen: name, Zone: fmt.Sprint("zone-", i%startZones)}}
	for k := range min(startSeeds, daemons) {
		g.settings.Peers = append(g.settings.Peers, fmt.Sprintf("daemon-%03d", k))
	}
	g.settings.Bounds.Apply = 4 * spanrill.Second
	g.settings.Bounds.Drain, g.settings.Bounds.Revoke = 4*spanrill.Second, 5*spanrill.Second
	g.adapter = Adapter{ConfigName: "main", DecodeConfig: startDecode}
	g.upstreamDialer = reach.New(upstreamDirectory{g}, d, log, g.random)
	if f.cpuShare != nil {
		g.settings.CPUShare, g.settings.Cores = f.cpuShare(i), 1
	}
	self := peermsg.Member{Name: name + "/1", PeerAddr: name, // the name differs after each start
		Zone: g.settings.Zone, MilliCores: g.settings.MilliCores()}
	list := membership.New(self, d, d.send, membership.WithLogger(log), membership.WithRandom(g.random), membership.WithRound(memberRound))
	g.peers = &peers{gateway: g, name: self.Name, list: list}
	var seeds []spanrill.Box
	for _, addr := range g.settings.Peers {
		if addr != name {
			seeds = append(seeds, spanrill.Box{Name: addr, Role: spanrill.RoleEntry, PeerAddr: addr})
		}
	}
	list.SetBoxes(seeds)
	g.leaseFreeSince.Store(-1)
	g.lateContentionAt.Store(-int64(holderGrace))
	g.config = routes.NewCurrent(d)
	g.fleet = fleet.New(d, simDecode, fleet.WithLogger(log), fleet.WithDrain(g.settings.Bounds.Drain))
	g.lease = lease.New(nil, d, "placement", self.Name)
	g.exchange = exchange.New(d, exchange.State{
		Name: self.Name, Zone: g.settings.Zone, Seeds: g.seeds(), Config: g.config, Fleet: g.fleet, Decode: startDecode,
		Budgets:        retry.NewBudgets(d, retry.Limits{}, assumedDaemons),
		HoldsPlacement: func() bool { return f.holder == d }, Leaving: func() bool { return false }, StoreSilent: g.storeSilent, LateRounds: g.lateRounds,
		Targets: d.targets, Lease: g.lease,
		Suspects: suspect.New(d),
	}, d, log, g.random)
	config := startStore{fleet: f, items: []spanrill.Item{{Name: "main", Revision: 7, Value: []byte(`{"version":1}`)}}}
	g.buildFollowers(config, startStore{fleet: f, items: []spanrill.Item{simItem(simStaying, 1, false)}, engines: f.engines})
	g.placer = layoutrun.New(func() (uint64, bool) { return 0, false }, nil, g.fleet, d.services, d, log, layoutrun.WithPropagationTime(g.exchange.BroadcastTime))
	g.prober = probe.New(nil, d, log)
	g.resolver = probe.NewAddressResolver(nil, d, log, func(string) string { return "" })
	g.askStoreAt += d.startAt - startBegin
	g.startedAt = d.startAt
	g.callersWaitingSince = func() (spanrill.Millis, bool) {
		since := d.startAt + firstCallerDelay
		return since, f.withCallers && d.Now() >= since
	}
	d.Gateway = g
	f.daemons = append(f.daemons, d)
	f.byName[name] = d
}

// targets returns the layers that this daemon is ordering engines to load.
func (d *startDaemon) targets() map[string]fleet.Target {
	if d.fleet.engines == nil || d.fleet.holder != d {
		return nil
	}
	return d.fleet.engines.targets(d.Now())
}

// services returns the engines' service.
func (d *startDaemon) services() []spanrill.ServiceInfo {
	return []spanrill.ServiceInfo{{Name: "s", Model: &spanrill.EngineModel{Layers: sizeLayers, Kinds: map[string]spanrill.AcceleratorKind{"l4": {StepFactor: 16}}}}}
}

// send delivers gossip to a running daemon.
func (d *startDaemon) send(addr string, g *peermsg.Gossip) error {
	other := d.fleet.byName[addr]
	if !other.isRunning() {
		return errNoAnswer
	}
	data, err := peermsg.Encode(g)
	if err != nil {
		return err
	}
	d.fleet.sent.add(peermsg.KindGossip, len(data))
	other.peers.list.Merge(g)
	return nil
}

// run advances the time by a duration.
func (f *startFleet) run(duration spanrill.Millis) {
	for end := spanrill.Millis(f.now.Load()) + duration; spanrill.Millis(f.now.Load()) < end; f.now.Add(int64(simStep)) {
		for _, d := range f.daemons {
			if d.isRunning() {
				d.advance()
			}
		}
	}
}

// every calls do if the activity of this name is due. Do returns the pause until the next call.
func (d *startDaemon) every(name string, do func() spanrill.Millis) {
	if d.Now() >= d.nextAt[name] {
		d.nextAt[name] = d.Now() + do()
	}
}

func (d *startDaemon) advance() {
	jitter := func(pause spanrill.Millis) spanrill.Millis {
		return pause*9/10 + spanrill.Millis(d.random.Float64()*float64(pause)/5)
	}
	d.every("members", func() spanrill.Millis {
		d.peers.list.Round(context.Background())
		return jitter(memberRound)
	})
	d.every("news", func() spanrill.Millis {
		d.exchange.Round(context.Background())
		return d.exchange.NextPause()
	})
	d.every("configuration", func() spanrill.Millis { return d.configFollower.Step(context.Background()) })
	d.every("upstreams", func() spanrill.Millis { return d.upstreamFollower.Step(context.Background()) })
	d.every("lease", func() spanrill.Millis { return d.takeLease() })
	if d.fleet.engines != nil {
		d.every("placement", func() spanrill.Millis {
			d.placer.Round(context.Background())
			return sizePlacerRound
		})
		d.every("upkeep", func() spanrill.Millis {
			d.Gateway.fleet.Maintain()
			d.prober.Recheck(context.Background(), d.Gateway.fleet)
			d.resolver.Resolve(context.Background(), d.Gateway.fleet)
			return upkeepInterval
		})
	}
	if d.readyAfter < 0 && d.config.Table() != nil && d.isKeyFresh() && isClosed(d.Gateway.fleet.Ready()) {
		d.readyAfter = d.Now() - d.startAt
	}
}

// takeLease yields or takes the lease if this daemon should, counts the store calls that this needs,
// and returns the pause until the next attempt.
func (d *startDaemon) takeLease() spanrill.Millis {
	if d.fleet.holder == d && d.shouldYieldLease() {
		d.fleet.storeCalls++
		d.fleet.holder = nil
		return leaseTime / 3
	}
	if d.isLeaseCandidate() {
		d.fleet.storeCalls += 2
		if d.fleet.holder == nil && !d.cannotTakeLease {
			d.fleet.holder = d
		}
	}
	return leaseTime / 3
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// unready returns how many daemons are not ready, and the longest time to readiness of the others.
func (f *startFleet) unready() (n int, longest spanrill.Millis) {
	for _, d := range f.daemons {
		if d.readyAfter < 0 {
			n++
		}
		longest = max(longest, d.readyAfter)
	}
	return n, longest
}

// startWithin spreads the starts of the daemons at random over a time window.
func (f *startFleet) startWithin(window spanrill.Millis, random *rng.Source) {
	for _, d := range f.daemons {
		previousStart := d.startAt
		d.startAt = startBegin + spanrill.Millis(random.Float64()*float64(window))
		d.startedAt = d.startAt
		d.askStoreAt += d.startAt - previousStart
	}
}
