package room

import "spanrill"

// setTold accounts what daemons told of an engine beyond the ledger's own load. It does nothing if the
// ledger does not know its own load of that time any more.
//
// Some of the sum may be as old as maxSumSpread. After a rise of the ledger's own load the sum lacks some
// of that, which shows too little load of others. After a fall it has too much: then what was told before
// counts, unless the sum shows more in any case.
func (e *engine) setTold(asOf spanrill.Millis, use spanrill.RoomUse) {
	own, ok := e.history.asOf(asOf)
	if !ok {
		return
	}
	least, most := e.history.bounds(asOf-maxSumSpread, asOf, own)
	told := load{tokens: min(e.capacity+least.tokens, float64(use.Tokens)), calls: min(maxCalls, float64(use.Calls))}
	beyond, change := told.beyond(own), steadyChange*e.capacity
	switch {
	case most.tokens-own.tokens > change:
		beyond = minLoad(beyond, maxLoad(e.steadyTold, told.beyond(most)))
	case own.tokens-least.tokens > change:
		e.steadyTold = maxLoad(e.steadyTold, beyond)
	default:
		e.steadyTold = beyond
	}
	e.beyond = beyond
}

// beyond returns by how much a load is over another one.
func (l load) beyond(other load) load {
	return load{tokens: max(0, l.tokens-other.tokens), calls: max(0, l.calls-other.calls)}
}

// maxLoad returns the higher of two loads, in tokens and in requests.
func maxLoad(a, b load) load {
	return load{tokens: max(a.tokens, b.tokens), calls: max(a.calls, b.calls)}
}

// minLoad returns the lower of two loads, in tokens and in requests.
func minLoad(a, b load) load {
	return load{tokens: min(a.tokens, b.tokens), calls: min(a.calls, b.calls)}
}
