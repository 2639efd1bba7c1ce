package relay

import (
	"sync"

	"spanrill"
)

// turns tells callers that full chains refuse when to come back: each in its turn,
// as fast as this daemon's requests have ended lately. Callers that are told the
// same time would come back together and be refused again, and a caller tries but
// a few times.
type turns struct {
	mu      sync.Mutex
	lastEnd spanrill.Millis
	gap     float64         // smoothed milliseconds between two ends, or 0 before the second
	next    spanrill.Millis // turn of the caller that was refused last
}

const (
	// endsSmoothed is the number of ends over which the gap is smoothed: those of a
	// second or so of a daemon of today.
	endsSmoothed = 16
	// mostTurn bounds how long a caller is asked to wait: a third of the shortest
	// deadline of streams, which is as long as callers do wait.
	mostTurn = 5 * spanrill.Second
)

// ended notes that a request has ended.
func (t *turns) ended(now spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastEnd > 0 {
		gap := float64(now - t.lastEnd)
		if t.gap == 0 {
			t.gap = gap
		}
		t.gap += (gap - t.gap) / endsSmoothed
	}
	t.lastEnd = now
}

// take returns after which time the next caller should come back, and the gap
// between two turns that it follows from.
func (t *turns) take(now spanrill.Millis) (after, gap spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, now+fullRetry) + spanrill.Millis(t.gap)
	if t.next > now+mostTurn {
		t.next = now + fullRetry // the first turns are over by then
	}
	return t.next - now, spanrill.Millis(t.gap)
}
