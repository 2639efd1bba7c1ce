package room

import "spanrill"

// Chains implements spanrill.RoomLedger, in the order of SetChains.
func (l *Ledger) Chains(now spanrill.Millis) []spanrill.RoomState {
	l.expire(now)
	need := spanrill.RoomNeed{Prompt: int(l.mean.prompt), Answer: int(l.mean.answer)}
	r := l.newRequest(now, need)
	states := make([]spanrill.RoomState, len(l.chains))
	for i, c := range l.chains {
		first := c.first()
		fullest, fill := c.fullest()
		e, _ := c.estimate(&r, false)
		states[i] = spanrill.RoomState{
			First: first.id, Zone: c.zone, Given: first.given, Fill: fill, Fullest: fullest.id,
			Own: fullest.own.tokens / fullest.capacity, Told: int(first.foreignCalls()), Starting: spanrill.Millis(e.first),
		}
	}
	return states
}

// fullest returns the engine with the least room, and its fill.
func (c *chain) fullest() (fullest *engine, fill float64) {
	fullest = c.first()
	if c.slots > 0 {
		fill = fullest.calls() / c.slots
	}
	for _, p := range c.parts {
		if f := p.engine.used / p.engine.capacity; f > fill {
			fullest, fill = p.engine, f
		}
	}
	return fullest, fill
}
