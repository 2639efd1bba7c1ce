package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/exchange"
	"spanrill/coordination/lease"
	"spanrill/coordination/membership"
	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/settings"
	"spanrill/state/fleet"
	"spanrill/state/follow"
	"spanrill/state/routes"
)

// drainFleet is a fleet of daemons that read a store and ask one another as gateways
// do, on a time that the test moves.
type drainFleet struct {
	now     atomic.Int64
	daemons []*drainDaemon // in the order of their ranks
	byName  map[string]*drainDaemon
	trouble trouble
	end     spanrill.Millis
	calls   int             // of the store
	blind   spanrill.Millis // the greatest age of entries by which a daemon in touch sends, after the leaving
	asks    atomic.Int64
}

// trouble is what goes wrong in a trial. Its functions are told of a daemon by its
// rank.
type trouble struct {
	seed  uint64
	name  string
	ends  func(rank int) bool                                          // the daemon is out of touch, and not judged
	store func(rank int, now spanrill.Millis) (spanrill.Millis, error) // how long a call takes, and how it fails
	cut   func(asker, asked int, now spanrill.Millis) bool             // a question gets no answer
	late  func(rank int) spanrill.Millis                               // how long answers of peers take
	still func(rank int, now spanrill.Millis) bool                     // the daemon stands still
	large func(rank int, now spanrill.Millis) bool                     // no large answers of peers reach the daemon
	back  spanrill.Millis                                              // when the entry that went is there again, or 0
	drain spanrill.Millis
	deaf  bool // nobody tells a daemon that the store answers others, so that it goes on
}

// The times of a trial. The revision of the store rises all the time, and another
// entry changes now and then.
const (
	simStep     spanrill.Millis = 10
	simStart    spanrill.Millis = 100_000
	simLeaves                   = simStart + 4*spanrill.Second // the engines leave
	simEnd                      = simLeaves + 5*spanrill.Second
	simRevision spanrill.Millis = 20  // between two revisions
	simChange   spanrill.Millis = 700 // between two changes of another entry
	simDrain                    = 3 * spanrill.Second
	simCall     spanrill.Millis = 4
)

var errSim = errors.New("no answer")

// drainDaemon is one daemon. Its clock is behind the fleet's while an answer is on
// its way, since its question was sent then.
type drainDaemon struct {
	*Gateway
	fleet   *drainFleet
	rank    int
	member  peermsg.Member
	behind  atomic.Int64
	zero    spanrill.Millis // no two clocks tell the same
	entries *follow.Follower
	sentAt  spanrill.Millis // of the call of the store under way
	callEnd spanrill.Millis // or 0
	callErr error
	step    spanrill.Millis // next look at whether entries are to be proved
	round   spanrill.Millis // next round of news
	tend    spanrill.Millis
	oldest  spanrill.Millis // proof seen
}

func (d *drainDaemon) Now() spanrill.Millis {
	return spanrill.Millis(d.fleet.now.Load()-d.behind.Load()) + d.zero
}
func (d *drainDaemon) Unix() spanrill.Millis                        { return d.Now() }
func (d *drainDaemon) After(spanrill.Millis) <-chan spanrill.Millis { return nil }
func (d *drainDaemon) Others() []peermsg.Member                     { return d.peers.list.Others() }

func (d *drainDaemon) Ranked() []peermsg.Member { return d.peers.Ranked() }

func (d *drainDaemon) List(context.Context) ([]spanrill.Item, uint64, error) {
	items := []spanrill.Item{simItem(simGoes, 1, false), simItem(simSays, 1, false), simItem(simStays, 1, false)}
	return items, simRevisionAt(d.sentAt), d.callErr
}

func (d *drainDaemon) Watch(_ context.Context, after uint64, _ spanrill.Millis) ([]spanrill.Change, uint64, error) {
	var changes []spanrill.Change
	add := func(at spanrill.Millis, c spanrill.Change) {
		if at <= d.sentAt && c.Revision > after {
			changes = append(changes, c)
		}
	}
	for at := simStart; at <= simEnd; at += simChange {
		add(at, spanrill.Change{Item: simItem(simStays, simRevisionAt(at), false)})
		add(at, spanrill.Change{Item: simItem(simGoes, simRevisionAt(min(at, simLeaves-1)), false)})
	}
	add(simLeaves, spanrill.Change{Item: simItem(simSays, simRevisionAt(simLeaves), true)})
	add(simLeaves, spanrill.Change{Item: simItem(simGoes, simRevisionAt(simLeaves), false), Gone: true})
	if back := d.fleet.trouble.back; back > 0 {
		add(back, spanrill.Change{Item: simItem(simGoes, simRevisionAt(back), false)})
	}
	sort.SliceStable(changes, func(i, k int) bool { return changes[i].Revision < changes[k].Revision })
	return changes, simRevisionAt(d.sentAt), d.callErr
}

func simRevisionAt(t spanrill.Millis) uint64 { return uint64(t / simRevision) }

// The engines of a trial: one whose entry goes without a word, one that says that it
// leaves, and one that stays, whose entry changes now and then.
const (
	simGoes  = "goes"
	simSays  = "says"
	simStays = "stays"
)

func simItem(id string, revision uint64, leaving bool) spanrill.Item {
	value, err := json.Marshal(spanrill.EngineEntry{ID: id, Service: "s", Addr: id + ":1", Revision: revision, Leaving: leaving})
	if err != nil {
		panic(err)
	}
	return spanrill.Item{Name: id, Revision: revision, Value: value}
}

func simDecode(item spanrill.Item) (e spanrill.EngineEntry, err error) {
	err = json.Unmarshal(item.Value, &e)
	return e, err
}

func (d *drainDaemon) Ask(_ context.Context, addr string, kind uint8, req, reply any) error {
	other, now := d.fleet.byName[addr], spanrill.Millis(d.fleet.now.Load())
	d.fleet.asks.Add(1)
	tr := d.fleet.trouble
	if tr.cut(d.rank, other.rank, now) || tr.still(other.rank, now) || kind == uint8(peermsg.KindEntries) && tr.large(d.rank, now) {
		return errSim
	}
	_, err := replyOf(other.exchange, kind, req, reply)
	return err
}

// replyOf gives a daemon's answer to a question of another, as it arrives there, and returns
// the bytes of both.
func replyOf(e *exchange.Exchange, kind uint8, req, reply any) (size int, err error) {
	var answer any
	switch kind {
	case uint8(peermsg.KindNews):
		answer = e.News(req.(*peermsg.AskNews))
	case uint8(peermsg.KindEntries):
		answer = e.Entries(req.(*peermsg.AskEntries))
	case uint8(peermsg.KindRouteConfig):
		answer = e.RouteConfig()
	default:
		return 0, errSim
	}
	question, err := peermsg.Encode(req)
	if err != nil {
		return 0, err
	}
	data, err := peermsg.Encode(answer)
	if err != nil {
		return 0, err
	}
	return len(question) + len(data), peermsg.Decode(data, reply)
}

func newDrainFleet(daemons, zones int, tr trouble) *drainFleet {
	f := &drainFleet{byName: map[string]*drainDaemon{}, trouble: tr, end: simEnd}
	f.now.Store(int64(simStart))
	log := logrus.New()
	log.SetOutput(io.Discard)
	all := &peermsg.Gossip{}
	for i := range daemons {
		m := peermsg.Member{Name: fmt.Sprintf("daemon-%03d", i), PeerAddr: fmt.Sprintf("daemon-%03d", i), Zone: fmt.Sprint("zone-", i%zones), Beat: 1}
		all.Members = append(all.Members, m)
		f.byName[m.Name] = f.add(m, i, log)
	}
	for _, d := range f.byName {
		d.peers.list.Merge(all)
	}
	for rank, m := range f.byName["daemon-000"].Ranked() {
		f.daemons = append(f.daemons, f.byName[m.Name])
		f.byName[m.Name].rank = rank
	}
	return f
}

func (f *drainFleet) add(m peermsg.Member, i int, log *logrus.Logger) *drainDaemon {
	d := &drainDaemon{fleet: f, member: m, zero: spanrill.Millis(i) * 977}
	seed := f.trouble.seed<<20 + uint64(i)
	g := &Gateway{clock: d, log: logrus.NewEntry(log), random: rng.New(seed), settings: settings.Gateway{}}
	g.settings.Bounds.Drain, g.settings.Bounds.Revoke = f.trouble.drain, 5*spanrill.Second
	g.peers = &peers{gateway: g, name: m.Name, list: membership.New(m, d, func(string, *peermsg.Gossip) error { return nil }, membership.WithLogger(log))}
	g.config = routes.NewCurrent(d)
	g.fleet = fleet.New(d, simDecode, fleet.WithLogger(log), fleet.WithDrain(f.trouble.drain))
	g.exchange = exchange.New(d, exchange.State{
		Name: m.Name, Config: g.config, Fleet: g.fleet, Budgets: retry.NewBudgets(d, retry.Limits{}, firstDaemons),
		HoldsPlacement: func() bool { return false }, Leaving: func() bool { return false }, StoreSilent: g.storeSilent, LateRounds: g.entriesLate,
		Targets: func() map[string]fleet.Target { return nil }, Lease: lease.New(nil, d, "placement", m.Name),
		Suspects: suspect.New(d),
	}, d, log, rng.New(seed+1000))
	g.configs = follow.New(d, d, g.fleet)
	g.upstreams = follow.New(d, d, g.fleet, follow.WithDue(func() spanrill.Millis { return 0 }), follow.WithAt(g.fleet.Revision),
		follow.WithJitter(g.random.Float64), follow.WithLongestPause(g.retryPause), follow.WithLogger(log, "upstreams"))
	d.Gateway = g
	return d
}

// run moves the time to the end and returns by how long after its leaving a daemon
// last would have sent a request to the engine.
func (f *drainFleet) run(t *testing.T) (last spanrill.Millis, who int) {
	t.Helper()
	for now := simStart; now < f.end; now += simStep {
		f.move(now)
		for _, d := range f.daemons {
			if u := d.Gateway.fleet.View().ByID(simSays); u != nil && u.AcceptsRequests() && d.proved() >= simLeaves {
				t.Fatalf("rank %d takes its entries for proved by a read of %d, and does not know of the leaving at %d", d.rank, d.proved(), simLeaves)
			}
			if !f.trouble.ends(d.rank) && now > simLeaves && d.sends(simStays) {
				_, _, age := d.Gateway.fleet.Freshness()
				f.blind = max(f.blind, age)
			}
			if !f.trouble.ends(d.rank) && (d.sends(simGoes) || d.sends(simSays)) {
				last, who = now-simLeaves, d.rank
			}
		}
	}
	return last, who
}

// move does what the daemons have to do by now.
func (f *drainFleet) move(now spanrill.Millis) {
	f.now.Store(int64(now))
	for _, d := range f.daemons {
		if !f.trouble.still(d.rank, now) {
			d.move(now)
		}
	}
}

// sends reports whether this daemon would send a request to the engine now, as package
// relay decides it.
func (d *drainDaemon) sends(engine string) bool {
	u := d.Gateway.fleet.View().ByID(engine)
	_, behind := d.Gateway.fleet.Stale()
	return u != nil && u.AcceptsRequestsAt(d.Now()) && !behind
}

// proved returns since when this daemon takes its entries for proved.
func (d *drainDaemon) proved() spanrill.Millis {
	_, _, age := d.Gateway.fleet.Freshness()
	return spanrill.Millis(d.fleet.now.Load()) - age
}

// move does what this daemon has to do by now.
func (d *drainDaemon) move(now spanrill.Millis) {
	if _, _, age := d.Gateway.fleet.Freshness(); now > simStart+2*spanrill.Second {
		d.oldest = max(d.oldest, age)
	}
	d.callStore(now)
	if now >= d.round {
		d.behind.Store(int64(d.fleet.trouble.late(d.rank)))
		d.exchange.Round(context.Background())
		d.behind.Store(0)
		d.round = now + exchange.RoundInterval*9/10 + spanrill.Millis(d.random.Float64()*float64(exchange.RoundInterval)/5)
	}
	if now >= d.tend {
		d.Gateway.fleet.Maintain()
		d.tend = now + upkeepGap
	}
}

// callStore begins a call of the store when one is due, and ends it in its time.
func (d *drainDaemon) callStore(now spanrill.Millis) {
	if d.callEnd == 0 && now >= d.step {
		select {
		case <-d.Gateway.fleet.Ready():
			if pause := d.upstreamsDue(); pause > 0 {
				d.step = now + pause
				return
			}
		default:
		}
		takes, err := d.fleet.trouble.store(d.rank, now)
		if limit := d.upstreamsLimit(); d.callErr == nil && takes > limit {
			takes, err = limit, context.DeadlineExceeded
		}
		d.fleet.calls++
		d.sentAt, d.callEnd, d.callErr = now, now+takes, err
	}
	if d.callEnd == 0 || now < d.callEnd {
		return
	}
	d.storeCalled("GET", d.callErr)
	d.behind.Store(int64(now - d.sentAt))
	pause := d.upstreams.Step(context.Background())
	d.behind.Store(0)
	d.callEnd, d.step = 0, now+pause
}

// oldest returns the greatest age of a proof that a daemon has had in touch.
func (f *drainFleet) oldest() (age spanrill.Millis) {
	for _, d := range f.daemons {
		if !f.trouble.ends(d.rank) {
			age = max(age, d.oldest)
		}
	}
	return age
}
