package exchange

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/coordination/lease"
	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/state/fleet"
	"spanrill/state/routes"
)

// peer is the only other daemon. It answers requests from its own exchange.
type peer struct {
	clock       *clock.Manual
	exchange    *Exchange
	latency     spanrill.Millis // of its answers
	silent      bool
	newsRequest *peermsg.NewsRequest // the request for news that it answers, empty if nil
}

var errSilent = errors.New("no answer")

func (p *peer) Others() []peermsg.Member { return []peermsg.Member{{Name: "peer", PeerAddr: "peer"}} }

func (p *peer) Ranked() []peermsg.Member { return append(p.Others(), peermsg.Member{Name: "here"}) }

func (p *peer) Request(_ context.Context, _ string, kind uint8, req, reply any) error {
	if p.silent {
		return errSilent
	}
	var answer any
	switch kind {
	case uint8(peermsg.KindNews):
		if p.newsRequest == nil {
			p.newsRequest = &peermsg.NewsRequest{}
		}
		answer = p.exchange.HandleNewsRequest(p.newsRequest)
	case uint8(peermsg.KindRouteConfig):
		answer = p.exchange.HandleRouteConfigRequest()
	case uint8(peermsg.KindEntries):
		answer = p.exchange.HandleEntriesRequest(req.(*peermsg.EntriesRequest))
	}
	p.clock.Advance(p.latency)
	data, err := peermsg.Encode(answer)
	if err != nil {
		return err
	}
	return peermsg.Decode(data, reply)
}

// daemon is an exchange with its local state.
type daemon struct {
	config         *routes.Current
	table          *fleet.Table
	exchange       *Exchange
	targets        map[string]fleet.Target
	holdsPlacement bool
	storeSilent    bool
	lostPaths      []peermsg.LostPath
	budgets        *retry.Budgets
}

func decodeConfig(value []byte) (*spanrill.RouteConfig, error) {
	c := &spanrill.RouteConfig{}
	return c, json.Unmarshal(value, c)
}

func newDaemon(c *clock.Manual, name string, peers Peers) *daemon {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &daemon{config: routes.NewCurrent(c), targets: map[string]fleet.Target{}}
	d.table = fleet.New(c, func(item spanrill.Item) (e spanrill.EngineEntry, err error) {
		err = json.Unmarshal(item.Value, &e)
		return e, err
	}, fleet.WithLogger(log))
	d.budgets = retry.NewBudgets(c, retry.Limits{Ratio: 0.2, Slack: 200, Window: 10000}, 2)
	d.exchange = New(peers, State{
		Name: name, Config: d.config, Fleet: d.table, Decode: decodeConfig, Budgets: d.budgets,
		HoldsPlacement: func() bool { return d.holdsPlacement }, Leaving: func() bool { return false },
		StoreSilent: func() bool { return d.storeSilent },
		LateRounds:  func() int { return 0 },
		Targets:     func() map[string]fleet.Target { return d.targets },
		Lease:       lease.New(nil, c, "placement", "d"),
		Suspects:    suspect.New(c),
		LostPaths:   func() []peermsg.LostPath { return d.lostPaths },
	}, c, log, rng.New(1))
	return d
}

// pair returns two daemons, here and there, and the connection over which here asks there.
func pair(latency spanrill.Millis) (c *clock.Manual, here, there *daemon, wire *peer) {
	c = clock.NewManual()
	c.Advance(100_000)
	wire = &peer{clock: c, latency: latency}
	here, there = newDaemon(c, "here", wire), newDaemon(c, "peer", wire)
	wire.exchange = there.exchange
	return c, here, there, wire
}

// setConfig stores a configuration that was confirmed at a time.
func (d *daemon) setConfig(version int64, revision uint64, at spanrill.Millis) {
	config := &spanrill.RouteConfig{Version: version}
	value, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	d.config.Update(routes.New(config), value, revision)
	d.config.ConfirmUnchanged(revision, at)
}

// A daemon takes a newer configuration from a peer, and with it the time at which the peer last
// confirmed it. The age that the peer reports counts back from when the request was sent.
func TestNewerConfigIsFetchedFromPeer(t *testing.T) {
	c, here, there, _ := pair(120)
	there.setConfig(5, 50, c.Now()-400)
	here.setConfig(4, 40, c.Now()-3000)
	asked := c.Now()
	here.exchange.Round(context.Background())
	if got := here.config.Table().Version(); got != 5 {
		t.Fatalf("active version %d, want 5", got)
	}
	if got := here.config.ConfirmedAt(); got != asked-400 {
		t.Fatalf("confirmed at %d, want %d: 400 ms before the request", got, asked-400)
	}
}

// A peer with an older configuration changes neither the configuration here nor the time of its
// confirmation.
func TestOlderConfigOfPeerIsIgnored(t *testing.T) {
	c, here, there, _ := pair(1)
	there.setConfig(4, 40, c.Now())
	here.setConfig(5, 50, c.Now()-3000)
	before := here.config.ConfirmedAt()
	here.exchange.Round(context.Background())
	if here.config.Table().Version() != 5 || here.config.ConfirmedAt() != before {
		t.Fatalf("version %d, confirmed at %d; want both as before the peer was asked", here.config.Table().Version(), here.config.ConfirmedAt())
	}
}

// listEntry sets the entries of a daemon to one engine with the given layers, as listed at a revision.
func listEntry(c *clock.Manual, d *daemon, revision uint64, layers spanrill.LayerRange) {
	value, err := json.Marshal(spanrill.EngineEntry{ID: "e", Service: "s", Addr: "1:1", Layers: layers, Revision: revision})
	if err != nil {
		panic(err)
	}
	d.table.HandleList([]spanrill.Item{{Name: "e", Value: value}}, revision, c.Now())
}

// Entries of upstreams are fetched from a peer, and what its requests hold there counts until
// there has been no news of the peer for newsTTL.
func TestEntriesAndUseOfPeer(t *testing.T) {
	c, here, there, wire := pair(1)
	listEntry(c, there, 9, spanrill.LayerRange{From: 0, To: 4})
	there.table.View().ByID("e").Reserve(700)
	here.exchange.Round(context.Background())
	here.exchange.Round(context.Background())
	u := here.table.View().ByID("e")
	if u == nil || u.Tokens() != 700 {
		t.Fatalf("upstream %v, want one with the 700 tokens that the peer holds", u)
	}
	wire.silent = true
	c.Advance(newsTTL + 1)
	here.exchange.Round(context.Background())
	if got := u.Tokens(); got != 0 {
		t.Fatalf("%d tokens of a silent peer still count, want 0", got)
	}
}

// The layers that an engine has confirmed to the lease holder take precedence over its entry
// until the entry shows them, also after the holder has given up the lease.
func TestTargetsOutlastLeaseHolder(t *testing.T) {
	c, here, there, _ := pair(1)
	old, next := spanrill.LayerRange{From: 0, To: 4}, spanrill.LayerRange{From: 4, To: 8}
	listEntry(c, there, 9, old)
	listEntry(c, here, 9, old)
	there.holdsPlacement, there.targets["e"] = true, fleet.Target{Layers: next, Done: true}
	here.exchange.Round(context.Background())
	u := here.table.View().ByID("e")
	if u.Layers() != next {
		t.Fatalf("layers %v, want %v", u.Layers(), next)
	}
	there.holdsPlacement, there.targets = false, nil
	c.Advance(3000)
	here.exchange.Round(context.Background())
	if u.Layers() != next {
		t.Fatalf("layers %v after the holder gave up the lease, want %v", u.Layers(), next)
	}
	listEntry(c, here, 12, next)
	here.exchange.Round(context.Background())
	if here.table.View().ByID("e").Target() != nil {
		t.Fatal("the target is still set although the entry shows it")
	}
}

// A target reported before an engine restarted does not apply to it any more, also if its entry
// has no start time by which peers could detect the restart.
func TestTargetsOfRestartedEngineAreDropped(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, next int64 // start time in the entry
	}{{"entry with a start time", 1000, 2000}, {"entry without a start time", 0, 0}} {
		t.Run(c.name, func(t *testing.T) {
			clk, here, there, _ := pair(1)
			layers := spanrill.LayerRange{From: 4, To: 8}
			list := func(d *daemon, revision uint64, startedAt int64, writeCount uint64) {
				entry := spanrill.EngineEntry{ID: "e", Service: "s", Addr: "1:1", Revision: revision, StartedAt: startedAt, WriteCount: writeCount}
				d.table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{entry}, Revision: revision, LastChange: revision}, clk.Now())
			}
			list(there, 9, c.first, 7)
			list(here, 9, c.first, 7)
			there.holdsPlacement, there.targets[there.table.View().ByAddr("1:1").ID()] = true, fleet.Target{Layers: layers, Done: true}
			here.exchange.Round(context.Background())
			if got := here.table.View().ByAddr("1:1").Layers(); got != layers {
				t.Fatalf("layers %v, want %v", got, layers)
			}
			there.holdsPlacement = false
			clk.Advance(300)
			list(here, 12, c.next, 1)
			here.exchange.Round(context.Background())
			if got := here.table.View().ByAddr("1:1").Layers(); got.Len() != 0 {
				t.Fatalf("layers %v of an engine that has just restarted, want none", got)
			}
		})
	}
}

// Retries made by a peer reduce the budget here, which is half of what the peer left of 0.95 x 200.
func TestRetriesOfPeerReduceBudget(t *testing.T) {
	c, here, there, _ := pair(1)
	here.exchange.Round(context.Background())
	c.Advance(settleTime)
	there.budgets.Of("s")
	there.budgets.StartRound(nil, retry.Fleet{Known: 2, Daemons: 2, Rounds: 1, Complete: true})
	spent := 0
	for there.budgets.Of("s").Take(retry.PriorityRunning) {
		spent++
	}
	here.budgets.Of("s")
	here.exchange.Round(context.Background())
	if got, want := here.budgets.Of("s").Remaining(), (190-float64(spent))/2; got != want || spent == 0 {
		t.Fatalf("%v retries left after a peer made %d, want %v", got, spent, want)
	}
}

// stuckPeers is two peers, one of which does not answer until it is released.
type stuckPeers struct {
	*peer
	release chan struct{}
}

func (s stuckPeers) Others() []peermsg.Member {
	return []peermsg.Member{{Name: "stuck", PeerAddr: "stuck"}, {Name: "peer", PeerAddr: "peer"}}
}

func (s stuckPeers) Request(ctx context.Context, addr string, kind uint8, req, reply any) error {
	if addr == "stuck" {
		<-s.release
		return errSilent
	}
	return s.peer.Request(ctx, addr, kind, req, reply)
}

// An unreachable peer does not delay the news of the others.
func TestSilentPeerDoesNotDelayOthers(t *testing.T) {
	c, _, there, wire := pair(1)
	both := stuckPeers{peer: wire, release: make(chan struct{})}
	here := newDaemon(c, "here", both)
	there.setConfig(5, 50, c.Now())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for here.config.Table() == nil {
			here.exchange.Round(context.Background())
		}
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("no news of the answering peer while another one is silent")
	}
	close(both.release)
	<-ended
}

// A daemon that the store does not answer reports that to its peers. The report counts until the
// daemon reports otherwise, or until there has been no news of it for newsTTL.
func TestStoreSilenceIsReported(t *testing.T) {
	c := clock.NewManual()
	p := &peer{clock: c, latency: 1}
	other := newDaemon(c, "peer", nil)
	p.exchange = other.exchange
	d := newDaemon(c, "here", p)
	for _, step := range []struct {
		silent bool
		wait   spanrill.Millis
		want   bool
	}{{false, 0, false}, {true, 0, true}, {true, newsTTL + 1, false}} {
		other.storeSilent = step.silent
		d.exchange.Round(context.Background())
		c.Advance(step.wait)
		if got := d.exchange.PeerStoreSilent("peer"); got != step.want {
			t.Fatalf("peer reported silence of the store %t, %d ms ago: PeerStoreSilent returns %t, want the opposite", step.silent, step.wait, got)
		}
	}
}

// A daemon learns from a peer for how long the store has answered. Slow answers make that time
// look shorter, never longer.
func TestStoreAvailabilityIsLearnedFromPeer(t *testing.T) {
	c, here, there, wire := pair(200)
	listEntry(c, there, 9, spanrill.LayerRange{From: 0, To: 4})
	wire.silent = true
	for range 20 {
		c.Advance(1000)
		there.table.ConfirmUnchanged(9, 9, c.Now())
	}
	wire.silent = false
	before := there.table.StoreAvailableFor()
	here.exchange.Round(context.Background())
	if got := here.table.StoreAvailableFor(); got > before+200 || got < before {
		t.Fatalf("the store has answered for %d ms as known here, want %d ms, as known to the peer, or up to 200 ms more", got, before)
	}
}

// updatingClock calls update, once, when the time is read.
type updatingClock struct {
	*clock.Manual
	update func()
}

func (c *updatingClock) Now() spanrill.Millis {
	if update := c.update; update != nil {
		c.update = nil
		update()
	}
	return c.Manual.Now()
}

// Guards against news that vouches for a configuration with the confirmation of the one that replaces
// it while the news is made.
func TestNewsNamesTheConfirmedConfig(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(100_000)
	c := &updatingClock{Manual: manual}
	d := newDaemon(manual, "peer", nil)
	config := routes.NewCurrent(c)
	d.exchange.state.Config, d.config = config, config
	d.setConfig(4, 40, manual.Now()-1000)
	c.update = func() { d.setConfig(5, 50, manual.Now()) }
	if news := d.exchange.HandleNewsRequest(&peermsg.NewsRequest{}); news.Revision == 40 && news.ConfigAge < 1000 {
		t.Fatalf("news of revision %d with an age of %d ms, want at least 1000", news.Revision, news.ConfigAge)
	}
}
