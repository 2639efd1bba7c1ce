package granting

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// Guards grants ahead of need: given to daemons that ask often, used, and taken back within 1.25 s.
func TestGrantsAhead(t *testing.T) {
	p := newPlays(t, nil, 10_000)
	var ahead []peermsg.RoomAhead
	p.ask(roomRequest("b", 0), stateGranted)
	for id := range uint64(12) {
		ahead = append(ahead, p.ask(roomRequest("a", id), stateGranted).Ahead...)
		p.pass(100)
	}
	if len(ahead) < 3 || len(ahead) > maxAhead || ahead[0].Lapse != aheadLapse {
		t.Fatalf("%d grants %+v for ten requests a second, want 3 to %d", len(ahead), ahead, maxAhead)
	}
	used := peermsg.RoomUsed{Ahead: ahead[0].ID, ID: 50, Class: 1, Prompt: 80, Answer: 20}
	for _, daemon := range []string{"b", "a", "a"} {
		p.report(peermsg.RoomReport{Daemon: daemon, Used: []peermsg.RoomUsed{used}})
		if daemon == "b" && p.room.Counts().Given[1] > 0 {
			t.Error("a daemon used a grant of another")
		}
	}
	if got := p.room.Counts().Given[1]; got != 1 || p.room.Len() != 13+len(ahead) {
		t.Errorf("%d requests used a grant, %d claims, want 1 and %d", got, p.room.Len(), 13+len(ahead))
	}
	used = peermsg.RoomUsed{Ahead: ahead[1].ID, ID: 50} // it has room already
	p.report(peermsg.RoomReport{Daemon: "a", Used: []peermsg.RoomUsed{used}})
	if p.room.Len() != 12+len(ahead) {
		t.Errorf("%d claims after a second grant for a request, want %d", p.room.Len(), 12+len(ahead))
	}
	p.pass(aheadReturn)
	if p.room.Len() != 14 || int(p.room.Counts().AheadLapsed) != len(ahead)-2 {
		t.Errorf("%d claims after the lapse, want 14", p.room.Len())
	}
	p.report(peermsg.RoomReport{Daemon: "a", Used: []peermsg.RoomUsed{{Ahead: ahead[2].ID, ID: 51}}, Ended: []uint64{50}})
	if p.room.Len() != 13 {
		t.Errorf("%d claims after the use of a lapsed grant, want 13", p.room.Len())
	}
}

// Guards against grants ahead of need under load, without the option, and for rare requests.
func TestNoGrantsAhead(t *testing.T) {
	for _, c := range []struct {
		name     string
		opts     []RoomOption
		capacity float64
		pause    spanrill.Millis
	}{{"loaded", nil, 1250, 0}, {"off", noAhead(), 10_000, 0}, {"rare", nil, 10_000, 1000}} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlays(t, c.opts, c.capacity)
			for id := range uint64(9) {
				p.ask(roomRequest(fmt.Sprint("loads ", id), id), stateGranted)
			}
			p.pass(100)
			for id := range uint64(3) {
				if got := p.ask(roomRequest("a", id), stateGranted).Ahead; len(got) > 0 {
					t.Errorf("%d grants ahead of need, want none", len(got))
				}
				p.pass(c.pause)
			}
		})
	}
}

// Guards against a standby daemon, or one that has just begun, that gives more than its part of
// the room that the sums leave.
func TestPartOfStandby(t *testing.T) {
	for _, c := range []struct {
		name    string
		standby bool
		passed  spanrill.Millis
		told    int64
		want    int
	}{
		{"begins", false, 0, 0, 3},
		{"half of the cautious time", false, 250, 0, 6},
		{"after it", false, 500, 0, 10},
		{"standby", true, 2000, 0, 3},
		{"standby, loaded", true, 2000, 500, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			parts, ledger := fakeParts()
			p := &plays{T: t, room: NewRoom("s", parts, WithoutAhead()), ledger: ledger, now: 90_000}
			p.room.SetStandby(p.now, c.standby)
			p.room.SetChains(p.now, chainsOf(1000))
			p.room.SetTold(p.now, p.now-1000, map[uint32]spanrill.RoomUse{1: {Tokens: c.told, Calls: c.told / 100}})
			p.notices = p.room.Tick(p.now)
			p.pass(c.passed)
			got := 0
			for id := range uint64(12) {
				if reply, _ := p.room.Request(p.now, roomRequest("a", id)); reply.State == stateGranted {
					got++
				}
			}
			if got != c.want {
				t.Errorf("%d requests granted, want %d", got, c.want)
			}
		})
	}
}
