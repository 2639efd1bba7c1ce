// Package clock implements the clocks of spanrill.
//
// System reads the operating system's clocks. Manual stands still until a
// test moves it, so that no test waits for time to pass.
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

	"spanrill"
)

// System is the operating system's clock.
type System struct {
	start time.Time
}

// NewSystem returns a clock whose zero point is now.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Now returns the milliseconds since the clock was made.
func (s *System) Now() spanrill.Millis {
	return spanrill.MillisOf(time.Since(s.start))
}

// Unix returns the wall-clock time.
func (s *System) Unix() spanrill.Millis {
	return spanrill.Millis(time.Now().UnixMilli())
}

// After returns a channel that receives Now once d has passed.
func (s *System) After(d spanrill.Millis) <-chan spanrill.Millis {
	fired := make(chan spanrill.Millis, 1)
	time.AfterFunc(d.Duration(), func() { fired <- s.Now() })
	return fired
}
