package returns

import (
	"slices"

	"spanrill"
)

// expected holds the expected returns by the content of their requests.
type expected struct {
	byContent map[uint64][]expectedReturn // in the order in which they were planned
	count     int
	prunedAt  spanrill.Millis
}

// expectedReturn is a return that has been planned.
type expectedReturn struct {
	at       spanrill.Millis
	class    spanrill.Class
	promised bool // whether room was left when it was planned
}

// dueAt reports whether a caller that comes now may be the one that was told to return.
func (r expectedReturn) dueAt(now spanrill.Millis) bool {
	return now >= r.at-earlyReturn && now <= r.at+lateReturn
}

const (
	// maxExpected is the number of returns that are remembered.
	maxExpected = 8192
	// earlyReturn and lateReturn bound the time around a planned return within which it is
	// recognized: callers round their retry times and take a round trip to return.
	earlyReturn = 250 * spanrill.Millis(1)
	lateReturn  = 1500 * spanrill.Millis(1)
	// pruneInterval is the time between two removals of expired returns.
	pruneInterval = spanrill.Second
)

// add remembers a return. It returns false if there are too many.
func (e *expected) add(content uint64, r expectedReturn) bool {
	if e.count >= maxExpected {
		return false
	}
	e.byContent[content] = append(e.byContent[content], r)
	e.count++
	return true
}

// take removes and returns a return with a content that is due about now.
func (e *expected) take(now spanrill.Millis, content uint64) (expectedReturn, bool) {
	for i, r := range e.byContent[content] {
		if r.dueAt(now) {
			e.set(content, slices.Delete(e.byContent[content], i, i+1))
			e.count--
			return r, true
		}
	}
	return expectedReturn{}, false
}

// set replaces the returns of a content.
func (e *expected) set(content uint64, returns []expectedReturn) {
	if len(returns) == 0 {
		delete(e.byContent, content)
		return
	}
	e.byContent[content] = returns
}

// prune removes returns that have expired.
func (e *expected) prune(now spanrill.Millis) {
	if now < e.prunedAt+pruneInterval {
		return
	}
	e.prunedAt = now
	for content, returns := range e.byContent {
		kept := slices.DeleteFunc(returns, func(r expectedReturn) bool { return now > r.at+lateReturn })
		e.count -= len(returns) - len(kept)
		e.set(content, kept)
	}
}

// promisedAfter returns the number of returns that have been promised room later.
func (e *expected) promisedAfter(now spanrill.Millis) int {
	n := 0
	for _, returns := range e.byContent {
		for _, r := range returns {
			if r.promised && r.at > now {
				n++
			}
		}
	}
	return n
}
