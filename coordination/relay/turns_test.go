package relay

import (
	"testing"

	"spanrill"
)

// Callers that are refused at the same moment come back one after the other, at the
// pace at which requests have ended, and none later than callers wait.
func TestTurns(t *testing.T) {
	for _, c := range []struct {
		name    string
		gap     spanrill.Millis // between the ends before, 0 for none
		callers int
		want    spanrill.Millis // of the last caller
	}{
		{"nothing has ended yet", 0, 5, fullRetry},
		{"the first caller", 40, 1, fullRetry + 40},
		{"the tenth", 40, 10, fullRetry + 400},
		{"one that would wait for too long starts anew", 1000, 5, fullRetry},
	} {
		t.Run(c.name, func(t *testing.T) {
			turns, now := &turns{}, spanrill.Millis(1000)
			for range 50 {
				if c.gap > 0 {
					now += c.gap
					turns.ended(now)
				}
			}
			after := spanrill.Millis(0)
			for range c.callers {
				after, _ = turns.take(now)
			}
			if after != c.want {
				t.Fatalf("caller %d comes back after %d ms, want %d", c.callers, after, c.want)
			}
		})
	}
}
