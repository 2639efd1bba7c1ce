package room

import (
	"math"

	"spanrill"
)

const (
	// maxNewsAge is how long news of load that the ledger did not give counts: a second or two
	// after others have ended their requests, their room is given again, even if nobody tells.
	maxNewsAge = 2 * spanrill.Second
	// maxToldDelay is the greatest age at which sums of other daemons are of use: the longest for
	// which the ledger knows its own load.
	maxToldDelay = historyStep * historyLen
	// maxSumSpread is how much older than the time of the sums the load of a daemon in them may be:
	// sums are passed on from daemon to daemon, at most three times, each 250 ms.
	maxSumSpread spanrill.Millis = 750
	// steadyChange is by how much of an engine's capacity the ledger's own load may have changed in that
	// time for the sums to tell what others hold: as much may then look like load of others.
	steadyChange = 0.03
	// expiryInterval is how often the age of news is checked.
	expiryInterval spanrill.Millis = 50
	// maxCalls bounds the numbers of requests that engines and daemons tell.
	maxCalls = 1 << 20
)

// report is what a first engine told of the requests that it has.
type report struct {
	excess float64 // requests beyond those of the ledger
	at     spanrill.Millis
	known  bool
}

// calls returns the requests that the report shows beside those of the ledger. They count less as it
// gets older, since some of them will have ended.
func (r *report) calls(now spanrill.Millis) float64 {
	if !r.known || now-r.at >= maxNewsAge {
		return 0
	}
	return r.excess * (1 - float64(max(0, now-r.at))/float64(maxNewsAge))
}

// SetTold implements spanrill.RoomLedger. What is told beyond the ledger's own load counts until the
// next call, two seconds at most. The loads of daemons in the sums may be up to 750 ms older than
// asOf, so that a change of the ledger's own load is not taken for load of others. Sums of a time yet to
// come, of one more than 3.2 s ago or older than the last ones are ignored, and so are unknown engines.
func (l *Ledger) SetTold(now, asOf spanrill.Millis, uses map[uint32]spanrill.RoomUse) {
	if asOf > now || asOf < now-maxToldDelay || l.told && asOf < l.toldAsOf {
		return
	}
	l.told, l.toldAsOf, l.toldAt = true, asOf, now
	for id, e := range l.engines {
		e.setTold(asOf, uses[id])
	}
	l.setHeld()
	l.countTold(now)
	l.countExtra(now)
	l.forgetEngines(now)
}

// steadyPart is the part of an engine's capacity up to which load that daemons told counts as lasting:
// answers of the ledger's own requests that are longer than expected.
const steadyPart = 0.05

// countTold accounts what daemons told beyond the ledger's own load. What is over the lasting part
// counts less the longer ago it was, as its requests end. Others that start meanwhile are seen in
// what engines tell.
func (l *Ledger) countTold(now spanrill.Millis) {
	age := float64(max(0, now-max(l.toldAsOf, l.drainsSince)))
	l.setStill(now)
	for _, e := range l.engines {
		left := e.still
		if l.drainsSince > 0 && e.held > 0 {
			left = min(left, math.Exp(-age/e.held))
		}
		lasting := min(e.beyond.tokens, steadyPart*e.capacity)
		e.told.tokens = lasting + (e.beyond.tokens-lasting)*left
		e.told.calls = 0
		if e.beyond.tokens > 0 {
			e.told.calls = e.beyond.calls * e.told.tokens / e.beyond.tokens
		}
		e.sum()
	}
}

// SetDraining tells that those who started the load that daemons told have started none since a time,
// or, at 0, that they may start requests.
func (l *Ledger) SetDraining(now, since spanrill.Millis) {
	if l.drainsSince == since {
		return
	}
	l.drainsSince = since
	l.setHeld()
	l.countTold(now)
	l.countExtra(now)
}

// setHeld estimates how long a request of mean size holds each engine: on the slowest of its chains.
func (l *Ledger) setHeld() {
	for _, e := range l.engines {
		e.held = 0
	}
	for _, c := range l.chains {
		held := l.mean.prompt*c.readMillis + l.mean.answer*c.step()
		for _, p := range c.parts {
			p.engine.held = max(p.engine.held, held)
		}
	}
}

// RecordEngineLoad implements spanrill.RoomLedger. Requests beyond the ledger's own are accounted to
// the engine, with mean size. The engines behind it may not have them any more: requests that their
// daemons have given up stay at a first engine for a while. What others hold there is told by SetTold.
// The news counts for two seconds at most.
func (l *Ledger) RecordEngineLoad(now, at spanrill.Millis, id uint32, requests int) {
	e := l.engines[id]
	if e == nil || requests < 0 || requests > maxCalls || at > now || at <= now-maxNewsAge || e.reported.known && at < e.reported.at {
		return
	}
	own, ok := e.history.asOf(at)
	if !ok {
		return
	}
	e.reported = report{excess: max(0, float64(requests)-own.calls), at: at, known: true}
	l.countExtraOf(now, e)
}

// expire drops news that is too old.
func (l *Ledger) expire(now spanrill.Millis) {
	if now < l.nextExpiry {
		return
	}
	l.nextExpiry = now + expiryInterval
	if l.told && now-l.toldAt > maxNewsAge {
		l.told = false
		for _, e := range l.engines {
			e.beyond, e.steadyTold = load{}, load{}
		}
	}
	l.setHeld() // of the requests that have asked since
	l.countTold(now)
	l.countExtra(now)
}

// countExtra accounts again what first engines told.
func (l *Ledger) countExtra(now spanrill.Millis) {
	for _, e := range l.engines {
		l.countExtraOf(now, e)
	}
}

// countExtraOf accounts the requests that an engine told, beyond those that daemons told.
func (l *Ledger) countExtraOf(now spanrill.Millis, e *engine) {
	if !e.reported.known {
		return
	}
	e.extra.calls = max(0, e.reported.calls(now)-e.told.calls)
	e.extra.tokens = e.extra.calls * l.mean.tokens() * e.firstShare
	e.sum()
}
