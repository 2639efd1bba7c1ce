package granting

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/coordination/room"
	"spanrill/protocol/peermsg"
)

// simRequest returns a request of a daemon for room.
func simRequest(id uint64) *peermsg.RoomRequest {
	return &peermsg.RoomRequest{
		Daemon: "d9", ID: id, Service: testService, Class: 1, Prompt: simMeanPrompt, Answer: simMeanAnswer,
		MaxWait: 500, Remaining: simDeadline,
	}
}

// A daemon that begins to grant counts the load of all daemons in its first decision, whether it is
// preferred or stands by. Its standby part is one of the room that is free.
func TestFirstDecisionCountsTheSums(t *testing.T) {
	for _, granter := range []int{0, 1} {
		s := newSim(t, 1, 3)
		s.told, s.toldAsOf = map[uint32]spanrill.RoomUse{}, s.now-simToldDelay
		for _, c := range s.chains {
			for _, p := range c.Parts {
				s.told[p.Engine] = spanrill.RoomUse{Tokens: int64(0.9 * p.Capacity), Calls: 60}
			}
		}
		granted := 0
		for id := range uint64(200) {
			if reply := s.daemons[granter].granter.HandleRequest(simRequest(id + 1)); reply.State == peermsg.RoomGranted {
				granted++
			}
		}
		// A tenth of the chains holds some 130 requests of mean size, of which a standby gives 0.3.
		if granted > 40 {
			t.Errorf("granting daemon %d: %d requests granted on chains that are 0.9 full, want at most 40", granter, granted)
		}
	}
}

// A standby takes over when more than half of the daemons get no answer of the preferred one, not when
// fewer do.
func TestStandbyTakesOverWhenMostAskIt(t *testing.T) {
	const daemons = 8
	for asking := range daemons + 1 {
		p := newPlays(t, noAhead(), 10_000)
		p.room.SetStandby(p.now, true)
		for i := range asking {
			req := roomRequest(fmt.Sprint("d", i), 1)
			req.Standby, req.Daemons = true, daemons
			p.ask(req, stateGranted)
		}
		p.pass(cautiousTime + advanceInterval)
		want := standbyShare
		if 2*asking > daemons {
			want = 1
		}
		if got := p.room.allowance.at(p.now); got != want {
			t.Errorf("%d of %d daemons ask the standby: it may give %.2f of the free room, want %.2f", asking, daemons, got, want)
		}
	}
}

// While a daemon takes over, what others held ends in the ledger: the part that lasts stays.
func TestLoadOfOthersEndsAfterTakeover(t *testing.T) {
	ledger := room.NewLedger()
	chain := simChain(simReading, 1, "z0")
	now := spanrill.Millis(100_000)
	ledger.SetChains(now, []spanrill.RoomChain{chain})
	need := spanrill.RoomNeed{Prompt: simMeanPrompt, Answer: simMeanAnswer}
	ledger.Give(now, 1, need)
	uses := map[uint32]spanrill.RoomUse{}
	for _, p := range chain.Parts {
		uses[p.Engine] = spanrill.RoomUse{Tokens: int64(0.9 * p.Capacity), Calls: 60}
	}
	ledger.SetTold(now, now-simToldDelay, uses)
	fill := func(after spanrill.Millis) float64 {
		ledger.SetTold(now+after, now-simToldDelay, uses)
		return ledger.Chains(now + after)[0].Fill
	}
	before := fill(0)
	if same := fill(500); same != before {
		t.Errorf("fill %.3f half a second after %.3f, want the same while others start requests", same, before)
	}
	ledger.SetDraining(now, now)
	first, later := fill(0), fill(1500)
	if first != before || later < 0.05 || later > 0.6*before {
		t.Errorf("fill %.3f, then %.3f after 1.5 s, want %.3f and at most 0.6 of it", first, later, before)
	}
}
