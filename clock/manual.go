package clock

import (
	"sync"

	"spanrill"
)

// Manual is a clock that a test advances.
type Manual struct {
	mu         sync.Mutex
	now        spanrill.Millis
	timers     []timer
	timerAdded *sync.Cond
}

// timer is a pending call of After.
type timer struct {
	due   spanrill.Millis
	fired chan spanrill.Millis
}

// manualEpoch is the wall-clock time at which a manual clock starts.
const manualEpoch spanrill.Millis = 1_700_000_000_000

// NewManual returns a clock whose Now is zero.
func NewManual() *Manual {
	m := &Manual{}
	m.timerAdded = sync.NewCond(&m.mu)
	return m
}

// Now returns the sum of all calls of Advance.
func (m *Manual) Now() spanrill.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Unix returns Now plus a fixed epoch.
func (m *Manual) Unix() spanrill.Millis { return manualEpoch + m.Now() }

// After returns a channel that receives Now once the clock has been advanced by d, or at once if d
// is not positive.
func (m *Manual) After(d spanrill.Millis) <-chan spanrill.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	fired := make(chan spanrill.Millis, 1)
	if d <= 0 {
		fired <- m.now
		return fired
	}
	m.timers = append(m.timers, timer{due: m.now + d, fired: fired})
	m.timerAdded.Broadcast()
	return fired
}

// Advance moves the clock forward by d and fires all timers that are due by then.
func (m *Manual) Advance(d spanrill.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	pending := m.timers[:0]
	for _, t := range m.timers {
		if t.due > m.now {
			pending = append(pending, t)
			continue
		}
		t.fired <- m.now
	}
	m.timers = pending
}

// AwaitTimers blocks until at least n calls of After are waiting to fire.
func (m *Manual) AwaitTimers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.timers) < n {
		m.timerAdded.Wait()
	}
}
