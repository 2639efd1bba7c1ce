package granting

import (
	"spanrill"
	"spanrill/protocol/peermsg"
)

// maxStarts bounds the waiting requests that are tried in one call.
const maxStarts = 256

// start gives room to a request. It returns false if there is none.
func (r *Room) start(now spanrill.Millis, c *claim) bool {
	first, ok := r.give(now, c)
	if !ok {
		return false
	}
	r.line.Start(now, c.entry)
	r.returns.RecordStart(now, c.need.Class)
	c.first, c.since = first, now
	r.counts.Given[c.need.Class]++
	return true
}

// give gives room to a request. One that goes before more urgent classes may use what is reserved for
// them: they would take this room instead of waiting behind it.
func (r *Room) give(now spanrill.Millis, c *claim) (first uint32, ok bool) {
	if r.line.isStarved(c.entry) {
		return r.ledger.GiveUrgent(now, c.handle, c.need)
	}
	return r.ledger.Give(now, c.handle, c.need)
}

// enterLine lets a request wait. It returns false if it cannot start in time.
func (r *Room) enterLine(now spanrill.Millis, c *claim) bool {
	c.offered = true
	ok, dropped := r.line.Enter(now, c.entry)
	for _, e := range dropped {
		r.refuseWaiting(now, r.claims[e.ID])
	}
	if !ok {
		return false
	}
	r.keep(c, claimWaiting)
	return true
}

// refuseWaiting refuses a request that was waiting. It does nothing for nil.
func (r *Room) refuseWaiting(now spanrill.Millis, c *claim) {
	if c == nil {
		return
	}
	r.cancel(now, c)
	r.counts.Refused[c.need.Class]++
	r.notify(c, peermsg.RoomNotice{State: peermsg.RoomRefused, RetryAfter: r.retryAfter(now, c)})
}

// dropLate refuses the waiting requests that will not start in time.
func (r *Room) dropLate(now spanrill.Millis) {
	for _, e := range r.line.Drop(now) {
		r.refuseWaiting(now, r.claims[e.ID])
	}
}

// startWaiting starts waiting requests for which there is room, in the order of the line. One that
// gets no room is passed over. Each request is tried once, since starts of others leave less room.
func (r *Room) startWaiting(now spanrill.Millis) {
	r.freed = false
	clear(r.passed)
	r.dropLate(now)
	for range maxStarts {
		next, ok := r.line.Next(now, r.passed)
		if !ok {
			return
		}
		if c := r.claims[next.ID]; c == nil || c.state != claimWaiting {
			r.line.Remove(next.ID)
		} else if !r.startWaiter(now, c) {
			r.passed[next.ID] = true
		}
	}
}

// startWaiter starts a waiting request with the patience that it has left. It returns false if there is
// no room for it.
func (r *Room) startWaiter(now spanrill.Millis, c *claim) bool {
	c.need.Patient = max(1, c.firstBy-now)
	if !r.start(now, c) {
		return false
	}
	c.state = claimHolding
	if !c.replying {
		r.notify(c, peermsg.RoomNotice{State: peermsg.RoomGranted, First: c.first})
	}
	return true
}
