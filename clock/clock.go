// Package clock implements the clocks of spanrill.
//
// System reads the clocks of the operating system. Its elapsed time includes the time for which the
// machine was suspended, unlike CLOCK_MONOTONIC on Linux, since a lease, a deadline or a
// confirmation that the configuration is current may expire during a suspend. Manual advances only
// when a test calls Advance, so that no test waits for real time to pass.
//
// # Usage
//
//	c := clock.NewManual()
//	fired := c.After(5 * spanrill.Second)
//	c.Advance(5 * spanrill.Second)
//	<-fired
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"spanrill"
)

// System is the operating system's clock.
type System struct {
	sinceBoot func() time.Duration
	start     time.Duration
}

// SystemOption changes a default of NewSystem.
type SystemOption func(*System)

// WithBootTime sets the function that returns the time since the machine booted, including the
// time for which it was suspended.
func WithBootTime(sinceBoot func() time.Duration) SystemOption {
	return func(s *System) { s.sinceBoot = sinceBoot }
}

// NewSystem returns a clock whose Now counts from this call.
func NewSystem(opts ...SystemOption) *System {
	s := &System{sinceBoot: bootTime}
	for _, o := range opts {
		o(s)
	}
	s.start = s.sinceBoot()
	return s
}

// bootTime reads CLOCK_BOOTTIME. A call takes 0.25 us, against 0.03 us for CLOCK_MONOTONIC
// (BenchmarkNow).
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: read CLOCK_BOOTTIME: " + err.Error()) // time.Now panics in this case, too
	}
	return time.Duration(t.Nano())
}

// Now returns the milliseconds since NewSystem was called.
func (s *System) Now() spanrill.Millis {
	return spanrill.MillisOf(s.sinceBoot() - s.start)
}

// Unix returns the wall-clock time.
func (s *System) Unix() spanrill.Millis {
	return spanrill.Millis(time.Now().UnixMilli())
}

// After returns a channel that receives Now once d has passed. Its timer stands still while the
// machine is suspended, and so fires later by that time. Callers must therefore read Now when the
// channel delivers, instead of assuming that only d has passed.
func (s *System) After(d spanrill.Millis) <-chan spanrill.Millis {
	fired := make(chan spanrill.Millis, 1)
	time.AfterFunc(d.Duration(), func() { fired <- s.Now() })
	return fired
}
