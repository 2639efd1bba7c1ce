package room

import "spanrill"

const (
	// minFill and maxFill bound the fraction of an engine's capacity that is given, by the ledger's
	// account: sizes are guessed wrong by no more than that on average.
	minFill = 0.85
	maxFill = 1.10
	// fillRise is by how much the fraction rises per second, and fillDrop what it is multiplied by after
	// a refusal: where sizes are guessed too small, one request in three seconds tries an engine in vain.
	fillRise = 0.01
	fillDrop = 0.97
	// quietTime is how long an engine must not have refused before more is given.
	quietTime = spanrill.Second
	// fillMemory is how long an engine that is not full keeps its fraction: sizes guessed a while ago
	// tell little of those to come.
	fillMemory = 5 * spanrill.Second
	// fullInterval is how finely it is recorded that engines are full.
	fullInterval spanrill.Millis = 20
	// maxRiseTime bounds the time for which the fraction rises at once.
	maxRiseTime spanrill.Millis = 100
)

// fillLimit adapts how much of an engine is given. Where requests wait and the engine refuses none,
// sizes are guessed too large; where it refuses, too small.
type fillLimit struct {
	offset    float64         // added to the fraction that the ledger gives
	fullAt    spanrill.Millis // when a request last found no room
	wasFull   bool            // it did within fillMemory
	refusedAt spanrill.Millis // when the engine last refused a request
	refused   bool            // it did within fillMemory
	risenAt   spanrill.Millis // when adapt was last called
}

// recordFull records that a request found no room at the engine.
func (f *fillLimit) recordFull(now spanrill.Millis) { f.fullAt, f.wasFull = now, true }

// recordRefusal lowers the fraction after a refusal. Refusals of requests that were under way together
// count once.
func (f *fillLimit) recordRefusal(now spanrill.Millis, fill float64) {
	if f.refused && now-f.refusedAt < minPause {
		return
	}
	f.refusedAt, f.refused = now, true
	f.offset = max(min(minFill, fill), (fill+f.offset)*fillDrop) - fill
}

// adapt raises the fraction while requests wait for the engine, or forgets it.
func (f *fillLimit) adapt(now spanrill.Millis, fill float64, isWaitedFor bool) {
	passed := min(maxRiseTime, now-f.risenAt)
	f.risenAt = now
	f.wasFull = f.wasFull && now-f.fullAt <= fillMemory
	f.refused = f.refused && now-f.refusedAt <= fillMemory
	switch {
	case !f.wasFull && !f.refused:
		f.offset = 0
	case isWaitedFor && f.isFull(now) && f.isQuiet(now):
		rise := fillRise * float64(passed) / float64(spanrill.Second)
		f.offset = min(max(maxFill, fill), fill+f.offset+rise) - fill
	}
}

// isFull reports whether a request has just found no room.
func (f *fillLimit) isFull(now spanrill.Millis) bool { return f.wasFull && now-f.fullAt <= maxRiseTime }

// isQuiet reports whether the engine has not refused a request lately.
func (f *fillLimit) isQuiet(now spanrill.Millis) bool {
	return !f.refused || now-f.refusedAt >= quietTime
}

// SetWaiting implements spanrill.RoomLedger. It takes time in proportion to the number of engines.
func (l *Ledger) SetWaiting(now spanrill.Millis, requests int) {
	for _, e := range l.engines {
		e.limit.adapt(now, l.fill, requests > 0)
	}
}

// recordFull records the engines of a chain at which a request found no room, unless that was just
// done. At the given one it had none, or must not start now.
func (c *chain) recordFull(r *request, at *engine) {
	if at.limit.wasFull && r.now-at.limit.fullAt < fullInterval {
		return
	}
	for _, p := range c.parts {
		if p.engine.used+r.tokens*p.share > p.engine.givenOf(r) {
			p.engine.limit.recordFull(r.now)
		}
	}
}

// givenOf returns how many tokens of the engine a request may use.
func (e *engine) givenOf(r *request) float64 { return (r.maxFill + e.limit.offset) * e.capacity }
