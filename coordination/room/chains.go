package room

import (
	"math"

	"spanrill"
)

// part is one engine of a chain.
type part struct {
	engine     *engine
	share      float64 // of the engine's layers
	readMillis float64 // for one prompt token
}

// chain is a spanrill.RoomChain with the accounts of its engines. Its figures do not change: SetChains
// makes new ones, and what a request holds is taken back from the chain on which it started.
type chain struct {
	parts                  []part
	zone                   string
	slots                  float64 // 0 if not limited
	bridged                bool
	stepMillis, perRequest float64
	readMillis             float64 // of all engines, for one prompt token
	penalty                float64
}

func (c *chain) first() *engine { return c.parts[0].engine }

// maxFigure bounds the figures of chains, which rest on what engines tell: tokens and milliseconds
// beyond it are errors.
const maxFigure = 1e9

// SetChains implements spanrill.RoomLedger. A chain with figures that cannot be true (not finite,
// negative, without capacity, an engine twice) is left out. Engines that belong to no chain are
// forgotten once they have no requests. It takes time in proportion to the number of engines.
func (l *Ledger) SetChains(now spanrill.Millis, chains []spanrill.RoomChain) {
	was := map[*engine]bool{}
	for _, e := range l.engines {
		was[e], e.current, e.firstShare = e.current, false, 0
	}
	l.chains = make([]*chain, 0, len(chains))
	for i := range chains {
		if plausible(&chains[i]) {
			l.chains = append(l.chains, l.newChain(&chains[i]))
		}
	}
	for e, before := range was {
		if before && !e.current {
			e.leftAt = now
		}
	}
	l.countExtra(now)
	l.forgetEngines(now)
}

// newChain returns a chain and enters its engines. An engine that several chains give different
// capacities has the lowest.
func (l *Ledger) newChain(from *spanrill.RoomChain) *chain {
	c := &chain{
		parts: make([]part, len(from.Parts)), zone: from.Zone, slots: float64(from.Slots), bridged: from.Bridged,
		stepMillis: from.StepMillis, perRequest: from.StepMillisPerRequest, penalty: max(1, from.Penalty),
	}
	for i, p := range from.Parts {
		e := l.engines[p.Engine]
		if e == nil {
			e = &engine{id: p.Engine}
			l.engines[p.Engine] = e
		}
		if !e.current || p.Capacity < e.capacity {
			e.capacity = p.Capacity
		}
		e.current = true
		c.readMillis += p.ReadMillis
		c.parts[i] = part{engine: e, share: min(1, p.Share), readMillis: p.ReadMillis}
	}
	c.first().firstShare = max(c.first().firstShare, c.parts[0].share)
	return c
}

// forgetEngines removes the engines that belong to no chain and have no requests. Those that left
// lately are kept, because what others hold there counts when they return.
func (l *Ledger) forgetEngines(now spanrill.Millis) {
	for id, e := range l.engines {
		if !e.current && e.requests == 0 && now-e.leftAt > maxNewsAge {
			delete(l.engines, id)
		}
	}
}

// plausible reports whether the figures of a chain can be true.
func plausible(c *spanrill.RoomChain) bool {
	if len(c.Parts) == 0 || c.Slots < 0 || !isFigure(c.StepMillis) || !isFigure(c.StepMillisPerRequest) || !isFigure(c.Penalty) {
		return false
	}
	for i, p := range c.Parts {
		if !isFigure(p.Capacity) || p.Capacity == 0 || !isFigure(p.ReadMillis) || !isFigure(p.Share) || p.Share == 0 {
			return false
		}
		for _, earlier := range c.Parts[:i] {
			if earlier.Engine == p.Engine {
				return false
			}
		}
	}
	return true
}

// isFigure reports whether a figure is a number from 0 to maxFigure.
func isFigure(x float64) bool { return !math.IsNaN(x) && x >= 0 && x <= maxFigure }

// allows reports whether a request may use all engines of the chain.
func (c *chain) allows(avoid map[uint32]bool) bool {
	if len(avoid) == 0 {
		return true
	}
	for _, p := range c.parts {
		if avoid[p.engine.id] {
			return false
		}
	}
	return true
}

// hasSlot reports whether the first engine has a slot for a request.
func (c *chain) hasSlot(r *request) bool {
	return c.slots == 0 || c.first().calls()+1 <= c.slots-c.sparedSlots(r)
}

// sparedSlots returns how many slots of the first engine are left to requests that start without a
// grant: as many as such requests are there, up to the part that is spared of an engine's tokens.
func (c *chain) sparedSlots(r *request) float64 {
	return min(c.first().foreignCalls(), (1-r.maxFill)*c.slots)
}

// fitsEmpty reports whether a request would have room if the chain were empty.
func (c *chain) fitsEmpty(r *request) bool {
	for _, p := range c.parts {
		if r.tokens*p.share > r.maxFill*p.engine.capacity {
			return false
		}
	}
	return true
}
