package admission

import (
	"math"
	"slices"
	"sort"

	"spanrill"
)

// lineEntry is a waiting request.
type lineEntry struct {
	spanrill.LineEntry
	finish float64 // virtual finish time
	seq    uint64  // order of arrival
}

// before reports whether a request starts before another one of its class.
func (e *lineEntry) before(other *lineEntry) bool {
	switch {
	case e.Returned != other.Returned:
		return e.Returned
	case e.finish != other.finish:
		return e.finish < other.finish
	case e.LatestStart != other.LatestStart:
		return e.LatestStart < other.LatestStart
	}
	return e.seq < other.seq
}

// lineClass holds the waiting requests of a class, in the order in which they start.
type lineClass struct {
	tags    fairTags
	waiting []*lineEntry
}

// position returns how many requests of the class start before a request.
func (c *lineClass) position(e *lineEntry) int {
	return sort.Search(len(c.waiting), func(i int) bool { return !c.waiting[i].before(e) })
}

// insert adds a request at its position.
func (c *lineClass) insert(position int, e *lineEntry) {
	c.waiting = slices.Insert(c.waiting, position, e)
	c.tags.enter(e.Account, e.finish)
}

// start removes a request that starts. One that has returned starts out of turn, so that it does not
// advance the virtual time.
func (c *lineClass) start(e *lineEntry) {
	if !e.Returned {
		c.tags.start(e.finish)
	}
	c.remove(e)
}

// leave removes a request that does not start.
func (c *lineClass) leave(e *lineEntry) {
	c.tags.leave(e.Account, e.Weight)
	c.remove(e)
}

// remove removes a waiting request. Accounts start anew when none waits.
func (c *lineClass) remove(e *lineEntry) {
	i := c.position(e)
	c.waiting = slices.Delete(c.waiting, i, i+1)
	if len(c.waiting) == 0 {
		c.tags = fairTags{}
	}
}

// last returns the request that starts last.
func (c *lineClass) last() *lineEntry { return c.waiting[len(c.waiting)-1] }

// maxSkipped is the number of requests of a class that are passed over at most. It bounds the time in
// which the line is searched.
const maxSkipped = 4

// firstInTime returns the first request that can start now and is not to be skipped, or nil.
func (c *lineClass) firstInTime(now spanrill.Millis, skip map[uint64]bool) *lineEntry {
	skipped := 0
	for _, e := range c.waiting {
		switch {
		case now > e.LatestStart:
		case !skip[e.ID]:
			return e
		default:
			if skipped++; skipped == maxSkipped {
				return nil
			}
		}
	}
	return nil
}

const (
	// Weights of accounts are kept within minWeight and maxWeight, so that virtual times stay exact.
	minWeight, maxWeight = 1e-3, 1e6
)

// validClass returns the class, or the default class if there is no such class.
func validClass(class spanrill.Class) spanrill.Class {
	valid, _ := spanrill.ClassOf(int(class))
	return valid
}

// validWeight returns the weight, or 1 if it is not positive.
func validWeight(weight float64) float64 {
	if !(weight > 0) {
		return 1
	}
	return math.Max(minWeight, math.Min(weight, maxWeight))
}
