package granting

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/task"
)

// Ends are told promptly and together, and what is held once a second.
func TestReports(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 1})
	var grants []spanrill.RoomGrant
	for range 100 {
		grants = append(grants, mustEnter(t, c, testRequest))
	}
	ended, reports, complete := 0, 0, 0
	for step := range 300 { // 10 ms each
		if step < 50 {
			grants[2*step].Release()
		}
		p.clock.Advance(10)
		c.sendReports(false)
	}
	for _, r := range p.reports {
		ended += len(r.Ended)
		reports++
		if r.Complete {
			complete++
			expect(t, "held", len(r.Held), 50)
		}
	}
	expect(t, "ended", ended, 50)
	expect(t, "complete reports in 3 s", complete, 3)
	if reports > 500/int(freedInterval)+1+3 {
		t.Errorf("%d reports, want one for each 25 ms with ends, and 3", reports)
	}
}

// An end or a refusal is told 25 ms after the last report, the use of a grant given ahead, whose room is
// held already, after 100.
func TestTimeOfReports(t *testing.T) {
	for _, c := range []struct {
		name string
		tell func(o *outbox)
		want spanrill.Millis
	}{
		{"end", func(o *outbox) { o.end(1) }, freedInterval},
		{"refusal", func(o *outbox) { o.refuse(1) }, freedInterval},
		{"use", func(o *outbox) { o.use(peermsg.RoomUsed{ID: 1}) }, reportInterval},
	} {
		o := newOutbox(1000, peermsg.Member{Name: "a", PeerAddr: "a"})
		o.take(1000)
		c.tell(o)
		now := spanrill.Millis(1000)
		for !o.isDue(now) {
			now++
		}
		expect(t, c.name, now-1000, c.want)
	}
}

// The last complete report says that nothing is held. Then nothing is sent.
func TestIdleReports(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 1})
	mustEnter(t, c, testRequest).Release()
	p.sendErr = errors.New("no connection")
	if _, reports := p.report(c, "a"); reports > 0 {
		t.Fatal("reported without a connection")
	}
	p.sendErr = nil
	all, _ := p.report(c, "a")
	expect(t, "ended, told with the next report", len(all.Ended), 1)
	p.clock.Advance(spanrill.Second)
	all, _ = p.report(c, "a")
	expect(t, "complete", all.Complete && len(all.Held) == 0, true)
	p.clock.Advance(spanrill.Second)
	_, reports := p.report(c, "a")
	expect(t, "reports after that", reports, 0)
}

// A complete report that cannot be sent is made again, also if it is the last one.
func TestLostCompleteReport(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 1})
	g := mustEnter(t, c, testRequest)
	p.clock.Advance(spanrill.Second)
	g.Release()
	p.sendErr = errors.New("no connection")
	if _, reports := p.report(c, "a"); reports > 0 {
		t.Fatal("reported without a connection")
	}
	p.sendErr = nil
	all, _ := p.report(c, "a")
	expect(t, "ended", len(all.Ended), 1)
	expect(t, "complete", all.Complete, true)
	expect(t, "outboxes", len(c.services[testService].outboxes), 0)
}

// A request that is being asked for is named as held: the granting daemon may already have granted
// it when a complete report without it arrives.
func TestHeldWhileAsked(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.answer["a"] = func(m *peermsg.RoomRequest) *peermsg.RoomReply {
		p.clock.Advance(spanrill.Second)
		all, _ := p.report(c, "a")
		expect(t, "held while asked", len(all.Held) == 1 && all.Held[0] == m.ID, true)
		return &peermsg.RoomReply{State: peermsg.RoomGranted, First: 1}
	}
	mustEnter(t, c, testRequest)
}

// Ends go to the daemon that granted. One that grants no longer gets reports for some seconds, and
// then costs nothing.
func TestGranterReplaced(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 1})
	p.replyWith("c", peermsg.RoomReply{State: peermsg.RoomGranted, First: 2})
	early, late := mustEnter(t, c, testRequest), mustEnter(t, c, testRequest)
	p.granters = []peermsg.Member{{Name: "c", PeerAddr: "c"}, {Name: "b", PeerAddr: "b"}}
	mustEnter(t, c, testRequest)
	early.Release()
	all, _ := p.report(c, "a")
	expect(t, "ended at the old daemon", len(all.Ended), 1)
	p.sendErr = errors.New("no connection")
	for range 6 {
		p.clock.Advance(spanrill.Second)
		c.sendReports(false)
	}
	p.sendErr = nil
	late.Release()
	_, reports := p.report(c, "a")
	expect(t, "reports to a daemon that is gone", reports, 0)
	expect(t, "outboxes", len(c.services[testService].outboxes), 1)
}

// Loads of first engines go to the granting daemon once, if they are new.
func TestEngineLoads(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 1})
	mustEnter(t, c, testRequest)
	c.RecordEngineLoad(3, 5)
	p.clock.Advance(maxLoadAge)
	c.RecordEngineLoad(1, 40)
	c.RecordEngineLoad(1, 41)
	c.RecordEngineLoad(2, -1)
	c.RecordEngineLoad(99, 7)
	all, _ := p.report(c, "a")
	if len(all.Loads) != 1 || all.Loads[0] != (peermsg.RoomEngine{Engine: 1, Requests: 41, Age: 100}) {
		t.Errorf("loads %+v, want 41 at engine 1, 100 ms old", all.Loads)
	}
	for engine := range uint32(2 * maxLoads) {
		c.RecordEngineLoad(engine, 1)
	}
	expect(t, "loads kept", len(c.loads), maxLoads)
}

// Run reports by itself, also what has ended when it stops.
func TestRun(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 1})
	ctx, cancel := context.WithCancel(t.Context())
	run := task.Start(ctx, "room client", c.Run)
	first, second := mustEnter(t, c, testRequest), mustEnter(t, c, testRequest)
	first.Release()
	for c.Counts().Reports == 0 {
		p.clock.AwaitTimers(1)
		p.clock.Advance(reportPoll)
	}
	second.Release()
	cancel()
	<-c.Done()
	if err := run.Err(); err != nil {
		t.Fatal(err)
	}
	ended := 0
	for _, r := range p.reports {
		ended += len(r.Ended)
	}
	expect(t, "ended", ended, 2)
}
