package granting

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"spanrill"
	"spanrill/clock"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/task"
	"spanrill/transport/peernet"
)

// fleetNet is a network of daemons with a Client and a Granter each, in simulated time. Messages take
// 1 to 2 ms one way, get lost, and wait for a receiver that is frozen.
type fleetNet struct {
	*testing.T
	clock  *clock.System
	random *rng.Source
	chains []spanrill.RoomChain
	group  task.Group

	mu      sync.Mutex
	loss    float64 // fraction of messages
	drop    func(kind peernet.Kind, isReply bool) bool
	daemons []*fleetDaemon
	running int // requests
	told    int // of these, as of toldAt
	toldAt  spanrill.Millis
}

// fleetDaemon is one daemon. It implements Peers, Source and its own clock, which stands still for
// timers while the daemon is frozen.
type fleetDaemon struct {
	*fleetNet
	name    string
	client  *Client
	granter *Granter
	ledger  *fakeLedger
	stop    context.CancelFunc

	island int             // daemons reach those of the same island
	down   spanrill.Millis // since when it is killed or frozen, or 0
	dead   bool
	thawed chan struct{} // closed by thaw, nil if not frozen
	known  []string      // daemons that it takes for alive, in order of preference
}

var fleetModel = &spanrill.EngineModel{MeanPromptTokens: 80, MeanAnswerTokens: 20}

// newsTimeout is how long a daemon must not answer others to be unresponsive.
const newsTimeout = 300 * spanrill.Millis(1)

// playFleet plays daemons of which the first two grant the room of chains that hold so many tokens.
func playFleet(t *testing.T, daemons int, capacity float64, play func(n *fleetNet)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		boot := func() time.Duration { return time.Since(start) }
		n := &fleetNet{T: t, clock: clock.NewSystem(clock.WithBootTime(boot)), random: rng.New(1), chains: chainsOf(capacity)}
		n.pass(100 * spanrill.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer n.end(cancel)
		for i := range daemons {
			n.daemons = append(n.daemons, n.newDaemon(fmt.Sprint("d", i)))
		}
		n.learn()
		for _, d := range n.daemons {
			d.run(ctx)
		}
		n.warmUp()
		play(n)
	})
}

// end stops all daemons and waits for their goroutines.
func (n *fleetNet) end(cancel func()) {
	cancel()
	for _, d := range n.daemons {
		d.thaw()
	}
	n.pass(20 * spanrill.Second)
	if err := n.group.Wait(); err != nil {
		n.Error(err)
	}
}

func (n *fleetNet) newDaemon(name string) *fleetDaemon {
	parts, ledger := fakeParts()
	d := &fleetDaemon{fleetNet: n, name: name, ledger: ledger}
	d.granter = NewGranter(d, d, parts, d)
	d.client = NewClient(name, d, d, d.granter, d, WithAddr(name), WithRandom(n.random.Float64))
	d.granter.OnNotice(d.client.HandleNotice)
	return d
}

func (d *fleetDaemon) run(ctx context.Context) {
	ctx, d.stop = context.WithCancel(ctx)
	d.group.Start(ctx, "client", d.client.Run)
	d.group.Start(ctx, "granter", d.granter.Run)
}

// learn makes each daemon know which others of its island are alive.
func (n *fleetNet) learn() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.daemons {
		d.known = nil
		for _, o := range n.daemons {
			if o.island == d.island && (o.down == 0 || o == d) {
				d.known = append(d.known, o.name)
			}
		}
	}
}

// warmUp opens the service at both granting daemons, and waits until they give all room.
func (n *fleetNet) warmUp() {
	for _, d := range n.daemons[:min(2, len(n.daemons))] {
		d.granter.HandleRequest(&peermsg.RoomRequest{Service: testService})
	}
	n.pass(spanrill.Second)
}

func (n *fleetNet) pass(d spanrill.Millis) {
	<-n.clock.After(d)
	synctest.Wait()
}

func (n *fleetNet) now() spanrill.Millis { return n.clock.Now() }

// daemon returns the daemon at an address.
func (n *fleetNet) daemon(addr string) *fleetDaemon {
	i := slices.IndexFunc(n.daemons, func(d *fleetDaemon) bool { return d.name == addr })
	return n.daemons[i]
}

// dropIf sets which messages get lost, nil for none.
func (n *fleetNet) dropIf(drop func(kind peernet.Kind, isReply bool) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop = drop
}

// lose sets the fraction of messages that get lost.
func (n *fleetNet) lose(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = fraction
}

// moveTo cuts a daemon off from all others that are not on the same island.
func (d *fleetDaemon) moveTo(island int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.island = island
}

// kill stops a daemon for ever.
func (d *fleetDaemon) kill() {
	d.mu.Lock()
	d.dead, d.down = true, d.now()
	d.mu.Unlock()
	d.stop()
}

func (d *fleetDaemon) freeze() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.thawed, d.down = make(chan struct{}), d.now()
}

func (d *fleetDaemon) thaw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.thawed != nil {
		close(d.thawed)
		d.thawed, d.down = nil, 0
	}
}

// awaitThaw blocks while the daemon is frozen.
func (d *fleetDaemon) awaitThaw() {
	d.mu.Lock()
	thawed := d.thawed
	d.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

func (d *fleetDaemon) Now() spanrill.Millis  { return d.clock.Now() }
func (d *fleetDaemon) Unix() spanrill.Millis { return d.clock.Unix() }

func (d *fleetDaemon) After(wait spanrill.Millis) <-chan spanrill.Millis {
	fired := make(chan spanrill.Millis, 1)
	go func() {
		<-d.clock.After(wait)
		d.awaitThaw()
		fired <- d.Now()
	}()
	return fired
}

func (d *fleetDaemon) Granters(string) []peermsg.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var granters []peermsg.Member
	for _, name := range d.known[:min(2, len(d.known))] {
		m := peermsg.Member{Name: name, PeerAddr: name}
		if name == d.name {
			m.PeerAddr = ""
		}
		granters = append(granters, m)
	}
	return granters
}

func (d *fleetDaemon) Unresponsive(name string) bool {
	o := d.daemon(name)
	d.mu.Lock()
	defer d.mu.Unlock()
	return o.island != d.island || o.down > 0 && d.now()-o.down > newsTimeout
}

func (d *fleetDaemon) Fleet() (daemons int, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.known), true
}

func (d *fleetDaemon) Divides(string) bool                        { return true }
func (d *fleetDaemon) Chains(string) ([]spanrill.RoomChain, bool) { return d.chains, true }

// Told returns what ran up to a second ago.
func (d *fleetDaemon) Told(string) (map[uint32]spanrill.RoomUse, spanrill.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now()-d.toldAt >= spanrill.Second {
		d.told, d.toldAt = d.running, d.now()
	}
	return map[uint32]spanrill.RoomUse{1: {Tokens: int64(100 * d.told), Calls: int64(d.told)}}, d.toldAt
}

// claims returns the number of claims at this granting daemon.
func (d *fleetDaemon) claims() int {
	d.granter.mu.Lock()
	defer d.granter.mu.Unlock()
	if s := d.granter.services[testService]; s != nil {
		return s.room.Len()
	}
	return 0
}

// timedEntry is the result of Enter and how long it took.
type timedEntry struct {
	entered
	took spanrill.Millis
}

// enter runs Enter in a goroutine.
func (d *fleetDaemon) enter(maxWait spanrill.Millis) <-chan timedEntry {
	result := make(chan timedEntry, 1)
	r := spanrill.RoomRequest{
		Service: testService, Model: fleetModel, Need: spanrill.RoomNeed{Prompt: 80, Answer: 20},
		MaxWait: maxWait, Remaining: 15 * spanrill.Second,
	}
	go func() {
		start := d.now()
		grant, refusal := d.client.Enter(d.Context(), r)
		result <- timedEntry{entered{grant, refusal}, d.now() - start}
	}()
	return result
}

// start returns the grant of a request that must start within a time.
func (d *fleetDaemon) start(maxWait, within spanrill.Millis) spanrill.RoomGrant {
	d.Helper()
	e := <-d.enter(maxWait)
	if e.refusal != nil || e.took > within {
		d.Fatalf("%s: refused by %v after %d ms, want a start within %d ms", d.name, e.refusal, e.took, within)
	}
	return e.grant
}

// refused checks that a request is refused within a time.
func (d *fleetDaemon) refused(maxWait, within spanrill.Millis) {
	d.Helper()
	e := <-d.enter(maxWait)
	if e.refusal == nil || e.took > within {
		d.Fatalf("%s: refusal %v after %d ms, want one within %d ms", d.name, e.refusal, e.took, within)
	}
}
