package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
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

// drainFleet simulates a fleet of daemons that read a store and poll one another as gateways do,
// on a clock that the test advances. It must be created and run inside synctest.Test, where the time
// limit of an exchange round expires only when no goroutine can continue, so that no request outlives
// its round. Otherwise, on a busy machine, such a request could change a daemon between two reads of
// a check, or see the clock lag of another daemon.
type drainFleet struct {
	now        atomic.Int64
	daemons    []*drainDaemon // in the order of their ranks
	byName     map[string]*drainDaemon
	scenario   scenario
	end        spanrill.Millis
	storeCalls int             // number of store calls
	maxSendAge spanrill.Millis // maximum age of the entries with which daemons that are not excluded sent requests after the engines left
	requests   atomic.Int64
}

// scenario describes the faults of a simulation. Its functions identify daemons by rank.
type scenario struct {
	seed        uint64
	name        string
	excluded    func(rank int) bool                                          // the daemon may exceed the bound
	storeCall   func(rank int, now spanrill.Millis) (spanrill.Millis, error) // duration of a store call, and its error
	unanswered  func(asker, asked int, now spanrill.Millis) bool             // a request to a peer gets no answer
	answerDelay func(rank int) spanrill.Millis                               // duration of answers of peers
	paused      func(rank int, now spanrill.Millis) bool                     // the daemon does nothing
	starved     func(rank int, now spanrill.Millis) bool                     // the daemon serves callers, but gets nothing else done
	dropsLarge  func(rank int, now spanrill.Millis) bool                     // answers with entries do not reach the daemon
	restoredAt  spanrill.Millis                                              // when the removed entry is written again, or 0
	drain       spanrill.Millis
	uninformed  bool            // a daemon cannot learn that the store answers others, so it continues to send
	config      *configScenario // or nil if there is no configuration
}

// The times of a simulation. The revision of the store increases all the time, and another
// entry changes periodically.
const (
	simStep             spanrill.Millis = 10
	simStart            spanrill.Millis = 100_000
	simLeaveTime                        = simStart + 4*spanrill.Second // when the engines leave
	simEnd                              = simLeaveTime + 5*spanrill.Second
	simRevisionInterval spanrill.Millis = 20  // between two revisions
	simChangeInterval   spanrill.Millis = 700 // between two changes of another entry
	simDrain                            = 3 * spanrill.Second
	simCallTime         spanrill.Millis = 4
)

var errNoAnswer = errors.New("no answer")

// drainDaemon is one daemon of a drainFleet. It is also the daemon's clock, transport and store. While
// it processes an answer, its clock is set back to the time of the request, because the ages of data
// count from then.
type drainDaemon struct {
	*Gateway
	fleet           *drainFleet
	rank            int
	member          peermsg.Member
	clockLag        atomic.Int64
	clockOffset     spanrill.Millis // differs for each daemon
	upstreamCalls   simCalls
	configCalls     simCalls        // only if the configuration changes in the scenario
	nextRound       spanrill.Millis // next exchange round
	roundAt         spanrill.Millis // last exchange round
	nextMaintenance spanrill.Millis
	maxEntryAge     spanrill.Millis // maximum age of the entries
	decisions       simDecisions
	stalledSteps    []spanrill.Millis // the steps in which it was paused or starved
}

// simCalls are the store calls of one follower of a daemon.
type simCalls struct {
	*follow.Follower
	isInitialized func() bool
	pollDelay     func() spanrill.Millis
	callTimeout   func() spanrill.Millis // of a call that follows a successful one
	sentAt        spanrill.Millis        // when the running or last call was sent
	callEnd       spanrill.Millis        // when the running call ends, or 0 if none runs
	callErr       error                  // error of the running or last call
	nextCheck     spanrill.Millis        // next check whether a call is due
}

func (d *drainDaemon) Now() spanrill.Millis {
	return spanrill.Millis(d.fleet.now.Load()-d.clockLag.Load()) + d.clockOffset
}

// Since returns the time since at, without the steps in which the daemon was paused or starved. It is
// the daemon's spanrill.RunningTime.
func (d *drainDaemon) Since(at spanrill.Millis) spanrill.Millis {
	after, _ := slices.BinarySearch(d.stalledSteps, at-d.clockOffset)
	return d.Now() - at - simStep*spanrill.Millis(len(d.stalledSteps)-after)
}

func (d *drainDaemon) Unix() spanrill.Millis                        { return d.Now() }
func (d *drainDaemon) After(spanrill.Millis) <-chan spanrill.Millis { return nil }
func (d *drainDaemon) Others() []peermsg.Member                     { return d.peers.list.Others() }

func (d *drainDaemon) Ranked() []peermsg.Member { return d.peers.Ranked() }

func (d *drainDaemon) List(context.Context) ([]spanrill.Item, uint64, error) {
	items := []spanrill.Item{simItem(simRemoved, 1, false), simItem(simLeaving, 1, false), simItem(simStaying, 1, false)}
	return items, simRevisionAt(d.upstreamCalls.sentAt), d.upstreamCalls.callErr
}

func (d *drainDaemon) Watch(_ context.Context, after uint64, _ spanrill.Millis) ([]spanrill.Change, uint64, error) {
	var changes []spanrill.Change
	add := func(at spanrill.Millis, c spanrill.Change) {
		if at <= d.upstreamCalls.sentAt && c.Revision > after {
			changes = append(changes, c)
		}
	}
	for at := simStart; at <= simEnd; at += simChangeInterval {
		add(at, spanrill.Change{Item: simItem(simStaying, simRevisionAt(at), false)})
		add(at, spanrill.Change{Item: simItem(simRemoved, simRevisionAt(min(at, simLeaveTime-1)), false)})
	}
	add(simLeaveTime, spanrill.Change{Item: simItem(simLeaving, simRevisionAt(simLeaveTime), true)})
	add(simLeaveTime, spanrill.Change{Item: simItem(simRemoved, simRevisionAt(simLeaveTime), false), Deleted: true})
	if restoredAt := d.fleet.scenario.restoredAt; restoredAt > 0 {
		add(restoredAt, spanrill.Change{Item: simItem(simRemoved, simRevisionAt(restoredAt), false)})
	}
	sort.SliceStable(changes, func(i, k int) bool { return changes[i].Revision < changes[k].Revision })
	return changes, simRevisionAt(d.upstreamCalls.sentAt), d.upstreamCalls.callErr
}

func simRevisionAt(t spanrill.Millis) uint64 { return uint64(t / simRevisionInterval) }

// The engines of a simulation: one whose entry is removed without notice, one that announces that
// it leaves, and one that stays, whose entry changes periodically.
const (
	simRemoved = "removed"
	simLeaving = "leaving"
	simStaying = "staying"
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

func (d *drainDaemon) Request(_ context.Context, addr string, kind uint8, req, reply any) error {
	other, now := d.fleet.byName[addr], spanrill.Millis(d.fleet.now.Load())
	d.fleet.requests.Add(1)
	sc := d.fleet.scenario
	if sc.unanswered(d.rank, other.rank, now) || other.isStalled(now) || kind == uint8(peermsg.KindEntries) && sc.dropsLarge(d.rank, now) {
		return errNoAnswer
	}
	_, err := replyOf(other.exchange, kind, req, reply)
	return err
}

// replyOf decodes a daemon's answer to a request of another into reply, and returns the encoded
// size of both messages.
func replyOf(e *exchange.Exchange, kind uint8, req, reply any) (size int, err error) {
	var answer any
	switch kind {
	case uint8(peermsg.KindNews):
		answer = e.HandleNewsRequest(req.(*peermsg.NewsRequest))
	case uint8(peermsg.KindEntries):
		answer = e.HandleEntriesRequest(req.(*peermsg.EntriesRequest))
	case uint8(peermsg.KindRouteConfig):
		answer = e.HandleRouteConfigRequest()
	default:
		return 0, errNoAnswer
	}
	request, err := peermsg.Encode(req)
	if err != nil {
		return 0, err
	}
	data, err := peermsg.Encode(answer)
	if err != nil {
		return 0, err
	}
	return len(request) + len(data), peermsg.Decode(data, reply)
}

func newDrainFleet(daemons, zones int, sc scenario) *drainFleet {
	f := &drainFleet{byName: map[string]*drainDaemon{}, scenario: sc, end: simEnd}
	f.now.Store(int64(simStart))
	log := logrus.New()
	log.SetOutput(io.Discard)
	all := &peermsg.Gossip{}
	for i := range daemons {
		m := peermsg.Member{Name: fmt.Sprintf("daemon-%03d", i), PeerAddr: fmt.Sprintf("daemon-%03d", i), Zone: fmt.Sprint("zone-", i%zones), Heartbeat: 1}
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
	d := &drainDaemon{fleet: f, member: m, clockOffset: spanrill.Millis(i) * 977}
	d.start(f.scenario.seed<<20+uint64(i), log)
	return d
}

// start builds the daemon's components, which know nothing yet.
func (d *drainDaemon) start(seed uint64, log *logrus.Logger) {
	m, sc := d.member, d.fleet.scenario
	g := &Gateway{clock: d, running: d, log: logrus.NewEntry(log), random: rng.New(seed), settings: settings.Gateway{}}
	g.settings.Bounds.Drain, g.settings.Bounds.Revoke = sc.drain, simRevoke
	if sc.config != nil {
		g.settings.Bounds.Apply = sc.config.apply
	}
	g.peers = &peers{gateway: g, name: m.Name, list: membership.New(m, d, func(string, *peermsg.Gossip) error { return nil }, membership.WithLogger(log))}
	g.config = routes.NewCurrent(d)
	g.fleet = fleet.New(d, simDecode, fleet.WithLogger(log), fleet.WithDrain(sc.drain), fleet.WithStoreSilent(g.storeAnswersNobody))
	g.adapter = Adapter{ConfigName: "main", DecodeConfig: startDecode}
	g.startedAt = d.Now()
	g.exchange = exchange.New(d, exchange.State{
		Name: m.Name, Config: g.config, Fleet: g.fleet, Budgets: retry.NewBudgets(d, retry.Limits{}, assumedDaemons), Decode: startDecode,
		HoldsPlacement: func() bool { return false }, Leaving: func() bool { return false }, StoreSilent: g.storeSilent, LateRounds: g.lateRounds,
		Targets: func() map[string]fleet.Target { return nil }, Lease: lease.New(nil, d, "placement", m.Name),
		Suspects: suspect.New(d),
	}, d, log, rng.New(seed+1000))
	options := []follow.Option{
		follow.WithPollDelay(func() spanrill.Millis { return 0 }), follow.WithJitter(g.random.Float64), follow.WithMaxRetryDelay(g.maxRetryPause), follow.WithRunningTime(d), follow.WithLogger(log, "simulated"),
	}
	g.configFollower = follow.New(d, d, g.fleet)
	g.upstreamFollower = follow.New(d, d, g.fleet, append(options, follow.WithKnownRevision(g.fleet.Revision))...)
	d.Gateway = g
	d.upstreamCalls = simCalls{Follower: g.upstreamFollower, isInitialized: d.hasEntries, pollDelay: g.upstreamsPollDelay, callTimeout: g.upstreamsCallTimeout}
	if sc.config != nil {
		g.configFollower = follow.New(simConfigStore{d}, d, configSink{g}, append(options, follow.WithKnownRevision(g.config.Revision))...)
		d.configCalls = simCalls{Follower: g.configFollower, isInitialized: d.hasConfig, pollDelay: g.configPollDelay, callTimeout: g.configCallTimeout}
	}
}

func (d *drainDaemon) hasEntries() bool {
	select {
	case <-d.Gateway.fleet.Ready():
		return true
	default:
		return false
	}
}

// run advances the time to the end. It returns how long after the engines left a daemon would last
// have sent a request to one of them, and that daemon's rank.
func (f *drainFleet) run(t *testing.T) (last spanrill.Millis, rank int) {
	t.Helper()
	for now := simStart; now < f.end; now += simStep {
		f.advance(now)
		for _, d := range f.daemons {
			if u := d.Gateway.fleet.View().ByID(simLeaving); u != nil && u.AcceptsRequests() && d.confirmedAt() >= simLeaveTime {
				t.Fatalf("rank %d has entries that were read at %d, but does not know that the engine left at %d", d.rank, d.confirmedAt(), simLeaveTime)
			}
			if !f.scenario.excluded(d.rank) && now > simLeaveTime && d.sends(simStaying) {
				_, _, age := d.Gateway.fleet.Freshness()
				f.maxSendAge = max(f.maxSendAge, age)
			}
			if !f.scenario.excluded(d.rank) && (d.sends(simRemoved) || d.sends(simLeaving)) {
				last, rank = now-simLeaveTime, d.rank
			}
		}
	}
	return last, rank
}

// advance sets the time, and lets the daemons that are not paused do what is due.
func (f *drainFleet) advance(now spanrill.Millis) {
	f.now.Store(int64(now))
	for _, d := range f.daemons {
		if d.isStalled(now) {
			d.stalledSteps = append(d.stalledSteps, now)
			continue
		}
		d.advance(now)
	}
}

// isStalled reports whether the daemon does nothing, or nothing but serve callers.
func (d *drainDaemon) isStalled(now spanrill.Millis) bool {
	sc := d.fleet.scenario
	return sc.paused(d.rank, now) || sc.starved(d.rank, now)
}

// sends reports whether this daemon would send a request to the engine now, by the rules of
// package relay.
func (d *drainDaemon) sends(engine string) bool {
	u := d.Gateway.fleet.View().ByID(engine)
	_, behind := d.Gateway.fleet.Stale()
	return u != nil && u.AcceptsRequestsAt(d.Now()) && !behind
}

// confirmedAt returns when this daemon's entries were last confirmed.
func (d *drainDaemon) confirmedAt() spanrill.Millis {
	_, _, age := d.Gateway.fleet.Freshness()
	return spanrill.Millis(d.fleet.now.Load()) - age
}

// advance calls the store, exchanges news and maintains the entries, each if due.
func (d *drainDaemon) advance(now spanrill.Millis) {
	if _, _, age := d.Gateway.fleet.Freshness(); now > simStart+2*spanrill.Second {
		d.maxEntryAge = max(d.maxEntryAge, age)
	}
	d.callStore(&d.upstreamCalls, now)
	if d.configCalls.Follower != nil {
		d.callStore(&d.configCalls, now)
	}
	if now >= d.nextRound {
		d.roundAt = now
		d.clockLag.Store(int64(d.fleet.scenario.answerDelay(d.rank)))
		d.exchange.Round(context.Background())
		d.clockLag.Store(0)
		d.nextRound = now + exchange.RoundInterval*9/10 + spanrill.Millis(d.random.Float64()*float64(exchange.RoundInterval)/5)
	}
	if now >= d.nextMaintenance {
		d.Gateway.fleet.Maintain()
		d.nextMaintenance = now + upkeepInterval
	}
}

// callStore starts a store call when one is due, and completes it when its duration has passed.
func (d *drainDaemon) callStore(c *simCalls, now spanrill.Millis) {
	if c.callEnd == 0 && now >= c.nextCheck {
		if c.isInitialized() {
			if pause := c.pollDelay(); pause > 0 {
				c.nextCheck = now + pause
				return
			}
		}
		duration, err := d.fleet.scenario.storeCall(d.rank, now)
		if limit := c.callTimeout(); c.callErr == nil && duration > limit {
			duration, err = limit, context.DeadlineExceeded
		}
		d.fleet.storeCalls++
		c.sentAt, c.callEnd, c.callErr = now, now+duration, err
	}
	if c.callEnd == 0 || now < c.callEnd {
		return
	}
	d.recordStoreCall("GET", c.callErr)
	d.clockLag.Store(int64(now - c.sentAt))
	pause := c.Step(context.Background())
	d.clockLag.Store(0)
	c.callEnd, c.nextCheck = 0, now+pause
}

// maxEntryAge returns the maximum age that the entries of a daemon reached, without excluded daemons.
func (f *drainFleet) maxEntryAge() (age spanrill.Millis) {
	for _, d := range f.daemons {
		if !f.scenario.excluded(d.rank) {
			age = max(age, d.maxEntryAge)
		}
	}
	return age
}
