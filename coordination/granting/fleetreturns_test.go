package granting

import (
	"fmt"
	"testing"

	"spanrill"
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
