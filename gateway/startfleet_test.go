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
	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/settings"
	"spanrill/state/fleet"
	"spanrill/state/routes"
	"spanrill/transport/peernet"
)

// startFleet is daemons that start, with a store that counts its calls, on a time that
// the test moves.
type startFleet struct {
	now     atomic.Int64
	daemons []*startDaemon
	byName  map[string]*startDaemon
	calls   int
	holder  *startDaemon                   // of the lease of placement, or nil
	away    func(now spanrill.Millis) bool // the store answers nobody
	callers bool                           // callers come to each daemon when it has started
	engines *sizeEngines                   // in the store, or nil for one that stays as it is
	sent    sentBytes
	power   func(i int) float64 // share of a core of a daemon, or nil
}

// callersCome is how long after its start the first caller comes to a daemon that
// starts in the middle of traffic.
const callersCome spanrill.Millis = 20

// startDaemon is one daemon.
type startDaemon struct {
	*Gateway
	fleet  *startFleet
	starts spanrill.Millis
	ready  spanrill.Millis // after its start, or -1
	due    map[string]spanrill.Millis
	cutOff bool // it cannot take the lease
}

const (
	startBegin spanrill.Millis = 100_000
	// startJitter is how far apart daemons start that are started together.
	startJitter = 300
	// startSeeds is how many daemons the others are told of.
	startSeeds = 3
	startZones = 5
)

func (d *startDaemon) Now() spanrill.Millis                         { return spanrill.Millis(d.fleet.now.Load()) }
func (d *startDaemon) Unix() spanrill.Millis                        { return d.Now() }
func (d *startDaemon) After(spanrill.Millis) <-chan spanrill.Millis { return nil }
func (d *startDaemon) Others() []peermsg.Member                     { return d.peers.list.Others() }
func (d *startDaemon) Ranked() []peermsg.Member                     { return d.peers.Ranked() }

func (d *startDaemon) runs() bool { return d.Now() >= d.starts }

func (d *startDaemon) Ask(_ context.Context, addr string, kind uint8, req, reply any) error {
	other := d.fleet.byName[addr]
	if !other.runs() {
		return errSim
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

func (s startStore) answer() (uint64, error) {
	s.fleet.calls++
	now := spanrill.Millis(s.fleet.now.Load())
	if s.fleet.away(now) {
		return 0, spanrill.ErrUnavailable
	}
	if s.engines != nil {
		return s.engines.revision(now), nil
	}
	return simRevisionAt(now), nil
}

func (s startStore) List(context.Context) ([]spanrill.Item, uint64, error) {
	at, err := s.answer()
	if s.engines != nil {
		return s.engines.items(spanrill.Millis(s.fleet.now.Load())), at, err
	}
	return s.items, at, err
}

func (s startStore) Watch(_ context.Context, after uint64, _ spanrill.Millis) ([]spanrill.Change, uint64, error) {
	at, err := s.answer()
	if s.engines != nil {
		return s.engines.changes(after, spanrill.Millis(s.fleet.now.Load())), at, err
	}
	return nil, at, err
}

func startDecode(value []byte) (*spanrill.RouteConfig, error) {
	c := &spanrill.RouteConfig{}
	return c, json.Unmarshal(value, c)
}

func newStartFleet(t testing.TB, daemons int, seed uint64) *startFleet {
	t.Helper()
	return newSizeFleet(t, daemons, nil, seed)
}

// newSizeFleet returns daemons that start before many engines.
func newSizeFleet(t testing.TB, daemons int, engines *sizeEngines, seed uint64) *startFleet {
	t.Helper()
	return newPowerFleet(t, daemons, engines, seed, nil)
}

// newPowerFleet is the same for daemons whose shares of a core differ.
func newPowerFleet(t testing.TB, daemons int, engines *sizeEngines, seed uint64, power func(i int) float64) *startFleet {
	t.Helper()
	f := &startFleet{byName: map[string]*startDaemon{}, away: func(spanrill.Millis) bool { return false }, engines: engines, sent: sentBytes{kinds: map[peernet.Kind]int64{}}, power: power}
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
	d := &startDaemon{fleet: f, ready: -1, due: map[string]spanrill.Millis{}}
	d.starts = startBegin + spanrill.Millis(random.IntN(startJitter))
	g := &Gateway{clock: d, log: logrus.NewEntry(log), random: rng.New(random.Uint64()), settings: settings.Gateway{PeerListen: name, Zone: fmt.Sprint("zone-", i%startZones)}}
	for k := range min(startSeeds, daemons) {
		g.settings.Peers = append(g.settings.Peers, fmt.Sprintf("daemon-%03d", k))
	}
	g.settings.Bounds.Drain, g.settings.Bounds.Revoke = 4*spanrill.Second, 5*spanrill.Second
	g.adapter = Adapter{ConfigName: "main", DecodeConfig: startDecode}
	if f.power != nil {
		g.settings.CPUShare, g.settings.Cores = f.power(i), 1
	}
	self := peermsg.Member{Name: name + "/1", PeerAddr: name, // the name is new with each start
		Zone: g.settings.Zone, Power: g.settings.Power()}
	list := membership.New(self, d, d.send, membership.WithLogger(log), membership.WithRandom(g.random), membership.WithRound(memberRound))
	g.peers = &peers{gateway: g, name: self.Name, list: list}
	var seeds []spanrill.Box
	for _, addr := range g.settings.Peers {
		if addr != name {
			seeds = append(seeds, spanrill.Box{Name: addr, Role: spanrill.RoleEntry, PeerAddr: addr})
		}
	}
	list.SetBoxes(seeds)
	g.freeSince.Store(-1)
	g.lateAt.Store(-int64(heldMemory))
	g.config = routes.NewCurrent(d)
	g.fleet = fleet.New(d, simDecode, fleet.WithLogger(log), fleet.WithDrain(g.settings.Bounds.Drain))
	g.lease = lease.New(nil, d, "placement", self.Name)
	g.exchange = exchange.New(d, exchange.State{
		Name: self.Name, Zone: g.settings.Zone, Seeds: g.seeds(), Config: g.config, Fleet: g.fleet, Decode: startDecode,
		Budgets:        retry.NewBudgets(d, retry.Limits{}, firstDaemons),
		HoldsPlacement: func() bool { return f.holder == d }, Leaving: func() bool { return false }, StoreSilent: g.storeSilent, LateRounds: g.entriesLate,
		Targets: d.targets, Lease: g.lease,
		Suspects: suspect.New(d),
	}, d, log, g.random)
	config := startStore{fleet: f, items: []spanrill.Item{{Name: "main", Revision: 7, Value: []byte(`{"version":1}`)}}}
	g.follow(config, startStore{fleet: f, items: []spanrill.Item{simItem(simStays, 1, false)}, engines: f.engines})
	g.placer = layoutrun.New(func() (uint64, bool) { return 0, false }, nil, g.fleet, d.models, d, log, layoutrun.WithPropagationTime(g.exchange.BroadcastTime))
	g.prober = probe.New(nil, d, log)
	g.names = probe.NewAddressResolver(nil, d, log, func(string) string { return "" })
	g.firstAt += d.starts - startBegin
	g.startedAt = d.starts
	g.callersWait = func() (spanrill.Millis, bool) {
		since := d.starts + callersCome
		return since, f.callers && d.Now() >= since
	}
	d.Gateway = g
	f.daemons = append(f.daemons, d)
	f.byName[name] = d
}

// targets returns what this daemon is ordering engines to hold.
func (d *startDaemon) targets() map[string]fleet.Target {
	if d.fleet.engines == nil || d.fleet.holder != d {
		return nil
	}
	return d.fleet.engines.targets(d.Now())
}

// models returns the service of the engines.
func (d *startDaemon) models() []spanrill.ServiceInfo {
	return []spanrill.ServiceInfo{{Name: "s", Model: &spanrill.EngineModel{Layers: sizeLayers, Kinds: map[string]spanrill.KindModel{"l4": {Pace: 16}}}}}
}

// send delivers gossip to a daemon that runs.
func (d *startDaemon) send(addr string, g *peermsg.Gossip) error {
	other := d.fleet.byName[addr]
	if !other.runs() {
		return errSim
	}
	data, err := peermsg.Encode(g)
	if err != nil {
		return err
	}
	d.fleet.sent.add(peermsg.KindGossip, len(data))
	other.peers.list.Merge(g)
	return nil
}

// run moves the time on.
func (f *startFleet) run(d spanrill.Millis) {
	for end := spanrill.Millis(f.now.Load()) + d; spanrill.Millis(f.now.Load()) < end; f.now.Add(int64(simStep)) {
		for _, d := range f.daemons {
			if d.runs() {
				d.move()
			}
		}
	}
}

// every calls do when its time has come; do returns the pause until the next.
func (d *startDaemon) every(name string, do func() spanrill.Millis) {
	if d.Now() >= d.due[name] {
		d.due[name] = d.Now() + do()
	}
}

func (d *startDaemon) move() {
	spread := func(pause spanrill.Millis) spanrill.Millis {
		return pause*9/10 + spanrill.Millis(d.random.Float64()*float64(pause)/5)
	}
	d.every("members", func() spanrill.Millis {
		d.peers.list.Round(context.Background())
		return spread(memberRound)
	})
	d.every("news", func() spanrill.Millis {
		d.exchange.Round(context.Background())
		return d.exchange.NextPause()
	})
	d.every("configuration", func() spanrill.Millis { return d.configs.Step(context.Background()) })
	d.every("upstreams", func() spanrill.Millis { return d.upstreams.Step(context.Background()) })
	d.every("lease", func() spanrill.Millis { return d.takeLease() })
	if d.fleet.engines != nil {
		d.every("placement", func() spanrill.Millis {
			d.placer.Round(context.Background())
			return sizePlacerRound
		})
		d.every("upkeep", func() spanrill.Millis {
			d.Gateway.fleet.Maintain()
			d.prober.Recheck(context.Background(), d.Gateway.fleet)
			d.names.Resolve(context.Background(), d.Gateway.fleet)
			return upkeepGap
		})
	}
	if d.ready < 0 && d.config.Table() != nil && d.isFresh() && closed(d.Gateway.fleet.Ready()) {
		d.ready = d.Now() - d.starts
	}
}

// takeLease takes the lease if nobody has it: a read and a write.
func (d *startDaemon) takeLease() spanrill.Millis {
	if d.fleet.holder == d && d.yields() {
		d.fleet.calls++
		d.fleet.holder = nil
		return leaseTime / 3
	}
	if d.contends() {
		d.fleet.calls += 2
		if d.fleet.holder == nil && !d.cutOff {
			d.fleet.holder = d
		}
	}
	return leaseTime / 3
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// unready is how many daemons are not ready, and when the last of the others was.
func (f *startFleet) unready() (n int, last spanrill.Millis) {
	for _, d := range f.daemons {
		if d.ready < 0 {
			n++
		}
		last = max(last, d.ready)
	}
	return n, last
}

// startWithin has the daemons start one after the other within a time, in an order of
// chance.
func (f *startFleet) startWithin(time spanrill.Millis, order *rng.Source) {
	for _, d := range f.daemons {
		before := d.starts
		d.starts = startBegin + spanrill.Millis(order.Float64()*float64(time))
		d.startedAt = d.starts
		d.firstAt += d.starts - before
	}
}
