package fleet

import (
	"spanrill"
	"spanrill/events"
)

// lines bounds what is logged of upstreams that come and go: each daemon sees all of them, and
// thousands may come at once. A line says how many were left out before it.
type lines struct {
	found, leaving, gone *events.Limiter
}

// linesASecond bounds the lines of each event.
const linesASecond = 100

func newLines(clock spanrill.Clock) lines {
	return lines{
		found:   events.NewLimiter(clock, linesASecond),
		leaving: events.NewLimiter(clock, linesASecond),
		gone:    events.NewLimiter(clock, linesASecond),
	}
}
