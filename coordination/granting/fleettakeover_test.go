package granting

import (
	"testing"

	"spanrill"
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
