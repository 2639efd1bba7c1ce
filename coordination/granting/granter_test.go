package granting

import (
	"context"
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/task"
)

// granterBox is a daemon with a Granter, and what it knows of others.
type granterBox struct {
	granters     []peermsg.Member
	unresponsive bool // the first of them
	daemons      int  // live ones, 0 for 2
	chains       []spanrill.RoomChain
	told         map[uint32]spanrill.RoomUse
	asOf         spanrill.Millis
	sent         []*peermsg.RoomNotice
}

func (b *granterBox) Granters(string) []peermsg.Member { return b.granters }
func (b *granterBox) Unresponsive(daemon string) bool  { return b.unresponsive && daemon == "first" }
func (b *granterBox) Fleet() (int, bool)               { return max(2, b.daemons), true }
func (b *granterBox) Divides(service string) bool      { return service == "s" }

func (b *granterBox) Request(context.Context, string, uint8, any, any) error { return nil }

func (b *granterBox) Send(_ string, _ uint8, message any) error {
	b.sent = append(b.sent, message.(*peermsg.RoomNotice))
	return nil
}

func (b *granterBox) Chains(string) ([]spanrill.RoomChain, bool) { return b.chains, b.chains != nil }

func (b *granterBox) Told(string) (map[uint32]spanrill.RoomUse, spanrill.Millis) {
	return b.told, b.asOf
}

var (
	selfMember   = peermsg.Member{Name: "self"}
	firstMember  = peermsg.Member{Name: "first", PeerAddr: "1:1"}
	secondMember = peermsg.Member{Name: "second", PeerAddr: "2:2"}
)

func newGranter(b *granterBox, c spanrill.Clock) *Granter {
	parts, _ := fakeParts()
	return NewGranter(b, b, parts, c, WithAhead(false))
}

// settle lets a Granter tick for a time.
func settle(g *Granter, c *clock.Manual, d spanrill.Millis) {
	for range d / tickInterval {
		c.Advance(tickInterval)
		g.deliver(g.tick())
	}
}

// Guards which daemon grants, and how much of ten requests.
func TestRoles(t *testing.T) {
	for _, c := range []struct {
		name         string
		granters     []peermsg.Member
		unresponsive bool
		want         int // granted; -1 if the room is unknown
	}{
		{"first", []peermsg.Member{selfMember, secondMember}, false, 10},
		{"only one", []peermsg.Member{selfMember}, false, 10},
		{"second", []peermsg.Member{firstMember, selfMember}, false, 3},
		{"second of a silent one", []peermsg.Member{firstMember, selfMember}, true, 10},
		{"neither", []peermsg.Member{firstMember, secondMember}, false, -1},
		{"nobody known", nil, false, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, manual := &granterBox{granters: c.granters, unresponsive: c.unresponsive, chains: chainsOf(1000)}, clock.NewManual()
			g := newGranter(b, manual)
			g.HandleStatus(&peermsg.RoomStatusRequest{Service: "s"})
			g.HandleRequest(&peermsg.RoomRequest{Service: "s"}) // opens the service
			settle(g, manual, cautiousTime+tickInterval)
			got := 0
			for id := range uint64(10) {
				switch reply := g.HandleRequest(roomRequest("a", id)); reply.State {
				case stateGranted:
					got++
				case peermsg.RoomUnknown:
					got = -1
				}
			}
			if got != c.want {
				t.Errorf("%d requests granted, want %d", got, c.want)
			}
		})
	}
}

// Guards against requests that wait at a daemon which does not grant any more, as it has been cut off
// or others are preferred, and against all room at once from one that has just begun to grant.
func TestRoleLost(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*granterBox)
	}{
		{"cut off", func(b *granterBox) { b.daemons = 40 }},
		{"others preferred", func(b *granterBox) { b.granters = []peermsg.Member{firstMember, secondMember} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, manual := &granterBox{granters: []peermsg.Member{selfMember}, chains: chainsOf(1000), daemons: 100}, clock.NewManual()
			g := newGranter(b, manual)
			settle(g, manual, spanrill.Second) // without any service
			lost := *b
			c.lose(&lost)
			g.HandleRequest(roomRequest("a", 100))
			settle(g, manual, cautiousTime+tickInterval)
			for id := range uint64(9) {
				g.HandleRequest(roomRequest("a", id))
			}
			if reply := g.HandleRequest(roomRequest("a", 10)); reply.State != stateWaiting {
				t.Fatalf("state %d, want waiting", reply.State)
			}
			kept := *b
			b.granters, b.daemons = lost.granters, lost.daemons
			settle(g, manual, refreshInterval)
			if reply := g.HandleRequest(roomRequest("a", 11)); reply.State != peermsg.RoomUnknown {
				t.Errorf("state %d, want unknown", reply.State)
			}
			if len(b.sent) != 1 || b.sent[0].ID != 10 || b.sent[0].State != peermsg.RoomUnknown {
				t.Errorf("sent %v, want that the room is unknown for the waiting request", b.sent)
			}
			settle(g, manual, reportTimeout+tickInterval) // all claims lapse
			b.granters, b.daemons = kept.granters, kept.daemons
			settle(g, manual, refreshInterval)
			got := 0
			for id := range uint64(10) {
				if g.HandleRequest(roomRequest("a", 20+id)).State == stateGranted {
					got++
				}
			}
			// standbyShare, and more as the cautious time passes
			if got == 0 || got > 5 {
				t.Errorf("%d of 10 requests granted by a daemon that grants for up to 100 ms, want 1 to 5", got)
			}
		})
	}
}

// Guards against all room at once from a daemon that has known the service for long, but not granted.
func TestFirstRole(t *testing.T) {
	b, manual := &granterBox{granters: []peermsg.Member{firstMember, secondMember}, chains: chainsOf(1000)}, clock.NewManual()
	g := newGranter(b, manual)
	g.HandleRequest(roomRequest("a", 100))
	settle(g, manual, 2*spanrill.Second)
	b.granters = []peermsg.Member{selfMember}
	settle(g, manual, refreshInterval)
	got := 0
	for id := range uint64(10) {
		if g.HandleRequest(roomRequest("a", id)).State == stateGranted {
			got++
		}
	}
	if got == 0 || got > 5 {
		t.Errorf("%d of 10 requests granted by a daemon that grants for up to 100 ms, want 1 to 5", got)
	}
}

// Guards against replies for services that are not divided or not known yet.
func TestUnknownRoom(t *testing.T) {
	b, manual := &granterBox{granters: []peermsg.Member{selfMember}}, clock.NewManual()
	g := newGranter(b, manual)
	other := roomRequest("a", 1)
	other.Service = "other"
	for _, req := range []*peermsg.RoomRequest{other, roomRequest("a", 1)} {
		if reply := g.HandleRequest(req); reply.State != peermsg.RoomUnknown {
			t.Errorf("state %d for service %s, want unknown", reply.State, req.Service)
		}
	}
	g.HandleReport(&peermsg.RoomReport{Daemon: "a", Service: "other", Ended: []uint64{1}})
	b.chains = chainsOf(1000)
	settle(g, manual, refreshInterval)
	if reply := g.HandleRequest(roomRequest("a", 1)); reply.State != stateGranted {
		t.Errorf("state %d when the chains are known, want granted", reply.State)
	}
	if status := g.HandleStatus(&peermsg.RoomStatusRequest{Service: "s"}); !status.Granting || len(status.Chains) != 1 {
		t.Errorf("status %+v, want granting and one chain", status)
	}
	settle(g, manual, serviceRetention+reportTimeout+2*tickInterval)
	if given := g.Counts().Given[0]; len(g.services) != 0 || given != 1 {
		t.Errorf("%d services retained and %d given, want 0 and 1", len(g.services), given)
	}
}

// Guards notices to this daemon and to others, and the end of Run.
func TestRunDeliversNotices(t *testing.T) {
	b, manual := &granterBox{granters: []peermsg.Member{selfMember}, chains: chainsOf(1000)}, clock.NewManual()
	g := newGranter(b, manual)
	var own []*peermsg.RoomNotice
	g.OnNotice(func(n *peermsg.RoomNotice) { own = append(own, n) })
	large, local := roomRequest("a", 1), roomRequest("self", 2)
	large.Prompt, large.Answer = 900, 0
	large.MaxWait, local.MaxWait = 300, 300
	g.HandleRequest(large)
	local.Prompt, local.Addr = 900, ""
	g.HandleRequest(local)
	ctx, cancel := context.WithCancel(context.Background())
	run := task.Start(ctx, "granter", g.Run)
	for range 6 {
		manual.AwaitTimers(1)
		manual.Advance(tickInterval)
	}
	manual.AwaitTimers(1)
	cancel()
	<-g.Done()
	if err := run.Err(); err != nil || len(b.sent) != 1 || b.sent[0].State != stateRefused || len(own) != 1 {
		t.Errorf("error %v, sent %v, own %v; want one refusal each", err, b.sent, own)
	}
}

// Guards against two daemons that both believe that they grant, and know each other's starts only
// from sums that are a second old: the second one stays within its part.
func TestTwoGranters(t *testing.T) {
	const capacity, seconds = 10_000, 8
	manual, random := clock.NewManual(), rng.New(1)
	boxes := []*granterBox{
		{granters: []peermsg.Member{selfMember, secondMember}, chains: chainsOf(capacity)},
		{granters: []peermsg.Member{firstMember, selfMember}, chains: chainsOf(capacity)},
	}
	granters := []*Granter{newGranter(boxes[0], manual), newGranter(boxes[1], manual)}
	type run struct {
		by  int
		id  uint64
		end spanrill.Millis
	}
	var running []run
	id, most := uint64(0), 0
	for step := range spanrill.Millis(seconds * 100) {
		manual.Advance(10)
		now := manual.Now()
		if step%100 == 0 {
			told := map[uint32]spanrill.RoomUse{1: {Tokens: int64(100 * len(running)), Calls: int64(len(running))}}
			boxes[0].told, boxes[0].asOf, boxes[1].told, boxes[1].asOf = told, now, told, now
		}
		if step%5 == 0 {
			granters[0].deliver(granters[0].tick())
			granters[1].deliver(granters[1].tick())
		}
		for by := range granters {
			id++
			req := roomRequest("d", id)
			req.MaxWait = 0
			if granters[by].HandleRequest(req).State == stateGranted {
				running = append(running, run{by, id, now + 1000 + spanrill.Millis(random.IntN(1000))})
			}
		}
		left := running[:0]
		for _, r := range running {
			if r.end > now {
				left = append(left, r)
				continue
			}
			granters[r.by].HandleReport(&peermsg.RoomReport{Daemon: "d", Service: "s", Ended: []uint64{r.id}})
		}
		running = left
		most = max(most, len(running))
	}
	t.Logf("at most %d requests at once of 100 that fit, %d at the end", most, len(running))
	if limit := 100 + 30; most > limit || len(running) < 80 {
		t.Errorf("%d at most and %d at the end, want up to %d and 80 or more", most, len(running), limit)
	}
}
