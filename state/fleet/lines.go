package fleet

import (
	"spanrill"
	"spanrill/events"
)

// lines bounds what is logged of upstreams that come and go. Each daemon sees all of them: a
// start before 2,922 upstreams wrote as many lines on each, which took 40 ms of a core and 13
// MB of memory (BenchmarkManyFound). A line says how many were left out before it.
type lines struct {
	found, leaving, gone *events.Limiter
}

// linesASecond is more upstreams than come and go in a second of a day with trouble, before
// some hundred of them.
const linesASecond = 100

func newLines(clock spanrill.Clock) lines {
	return lines{
		found:   events.NewLimiter(clock, linesASecond),
		leaving: events.NewLimiter(clock, linesASecond),
		gone:    events.NewLimiter(clock, linesASecond),
	}
}
