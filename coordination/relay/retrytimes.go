package relay

import (
	"sync"

	"spanrill"
)

// roomRetryTimes computes retry times for callers that find all chains full. The times are spaced
// at the rate at which requests of this daemon have ended lately. Callers with the same retry time
// would return together and be refused again, and a caller retries only a few times.
type roomRetryTimes struct {
	mu      sync.Mutex
	lastEnd spanrill.Millis
	endGap  float64         // smoothed time between two ends of requests in milliseconds, or 0 before the second
	next    spanrill.Millis // retry time of the caller that was refused last
}

const (
	// endGapSamples is the number of ends over which endGap is smoothed: about as many as a daemon
	// has in a second.
	endGapSamples = 16
	// maxRetryWait is the longest retry time that callers are given. It is a third of the shortest
	// deadline of streams, beyond which callers do not wait.
	maxRetryWait = 5 * spanrill.Second
)

// recordEnd records that a request has ended.
func (t *roomRetryTimes) recordEnd(now spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastEnd > 0 {
		gap := float64(now - t.lastEnd)
		if t.endGap == 0 {
			t.endGap = gap
		}
		t.endGap += (gap - t.endGap) / endGapSamples
	}
	t.lastEnd = now
}

// take returns how long the next caller should wait before it retries, and the spacing of the retry
// times.
func (t *roomRetryTimes) take(now spanrill.Millis) (wait, gap spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, now+fullRetryAfter) + spanrill.Millis(t.endGap)
	if t.next > now+maxRetryWait {
		t.next = now + fullRetryAfter // callers with the first retry times have returned by then
	}
	return t.next - now, spanrill.Millis(t.endGap)
}
