package room

import "spanrill"

// maxStillAge is the age up to which what a first engine told counts against sums of daemons. Engines tell
// with each answer that begins.
const maxStillAge = spanrill.Second / 2

// foreignPart is the part of an engine's capacity over which the load of others is taken to be given by
// another daemon. Less of it may be requests of the ledger's own that are told late.
const foreignPart = 0.2

// setStill estimates which part of the load of others in the last sums is left. First engines tell theirs
// within some 100 ms, sums are more than a second old: where others start fewer requests than before, as
// another daemon gives the room now, engines show it first.
func (l *Ledger) setStill(now spanrill.Millis) {
	for _, e := range l.engines {
		e.still = 0
	}
	for _, c := range l.chains {
		left := c.first().leftOfTold(now, l.toldAsOf)
		for _, p := range c.parts {
			p.engine.still = max(p.engine.still, left)
		}
	}
	for _, e := range l.engines {
		if !e.current {
			e.still = 1
		}
	}
}

// leftOfTold returns the part of the requests of others in sums as of a time that a first engine still has.
// It is 1 if the engine has not told since.
func (e *engine) leftOfTold(now, asOf spanrill.Millis) float64 {
	r := &e.reported
	if !r.known || r.at <= asOf || now-r.at > maxStillAge || e.beyond.calls <= 0 || e.beyond.tokens < foreignPart*e.capacity {
		return 1
	}
	return min(1, r.excess/e.beyond.calls)
}
