package room

import "spanrill"

const (
	// endedShare is the fraction of the requests at an engine that end before it gets requests
	// again after a refusal: room for several, so that the next one is not refused as well.
	endedShare = 0.1
	// minPause and maxPause bound that time. Within the least, the requests that were on their way
	// when the engine refused have arrived. After the longest, a caller that waits for this room
	// would rather try.
	minPause spanrill.Millis = 60
	maxPause spanrill.Millis = 400
	// minSpacing and maxSpacing bound the time between two requests after the pause. At the least,
	// requests are no longer spaced.
	minSpacing = 5.0
	maxSpacing = 100.0
	// spacingDecay is what the spacing is multiplied by with each request that starts.
	spacingDecay = 0.8
	// spacedMillis is how long after the pause requests are spaced at most.
	spacedMillis = spanrill.Second
)

// pause keeps requests from an engine that has refused one. After it, requests start one by one,
// ever closer, until the engine refuses again or has taken them.
type pause struct {
	until   spanrill.Millis // no request starts before
	ends    spanrill.Millis // of the pause after the latest refusal
	spacing float64         // milliseconds between requests, 0 if they are not spaced
}

// allows reports whether a request may start.
func (p *pause) allows(now spanrill.Millis) bool { return now >= p.until }

// recordRefusal begins a pause of that length, after which requests are spaced.
func (p *pause) recordRefusal(now, length spanrill.Millis, spacing float64) {
	p.ends = max(p.ends, now+length)
	p.until = max(p.until, p.ends)
	p.spacing = spacing
}

// recordStart records that a request starts.
func (p *pause) recordStart(now spanrill.Millis) {
	if p.spacing <= 0 {
		return
	}
	if p.spacing < minSpacing || now > p.ends+spacedMillis {
		p.spacing = 0
		return
	}
	p.until = now + spanrill.Millis(p.spacing)
	p.spacing *= spacingDecay
}

// RecordRefusal implements spanrill.RoomLedger. The engine gets no request until about a tenth of
// those that it has have ended, then few at first. If it was nearly full, less of it is given from
// then on. An unknown engine is ignored.
func (l *Ledger) RecordRefusal(now spanrill.Millis, id uint32) {
	e := l.engines[id]
	if e == nil {
		return
	}
	if e.used >= minFill*e.capacity { // below it the limit would not have prevented the refusal
		e.limit.recordRefusal(now, l.fill)
	}
	length, spacing := maxPause, maxSpacing
	if held := l.heldAt(now, e); held > 0 {
		length = spanrill.Millis(min(endedShare*held, float64(maxPause)))
		spacing = held / max(1, l.requestsAt(e))
	}
	e.pause.recordRefusal(now, min(maxPause, max(minPause, length)), min(maxSpacing, max(minSpacing, spacing)))
}

// heldAt returns how long a request holds its room at an engine, in milliseconds, or 0 if that is unknown.
// While few requests with room from this ledger have ended, the rate of ends tells too long a time.
func (l *Ledger) heldAt(now spanrill.Millis, e *engine) float64 {
	perSecond := l.ends.perSecond(now)
	if perSecond <= 0 {
		return e.held
	}
	held := float64(len(l.grants)) / perSecond * float64(spanrill.Second)
	if e.held > 0 {
		held = min(held, e.held)
	}
	return held
}

// requestsAt returns how many requests are accounted to an engine, those of others included.
func (l *Ledger) requestsAt(e *engine) float64 {
	if l.mean.tokens() <= 0 {
		return float64(e.requests)
	}
	return max(float64(e.requests), e.used/l.mean.tokens())
}
