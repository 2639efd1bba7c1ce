package granting

import (
	"math"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
)

const testMeanSize = 1000

func totalRoom(chains []spanrill.RoomChain) (total float64) {
	for _, r := range chainRooms(chains, testMeanSize) {
		total += r.room
	}
	return total
}

// The capacity of an engine counts once, and chains with impossible figures count nothing.
func TestChainRooms(t *testing.T) {
	part := func(engine uint32, capacity, fraction float64) spanrill.RoomPart {
		return spanrill.RoomPart{Engine: engine, Capacity: capacity, Share: fraction}
	}
	chain := func(parts ...spanrill.RoomPart) spanrill.RoomChain { return spanrill.RoomChain{Parts: parts} }
	limited := chain(part(1, 70_000, 1))
	limited.Slots = 16
	bridge := chain(part(5, 70_000, 1), part(2, 70_000, 0.5))
	bridge.Bridged = true
	cases := []struct {
		name   string
		chains []spanrill.RoomChain
		want   float64
	}{
		{"one chain", []spanrill.RoomChain{chain(part(1, 70_000, 1), part(2, 90_000, 1))}, 70},
		{"half of the layers", []spanrill.RoomChain{chain(part(1, 70_000, 0.5))}, 140},
		{"slots", []spanrill.RoomChain{limited}, 16},
		{"engine of two chains", []spanrill.RoomChain{chain(part(1, 70_000, 1), part(2, 70_000, 1)), chain(part(3, 70_000, 1), part(2, 70_000, 1))}, 70},
		{"bridge over a full engine", []spanrill.RoomChain{bridge, chain(part(1, 70_000, 1), part(2, 70_000, 1))}, 70},
		{"bridge over half of an engine", []spanrill.RoomChain{bridge, chain(part(1, 70_000, 1), part(2, 70_000, 0.5))}, 140},
		{"same chain twice", []spanrill.RoomChain{limited, limited}, 16},
		{"bad figures", []spanrill.RoomChain{
			{},
			chain(part(1, math.NaN(), 1)), chain(part(2, 1e300, 1)), chain(part(3, -5, 1)), chain(part(0, 5000, 1)),
			chain(part(4, 5000, math.NaN())), chain(part(5, 5000, 0)), chain(part(6, 5000, 1.5)), chain(part(7, math.Inf(1), 1)),
		}, 0},
	}
	for _, tc := range cases {
		if got := totalRoom(tc.chains); math.Abs(got-tc.want) > 1e-6 {
			t.Errorf("%s: room for %v requests, want %v", tc.name, got, tc.want)
		}
	}
}

// Chains are drawn in proportion to their room, without engines to avoid.
func TestDrawChain(t *testing.T) {
	rooms := chainRooms([]spanrill.RoomChain{testChain(1, 70_000), testChain(2, 140_000), testChain(3, 70_000)}, testMeanSize)
	random, drawn := rng.New(1), map[uint32]int{}
	for range 3000 {
		first, _ := drawChain(rooms, map[uint32]bool{103: true}, random.Float64())
		drawn[first]++
	}
	if drawn[3] > 0 || drawn[1] < 900 || drawn[1] > 1100 {
		t.Errorf("drawn %v, want 1 a third and 2 two thirds of the time", drawn)
	}
	if _, ok := drawChain(rooms, map[uint32]bool{1: true, 2: true, 3: true}, 0.5); ok {
		t.Error("drew a chain although all are to be avoided")
	}
}

// The whole share is for urgent requests. Where shares are under one request, some daemons have one.
func TestShareLimit(t *testing.T) {
	rooms := chainRooms([]spanrill.RoomChain{testChain(1, 70_000)}, testMeanSize)
	s := share{rooms: rooms, meanSize: testMeanSize, daemons: 7}
	expect(t, "urgent", s.limit(urgentClass), 10)
	expect(t, "other", s.limit(1), 9)
	random, limits := rng.New(1), 0.0
	for range 700 {
		s = share{rooms: rooms, meanSize: testMeanSize, daemons: 700, rounding: random.Float64()}
		limits += s.limit(urgentClass)
	}
	if limits < 50 || limits > 90 {
		t.Errorf("700 daemons start %v requests, want about 70", limits)
	}
}

// The size of the fleet is remembered for 30 s.
func TestFleetSize(t *testing.T) {
	var f fleetSize
	expect(t, "unknown", f.largest(0), 0)
	for now := spanrill.Millis(0); now <= 60*spanrill.Second; now += 100 {
		daemons := 86
		if now > 10*spanrill.Second {
			daemons = 1
		}
		f.observe(now, daemons)
		want := 86
		if now > 40*spanrill.Second {
			want = 1
		}
		if got := f.largest(now); got != want || f.isMinority(now) != (daemons < want) {
			t.Fatalf("largest fleet %d at %d ms, want %d; minority %v", got, now, want, f.isMinority(now))
		}
	}
}

// caller is a running request of the load test.
type caller struct {
	grant spanrill.RoomGrant
	until spanrill.Millis
}

// cutFleet is daemons that are cut off from all others.
type cutFleet struct {
	peers   []*clientPeers
	clients []*Client
	running [][]caller
	random  *rng.Source
	refused [spanrill.ClassCount]int
	started [spanrill.ClassCount]int
}

func newCutFleet(daemons int) *cutFleet {
	f := &cutFleet{random: rng.New(5), running: make([][]caller, daemons)}
	for i := range daemons {
		p := newClientPeers()
		f.peers = append(f.peers, p)
		f.clients = append(f.clients, p.newClient(uint64(i)))
	}
	return f
}

// step plays 10 ms: requests of two classes arrive at each daemon, 10 a second, and run for 2 s.
func (f *cutFleet) step(t *testing.T) {
	t.Helper()
	for i, c := range f.clients {
		now := f.peers[i].clock.Now()
		kept := f.running[i][:0]
		for _, r := range f.running[i] {
			if now >= r.until {
				r.grant.Release()
			} else {
				kept = append(kept, r)
			}
		}
		f.running[i] = kept
		if f.random.Float64() < 0.1 {
			r := testRequest
			r.Need.Class = spanrill.Class(f.random.IntN(2))
			f.enter(t, i, c, r, now)
		}
		c.sendReports(false)
		f.peers[i].clock.Advance(10)
	}
}

func (f *cutFleet) enter(t *testing.T, i int, c *Client, r spanrill.RoomRequest, now spanrill.Millis) {
	t.Helper()
	grant, refusal := c.Enter(t.Context(), r)
	if refusal == nil {
		f.started[r.Need.Class]++
		f.running[i] = append(f.running[i], caller{grant, now + 2*spanrill.Second})
		return
	}
	f.refused[r.Need.Class]++
	if after := refusal.RetryAfter(); after < minSpreadRetry || after > maxShareRetry {
		t.Fatalf("retry time %d ms, want 300 to 1500", after)
	}
}

func (f *cutFleet) runningRequests() (n int) {
	for _, r := range f.running {
		n += len(r)
	}
	return n
}

// 30 of 86 daemons are cut off for 12 s, and take the others for dead after 4 s. They run no more
// than their part of the room, use most of it, and ask the granting daemon within a second after.
func TestCutDaemonsKeepTheirShare(t *testing.T) {
	const cut = 30
	part := float64(cut) / testDaemons * testChains * testRequests
	f := newCutFleet(cut)
	most := 0
	for step := range 1200 {
		if step == 400 {
			for _, p := range f.peers {
				p.daemons, p.granters = 1, []peermsg.Member{{Name: "self"}}
			}
		}
		f.step(t)
		running := f.runningRequests()
		most = max(most, running)
		if float64(running) > part {
			t.Fatalf("%d requests run after %d ms, the part of the cut daemons is %.0f", running, 10*step, part)
		}
	}
	if float64(most) < 0.8*part {
		t.Errorf("at most %d requests ran, want nearly the part of %.0f", most, part)
	}
	urgent, other := float64(f.refused[0])/float64(f.started[0]), float64(f.refused[1])/float64(f.started[1])
	if urgent >= other {
		t.Errorf("refused for each start: %.2f urgent, %.2f others; want fewer urgent", urgent, other)
	}
	t.Logf("at most %d requests ran, part %.0f; refused for each start: %.2f urgent, %.2f others", most, part, urgent, other)
	f.reconnect()
	for range 100 {
		f.step(t)
	}
	for i, p := range f.peers {
		if mustEnter(t, f.clients[i], testRequest).First() != 7 || p.asked("") > 0 {
			t.Fatal("the granting daemon is not asked a second after the cut, or this daemon granted in the cut")
		}
	}
}

// reconnect ends the cut.
func (f *cutFleet) reconnect() {
	for _, p := range f.peers {
		p.daemons, p.granters = testDaemons, []peermsg.Member{{Name: "a", PeerAddr: "a"}, {Name: "b", PeerAddr: "b"}}
		p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 7})
	}
}

// While all daemons start at once, each starts few requests until the fleet and its load are known. Its
// refusals are spread, so that the callers do not return together.
func TestAllDaemonsStart(t *testing.T) {
	p := newClientPeers()
	p.daemons = 0
	c := p.newClient(1)
	for range int(slowStartFirst) {
		expect(t, "chain while nothing is known", mustEnter(t, c, testRequest).First(), 0)
	}
	longest := spanrill.Millis(0)
	for range 17 {
		grant, refusal := c.Enter(t.Context(), testRequest)
		if grant != nil {
			t.Fatal("a request passes after the first ones")
		}
		after := refusal.RetryAfter()
		if after < minSpreadRetry || after > min(maxSlowRetry, testRequest.Remaining/retriesInTime) {
			t.Fatalf("retry time %d ms, want 300 to 5000 and a third of what remains", after)
		}
		longest = max(longest, after)
	}
	if longest < min(maxSlowRetry, testRequest.Remaining/retriesInTime)*3/4 {
		t.Errorf("retry times up to %d ms, want them spread", longest)
	}
	p.daemons = testDaemons
	p.clock.Advance(fleetInterval + chainsMaxAge)
	expect(t, "passed", c.Counts().Passed, uint64(slowStartFirst))
	for range 9 { // with those that run, of 14 * 70 / 86
		mustEnter(t, c, testRequest)
	}
	expect(t, "within the share", c.Counts().Shared, 9)
	_, refusal := c.Enter(t.Context(), testRequest)
	checkRefusal(t, refusal, 0)
}

// startsIn returns how many of a hundred requests each 10 ms start within a time.
func startsIn(s *slowStart, from, time spanrill.Millis) (count int) {
	for now := from; now < from+time; now += 10 {
		for range 100 {
			if s.start(now) {
				count++
			}
		}
	}
	return count
}

// Starts double each 100 ms while engines refuse none, and halve after a refusal, but do not cease.
func TestSlowStart(t *testing.T) {
	var s slowStart
	for i, want := range []int{2, 2, 2, 3, 4} { // the first ones, and at most as many as accrue
		step := startsIn(&s, 1000+spanrill.Millis(i)*100, 100)
		if i > 0 && step > want || i == 0 && step != want {
			t.Errorf("%d starts in step %d, want %d", step, i, want)
		}
	}
	s.advance(1500)
	rate := s.rate
	s.recordRefusal(1500)
	expect(t, "rate after a refusal", s.rate, rate/2)
	s.recordRefusal(1550)
	expect(t, "rate after a second one at the same time", s.rate, rate/2)
	for now := spanrill.Millis(1600); now < 3000; now += 100 {
		s.recordRefusal(now)
	}
	expect(t, "lowest rate", s.rate, slowStartFloor)
	if n := startsIn(&s, 3000, 900); n != 1 {
		t.Errorf("%d starts in 0.9 s at the lowest rate, want 1", n)
	}
	if n := startsIn(&s, 3900, 2000); n < 100 {
		t.Errorf("%d starts in 2 s without a refusal, want the rate to rise again", n)
	}
}

// Requests that were granted before the cut count against the share.
func TestEarlierGrantsCount(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 1})
	var grants []spanrill.RoomGrant
	for range 50 {
		grants = append(grants, mustEnter(t, c, testRequest))
	}
	p.answer = nil
	_, refusal := c.Enter(t.Context(), testRequest)
	checkRefusal(t, refusal, 0)
	for _, g := range grants {
		g.Release()
	}
	for range 11 { // of 14 * 70 / 86
		mustEnter(t, c, testRequest)
	}
	_, refusal = c.Enter(t.Context(), testRequest)
	checkRefusal(t, refusal, 0)
}
