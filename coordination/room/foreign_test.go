package room_test

import (
	"testing"

	"spanrill"
	"spanrill/coordination/room"
)

// Requests that daemons have given up stand still at a first engine. They do not take the room of the
// engines behind it, which hold them no longer.
func TestStandingRequestsAtFirstEngine(t *testing.T) {
	const dead, alive = 40, 5
	c := testChain(kind{3, 100_000, 0.001, 5, 0}, 1, "a", 192)
	c.Parts[1].Capacity = 50_000
	l := newLedger(c)
	if got := giveAll(l, start, 0, thousand); got != 47 {
		t.Fatalf("%d requests got room, want 47", got)
	}
	now := start + spanrill.Second
	for id := range uint64(47 - alive) {
		l.End(now, id+1)
	}
	for ; now < start+spanrill.Second+300; now += 20 {
		l.RecordEngineLoad(now, now-20, 1, alive+dead)
	}
	if got := giveAll(l, now, 100, thousand); got < dead {
		t.Errorf("%d requests got room 300 ms after %d were given up; %+v", got, dead, l.Chains(now))
	}
}

// summed is a chain whose load daemons tell by sums. The part of each daemon is up to 750 ms older
// than the time for which the sum is told.
type summed struct {
	ledger  *room.Ledger
	steps   int
	lastID  uint64
	holds   [10][]uint64 // ids, by daemon
	past    []float64    // requests of each daemon, by step of 50 ms and daemon
	foreign int          // requests that the ledger does not know of
}

const (
	sumStep  spanrill.Millis = 50
	sumDelay spanrill.Millis = 1250
)

// at returns the tokens that were told as of a step.
func (s *summed) at(step int) (requests float64) {
	for d := range s.holds {
		if from := step - d*750/(int(sumStep)*(len(s.holds)-1)); from >= 0 {
			requests += s.past[from*len(s.holds)+d]
		}
	}
	return requests + float64(s.foreign)
}

// step lets the daemons hold so many requests of the ledger, and returns the load beyond these that the
// ledger counts.
func (s *summed) step(own int) float64 {
	now := start + spanrill.Millis(s.steps)*sumStep
	for d := range s.holds {
		want := (own + d) / len(s.holds)
		for ; len(s.holds[d]) < want; s.lastID++ {
			s.ledger.Give(now, s.lastID, thousand)
			s.holds[d] = append(s.holds[d], s.lastID)
		}
		for ; len(s.holds[d]) > want; s.holds[d] = s.holds[d][1:] {
			s.ledger.End(now, s.holds[d][0])
		}
		s.past = append(s.past, float64(want))
	}
	if of := s.steps - int(sumDelay/sumStep); of >= 0 && s.steps%5 == 0 {
		tokens := int64(1000 * s.at(of))
		s.ledger.SetTold(now, now-sumDelay, map[uint32]spanrill.RoomUse{1: {Tokens: tokens, Calls: tokens / 1000}, 2: {Tokens: tokens}, 3: {Tokens: tokens}})
	}
	s.steps++
	state := s.ledger.Chains(now)[0]
	return state.Fill - state.Own
}

// loadPhases are changes of the ledger's own load: by so many of 100 requests in a number of steps.
var loadPhases = []struct {
	steps, change int
	isSteady      bool // sums of which no part is from before the last change are told
}{
	{50, 10, false},
	{45, 0, false},
	{10, 0, true},
	{4, 60, false},
	{45, 0, false},
	{10, 0, true},
	{4, -60, false},
	{45, 0, false},
	{10, 0, true},
	{30, 60, false},
	{45, 0, false},
	{10, 0, true},
	{30, -60, false},
	{45, 0, false},
	{10, 0, true},
	{4, 60, false},
	{45, 0, false},
	{180, -60, false},
	{45, 0, false},
	{10, 0, true},
}

// Sums whose parts are of different ages show no load that is not there when the ledger's own load
// rises or falls, and still show what others hold.
func TestSumsOfDifferentAges(t *testing.T) {
	for _, c := range []struct {
		name    string
		foreign int
	}{{"own load only", 0}, {"foreign load", 20}} {
		t.Run(c.name, func(t *testing.T) {
			s := summed{foreign: c.foreign, ledger: newLedger(testChain(kind{3, 100_000, 0.001, 5, 0}, 1, "a", 0))}
			most, least, own := 0.0, 1.0, 0
			for _, phase := range loadPhases {
				before := own
				for step := range phase.steps {
					own = before + phase.change*(step+1)/phase.steps
					beyond := s.step(own)
					most = max(most, beyond)
					if phase.isSteady {
						least = min(least, beyond)
					}
				}
			}
			foreign := float64(c.foreign) / 100
			t.Logf("load beyond the ledger's own %.3f to %.3f of the chain, true %.2f", least, most, foreign)
			if most > foreign+0.03 || least < foreign-0.03 {
				t.Errorf("want %.2f, within 0.03", foreign)
			}
		})
	}
}
