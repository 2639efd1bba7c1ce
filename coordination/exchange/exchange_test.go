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

// peer is one other daemon that answers from its own exchange.
type peer struct {
	clock    *clock.Manual
	exchange *Exchange
	takes    spanrill.Millis // time that an answer is on its way
	silent   bool
	asked    *peermsg.AskNews
}

var errSilent = errors.New("no answer")

func (p *peer) Others() []peermsg.Member { return []peermsg.Member{{Name: "peer", PeerAddr: "peer"}} }

func (p *peer) Ranked() []peermsg.Member { return append(p.Others(), peermsg.Member{Name: "here"}) }

func (p *peer) Ask(_ context.Context, _ string, kind uint8, req, reply any) error {
	if p.silent {
		return errSilent
	}
	var answer any
	switch kind {
	case uint8(peermsg.KindNews):
		if p.asked == nil {
			p.asked = &peermsg.AskNews{}
		}
		answer = p.exchange.News(p.asked)
	case uint8(peermsg.KindRouteConfig):
		answer = p.exchange.RouteConfig()
	case uint8(peermsg.KindEntries):
		answer = p.exchange.Entries(req.(*peermsg.AskEntries))
	}
	p.clock.Advance(p.takes)
	data, err := peermsg.Encode(answer)
	if err != nil {
		return err
	}
	return peermsg.Decode(data, reply)
}

// daemon is the state that an exchange works with.
type daemon struct {
	config      *routes.Current
	table       *fleet.Table
	exchange    *Exchange
	targets     map[string]fleet.Target
	placement   bool
	storeSilent bool
	budgets     *retry.Budgets
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
		Placement: func() bool { return d.placement }, Leaving: func() bool { return false },
		StoreSilent: func() bool { return d.storeSilent },
		Late:        func() int { return 0 },
		Targets:     func() map[string]fleet.Target { return d.targets },
		Lease:       lease.New(nil, c, "placement", "d"),
		Suspects:    suspect.New(c),
	}, c, log, rng.New(1))
	return d
}

func pair(takes spanrill.Millis) (c *clock.Manual, here, there *daemon, wire *peer) {
	c = clock.NewManual()
	c.Advance(100_000)
	wire = &peer{clock: c, takes: takes}
	here, there = newDaemon(c, "here", wire), newDaemon(c, "peer", wire)
	wire.exchange = there.exchange
	return c, here, there, wire
}

func (d *daemon) take(version int64, revision uint64, at spanrill.Millis) {
	config := &spanrill.RouteConfig{Version: version}
	value, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	d.config.Take(routes.New(config), value, revision)
	d.config.Prove(revision, at)
}

// A daemon that the store turns away takes a newer configuration from a peer,
// with its proof, which counts from before the question was asked.
func TestConfigOfPeer(t *testing.T) {
	c, here, there, _ := pair(120)
	there.take(5, 50, c.Now()-400)
	here.take(4, 40, c.Now()-3000)
	asked := c.Now()
	here.exchange.Round(context.Background())
	if got := here.config.Table().Version(); got != 5 {
		t.Fatalf("version %d is in force, want 5", got)
	}
	if got := here.config.ProvedAt(); got != asked-400 {
		t.Fatalf("proved at %d, want %d: 400 ms before it was asked", got, asked-400)
	}
}

// A peer that is behind proves nothing and changes nothing.
func TestConfigOfPeerThatIsBehind(t *testing.T) {
	c, here, there, _ := pair(1)
	there.take(4, 40, c.Now())
	here.take(5, 50, c.Now()-3000)
	proved := here.config.ProvedAt()
	here.exchange.Round(context.Background())
	if here.config.Table().Version() != 5 || here.config.ProvedAt() != proved {
		t.Fatalf("version %d, proved at %d", here.config.Table().Version(), here.config.ProvedAt())
	}
}

func entries(c *clock.Manual, d *daemon, at uint64, layers spanrill.LayerRange) {
	value, err := json.Marshal(spanrill.EngineEntry{ID: "e", Service: "s", Addr: "1:1", Layers: layers, Revision: at})
	if err != nil {
		panic(err)
	}
	d.table.Listed([]spanrill.Item{{Name: "e", Value: value}}, at, c.Now())
}

// Entries of upstreams come from a peer too, and what its requests hold there is
// counted, until nothing was heard of it for a while.
func TestUpstreamsOfPeer(t *testing.T) {
	c, here, there, wire := pair(1)
	entries(c, there, 9, spanrill.LayerRange{From: 0, To: 4})
	there.table.View().ByID("e").Reserve(700)
	here.exchange.Round(context.Background())
	here.exchange.Round(context.Background())
	u := here.table.View().ByID("e")
	if u == nil || u.Tokens() != 700 {
		t.Fatalf("upstream %v", u)
	}
	wire.silent = true
	c.Advance(keep + 1)
	here.exchange.Round(context.Background())
	if got := u.Tokens(); got != 0 {
		t.Fatalf("%d tokens of a silent peer are counted", got)
	}
}

// What an engine has answered to the holder of the lease goes before its entry,
// also after another daemon holds the lease, until the entry shows it.
func TestTargetsOutliveTheHolder(t *testing.T) {
	c, here, there, _ := pair(1)
	old, next := spanrill.LayerRange{From: 0, To: 4}, spanrill.LayerRange{From: 4, To: 8}
	entries(c, there, 9, old)
	entries(c, here, 9, old)
	there.placement, there.targets["e"] = true, fleet.Target{Layers: next, Done: true}
	here.exchange.Round(context.Background())
	u := here.table.View().ByID("e")
	if u.Layers() != next {
		t.Fatalf("layers %v, want %v", u.Layers(), next)
	}
	there.placement, there.targets = false, nil
	c.Advance(3000)
	here.exchange.Round(context.Background())
	if u.Layers() != next {
		t.Fatalf("layers %v after the holder changed, want %v", u.Layers(), next)
	}
	entries(c, here, 12, next)
	here.exchange.Round(context.Background())
	if here.table.View().ByID("e").Target() != nil {
		t.Fatal("the target is kept although the entry shows it")
	}
}

// What was said of an engine before it started again is not believed of it, also where it
// tells no start by which peers could know it apart.
func TestTargetsOfAnEngineThatStartedAgain(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, next int64 // start that it tells
	}{{"its start is told", 1000, 2000}, {"no start is told", 0, 0}} {
		t.Run(c.name, func(t *testing.T) {
			now, here, there, _ := pair(1)
			held := spanrill.LayerRange{From: 4, To: 8}
			list := func(d *daemon, at uint64, born int64, beats uint64) {
				entry := spanrill.EngineEntry{ID: "e", Service: "s", Addr: "1:1", Revision: at, Born: born, Beats: beats}
				d.table.Merge(fleet.Knowledge{Entries: []spanrill.EngineEntry{entry}, At: at, Change: at}, now.Now())
			}
			list(there, 9, c.first, 7)
			list(here, 9, c.first, 7)
			there.placement, there.targets[there.table.View().ByAddr("1:1").ID()] = true, fleet.Target{Layers: held, Done: true}
			here.exchange.Round(context.Background())
			if got := here.table.View().ByAddr("1:1").Layers(); got != held {
				t.Fatalf("layers %v, want %v", got, held)
			}
			there.placement = false
			now.Advance(300)
			list(here, 12, c.next, 1)
			here.exchange.Round(context.Background())
			if got := here.table.View().ByAddr("1:1").Layers(); got.Len() != 0 {
				t.Fatalf("layers %v are believed of an engine that has just started", got)
			}
		})
	}
}

// The retries that a peer has made are taken off what may be spent here: half
// of what is left of 0.95 x 200.
func TestRetriesOfPeer(t *testing.T) {
	c, here, there, _ := pair(1)
	here.exchange.Round(context.Background())
	c.Advance(settleTime)
	there.budgets.Of("s")
	there.budgets.Round(nil, retry.Fleet{Heard: 2, Daemons: 2, Rounds: 1, Settled: true})
	spent := 0
	for there.budgets.Of("s").Take(retry.Running) {
		spent++
	}
	here.budgets.Of("s")
	here.exchange.Round(context.Background())
	if got, want := here.budgets.Of("s").Left(), (190-float64(spent))/2; got != want || spent == 0 {
		t.Fatalf("%v retries may be spent after a peer made %d, want %v", got, spent, want)
	}
}

// stuck is two peers, of which one never answers until it is let go.
type stuck struct {
	*peer
	let chan struct{}
}

func (s stuck) Others() []peermsg.Member {
	return []peermsg.Member{{Name: "stuck", PeerAddr: "stuck"}, {Name: "peer", PeerAddr: "peer"}}
}

func (s stuck) Ask(ctx context.Context, addr string, kind uint8, req, reply any) error {
	if addr == "stuck" {
		<-s.let
		return errSilent
	}
	return s.peer.Ask(ctx, addr, kind, req, reply)
}

// A peer that is cut off does not hold up the news of the others.
func TestSilentPeerHoldsUpNothing(t *testing.T) {
	c, _, there, wire := pair(1)
	both := stuck{peer: wire, let: make(chan struct{})}
	here := newDaemon(c, "here", both)
	there.take(5, 50, c.Now())
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
		t.Error("the round waits for the silent peer")
	}
	close(both.let)
	<-ended
}

// A daemon that the store does not answer says so, and is asked for nothing in its
// rank until it takes that back or is not heard of any more.
func TestStoreSilenceIsTold(t *testing.T) {
	c := clock.NewManual()
	p := &peer{clock: c, takes: 1}
	other := newDaemon(c, "peer", nil)
	p.exchange = other.exchange
	d := newDaemon(c, "here", p)
	for _, step := range []struct {
		silent bool
		wait   spanrill.Millis
		want   bool
	}{{false, 0, false}, {true, 0, true}, {true, keep + 1, false}} {
		other.storeSilent = step.silent
		d.exchange.Round(context.Background())
		c.Advance(step.wait)
		if got := d.exchange.SaysStoreSilent("peer"); got != step.want {
			t.Fatalf("silent %t, %d ms ago: taken for silent %t", step.silent, step.wait, got)
		}
	}
}

// A daemon is told for how long the store has answered its peer. Answers that take their
// time make that look shorter, never longer.
func TestStoreAnswersPeer(t *testing.T) {
	c, here, there, wire := pair(200)
	entries(c, there, 9, spanrill.LayerRange{From: 0, To: 4})
	wire.silent = true
	for range 20 {
		c.Advance(1000)
		there.table.Prove(9, 9, c.Now())
	}
	wire.silent = false
	before := there.table.AnsweredFor()
	here.exchange.Round(context.Background())
	if got := here.table.AnsweredFor(); got > before+200 || got < before {
		t.Fatalf("the store has answered for %d ms, the peer says %d", got, before)
	}
}
