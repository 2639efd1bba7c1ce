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

// SetTold implements spanrill.RoomLedger. What is told beyond the ledger's own load as of that time
// counts until the next call, two seconds at most. Sums of a time yet to come, of one more than 3.2 s
// ago or older than the last ones are ignored, and so are unknown engines.
func (l *Ledger) SetTold(now, asOf spanrill.Millis, uses map[uint32]spanrill.RoomUse) {
	if asOf > now || asOf < now-maxToldDelay || l.told && asOf < l.toldAsOf {
		return
	}
	l.told, l.toldAsOf, l.toldAt = true, asOf, now
	for id, e := range l.engines {
		own, ok := e.history.asOf(asOf)
		if !ok {
			continue
		}
		use := uses[id]
		e.beyond = load{
			tokens: max(0, min(e.capacity, float64(use.Tokens)-own.tokens)),
			calls:  min(maxCalls, max(0, float64(use.Calls)-own.calls)),
		}
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
	for _, e := range l.engines {
		left := 1.0
		if l.drainsSince > 0 && e.held > 0 {
			left = math.Exp(-age / e.held)
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

// RecordEngineLoad implements spanrill.RoomLedger. Requests beyond the ledger's own are accounted,
// with mean size, to the chains that begin at the engine. The news counts for two seconds at most.
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
	for _, c := range l.chains {
		if c.first() == e {
			l.countExtraOf(now, c)
		}
	}
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
			e.beyond = load{}
		}
	}
	l.countTold(now)
	l.countExtra(now)
}

// countExtra accounts again what first engines told, to all chains.
func (l *Ledger) countExtra(now spanrill.Millis) {
	for _, c := range l.chains {
		l.countExtraOf(now, c)
	}
}

// countExtraOf accounts the requests that the first engine of a chain told, beyond those that
// daemons told, to the engines of the chain.
func (l *Ledger) countExtraOf(now spanrill.Millis, c *chain) {
	e := c.first()
	e.extra.calls = max(0, e.reported.calls(now)-e.told.calls)
	c.setExtra(e.extra.calls * l.mean.tokens())
}

// withdrawExtra takes back what countExtra accounted.
func (l *Ledger) withdrawExtra() {
	for _, c := range l.chains {
		c.setExtra(0)
		c.first().extra.calls = 0
	}
}

// setExtra sets the tokens that are accounted to the engines of a chain because of what its first
// engine told.
func (c *chain) setExtra(tokens float64) {
	added := tokens - c.extraTokens
	if added == 0 {
		return
	}
	c.extraTokens = tokens
	for _, p := range c.parts {
		p.engine.extra.tokens += added * p.share
		p.engine.sum()
	}
}
