package granting

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// plays drives a Room. Its requests have 100 tokens unless a case says otherwise.
type plays struct {
	*testing.T
	room    *Room
	ledger  *fakeLedger
	now     spanrill.Millis
	notices []Notice
}

// newPlays returns a Room that has granted for longer than cautiousTime.
func newPlays(t *testing.T, opts []RoomOption, capacities ...float64) *plays {
	parts, ledger := fakeParts()
	p := &plays{T: t, room: NewRoom("s", parts, opts...), ledger: ledger, now: 1000}
	p.room.SetChains(p.now, chainsOf(capacities...))
	p.pass(cautiousTime + advanceInterval)
	return p
}

func noAhead() []RoomOption { return []RoomOption{WithoutAhead()} }

// pass lets time pass, with a tick every 50 ms.
func (p *plays) pass(d spanrill.Millis) {
	for end := p.now + d; p.now < end; {
		p.now = min(end, p.now+advanceInterval)
		p.notices = append(p.notices, p.room.Tick(p.now)...)
	}
}

func roomRequest(daemon string, id uint64) *peermsg.RoomRequest {
	return &peermsg.RoomRequest{
		Daemon: daemon, Addr: daemon, ID: id, Service: "s", Content: id, Prompt: 80, Answer: 20,
		MaxWait: 1000, Remaining: 5000,
	}
}

// ask sends a request and checks the state of the reply.
func (p *plays) ask(req *peermsg.RoomRequest, want peermsg.RoomState) *peermsg.RoomReply {
	p.Helper()
	reply, notices := p.room.Request(p.now, req)
	p.notices = append(p.notices, notices...)
	if reply.State != want {
		p.Fatalf("state %d of request %d of daemon %s, want %d", reply.State, req.ID, req.Daemon, want)
	}
	return reply
}

func (p *plays) report(r peermsg.RoomReport) {
	p.notices = append(p.notices, p.room.Report(p.now, &r)...)
}

// wantNotices checks the notices since the last call, each as "id state".
func (p *plays) wantNotices(want ...string) {
	p.Helper()
	var got []string
	for _, n := range p.notices {
		got = append(got, fmt.Sprint(n.Message.ID, " ", n.Message.State))
	}
	p.notices = nil
	if !slices.Equal(got, want) {
		p.Fatalf("notices %v, want %v", got, want)
	}
}

const (
	stateRefused = peermsg.RoomRefused
	stateGranted = peermsg.RoomGranted
	stateWaiting = peermsg.RoomWaiting
)

// Guards the ways that a request can take: granted at once, after waiting, refused at once, too late.
func TestRequestWays(t *testing.T) {
	p := newPlays(t, noAhead(), 100)
	if first := p.ask(roomRequest("a", 1), stateGranted).First; first != 1 {
		t.Errorf("first engine %d, want 1", first)
	}
	p.ask(roomRequest("b", 1), stateWaiting) // ids are unique for a daemon only
	impatient := roomRequest("b", 2)
	impatient.MaxWait = 30 // less than the time to the first event
	if after := p.ask(impatient, stateRefused).RetryAfter; after != plannedReturn {
		t.Errorf("retry after %d ms, want %d", after, plannedReturn)
	}
	tooLarge := roomRequest("b", 3)
	tooLarge.Prompt = 1000
	p.ask(tooLarge, stateRefused)
	p.report(peermsg.RoomReport{Daemon: "a", Ended: []uint64{1}})
	p.wantNotices("1 1")
	p.ask(roomRequest("c", 4), stateWaiting)
	p.pass(1100)
	p.wantNotices("4 0")
	p.ask(roomRequest("c", 4), stateWaiting) // returns
	c := p.room.Counts()
	if c.Given[0] != 2 || c.Waited[0] != 3 || c.Refused[0] != 3 || c.ReturnsKept != 1 {
		t.Errorf("counts %+v, want 2 given, 3 waited, 3 refused, 1 return", c)
	}
}

// Guards the order of the line, and against requests that stop those behind them.
func TestOrderOfWaiting(t *testing.T) {
	p := newPlays(t, noAhead(), 200, 100)
	for id := range uint64(3) {
		p.ask(roomRequest("a", id), stateGranted)
	}
	patient, urgent, choosy, late := roomRequest("b", 10), roomRequest("b", 11), roomRequest("b", 12), roomRequest("b", 13)
	patient.Class, late.Class = 5, 3
	choosy.Avoid = []uint32{1}
	p.ask(patient, stateWaiting)
	p.ask(choosy, stateWaiting)
	p.ask(urgent, stateWaiting)
	p.ask(late, stateWaiting)
	p.report(peermsg.RoomReport{Daemon: "a", Ended: []uint64{0}}) // frees engine 1
	p.wantNotices("11 1")
	// Class 5 may fill 75 of 100 tokens, and waits; class 3, behind the choosy one, starts.
	p.report(peermsg.RoomReport{Daemon: "b", Ended: []uint64{11}})
	p.wantNotices("13 1")
	if waits := p.room.Status(p.now).Waiting; waits[0] != 1 || waits[5] != 1 {
		t.Errorf("waiting by class %v, want one of class 0 and one of class 5", waits)
	}
	p.pass(1100)
	p.wantNotices("12 0", "10 0")
	if p.room.Waiting() != 0 {
		t.Errorf("%d requests wait after their latest start, want 0", p.room.Waiting())
	}
}

// Guards against urgent requests that wait for patient ones, passed over or not.
func TestUrgentBeforeAside(t *testing.T) {
	p := newPlays(t, noAhead(), 100, 100)
	for id := range uint64(2) {
		p.ask(roomRequest("a", id), stateGranted)
	}
	choosy := roomRequest("b", 11)
	choosy.Class, choosy.Avoid = 4, []uint32{1}
	p.ask(choosy, stateWaiting)
	for id := range uint64(fakeMaxSkipped - 1) {
		patient := roomRequest("c", id)
		patient.Class = 3
		p.ask(patient, stateWaiting)
	}
	p.pass(advanceInterval) // passes them over
	p.ask(roomRequest("b", 12), stateWaiting)
	p.report(peermsg.RoomReport{Daemon: "a", Ended: []uint64{0}})
	p.wantNotices("12 1")
	p.report(peermsg.RoomReport{Daemon: "c", Ended: []uint64{0, 1, 2}})
	p.report(peermsg.RoomReport{Daemon: "b", Ended: []uint64{12}})
	p.ask(roomRequest("b", 13), stateGranted) // only the choosy one waits
	p.wantNotices()
}

// Guards against a second grant for a request that is sent twice, and against an engine that is
// given again after it refused.
func TestRepeatedRequest(t *testing.T) {
	p := newPlays(t, noAhead(), 100, 100)
	first := p.ask(roomRequest("a", 1), stateGranted).First
	if again := p.ask(roomRequest("a", 1), stateGranted).First; again != first || p.room.Len() != 1 {
		t.Errorf("engine %d and %d claims after a repetition, want %d and 1", again, p.room.Len(), first)
	}
	refusal := roomRequest("a", 1)
	refusal.RefusedBy = []uint32{first}
	other := p.ask(refusal, stateGranted).First
	if p.ask(refusal, stateGranted); other == first || p.ledger.refused != 1 || p.room.Len() != 1 {
		t.Errorf("engine %d after %d, %d refusals, %d claims, want another engine, 1, 1", other, first, p.ledger.refused, p.room.Len())
	}
	refusal.RefusedBy = []uint32{other}
	p.ask(refusal, stateWaiting) // both are closed for a moment
	p.ask(refusal, stateWaiting)
	p.pass(200)
	p.wantNotices("1 1")
	p.ask(roomRequest("a", 1), stateGranted)
	p.ask(refusal, stateGranted) // the engine that it got after waiting has refused, too
	if p.ledger.refused != 3 || p.room.Len() != 1 {
		t.Errorf("%d refusals and %d claims, want 3 and 1", p.ledger.refused, p.room.Len())
	}
}

// Guards against room that stays taken when a report is lost, or when it was only on its way.
func TestLostReport(t *testing.T) {
	p := newPlays(t, noAhead(), 200)
	p.ask(roomRequest("a", 1), stateGranted)
	p.pass(250)
	p.ask(roomRequest("a", 2), stateGranted)
	p.ask(roomRequest("b", 3), stateWaiting)
	held := peermsg.RoomReport{Daemon: "a", Held: []uint64{}, Complete: true}
	p.report(held) // made before the daemon knew of either
	p.wantNotices()
	p.pass(100)
	p.report(held)
	p.wantNotices("3 1")
	if got := p.room.Counts().Lapsed; got != 1 {
		t.Errorf("%d claims lapsed, want 1: the other is younger than %d ms", got, heldGrace)
	}
}

// Guards against room that a dead daemon holds, and against taking it from one that reports.
func TestSilentDaemon(t *testing.T) {
	p := newPlays(t, noAhead(), 200)
	p.ask(roomRequest("dead", 1), stateGranted)
	p.ask(roomRequest("alive", 2), stateGranted)
	for range 3 {
		p.pass(900)
		p.report(peermsg.RoomReport{Daemon: "alive", Held: []uint64{2}, Complete: true})
	}
	p.ask(roomRequest("other", 3), stateGranted)
	p.ask(roomRequest("other", 4), stateWaiting)
}

// Guards against decisions by an old state after this daemon was stopped for a while.
func TestFrozenGranter(t *testing.T) {
	p := newPlays(t, noAhead(), 200)
	p.ask(roomRequest("a", 1), stateGranted)
	p.ask(roomRequest("a", 2), stateGranted)
	p.ask(roomRequest("a", 3), stateWaiting)
	patient := roomRequest("b", 4)
	patient.MaxWait = 30_000
	p.ask(patient, stateWaiting)
	p.now += 5000
	p.report(peermsg.RoomReport{Daemon: "a", Ended: []uint64{1}})
	p.wantNotices("3 0", "4 0")
	if p.room.Len() != 0 {
		t.Errorf("%d claims, want 0", p.room.Len())
	}
	p.ask(roomRequest("a", 5), stateWaiting) // 100 tokens are more than 0.3 of all room
	p.pass(cautiousTime)
	p.wantNotices("5 1")
}

// Guards against messages that are out of range.
func TestAbsurdMessages(t *testing.T) {
	p := newPlays(t, noAhead(), 1000)
	huge := roomRequest("a", 1)
	huge.Prompt, huge.Answer = 1_000_000_000_000_000_000, math.MaxInt
	p.ask(huge, stateRefused)
	negative := roomRequest("a", 2)
	negative.Prompt, negative.Answer, negative.MaxWait, negative.Remaining, negative.Class = -1, math.MinInt, -5, -5, -3
	p.ask(negative, stateGranted)
	if p.ledger.grants[p.room.lastHandle].class != spanrill.DefaultClass {
		t.Error("a class out of range is not the default class")
	}
	endless := roomRequest("a", 3)
	endless.MaxWait, endless.Remaining, endless.Class = math.MaxInt64, math.MaxInt64, 99
	p.ask(endless, stateGranted)
	p.ask(&peermsg.RoomRequest{}, peermsg.RoomUnknown)
	p.report(peermsg.RoomReport{Daemon: "nobody", Ended: []uint64{1, 2}, Complete: true})
	for _, age := range []spanrill.Millis{-1, math.MinInt64, math.MaxInt64} {
		p.report(peermsg.RoomReport{Daemon: "a", Loads: []peermsg.RoomEngine{{Engine: 1, Requests: 1, Age: age}}})
	}
	p.report(peermsg.RoomReport{Daemon: "a", Ended: []uint64{77}, Loads: []peermsg.RoomEngine{{Engine: 1, Requests: -1}, {Requests: 1}, {Engine: 1, Requests: 1}}})
	if p.ledger.loads != 1 || p.room.Len() != 2 {
		t.Errorf("%d loads and %d claims, want 1 and 2", p.ledger.loads, p.room.Len())
	}
	p.now -= 900 // what is heard while the clock is behind counts as heard at the latest time
	p.ask(roomRequest("a", 4), stateGranted)
	p.now += 900 + reportTimeout
	p.notices = p.room.Tick(p.now)
	if p.room.Len() != 3 {
		t.Errorf("%d claims after a clock that went back, want 3", p.room.Len())
	}
	p.now = math.MaxInt64 / 2
	p.notices = p.room.Tick(p.now)
	if p.room.Len() != 0 {
		t.Errorf("%d claims after a jump of the clock, want 0", p.room.Len())
	}
}

// Guards against grants on chains that are gone.
func TestAllChainsGone(t *testing.T) {
	p := newPlays(t, noAhead(), 1000)
	p.ask(roomRequest("a", 1), stateGranted)
	p.room.SetChains(p.now, nil)
	p.ask(roomRequest("a", 2), stateRefused)
	p.room.SetChains(p.now, chainsOf(1000))
	p.ask(roomRequest("a", 3), stateGranted)
}

// Guards against what peers tell of engines that are on no chain, and against long names that are kept.
func TestUnknownNames(t *testing.T) {
	p := newPlays(t, noAhead(), 1000)
	p.report(peermsg.RoomReport{Daemon: "a", Refused: []uint32{9}, Loads: []peermsg.RoomEngine{{Engine: 9}, {Engine: 1}}})
	odd := roomRequest("a", 1)
	odd.RefusedBy, odd.Avoid = []uint32{9}, []uint32{9}
	p.ask(odd, stateGranted)
	if p.ledger.refused != 0 || p.ledger.loads != 1 || p.room.Counts().RefusedByEngines != 0 {
		t.Errorf("%d refusals and %d loads of engines, want 0 and 1", p.ledger.refused, p.ledger.loads)
	}
	long := strings.Repeat("x", maxNameLength+1)
	for _, c := range []func(*peermsg.RoomRequest){
		func(r *peermsg.RoomRequest) { r.Daemon = long },
		func(r *peermsg.RoomRequest) { r.Addr = long },
		func(r *peermsg.RoomRequest) { r.Zone = long },
	} {
		req := roomRequest("b", 2)
		c(req)
		p.ask(req, peermsg.RoomUnknown)
	}
	if len(p.room.askers) != 1 {
		t.Errorf("%d daemons kept, want 1", len(p.room.askers))
	}
}

// Guards against tables without bounds.
func TestBoundOfClaims(t *testing.T) {
	p := newPlays(t, noAhead(), 1e9)
	for id := range uint64(maxClaims) {
		p.ask(roomRequest("a", id), stateGranted)
	}
	p.ask(roomRequest("a", maxClaims), stateRefused)
}
