package events

import (
	"sync"

	"github.com/sirupsen/logrus"

	"spanrill"
)

// Limiter bounds how many lines of one sort are written in a second. Lines
// beyond that are counted, and the count is written with the next line.
type Limiter struct {
	mu      sync.Mutex
	clock   spanrill.Clock
	perSec  float64
	balance float64
	at      spanrill.Millis
	skipped int
}

// NewLimiter returns a limiter that lets that many lines through in a second.
func NewLimiter(clock spanrill.Clock, perSecond float64) *Limiter {
	return &Limiter{clock: clock, perSec: perSecond, balance: perSecond, at: clock.Now()}
}

// Log writes the event if the limit allows it. Fields are made only then.
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

func (l *Limiter) take() (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.balance = min(l.perSec, l.balance+l.perSec*float64(now-l.at)/float64(spanrill.Second))
	l.at = now
	if l.balance < 1 {
		l.skipped++
		return 0, false
	}
	l.balance--
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
