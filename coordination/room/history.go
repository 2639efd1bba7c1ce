package room

import "spanrill"

const (
	// historyStep is how finely earlier load is kept: a chain starts one or two requests in it.
	historyStep spanrill.Millis = 20
	// historyLen covers 3.2 s. News of other daemons is at most about two seconds old.
	historyLen = 160
)

// history is what the ledger's own requests held at an engine, for the latest steps in which that
// changed. It takes 2.5 KB.
type history struct {
	samples [historyLen]sample
	count   int // recorded in all
}

// sample is the load at the end of a step, until the next sample.
type sample struct {
	from   spanrill.Millis // begin of the step
	tokens float32
	calls  int32
}

// record notes a load that holds from now on.
func (h *history) record(now spanrill.Millis, l load) {
	from := now - now%historyStep
	if h.count == 0 || h.at(h.count-1).from < from {
		h.count++
		h.at(h.count - 1).from = from
	}
	s := h.at(h.count - 1)
	s.tokens, s.calls = float32(l.tokens), int32(l.calls)
}

// at returns the sample with an index, counted from the first one recorded.
func (h *history) at(index int) *sample { return &h.samples[index%historyLen] }

// load returns the load after the sample with an index. It is zero before the first one.
func (h *history) load(index int) load {
	if index < 0 {
		return load{}
	}
	s := h.at(index)
	return load{tokens: float64(s.tokens), calls: float64(s.calls)}
}

// bounds returns the lowest and the highest of a load and those between two earlier times, as far as
// they are known.
func (h *history) bounds(from, to spanrill.Millis, known load) (least, most load) {
	least, most = known, known
	if l, ok := h.asOf(from); ok {
		least, most = minLoad(least, l), maxLoad(most, l)
	}
	for index := h.count - 1; index >= max(0, h.count-historyLen) && h.at(index).from > from; index-- {
		if h.at(index).from+historyStep <= to {
			least, most = minLoad(least, h.load(index)), maxLoad(most, h.load(index))
		}
	}
	return least, most
}

// asOf returns the load at an earlier time, interpolated within a step. It returns false if that is
// too long ago.
func (h *history) asOf(t spanrill.Millis) (load, bool) {
	oldest := max(0, h.count-historyLen)
	index := h.count - 1
	for index >= oldest && h.at(index).from > t {
		index--
	}
	if index < oldest {
		return load{}, oldest == 0
	}
	after := h.load(index)
	passed := float64(t-h.at(index).from+1) / float64(historyStep)
	if passed >= 1 || index == h.count-1 || index == oldest && oldest > 0 {
		return after, true
	}
	before := h.load(index - 1)
	return load{
		tokens: before.tokens + passed*(after.tokens-before.tokens),
		calls:  before.calls + passed*(after.calls-before.calls),
	}, true
}
