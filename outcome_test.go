package spanrill

import "testing"

func TestOutcomeOf(t *testing.T) {
	for _, c := range []struct {
		phase   Phase
		written int
		want    Outcome
	}{
		{PhaseDial, 0, OutcomeNotRun},
		{PhaseSend, 0, OutcomeNotRun},
		{PhaseSend, 1, OutcomeUnknown},
		{PhaseAnswer, 0, OutcomeUnknown},
		{PhaseAnswer, 100, OutcomeUnknown},
		{PhaseRefused, 100, OutcomeNotRun},
		{Phase(99), 0, OutcomeUnknown},
	} {
		if got := OutcomeOf(c.phase, c.written); got != c.want {
			t.Errorf("%v with %d bytes written is %v, want %v", c.phase, c.written, got, c.want)
		}
	}
}
