package granting

import (
	"slices"

	"spanrill"
	"spanrill/protocol/peermsg"
)

const (
	// maxAside bounds the waiting requests that are passed over at once: those that were next in
	// the line, but got no room because of the engines that they avoid, their size or the fill
	// limit of their class.
	maxAside = 4
	// maxStarts bounds the waiting requests that are started or refused in one call.
	maxStarts = 256
)

// start gives room to a request. It returns false if there is none.
func (r *Room) start(now spanrill.Millis, c *claim) bool {
	first, ok := r.ledger.Give(now, c.handle, c.need)
	if !ok {
		return false
	}
	r.line.Start(now, c.entry)
	r.recordStart(now, c.need.Class)
	c.first, c.since = first, now
	r.counts.Given[c.need.Class]++
	return true
}

// startRecorder is a spanrill.ReturnPlanner that bounds the returns of a class by its starts.
type startRecorder interface {
	RecordStart(now spanrill.Millis, class spanrill.Class)
}

// recordStart tells the planner of returns that a request starts, if it wants to know.
func (r *Room) recordStart(now spanrill.Millis, class spanrill.Class) {
	if planner, ok := r.returns.(startRecorder); ok {
		planner.RecordStart(now, class)
	}
}

// enterLine lets a request wait. It returns false if it cannot start in time.
func (r *Room) enterLine(now spanrill.Millis, c *claim) bool {
	ok, dropped := r.line.Enter(now, c.entry)
	for _, e := range dropped {
		r.refuseWaiting(now, r.claims[e.ID])
	}
	if !ok {
		return false
	}
	r.keep(c, claimWaiting)
	r.waiting[c.need.Class]++
	return true
}

// leaveLine takes a waiting request out of the line.
func (r *Room) leaveLine(c *claim) {
	r.line.Remove(c.handle)
	r.aside = slices.DeleteFunc(r.aside, func(other *claim) bool { return other == c })
	r.waiting[c.need.Class]--
}

// refuseWaiting refuses a request that was waiting. It does nothing for nil.
func (r *Room) refuseWaiting(now spanrill.Millis, c *claim) {
	if c == nil {
		return
	}
	r.end(now, c)
	r.counts.Refused[c.need.Class]++
	r.notify(c, peermsg.RoomNotice{State: peermsg.RoomRefused, RetryAfter: r.retryAfter(now, c)})
}

// dropLate refuses the waiting requests that will not start in time.
func (r *Room) dropLate(now spanrill.Millis) {
	for _, e := range r.line.Drop(now) {
		r.refuseWaiting(now, r.claims[e.ID])
	}
	for _, c := range slices.Clone(r.aside) {
		if c.entry.LatestStart < now {
			r.refuseAside(now, c)
		}
	}
}

// refuseAside refuses a waiting request that the line does not know any more.
func (r *Room) refuseAside(now spanrill.Millis, c *claim) {
	r.line.RecordRefused(now, c.entry)
	r.refuseWaiting(now, c)
}

// startWaiting starts waiting requests for which there is room, in the order of the line. A
// request that gets no room is set aside, so that those behind it are tried, too. Requests set aside
// go before those in the line that are not more urgent. Each request is tried once, since starts
// of others leave less room.
func (r *Room) startWaiting(now spanrill.Millis) {
	r.freed = false
	r.tries++
	r.dropLate(now)
	for range maxStarts {
		next, ok := r.line.Next(now)
		if !ok {
			break
		}
		r.startAside(now, asideClass(next))
		if r.startNext(now, next) {
			continue
		}
		if next.Returned || len(r.aside) == maxAside {
			break // behind a caller that has returned are only others
		}
		r.setAside(next)
	}
	r.startAside(now, spanrill.ClassCount)
}

// asideClass returns the class up to which requests that were set aside go before one in the line.
func asideClass(next spanrill.LineEntry) spanrill.Class {
	if next.Returned {
		return spanrill.ClassCount
	}
	return next.Class
}

// startNext starts the request that is next in the line, or refuses it if it is too late. It
// returns false if it still waits.
func (r *Room) startNext(now spanrill.Millis, e spanrill.LineEntry) bool {
	c := r.claims[e.ID]
	if c == nil || c.state != claimWaiting {
		r.line.Remove(e.ID)
		return true
	}
	if e.LatestStart < now {
		r.line.Remove(e.ID)
		r.refuseAside(now, c)
		return true
	}
	return r.startWaiter(now, c)
}

// setAside takes the next request out of the line. It still waits, behind those set aside before it
// that are not less urgent.
func (r *Room) setAside(e spanrill.LineEntry) {
	r.line.Remove(e.ID)
	r.aside = append(r.aside, r.claims[e.ID])
	slices.SortStableFunc(r.aside, func(a, b *claim) int { return int(a.need.Class) - int(b.need.Class) })
}

// startAside starts requests that were set aside, up to a class.
func (r *Room) startAside(now spanrill.Millis, last spanrill.Class) {
	for _, c := range slices.Clone(r.aside) {
		if c.need.Class <= last && c.tried != r.tries {
			r.startWaiter(now, c)
		}
	}
}

// startWaiter starts a waiting request with the patience that it has left. It returns false if there is
// no room for it.
func (r *Room) startWaiter(now spanrill.Millis, c *claim) bool {
	c.need.Patient = max(1, c.firstBy-now)
	if !r.start(now, c) {
		c.tried = r.tries
		return false
	}
	r.leaveLine(c)
	c.state = claimHolding
	if !c.replying {
		r.notify(c, peermsg.RoomNotice{State: peermsg.RoomGranted, First: c.first})
	}
	return true
}
