package granting

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
)

var _ spanrill.RoomGate = (*Client)(nil)

// A grant given ahead starts a request without a question, until it lapses, and is reported.
func TestGrantAhead(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("a", peermsg.RoomReply{
		State: peermsg.RoomGranted, First: 3,
		Ahead: []peermsg.RoomAhead{{ID: 7, First: 5, Lapse: 900}, {ID: 8, First: 6, Lapse: 400}, {ID: 9, First: 0, Lapse: 400}, {ID: 10, First: 6, Lapse: 1e18}, {ID: 11, First: 5, Lapse: 1e18}},
	})
	mustEnter(t, c, testRequest)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 4})
	expect(t, "chain of the grant that lapses first", mustEnter(t, c, testRequest).First(), 6)
	avoiding := testRequest
	avoiding.Need.Avoid = map[uint32]bool{105: true}
	expect(t, "chain without the avoided engine", mustEnter(t, c, avoiding).First(), 6)
	expect(t, "requests sent", p.asked("a"), 1)
	avoiding.RefusedBy = []uint32{5}
	expect(t, "asked since only a chain with an avoided engine was left", mustEnter(t, c, avoiding).First(), 4)
	all, _ := p.report(c, "a")
	if len(all.Used) != 2 || all.Used[0].Ahead != 8 || all.Used[1].Ahead != 10 || all.Used[0].Prompt != 800 {
		t.Errorf("reported as used: %+v, want the grants 8 and 10", all.Used)
	}
	p.clock.Advance(spanrill.Second)
	mustEnter(t, c, testRequest)
	expect(t, "requests sent after the lapse", p.asked("a"), 3)
}

// A grant given ahead for a chain that this daemon does not know is not used.
func TestGrantAheadOnUnknownChain(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("a", peermsg.RoomReply{
		State: peermsg.RoomGranted, First: 3, Ahead: []peermsg.RoomAhead{{ID: 7, First: 99, Lapse: 900}},
	})
	mustEnter(t, c, testRequest)
	expect(t, "chain", mustEnter(t, c, testRequest).First(), 3)
	expect(t, "requests sent", p.asked("a"), 2)
}

// A reply that arrives after the granting daemon has taken the room back is not followed.
func TestStaleReply(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.answer["a"] = func(*peermsg.RoomRequest) *peermsg.RoomReply {
		p.clock.Advance(reportTimeout) // this daemon is stopped
		return &peermsg.RoomReply{State: peermsg.RoomGranted, First: 1}
	}
	p.replyWith("b", peermsg.RoomReply{State: peermsg.RoomGranted, First: 2})
	expect(t, "chain", mustEnter(t, c, testRequest).First(), 2)
	all, _ := p.report(c, "a")
	expect(t, "given back", len(all.Ended), 1)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 3})
	expect(t, "chain of the daemon that was not silent", mustEnter(t, c, testRequest).First(), 3)
}

// A request that waits at a daemon which has been restarted asks the next one.
func TestWaiterOfRestartedGranter(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomWaiting})
	p.replyWith("b", peermsg.RoomReply{State: peermsg.RoomGranted, First: 2})
	result := enterLater(t.Context(), c, testRequest)
	p.clock.AwaitTimers(1)
	c.leaveSilentGranters()
	expect(t, "asked while the first goes on", p.asked("b"), 0)
	p.granters = []peermsg.Member{{Name: "a", PeerAddr: "a", Incarnation: 2}, p.granters[1]}
	c.leaveSilentGranters()
	p.clock.Advance(testRequest.MaxWait + noticeMargin)
	if e := <-result; e.refusal != nil || e.grant.First() != 2 {
		t.Errorf("refused by %v, want a grant of the standby", e.refusal)
	}
}

// Notices for requests that this daemon grants itself do not go through the network.
func TestOwnAddress(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("b", peermsg.RoomReply{State: peermsg.RoomGranted, First: 3})
	mustEnter(t, c, testRequest)
	expect(t, "address for another daemon", p.lastRequest().Addr, "self")
	p.granters = []peermsg.Member{{Name: "self"}}
	mustEnter(t, c, testRequest)
	expect(t, "address for this daemon", p.lastRequest().Addr, "")
}

// A silent granting daemon costs one request its timeout, and one more each second. The standby is
// told that it stands by.
func TestSilentGranterIsPassedOver(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.replyWith("b", peermsg.RoomReply{State: peermsg.RoomGranted, First: 2})
	for range 100 {
		mustEnter(t, c, testRequest)
		p.clock.Advance(5)
	}
	expect(t, "requests to the silent daemon in 500 ms", p.asked("a"), 1)
	expect(t, "standby", p.lastRequest().Standby, true)

	p.clock.Advance(spanrill.Second)
	answer, isAsked := make(chan bool), make(chan bool)
	p.answer["a"] = func(*peermsg.RoomRequest) *peermsg.RoomReply {
		isAsked <- true
		<-answer
		return &peermsg.RoomReply{State: peermsg.RoomGranted, First: 3}
	}
	probe := enterLater(t.Context(), c, testRequest)
	<-isAsked
	for range 10 {
		expect(t, "chain while one request probes", mustEnter(t, c, testRequest).First(), 2)
	}
	close(answer)
	expect(t, "chain of the probe", (<-probe).grant.First(), 3)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 3})
	expect(t, "chain after the answer", mustEnter(t, c, testRequest).First(), 3)
	expect(t, "standby after the answer", p.lastRequest().Standby, false)
	expect(t, "unanswered", c.Counts().Unanswered, 1)
}

// A daemon that leaves questions for news unanswered is asked by one request at a time. One that
// does not grant yet is asked again soon.
func TestDoubtfulGranters(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	p.unresponsive["a"] = true
	p.replyWith("b", peermsg.RoomReply{State: peermsg.RoomGranted, First: 2})
	mustEnter(t, c, testRequest)
	mustEnter(t, c, testRequest)
	expect(t, "requests to the unresponsive daemon", p.asked("a"), 1)
	p.unresponsive["a"] = false
	p.clock.Advance(spanrill.Second)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomUnknown})
	mustEnter(t, c, testRequest)
	expect(t, "standby of one that does not grant", p.lastRequest().Standby, true)
	p.clock.Advance(notGrantingPassOver)
	p.replyWith("a", peermsg.RoomReply{State: peermsg.RoomGranted, First: 1})
	expect(t, "chain of one that grants again", mustEnter(t, c, testRequest).First(), 1)
}

// A waiting request starts, is refused or gives up. What the granting daemon can't know, it is told.
func TestWaiting(t *testing.T) {
	granted := peermsg.RoomNotice{State: peermsg.RoomGranted, First: 4}
	cases := []struct {
		name   string
		notice *peermsg.RoomNotice
		early  bool // the notice arrives before the reply
		cancel bool
		first  uint32          // 0 if refused
		retry  spanrill.Millis // 0 for any
		ended  bool            // before Release
	}{
		{name: "notice after the reply", notice: &granted, first: 4},
		{name: "notice before the reply", notice: &granted, early: true, first: 4},
		{name: "refused", notice: &peermsg.RoomNotice{RetryAfter: 800}, retry: 800},
		{name: "notice lost", ended: true},
		{name: "context ends", cancel: true, ended: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newClientPeers()
			c := p.newClient(1)
			p.answer["a"] = func(m *peermsg.RoomRequest) *peermsg.RoomReply {
				if tc.early {
					deliver(c, *tc.notice, m.ID)
				}
				return &peermsg.RoomReply{State: peermsg.RoomWaiting, Wait: 50}
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			result := enterLater(ctx, c, testRequest)
			if !tc.early {
				p.clock.AwaitTimers(1)
				settleWait(p, c, tc.notice, tc.cancel, cancel)
			}
			e := <-result
			all, _ := p.report(c, "a")
			expect(t, "told as ended", len(all.Ended) > 0, tc.ended)
			if tc.first > 0 {
				expect(t, "chain", e.grant.First(), tc.first)
				e.grant.Release()
				e.grant.Release()
				all, _ = p.report(c, "a")
				expect(t, "ended by release", len(all.Ended), 1)
				return
			}
			checkRefusal(t, e.refusal, tc.retry)
			deliver(c, granted, p.lastRequest().ID) // too late
			all, _ = p.report(c, "a")
			expect(t, "given back", slices.Equal(all.Ended, []uint64{p.lastRequest().ID}), true)
		})
	}
}

// settleWait brings about what the request waits for.
func settleWait(p *clientPeers, c *Client, notice *peermsg.RoomNotice, isCancelled bool, cancel func()) {
	switch {
	case notice != nil:
		deliver(c, *notice, p.lastRequest().ID)
	case isCancelled:
		cancel()
	default:
		p.clock.Advance(testRequest.MaxWait + noticeMargin)
	}
}

func deliver(c *Client, notice peermsg.RoomNotice, id uint64) {
	notice.Service, notice.ID = testService, id
	c.HandleNotice(&notice)
}

func checkRefusal(t *testing.T, refusal *spanrill.Refusal, retry spanrill.Millis) {
	t.Helper()
	if refusal == nil {
		t.Fatal("not refused")
	}
	expect(t, "reason", refusal.Reason(), spanrill.ReasonChainsFull)
	expect(t, "outcome", refusal.Outcome(), spanrill.OutcomeNotRun)
	if after := refusal.RetryAfter(); after < minSpreadRetry || after > maxRetryAfter || retry > 0 && after != retry {
		t.Errorf("retry time %d ms, want %d, or 300 to 10,000 if 0", after, retry)
	}
}

// A notice reaches its request although the reply is lost. One for nobody changes nothing.
func TestNoticeWithoutReply(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1)
	deliver(c, peermsg.RoomNotice{State: peermsg.RoomGranted, First: 4}, 1)
	p.answer["a"] = func(m *peermsg.RoomRequest) *peermsg.RoomReply {
		deliver(c, peermsg.RoomNotice{State: peermsg.RoomGranted, First: 4}, m.ID)
		return nil
	}
	expect(t, "chain", mustEnter(t, c, testRequest).First(), 4)
	deliver(c, peermsg.RoomNotice{State: peermsg.RoomGranted, First: 5}, p.lastRequest().ID) // repeated
	all, _ := p.report(c, "a")
	expect(t, "ended", len(all.Ended), 0)
}

// Replies that make no sense are not followed, and room that they give is given back.
func TestUnusableReplies(t *testing.T) {
	cases := []struct {
		name  string
		reply peermsg.RoomReply
		asked int    // of the first daemon
		first uint32 // 0 if refused
	}{
		{"unknown state", peermsg.RoomReply{State: 17, First: 3}, 1, 2},
		{"no engine", peermsg.RoomReply{State: peermsg.RoomGranted}, 1, 2},
		{"unknown engine", peermsg.RoomReply{State: peermsg.RoomGranted, First: 99}, 2, 2},
		{"retry time negative", peermsg.RoomReply{RetryAfter: -5}, 1, 0},
		{"retry time absurd", peermsg.RoomReply{RetryAfter: 1e18}, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newClientPeers()
			c := p.newClient(1)
			p.replyWith("a", tc.reply)
			p.replyWith("b", peermsg.RoomReply{State: peermsg.RoomGranted, First: 2})
			grant, refusal := c.Enter(t.Context(), testRequest)
			expect(t, "questions", p.asked("a"), tc.asked)
			if tc.first == 0 {
				checkRefusal(t, refusal, 0)
				return
			}
			expect(t, "chain", grant.First(), tc.first)
			all, _ := p.report(c, "a")
			expect(t, "given back", len(all.Ended), tc.asked)
		})
	}
}

// Without a queue nothing is asked to wait. Retry times are spread within a third of the time that
// the caller still waits, and fixed if returns are not planned.
func TestOptions(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(1, WithQueue(false), WithPlanReturns(false))
	p.replyWith("a", peermsg.RoomReply{RetryAfter: 400})
	_, refusal := c.Enter(t.Context(), testRequest)
	checkRefusal(t, refusal, 400)
	expect(t, "longest wait", p.lastRequest().MaxWait, 0)
	expect(t, "retry time", c.RetryAfter(testRequest), 300)
	c = p.newClient(1)
	shortest, longest := maxRetryAfter, spanrill.Millis(0)
	r := testRequest
	r.Remaining, r.RefusedBy = 3*spanrill.Second, []uint32{5}
	for range 1000 {
		d := c.RetryAfter(r)
		shortest, longest = min(shortest, d), max(longest, d)
	}
	if shortest < 300 || shortest > 350 || longest < 950 || longest > 1000 {
		t.Errorf("retry times from %d to %d ms, want 300 to 1000", shortest, longest)
	}
	all, _ := p.report(c, "a")
	expect(t, "refusing engines told", slices.Equal(all.Refused, []uint32{5}), true)
}

// Many requests at once, some of them cancelled, leave nothing behind.
func TestConcurrentRequests(t *testing.T) {
	p := newClientPeers()
	c := p.newClient(3)
	var asked atomic.Uint64
	p.answer["a"] = func(m *peermsg.RoomRequest) *peermsg.RoomReply {
		if asked.Add(1)%3 == 0 {
			go deliver(c, peermsg.RoomNotice{State: peermsg.RoomGranted, First: 2}, m.ID)
			return &peermsg.RoomReply{State: peermsg.RoomWaiting}
		}
		return &peermsg.RoomReply{State: peermsg.RoomGranted, First: 1, Ahead: []peermsg.RoomAhead{{ID: m.ID, First: 3, Lapse: 500}}}
	}
	var results []<-chan entered
	for i := range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		results = append(results, enterLater(ctx, c, testRequest))
		if i%10 == 0 {
			cancel()
		}
		t.Cleanup(cancel)
	}
	for _, result := range results {
		if e := <-result; e.grant != nil {
			e.grant.Release()
		}
	}
	all, _ := p.report(c, "a")
	s := c.services[testService]
	expect(t, "running", len(s.running), 0)
	expect(t, "waiting", len(c.waiters), 0)
	expect(t, "held", len(s.outboxes["a"].held), 0)
	if len(all.Ended) < 180 {
		t.Errorf("%d requests told as ended, want at least the 180 that were not cancelled", len(all.Ended))
	}
}
