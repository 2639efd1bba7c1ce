package granting

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
)

// clientPeers is everything that a client talks to: the other daemons, the engines and the granting
// daemon in its process.
type clientPeers struct {
	mu           sync.Mutex
	clock        *clock.Manual
	granters     []peermsg.Member
	answer       map[string]func(*peermsg.RoomRequest) *peermsg.RoomReply // by address; nil is no answer
	unresponsive map[string]bool
	daemons      int // 0 if unknown
	chains       []spanrill.RoomChain
	sendErr      error
	requests     []askedOf
	reports      []reportTo
}

type askedOf struct {
	addr string
	peermsg.RoomRequest
}

type reportTo struct {
	addr string
	peermsg.RoomReport
}

const (
	testService  = "advice"
	testChains   = 14
	testRequests = 70 // of mean size that a chain holds
	testDaemons  = 86
)

var (
	testModel   = &spanrill.EngineModel{MeanPromptTokens: 800, MeanAnswerTokens: 200}
	testRequest = spanrill.RoomRequest{
		Service: testService, Model: testModel, Need: spanrill.RoomNeed{Prompt: 800, Answer: 200},
		MaxWait: 200, Remaining: 15 * spanrill.Second,
	}
)

// newClientPeers returns peers of which a and b grant the room of 14 chains, 1 to 14.
func newClientPeers() *clientPeers {
	p := &clientPeers{
		clock: clock.NewManual(), daemons: testDaemons, unresponsive: map[string]bool{},
		granters: []peermsg.Member{{Name: "a", PeerAddr: "a"}, {Name: "b", PeerAddr: "b"}},
		answer:   map[string]func(*peermsg.RoomRequest) *peermsg.RoomReply{},
	}
	p.clock.Advance(100_000)
	for i := range testChains {
		p.chains = append(p.chains, testChain(uint32(i+1), testRequests*1000))
	}
	return p
}

// testChain returns a chain of a first engine and a second one, whose number is higher by 100.
func testChain(first uint32, capacity float64) spanrill.RoomChain {
	return spanrill.RoomChain{Parts: []spanrill.RoomPart{
		{Engine: first, Capacity: capacity, Share: 1},
		{Engine: first + 100, Capacity: capacity, Share: 1},
	}, Penalty: 1}
}

func (p *clientPeers) newClient(seed uint64, opts ...ClientOption) *Client {
	opts = append([]ClientOption{WithRandom(rng.New(seed).Float64), WithAddr("self")}, opts...)
	return NewClient("self", p, p, p, p.clock, opts...)
}

// replyWith makes a daemon answer all requests alike.
func (p *clientPeers) replyWith(addr string, reply peermsg.RoomReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer[addr] = func(*peermsg.RoomRequest) *peermsg.RoomReply { return &reply }
}

func (p *clientPeers) Granters(string) []peermsg.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]peermsg.Member(nil), p.granters...)
}

func (p *clientPeers) Unresponsive(daemon string) bool { return p.unresponsive[daemon] }

func (p *clientPeers) Request(ctx context.Context, addr string, _ uint8, req, reply any) error {
	p.mu.Lock()
	m := req.(*peermsg.RoomRequest)
	p.requests = append(p.requests, askedOf{addr, *m})
	answer := p.answer[addr]
	p.mu.Unlock()
	if answer == nil {
		return context.DeadlineExceeded
	}
	r := answer(m)
	if r == nil {
		return context.DeadlineExceeded
	}
	*reply.(*peermsg.RoomReply) = *r
	return ctx.Err()
}

func (p *clientPeers) Send(addr string, _ uint8, message any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sendErr == nil {
		p.reports = append(p.reports, reportTo{addr, *message.(*peermsg.RoomReport)})
	}
	return p.sendErr
}

func (p *clientPeers) Fleet() (int, bool)                 { return p.daemons, p.daemons > 0 }
func (p *clientPeers) Divides(string) bool                { return true }
func (p *clientPeers) HandleReport(r *peermsg.RoomReport) { _ = p.Send("", 0, r) }

func (p *clientPeers) Chains(string) ([]spanrill.RoomChain, bool) { return p.chains, p.daemons > 0 }

func (p *clientPeers) Told(string) (map[uint32]spanrill.RoomUse, spanrill.Millis) { return nil, 0 }

// HandleRequest grants everything.
func (p *clientPeers) HandleRequest(m *peermsg.RoomRequest) *peermsg.RoomReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, askedOf{"", *m})
	return &peermsg.RoomReply{State: peermsg.RoomGranted, First: 1}
}

// asked returns how many requests a daemon got.
func (p *clientPeers) asked(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, r := range p.requests {
		if r.addr == addr {
			n++
		}
	}
	return n
}

// lastRequest returns the last request that any daemon got.
func (p *clientPeers) lastRequest() askedOf {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests[len(p.requests)-1]
}

// report makes the client report and returns all that a daemon was told, in one.
func (p *clientPeers) report(c *Client, addr string) (all peermsg.RoomReport, reports int) {
	p.clock.Advance(reportInterval)
	c.sendReports(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.reports {
		if r.addr != addr {
			continue
		}
		reports++
		all.Ended, all.Used, all.Loads = append(all.Ended, r.Ended...), append(all.Used, r.Used...), append(all.Loads, r.Loads...)
		all.Held, all.Refused, all.Complete = append(all.Held, r.Held...), append(all.Refused, r.Refused...), all.Complete || r.Complete
	}
	p.reports = nil
	return all, reports
}

// entered is the result of Enter.
type entered struct {
	grant   spanrill.RoomGrant
	refusal *spanrill.Refusal
}

// enterLater runs Enter in a goroutine.
func enterLater(ctx context.Context, c *Client, r spanrill.RoomRequest) <-chan entered {
	result := make(chan entered, 1)
	go func() {
		grant, refusal := c.Enter(ctx, r)
		result <- entered{grant, refusal}
	}()
	return result
}

// mustEnter returns the grant of a request.
func mustEnter(t *testing.T, c *Client, r spanrill.RoomRequest) spanrill.RoomGrant {
	t.Helper()
	grant, refusal := c.Enter(t.Context(), r)
	if refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	return grant
}

func expect[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %s, want %s", what, fmt.Sprint(got), fmt.Sprint(want))
	}
}
