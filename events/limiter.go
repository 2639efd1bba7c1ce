package events

import (
	"sync"

	"github.com/sirupsen/logrus"

	"spanrill"
)

// Limiter limits the rate of one kind of log line with a token bucket. Lines beyond the limit are
// skipped, and the next line that is written has their number in the field skipped_before.
type Limiter struct {
	mu             sync.Mutex
	clock          spanrill.Clock
	linesPerSecond float64
	available      float64 // lines that may be written now
	refilledAt     spanrill.Millis
	skipped        int // since the last written line
}

// NewLimiter returns a limiter that allows the given number of lines per second.
func NewLimiter(clock spanrill.Clock, perSecond float64) *Limiter {
	return &Limiter{clock: clock, linesPerSecond: perSecond, available: perSecond, refilledAt: clock.Now()}
}

// Log writes the event if the limit allows it. It calls fields only in that case.
func (l *Limiter) Log(e Event, log logrus.FieldLogger, fields func() logrus.Fields) {
	skipped, ok := l.take()
	if !ok {
		return
	}
	f := fields()
	if skipped > 0 {
		f["skipped_before"] = skipped
	}
	e.Log(log, f)
}

// take reports whether a line may be written now, and if so how many were skipped before it.
func (l *Limiter) take() (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.available = min(l.linesPerSecond, l.available+l.linesPerSecond*float64(now-l.refilledAt)/float64(spanrill.Second))
	l.refilledAt = now
	if l.available < 1 {
		l.skipped++
		return 0, false
	}
	l.available--
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
