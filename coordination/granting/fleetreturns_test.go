package granting

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/coordination/returns"
	"spanrill/protocol/peermsg"
)

// Callers that are refused in a burst are served when they return. Few are refused, so that chance
// matters: three seeds count together.
func TestFleetServesReturnsAfterABurst(t *testing.T) {
	for _, daemons := range []int{9, 86, 300} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			parallelPlay(t)
			refused, atReturn := 0, 0
			for seed := range uint64(3) {
				s := newSim(t, seed+1, daemons)
				s.play(4*spanrill.Second, 0.8)
				from := s.now
				s.play(3500, 1.3)
				to := s.now
				s.play(maxSimReturn, 0.8)
				sum := s.sum(from, to)
				t.Log(&sum)
				refused, atReturn = refused+sum.refusedOnce, atReturn+sum.atReturn
			}
			part := float64(atReturn) / float64(max(1, refused))
			t.Logf("%d refused once, %.3f of them served at their return", refused, part)
			if part < 0.8 {
				t.Errorf("%.3f of the refused were served at their return, want 0.8", part)
			}
		})
	}
}

// askReturned lets a caller be refused and return, whose request then waits.
func askReturned(p *plays, id uint64) *peermsg.RoomReply {
	impatient := roomRequest("b", id)
	impatient.MaxWait = 30 // less than the time to the first event
	p.ask(impatient, stateRefused)
	returned := roomRequest("b", id+1)
	returned.Content = impatient.Content
	return p.ask(returned, stateWaiting)
}

// A caller that has returned starts after all others that wait, also less urgent ones.
func TestReturnedCallersWaitBehindOthers(t *testing.T) {
	p := newPlays(t, noAhead(), 100)
	p.ask(roomRequest("a", 1), stateGranted)
	askReturned(p, 2)
	newcomer := roomRequest("c", 4)
	newcomer.Class = 4
	p.ask(newcomer, stateWaiting)
	p.report(peermsg.RoomReport{Daemon: "a", Ended: []uint64{1}})
	p.wantNotices("4 1")
	p.report(peermsg.RoomReport{Daemon: "c", Ended: []uint64{4}})
	p.wantNotices("3 1")
}

// A caller that has returned may wait for longer than its objective allows, and is told so.
func TestReturnedCallersWaitLonger(t *testing.T) {
	p := newPlays(t, noAhead(), 100)
	p.ask(roomRequest("a", 1), stateGranted)
	if wait := askReturned(p, 2).Wait; wait != returnWait {
		t.Errorf("told to wait %d ms, want %d", wait, returnWait)
	}
	p.pass(returnWait - advanceInterval)
	p.wantNotices()
	p.pass(3 * advanceInterval)
	p.wantNotices("3 0")
}

// startCounter counts the starts of which a planner of returns is told.
type startCounter struct {
	*returns.Planner
	starts [spanrill.ClassCount]uint64
}

func (c *startCounter) RecordStart(now spanrill.Millis, class spanrill.Class) {
	c.starts[class]++
	c.Planner.RecordStart(now, class)
}

// The planner of returns learns of all starts: those without a wait, with one, and by grants given
// ahead of need.
func TestPlannerOfReturnsLearnsOfStarts(t *testing.T) {
	s := newSim(t, 1, 9)
	var counters []*startCounter
	s.planner = func(p *returns.Planner) spanrill.ReturnPlanner {
		counters = append(counters, &startCounter{Planner: p})
		return counters[len(counters)-1]
	}
	s.play(2*spanrill.Second, 0.5)
	s.play(4*spanrill.Second, 1.3)
	counts := s.daemons[0].room().Counts()
	if counts.Ahead == counts.AheadLapsed || total(waitedOf(counts)) == 0 {
		t.Errorf("%+v, want requests that waited and grants given ahead that were used", counts)
	}
	if counters[0].starts != counts.Given {
		t.Errorf("the planner was told of the starts %v, want %v", counters[0].starts, counts.Given)
	}
}

func waitedOf(counts Counts) (waited [3]int) {
	for class := range waited {
		waited[class] = int(counts.Waited[class])
	}
	return waited
}

// A daemon waits for a notice as long as the granting daemon says, within the time that a caller which
// has returned may wait.
func TestWaitUntil(t *testing.T) {
	c := newClientPeers().newClient(1)
	now := c.clock.Now()
	q := &question{request: &testRequest, start: now}
	for wait, want := range map[spanrill.Millis]spanrill.Millis{0: testRequest.MaxWait, 50: testRequest.MaxWait, 1200: 1200, 60_000: returnWait} {
		if got := c.waitUntil(q, &peermsg.RoomReply{Wait: wait}) - now; got != want {
			t.Errorf("waits %d ms where told to wait %d, want %d", got, wait, want)
		}
	}
}
