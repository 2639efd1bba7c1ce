package granting

import (
	"slices"

	"spanrill"
)

// fakeLedger counts tokens on chains of one engine each.
type fakeLedger struct {
	chains  []spanrill.RoomChain
	others  map[uint32]float64 // tokens that others hold, by the last sums
	grants  map[uint64]fakeGrant
	closed  map[uint32]spanrill.Millis // until when
	sums    map[uint32]float64         // tokens given, by engine
	loads   int
	refused int
	ended   int             // requests that have run
	patient spanrill.Millis // of the last request that got room
	endRate float64
}

// fakeFirstEvent is the time from the start of a request to its first event.
const fakeFirstEvent spanrill.Millis = 40

type fakeGrant struct {
	engine uint32
	tokens float64
	class  spanrill.Class
}

// urgentFill is the fraction of a chain that classes from 5 on may fill.
const urgentFill = 0.75

func newFakeLedger() *fakeLedger {
	return &fakeLedger{others: map[uint32]float64{}, grants: map[uint64]fakeGrant{}, sums: map[uint32]float64{}, closed: map[uint32]spanrill.Millis{}, endRate: 100}
}

func (l *fakeLedger) SetChains(_ spanrill.Millis, chains []spanrill.RoomChain) { l.chains = chains }

func (l *fakeLedger) SetTold(_, _ spanrill.Millis, uses map[uint32]spanrill.RoomUse) {
	clear(l.others)
	for engine, use := range uses {
		l.others[engine] = max(0, float64(use.Tokens)-l.given(engine))
	}
}

func (l *fakeLedger) RecordEngineLoad(_, _ spanrill.Millis, _ uint32, _ int) { l.loads++ }

func (l *fakeLedger) RecordRefusal(now spanrill.Millis, engine uint32) {
	l.refused++
	l.closed[engine] = now + 200
}

// given returns the tokens that this ledger has given at an engine.
func (l *fakeLedger) given(engine uint32) float64 { return l.sums[engine] }

func (l *fakeLedger) used(engine uint32) float64 { return l.given(engine) + l.others[engine] }

func (l *fakeLedger) Give(now spanrill.Millis, id uint64, need spanrill.RoomNeed) (uint32, bool) {
	tokens, best, bestFree := float64(need.Prompt+need.Answer), uint32(0), -1.0
	if need.Patient > 0 && need.Patient < fakeFirstEvent {
		return 0, false // no chain is fast enough
	}
	for _, c := range l.chains {
		limit := c.Parts[0].Capacity
		if need.Class >= 5 {
			limit *= urgentFill
		}
		free := limit - l.used(c.First()) - tokens
		if !need.Avoid[c.First()] && l.closed[c.First()] <= now && free >= 0 && free > bestFree {
			best, bestFree = c.First(), free
		}
	}
	if best == 0 {
		return 0, false
	}
	l.grants[id] = fakeGrant{best, tokens, need.Class}
	l.sums[best] += tokens
	l.patient = need.Patient
	return best, true
}

func (l *fakeLedger) CanEver(need spanrill.RoomNeed) bool {
	return slices.ContainsFunc(l.chains, func(c spanrill.RoomChain) bool {
		return !need.Avoid[c.First()] && c.Parts[0].Capacity >= float64(need.Prompt+need.Answer)
	})
}

func (l *fakeLedger) SetWaiting(spanrill.Millis, int) {}

func (l *fakeLedger) Resize(_ spanrill.Millis, id uint64, need spanrill.RoomNeed) {
	if g, ok := l.grants[id]; ok {
		tokens := float64(need.Prompt + need.Answer)
		l.sums[g.engine] += tokens - g.tokens
		l.grants[id] = fakeGrant{g.engine, tokens, need.Class}
	}
}

func (l *fakeLedger) End(now spanrill.Millis, id uint64) {
	if _, ok := l.grants[id]; ok {
		l.ended++
	}
	l.Cancel(now, id)
}

func (l *fakeLedger) Cancel(_ spanrill.Millis, id uint64) {
	g := l.grants[id]
	l.sums[g.engine] -= g.tokens
	delete(l.grants, id)
}

func (l *fakeLedger) FirstEvent(spanrill.Millis, spanrill.RoomNeed) spanrill.Millis {
	return fakeFirstEvent
}

func (l *fakeLedger) EndRate(spanrill.Millis) float64 { return l.endRate }

func (l *fakeLedger) Chains(spanrill.Millis) (states []spanrill.RoomState) {
	for _, c := range l.chains {
		states = append(states, spanrill.RoomState{First: c.First(), Fill: l.used(c.First()) / c.Parts[0].Capacity})
	}
	return states
}

// fakeLine orders requests by class, then by arrival.
type fakeLine struct {
	entries []spanrill.LineEntry
	limit   int // of entries, 0 for none; the last one is dropped for a more urgent one
	rates   []float64
	first   spanrill.Class // goes before all others, unless it is 0
}

func (l *fakeLine) rank(e spanrill.LineEntry) int {
	if e.Class == l.first {
		return -1
	}
	return int(e.Class)
}

func (l *fakeLine) Enter(now spanrill.Millis, e spanrill.LineEntry) (bool, []spanrill.LineEntry) {
	if e.LatestStart < now {
		return false, nil
	}
	l.entries = append(l.entries, e)
	slices.SortStableFunc(l.entries, func(a, b spanrill.LineEntry) int { return l.rank(a) - l.rank(b) })
	if n := len(l.entries) - 1; l.limit > 0 && n == l.limit {
		last := l.entries[n]
		l.entries = l.entries[:n]
		return last.ID != e.ID, slices.DeleteFunc([]spanrill.LineEntry{last}, func(d spanrill.LineEntry) bool { return d.ID == e.ID })
	}
	return true, nil
}

// fakeMaxSkipped is the number of requests of a class that are passed over at most.
const fakeMaxSkipped = 4

func (l *fakeLine) Next(_ spanrill.Millis, skip map[uint64]bool) (spanrill.LineEntry, bool) {
	var skipped [spanrill.ClassCount]int
	for _, e := range l.entries {
		if !skip[e.ID] && skipped[e.Class] < fakeMaxSkipped {
			return e, true
		}
		skipped[e.Class]++
	}
	return spanrill.LineEntry{}, false
}

func (l *fakeLine) LenOf(class spanrill.Class) (n int) {
	for _, e := range l.entries {
		if e.Class == class {
			n++
		}
	}
	return n
}

func (l *fakeLine) Start(_ spanrill.Millis, e spanrill.LineEntry) { l.Remove(e.ID) }

func (l *fakeLine) Remove(id uint64) bool {
	before := len(l.entries)
	l.entries = slices.DeleteFunc(l.entries, func(e spanrill.LineEntry) bool { return e.ID == id })
	return len(l.entries) < before
}

func (l *fakeLine) Drop(now spanrill.Millis) (dropped []spanrill.LineEntry) {
	l.entries = slices.DeleteFunc(l.entries, func(e spanrill.LineEntry) bool {
		if late := e.LatestStart < now; late {
			dropped = append(dropped, e)
			return true
		}
		return false
	})
	return dropped
}

func (l *fakeLine) RecordRefused(spanrill.Millis, spanrill.LineEntry)               {}
func (l *fakeLine) SetRate(perSecond float64)                                       { l.rates = append(l.rates, perSecond) }
func (l *fakeLine) Wait(spanrill.Millis, spanrill.LineEntry) (wait spanrill.Millis) { return 20 }
func (l *fakeLine) Len() int                                                        { return len(l.entries) }

// fakeReturns plans all returns after plannedReturn.
type fakeReturns struct {
	planned map[uint64]bool
	starts  [spanrill.ClassCount]int
}

const plannedReturn spanrill.Millis = 700

func (p *fakeReturns) RecordStart(_ spanrill.Millis, class spanrill.Class) { p.starts[class]++ }

func (p *fakeReturns) Plan(_ spanrill.Millis, r spanrill.RefusedRequest, _ float64, _ int) spanrill.Millis {
	p.planned[r.Content] = true
	return plannedReturn
}

func (p *fakeReturns) Redeem(_ spanrill.Millis, content uint64) bool {
	planned := p.planned[content]
	delete(p.planned, content)
	return planned
}

func (p *fakeReturns) Outstanding(spanrill.Millis) int { return len(p.planned) }

// fakeParts returns parts of which the last ledger made can be read.
func fakeParts() (parts Parts, ledger *fakeLedger) {
	ledger = newFakeLedger()
	return Parts{
		NewLedger:  func() spanrill.RoomLedger { return ledger },
		NewLine:    func() spanrill.StartLine { return &fakeLine{} },
		NewReturns: func() spanrill.ReturnPlanner { return &fakeReturns{planned: map[uint64]bool{}} },
	}, ledger
}

// chainsOf returns chains of one engine each, from engine 1 on, that hold so many tokens.
func chainsOf(capacities ...float64) (chains []spanrill.RoomChain) {
	for i, capacity := range capacities {
		part := spanrill.RoomPart{Engine: uint32(i + 1), Capacity: capacity, Share: 1}
		chains = append(chains, spanrill.RoomChain{Parts: []spanrill.RoomPart{part}})
	}
	return chains
}

// GiveUrgent gives room as Give does: the fake keeps none for the most urgent class.
func (l *fakeLedger) GiveUrgent(now spanrill.Millis, id uint64, need spanrill.RoomNeed) (uint32, bool) {
	return l.Give(now, id, need)
}

func (l *fakeLedger) SetDraining(spanrill.Millis, spanrill.Millis) {}

func (l *fakeLine) Starved(spanrill.Class) bool { return false }
