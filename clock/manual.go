package clock

import (
	"sync"

	"spanrill"
)

// Manual is a clock that a test moves.
type Manual struct {
	mu     sync.Mutex
	now    spanrill.Millis
	alarms []alarm
	armed  *sync.Cond
}

type alarm struct {
	at    spanrill.Millis
	fired chan spanrill.Millis
}

// manualEpoch is the wall-clock time at which a manual clock starts.
const manualEpoch spanrill.Millis = 1_700_000_000_000

// NewManual returns a clock that stands at zero.
func NewManual() *Manual {
	m := &Manual{}
	m.armed = sync.NewCond(&m.mu)
	return m
}

// Now returns the time the clock was moved to.
func (m *Manual) Now() spanrill.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Unix returns Now on a fixed epoch.
func (m *Manual) Unix() spanrill.Millis { return manualEpoch + m.Now() }

// After returns a channel that receives once the clock was moved by d.
func (m *Manual) After(d spanrill.Millis) <-chan spanrill.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	fired := make(chan spanrill.Millis, 1)
	if d <= 0 {
		fired <- m.now
		return fired
	}
	m.alarms = append(m.alarms, alarm{at: m.now + d, fired: fired})
	m.armed.Broadcast()
	return fired
}

// Advance moves the clock by d and fires what became due.
func (m *Manual) Advance(d spanrill.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	waiting := m.alarms[:0]
	for _, a := range m.alarms {
		if a.at > m.now {
			waiting = append(waiting, a)
			continue
		}
		a.fired <- m.now
	}
	m.alarms = waiting
}

// AwaitAlarms returns once at least n channels of After are waiting.
func (m *Manual) AwaitAlarms(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.alarms) < n {
		m.armed.Wait()
	}
}
