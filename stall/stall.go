// Package stall measures for how long this process did not run what was due.
//
// A process that gets no processor time, is frozen, or has more work than processor time hears nothing
// from others, as if they were silent. A Meter is due to run at short intervals, behind all other
// goroutines that are ready to run, and records by how much it was late each time.
//
// # Usage
//
//	m := stall.New(clock)
//	go m.Run(ctx)
//	silentFor := m.Since(lastHeardAt)
package stall

import (
	"cmp"
	"context"
	"runtime"
	"slices"
	"sync"

	"spanrill"
)

// Meter records the stalls of this process. It is a spanrill.RunningTime and safe for concurrent use.
type Meter struct {
	clock   spanrill.Clock
	onStall func(length spanrill.Millis)
	yield   func()
	done    chan struct{}

	mu     sync.Mutex
	dueAt  spanrill.Millis // when the next check has to run, or spanrill.Never while Run does not run
	stalls []span          // in order, those that ended within memory
	total  spanrill.Millis
}

// span is a stall that has ended.
type span struct {
	from, to spanrill.Millis
	before   spanrill.Millis // length of all stalls before it
}

// Option changes a default of New.
type Option func(*Meter)

// WithOnStall sets a function that is called at the end of each stall with its length.
func WithOnStall(f func(length spanrill.Millis)) Option {
	return func(m *Meter) { m.onStall = f }
}

// WithYield sets the function that returns once the goroutines that were ready to run before have run.
func WithYield(yield func()) Option {
	return func(m *Meter) { m.yield = yield }
}

const (
	// interval is the pause between two checks.
	interval spanrill.Millis = 50
	// tolerance is by how much a check may be late without a stall.
	tolerance spanrill.Millis = 10
	// memory is for how long stalls are kept. Silence that is longer is not compared with stalls.
	memory = 60 * spanrill.Second
)

// New returns a Meter that has recorded no stall.
func New(clock spanrill.Clock, opts ...Option) *Meter {
	m := &Meter{clock: clock, onStall: func(spanrill.Millis) {}, yield: runtime.Gosched, done: make(chan struct{}), dueAt: spanrill.Never}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Run checks at each interval until the context ends.
func (m *Meter) Run(ctx context.Context) error {
	defer close(m.done)
	defer m.setDue(spanrill.Never)
	for ctx.Err() == nil {
		m.setDue(m.clock.Now() + interval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.clock.After(interval):
		}
		m.yield()
		m.check()
	}
	return ctx.Err()
}

// Done returns a channel that is closed when Run has ended.
func (m *Meter) Done() <-chan struct{} { return m.done }

func (m *Meter) setDue(at spanrill.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dueAt = at
}

// check records a stall if it runs late.
func (m *Meter) check() {
	m.mu.Lock()
	now := m.clock.Now()
	length := now - m.dueAt
	stalled := length > tolerance
	if stalled {
		m.record(span{from: m.dueAt, to: now})
	}
	m.dueAt = now + interval
	m.mu.Unlock()
	if stalled {
		m.onStall(length)
	}
}

// record adds a stall and forgets those that are too old. The caller holds the lock.
func (m *Meter) record(s span) {
	kept := 0
	for kept < len(m.stalls) && m.stalls[kept].to < s.to-memory {
		kept++
	}
	s.before = m.total
	m.stalls = append(m.stalls[kept:], s)
	m.total += s.to - s.from
}

// Since returns the time since at without the stalls in it, one that goes on included.
func (m *Meter) Since(at spanrill.Millis) spanrill.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	running := now - at
	if m.dueAt != spanrill.Never && now-m.dueAt > tolerance {
		running -= now - max(at, m.dueAt)
	}
	first, _ := slices.BinarySearchFunc(m.stalls, at, func(s span, at spanrill.Millis) int { return cmp.Compare(s.to, at+1) })
	if first < len(m.stalls) {
		s := m.stalls[first]
		running -= m.total - s.before - max(0, at-s.from)
	}
	return running
}

// Total returns the length of all stalls so far.
func (m *Meter) Total() spanrill.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}
