package granting

import (
	"testing"

	"spanrill"
	"spanrill/coordination/admission"
	"spanrill/coordination/room"
	"spanrill/protocol/peermsg"
)

// refusedCounter counts what a line is told and tells of requests that it does not take.
type refusedCounter struct {
	spanrill.StartLine
	notEntered, recorded int
}

func (l *refusedCounter) Enter(now spanrill.Millis, e spanrill.LineEntry) (bool, []spanrill.LineEntry) {
	ok, dropped := l.StartLine.Enter(now, e)
	if !ok {
		l.notEntered++
	}
	return ok, dropped
}

func (l *refusedCounter) RecordRefused(now spanrill.Millis, e spanrill.LineEntry) {
	l.recorded++
	l.StartLine.RecordRefused(now, e)
}

// A refused request counts once in the fractions of the classes: the line counts itself those that it
// does not let enter.
func TestRefusedCountOnce(t *testing.T) {
	parts, ledger := fakeParts()
	var lines []*refusedCounter
	parts.NewLine = func() spanrill.StartLine {
		lines = append(lines, &refusedCounter{StartLine: admission.NewLine(admission.WithCapacity(1))})
		return lines[len(lines)-1]
	}
	p := &plays{T: t, room: NewRoom("s", parts, WithoutAhead()), ledger: ledger, now: 1000}
	p.room.SetChains(p.now, chainsOf(100))
	p.pass(cautiousTime + advanceInterval)
	p.ask(roomRequest("a", 1), stateGranted)
	p.ask(roomRequest("b", 2), stateWaiting)
	p.ask(roomRequest("c", 3), stateRefused)
	hurried := roomRequest("c", 4)
	hurried.MaxWait = 0
	p.ask(hurried, stateRefused)
	if line := lines[0]; line.notEntered != 1 || line.recorded != 1 {
		t.Errorf("%d requests did not enter and %d were recorded as refused, want 1 and 1", line.notEntered, line.recorded)
	}
}

// Requests of a starved class may use what is reserved for the most urgent one: else its requests take
// all room that becomes free there.
func TestStarvedClassUsesReserve(t *testing.T) {
	for _, c := range []struct {
		lost int
		want peermsg.RoomState
	}{{0, stateWaiting}, {20, stateGranted}} {
		line := admission.NewLine()
		parts := Parts{
			NewLedger:  func() spanrill.RoomLedger { return room.NewLedger(room.WithFill(1, 0.5)) },
			NewLine:    func() spanrill.StartLine { return line },
			NewReturns: func() spanrill.ReturnPlanner { return &fakeReturns{planned: map[uint64]bool{}} },
		}
		p := &plays{T: t, room: NewRoom("s", parts, WithoutAhead()), now: 1000}
		chain := simChain(simReading, 1, "z0")
		p.room.SetChains(p.now, []spanrill.RoomChain{chain})
		p.pass(cautiousTime + advanceInterval)
		for id := range uint64(3) {
			req := roomRequest("a", id+1)
			req.Class, req.Prompt = 0, int(0.19*chain.Parts[0].Capacity)
			p.ask(req, stateGranted)
		}
		for range c.lost {
			line.RecordRefused(p.now, spanrill.LineEntry{Class: 2})
		}
		req := roomRequest("a", 9)
		req.Class, req.Prompt = 2, int(0.1*chain.Parts[0].Capacity)
		p.ask(req, c.want)
	}
}
