package relay

import (
	"testing"

	"spanrill"
)

// Guards against callers that are refused together and return together. Their retry times are spaced
// at the rate at which requests have ended, and none is longer than callers wait.
func TestRoomRetryTimes(t *testing.T) {
	for _, c := range []struct {
		name    string
		gap     spanrill.Millis // between previous ends of requests, 0 for none
		callers int
		want    spanrill.Millis // retry time of the last caller
	}{
		{"no request has ended yet", 0, 5, fullRetryAfter},
		{"first caller", 40, 1, fullRetryAfter + 40},
		{"tenth caller", 40, 10, fullRetryAfter + 400},
		{"restarts when the time would be too long", 1000, 5, fullRetryAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			retryTimes, now := &roomRetryTimes{}, spanrill.Millis(1000)
			for range 50 {
				if c.gap > 0 {
					now += c.gap
					retryTimes.recordEnd(now)
				}
			}
			wait := spanrill.Millis(0)
			for range c.callers {
				wait, _ = retryTimes.take(now)
			}
			if wait != c.want {
				t.Fatalf("caller %d retries after %d ms, want %d ms", c.callers, wait, c.want)
			}
		})
	}
}
