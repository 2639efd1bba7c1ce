package spanrill

import "time"

// Millis is a duration or a point on a clock, in milliseconds.
type Millis int64

// Second is one second in milliseconds.
const Second Millis = 1000

// Minute is one minute in milliseconds.
const Minute = 60 * Second

// Never is the time of something that has not happened. It is long before all times on a process's
// clock, also those before its start, so that the time since then exceeds every bound.
const Never Millis = -1 << 60

// Duration returns m as a duration of the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// MillisOf returns d in whole milliseconds.
func MillisOf(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock tells the time in milliseconds.
//
// Deadlines, leases and ages use Now, which never jumps. Use Unix only for
// records that operators or other processes read.
type Clock interface {
	// Now returns the monotonic time. Its zero point is arbitrary.
	Now() Millis
	// Unix returns the wall-clock time since the Unix epoch.
	Unix() Millis
	// After returns a channel that receives Now once d has passed.
	After(d Millis) <-chan Millis
}
