package granting

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/coordination/returns"
)

// Callers that are refused in a burst are served when they return.
func TestFleetServesReturnsAfterABurst(t *testing.T) {
	for _, daemons := range []int{9, 86, 300} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 1, daemons)
			s.play(4*spanrill.Second, 0.8)
			from := s.now
			s.play(3500, 1.3)
			to := s.now
			s.play(maxSimReturn, 0.8)
			sum := s.sum(from, to)
			part := float64(sum.atReturn) / float64(max(1, sum.refusedOnce))
			t.Logf("%v; %d refused once, %.3f of them served at their return", &sum, sum.refusedOnce, part)
			if part < 0.8 {
				t.Errorf("%.3f of the refused were served at their return, want 0.8", part)
			}
		})
	}
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
