package fleet

import (
	"spanrill"
	"spanrill/events"
)

// logLimits limits the log lines about upstreams that are found, leave or are removed. Each daemon
// sees all upstreams, and thousands may appear at once. A line states how many were left out before
// it.
type logLimits struct {
	found, leaving, removed *events.Limiter
}

// maxLinesPerSecond is the limit for each event.
const maxLinesPerSecond = 100

func newLogLimits(clock spanrill.Clock) logLimits {
	return logLimits{
		found:   events.NewLimiter(clock, maxLinesPerSecond),
		leaving: events.NewLimiter(clock, maxLinesPerSecond),
		removed: events.NewLimiter(clock, maxLinesPerSecond),
	}
}
