package granting

import (
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// Guards the rate at which requests end, from which waits and returns are planned: room that is given
// back by requests that have not run does not count.
func TestOnlyRequestsThatRanCountAsEnds(t *testing.T) {
	p := newPlays(t, noAhead(), 100, 100)
	first := p.ask(roomRequest("a", 1), stateGranted).First
	refused := roomRequest("a", 2)
	refused.RefusedBy, refused.Avoid = []uint32{first}, []uint32{first}
	p.ask(refused, stateGranted)
	p.report(peermsg.RoomReport{Daemon: "a", Ended: []uint64{1}})
	if p.ledger.ended != 0 {
		t.Errorf("%d ends after an engine refused a request, want 0", p.ledger.ended)
	}
	p.pass(2 * refusedWithin)
	p.ask(roomRequest("b", 3), stateGranted)
	p.ask(roomRequest("b", 4), stateWaiting)
	p.report(peermsg.RoomReport{Daemon: "b", Ended: []uint64{4}})
	if p.ledger.ended != 0 {
		t.Errorf("%d ends after a waiting request was given up, want 0", p.ledger.ended)
	}
	p.report(peermsg.RoomReport{Daemon: "b", Ended: []uint64{3}})
	p.report(peermsg.RoomReport{Daemon: "a", Ended: []uint64{2}})
	if p.ledger.ended != 2 || len(p.ledger.grants) != 0 {
		t.Errorf("%d ends and %d grants after two requests have run, want 2 and 0", p.ledger.ended, len(p.ledger.grants))
	}
	again := roomRequest("a", 5)
	engine := p.ask(again, stateGranted).First
	again.RefusedBy = []uint32{engine} // asks again by the same id
	p.ask(again, stateGranted)
	p.pass(reportTimeout + 2*advanceInterval) // the daemon is silent
	if p.ledger.ended != 2 || len(p.ledger.grants) != 0 {
		t.Errorf("%d ends and %d grants after a request whose daemon is silent, want 2 and 0", p.ledger.ended, len(p.ledger.grants))
	}
}

// Guards the refused requests that a daemon reports without asking for room again.
func TestRefusalInReportIsNoEnd(t *testing.T) {
	p := newPlays(t, noAhead(), 200)
	first := p.ask(roomRequest("a", 1), stateGranted).First
	p.ask(roomRequest("a", 2), stateGranted)
	p.report(peermsg.RoomReport{Daemon: "a", Ended: []uint64{1, 2}, Refused: []uint32{first}})
	if p.ledger.ended != 1 {
		t.Errorf("%d ends, want 1 of two requests of which an engine refused one", p.ledger.ended)
	}
}

// Guards what a grant given ahead of need holds once it is used, and that it counts as no end when it
// lapses.
func TestUsedGrantHoldsTrueSize(t *testing.T) {
	p := newPlays(t, nil, 10_000)
	var ahead []peermsg.RoomAhead
	for id := range uint64(12) {
		ahead = append(ahead, p.ask(roomRequest("a", id), stateGranted).Ahead...)
		p.pass(100)
	}
	used := peermsg.RoomUsed{Ahead: ahead[0].ID, ID: 50, Class: 1, Prompt: 700, Answer: 50}
	p.report(peermsg.RoomReport{Daemon: "a", Used: []peermsg.RoomUsed{used}})
	if got := p.ledger.grants[ahead[0].ID].tokens; got != 750 {
		t.Errorf("a used grant holds %.0f tokens, want 750", got)
	}
	p.pass(aheadReturn)
	if p.ledger.ended != 0 || p.room.Counts().AheadLapsed == 0 {
		t.Errorf("%d ends after %d grants have lapsed, want 0", p.ledger.ended, p.room.Counts().AheadLapsed)
	}
}

// Guards the planner's knowledge of which classes start: at once, after a wait, and with a grant given
// ahead of need.
func TestStartsAreToldToPlanner(t *testing.T) {
	returns := &fakeReturns{planned: map[uint64]bool{}}
	parts, ledger := fakeParts()
	parts.NewReturns = func() spanrill.ReturnPlanner { return returns }
	p := &plays{T: t, room: NewRoom("s", parts), ledger: ledger, now: 1000}
	p.room.SetChains(p.now, chainsOf(10_000))
	p.pass(cautiousTime + advanceInterval)
	var ahead []peermsg.RoomAhead
	for id := range uint64(12) {
		ahead = append(ahead, p.ask(roomRequest("a", id), stateGranted).Ahead...)
		p.pass(100)
	}
	used := peermsg.RoomUsed{Ahead: ahead[0].ID, ID: 50, Class: 1}
	p.report(peermsg.RoomReport{Daemon: "a", Used: []peermsg.RoomUsed{used}})
	p.room.SetChains(p.now, chainsOf(100))
	waits := roomRequest("a", 60)
	waits.Class = 2
	p.ask(waits, stateWaiting)
	p.room.SetChains(p.now, chainsOf(10_000))
	p.pass(advanceInterval)
	p.wantNotices("60 1")
	if returns.starts[0] != 12 || returns.starts[1] != 1 || returns.starts[2] != 1 {
		t.Errorf("starts by class %v, want 12, 1 and 1", returns.starts)
	}
}

// Guards against urgent requests that wait for those of a class that goes first because it got too
// little, but has no room within its fill limit.
func TestUrgentBehindClassWithoutRoom(t *testing.T) {
	parts, ledger := fakeParts()
	line := &fakeLine{first: 5}
	parts.NewLine = func() spanrill.StartLine { return line }
	p := &plays{T: t, room: NewRoom("s", parts, WithoutAhead()), ledger: ledger, now: 1000}
	p.room.SetChains(p.now, chainsOf(200))
	p.pass(cautiousTime + advanceInterval)
	p.ask(roomRequest("a", 1), stateGranted)
	for id := range uint64(2 * fakeMaxSkipped) {
		patient := roomRequest("b", 10+id)
		patient.Class = 5 // may fill 150 of 200 tokens
		p.ask(patient, stateWaiting)
	}
	p.pass(advanceInterval) // tries them
	p.ask(roomRequest("c", 2), stateGranted)
	if got := line.Len(); got != 2*fakeMaxSkipped {
		t.Errorf("%d requests in the line, want all of the %d that wait", got, 2*fakeMaxSkipped)
	}
}
