package returns

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"spanrill"
	"spanrill/coordination/admission"
)

const (
	loadDuration   = 16 * spanrill.Second
	burstFrom      = 4 * spanrill.Second
	burstTo        = burstFrom + 3500
	callerDeadline = 15 * spanrill.Second
	returnWindow   = 250 * spanrill.Millis(1)
)

// latestStarts are the waits that the latency targets of the classes allow: 500, 500 and 1000 ms,
// less 200 ms to the first event.
var latestStarts = [3]spanrill.Millis{300, 300, 800}

// caller is a request whose caller returns once if it is refused.
type caller struct {
	spanrill.LineEntry
	arrived  spanrill.Millis
	returned bool
}

// callers plays callers against a line and a planner. Requests start at a fixed rate.
type callers struct {
	t       *testing.T
	rate    float64
	chance  *rand.Rand
	line    *admission.Line
	planner *Planner
	room    float64
	lastID  uint64
	waiting map[uint64]*caller
	due     map[spanrill.Millis][]*caller
	returns []spanrill.Millis // times of returns
	refused [3]int            // once, by class
	served  [3]int            // of these, at their return
	account func() string     // account of the next arrival
	// comesBack reports whether refused callers of an account return, once.
	comesBack func(account string) bool
	arrived   map[string]int // requests by account
	started   map[string]int // of these, by account
}

func newCallers(t *testing.T, rate float64, seed uint64) *callers {
	line := admission.NewLine()
	line.SetRate(rate)
	return &callers{
		t: t, rate: rate, chance: rand.New(rand.NewPCG(seed, 2)), line: line, planner: newPlanner(seed),
		waiting: map[uint64]*caller{}, due: map[spanrill.Millis][]*caller{},
		account: func() string { return "" }, comesBack: func(string) bool { return true }, arrived: map[string]int{}, started: map[string]int{},
	}
}

// play runs the load. Load returns the arrivals as a part of the rate at which requests start.
func (p *callers) play(load func(spanrill.Millis) float64) {
	next := p.chance.ExpFloat64()
	for now := spanrill.Millis(1); now <= loadDuration; now++ {
		p.room += p.rate / float64(spanrill.Second)
		p.start(now)
		for _, c := range p.due[now] {
			p.returns = append(p.returns, now)
			c.Returned = p.planner.Redeem(now, c.ID)
			p.enter(now, c)
		}
		for next -= load(now) * p.rate / float64(spanrill.Second); next <= 0; next += p.chance.ExpFloat64() {
			p.lastID++
			class := spanrill.Class(p.chance.IntN(3))
			e := spanrill.LineEntry{ID: p.lastID, Class: class, Account: p.account()}
			p.arrived[e.Account]++
			p.enter(now, &caller{LineEntry: e, arrived: now})
		}
		p.start(now)
		p.refuseAll(now, p.line.Drop(now))
		p.room = min(1, p.room)
	}
}

func (p *callers) enter(now spanrill.Millis, c *caller) {
	c.LatestStart = now + latestStarts[c.Class]
	if p.line.Len() == 0 && p.room >= 1 {
		p.startOne(now, c)
		return
	}
	p.waiting[c.ID] = c
	ok, dropped := p.line.Enter(now, c.LineEntry)
	p.refuseAll(now, dropped)
	if !ok {
		p.refuse(now, c)
	}
}

func (p *callers) start(now spanrill.Millis) {
	for p.room >= 1 {
		e, ok := p.line.Next(now, nil)
		if !ok {
			return
		}
		p.startOne(now, p.waiting[e.ID])
	}
}

func (p *callers) startOne(now spanrill.Millis, c *caller) {
	p.room--
	p.line.Start(now, c.LineEntry)
	p.planner.RecordStart(now, c.Class)
	delete(p.waiting, c.ID)
	p.started[c.Account]++
	if c.returned {
		p.served[c.Class]++
	}
}

func (p *callers) refuseAll(now spanrill.Millis, entries []spanrill.LineEntry) {
	for _, e := range entries {
		p.refuse(now, p.waiting[e.ID])
	}
}

func (p *callers) refuse(now spanrill.Millis, c *caller) {
	delete(p.waiting, c.ID)
	r := spanrill.RefusedRequest{
		Class: c.Class, Content: c.ID, Remaining: c.arrived + callerDeadline - now, Returned: c.returned,
	}
	if c.returned || !p.comesBack(c.Account) {
		return
	}
	at := now + p.planner.Plan(now, r, p.rate, p.line.Len())
	c.returned = true
	p.refused[c.Class]++
	p.due[at] = append(p.due[at], c)
}

// Guards against callers that return to no room. The load is a burst of more than the room between
// times of less.
func TestRefusedCallersAreServedAtTheirReturn(t *testing.T) {
	load := func(now spanrill.Millis) float64 {
		if now > burstFrom && now <= burstTo {
			return 1.3
		}
		return 0.8
	}
	for _, rate := range []float64{60, 300, 900} {
		t.Run(fmt.Sprint(rate, " per second"), func(t *testing.T) {
			var refused, served [3]int
			for seed := range uint64(5) { // few callers are refused at the lowest rate, so that chance matters
				p := newCallers(t, rate, seed+1)
				p.account = func() string { return fmt.Sprint(p.lastID % 5) }
				p.play(load)
				p.checkWindows()
				for class := range p.refused {
					refused[class] += p.refused[class]
					served[class] += p.served[class]
				}
			}
			checkServed(t, refused, served)
		})
	}
}

// checkWindows checks that callers return no faster than requests start.
func (p *callers) checkWindows() {
	most, room := mostWithin(p.returns, returnWindow), p.rate*seconds(returnWindow)
	p.t.Logf("at most %d returns within %d ms, in which %.0f start", most, returnWindow, room)
	if float64(most) > room {
		p.t.Errorf("%d callers returned within %d ms, in which %.0f start", most, returnWindow, room)
	}
}

// checkServed checks which part of the refused callers was served at their return, and that no class
// was served better than a more urgent one.
func checkServed(t *testing.T, refused, served [3]int) {
	t.Helper()
	allRefused, allServed, previous := 0, 0, 1.0
	for class, n := range refused {
		allRefused += n
		allServed += served[class]
		if n == 0 {
			continue
		}
		part := float64(served[class]) / float64(n)
		t.Logf("class %d: %d refused, %.3f of them served at their return", class, n, part)
		if part > previous {
			t.Errorf("class %d was served better than a more urgent one, with %.3f", class, previous)
		}
		previous = part
	}
	if float64(allServed) < 0.8*float64(allRefused) {
		t.Errorf("%d of %d refused callers were served at their return, want 0.8 of them", allServed, allRefused)
	}
}

// Guards against an account whose many refused requests displace those of others, which do not
// return themselves, when they return.
func TestReturnsOfAFloodLeaveRoomToOtherAccounts(t *testing.T) {
	const modestAccounts = 4
	p := newCallers(t, 300, 1)
	p.account = func() string {
		if n := p.chance.IntN(20); n < modestAccounts {
			return fmt.Sprint("modest ", n)
		}
		return "flood"
	}
	p.comesBack = func(account string) bool { return account == "flood" }
	p.play(func(spanrill.Millis) float64 { return 3 })
	arrived, started := 0, 0
	for account := range p.arrived {
		arrived += p.arrived[account]
		started += p.started[account]
	}
	all := float64(started) / float64(arrived)
	for account, n := range p.arrived {
		part := float64(p.started[account]) / float64(n)
		t.Logf("%s: %d requests, %.3f started; of all %.3f", account, n, part, all)
		if account != "flood" && part < all {
			t.Errorf("%s was served %.3f, less than the %.3f of all", account, part, all)
		}
	}
}
