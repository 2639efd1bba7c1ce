package granting

import (
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// Guards requests that cannot wait, because they have no objective for their first event or it cannot be
// met any more: they start if there is room, else they are refused at once.
func TestRequestsThatCannotWait(t *testing.T) {
	for _, c := range []struct {
		name    string
		maxWait spanrill.Millis
	}{{"no objective", 0}, {"objective used up", fakeFirstEvent - 1}, {"no time for messages", fakeFirstEvent + messagesTime - 1}, {"negative", -5}} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlays(t, noAhead(), 100, 100)
			hurried := func(id uint64, class int) *peermsg.RoomRequest {
				req := roomRequest("a", id)
				req.MaxWait, req.Class = c.maxWait, class
				return req
			}
			p.ask(hurried(1, 0), stateGranted)
			choosy := roomRequest("b", 2)
			choosy.Avoid = []uint32{2}
			p.ask(choosy, stateWaiting)
			p.ask(hurried(3, 0), stateGranted) // the room is of no use to the waiting one
			p.ask(hurried(4, 0), stateRefused)
			if p.room.Waiting() != 1 || p.room.Len() != 3 {
				t.Errorf("%d requests wait and %d claims, want 1 and 3", p.room.Waiting(), p.room.Len())
			}
		})
	}
}

// Guards against a waiting request that is dropped for one which cannot wait and is refused.
func TestNoDropForRefused(t *testing.T) {
	parts, ledger := fakeParts()
	parts.NewLine = func() spanrill.StartLine { return &fakeLine{limit: 1} }
	p := &plays{T: t, room: NewRoom("s", parts, WithoutAhead()), ledger: ledger, now: 1000}
	p.room.SetChains(p.now, chainsOf(100))
	p.pass(cautiousTime + advanceInterval)
	p.ask(roomRequest("a", 1), stateGranted)
	patient, hurried := roomRequest("b", 2), roomRequest("c", 3)
	patient.Class, hurried.MaxWait = 4, 0
	p.ask(patient, stateWaiting)
	p.ask(hurried, stateRefused)
	p.wantNotices()
	if p.room.Waiting() != 1 {
		t.Errorf("%d requests wait, want 1", p.room.Waiting())
	}
}

// Guards against chains that are chosen for a request by the time that it had before it waited.
func TestPatienceAfterWait(t *testing.T) {
	p := newPlays(t, noAhead(), 100)
	p.ask(roomRequest("a", 1), stateGranted)
	if p.ledger.patient != 1000 {
		t.Errorf("patience %d ms of a request that starts at once, want 1000", p.ledger.patient)
	}
	p.ask(roomRequest("b", 2), stateWaiting)
	p.pass(900)
	p.report(peermsg.RoomReport{Daemon: "a", Ended: []uint64{1}})
	p.wantNotices("2 1")
	if p.ledger.patient != 100 {
		t.Errorf("patience %d ms after 900 of 1000 ms, want 100", p.ledger.patient)
	}
}

// Guards the rate at which the line expects starts: that of the ends of requests, 0 while it is unknown.
func TestRateOfLine(t *testing.T) {
	parts, ledger := fakeParts()
	line := &fakeLine{}
	parts.NewLine = func() spanrill.StartLine { return line }
	ledger.endRate = 0
	room := NewRoom("s", parts, WithoutAhead())
	room.SetChains(1000, chainsOf(1000))
	room.Request(1000, roomRequest("a", 1))
	ledger.endRate = 20
	room.Request(1000+advanceInterval, roomRequest("a", 2))
	if len(line.rates) != 2 || line.rates[0] != 0 || line.rates[1] != 20 {
		t.Errorf("rates %v, want 0 at the start and 20 after %d ms", line.rates, advanceInterval)
	}
}
