package granting

import (
	"slices"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// Request decides on a request of a daemon. The notices are for other requests.
func (r *Room) Request(now spanrill.Millis, req *peermsg.RoomRequest) (*peermsg.RoomReply, []Notice) {
	now = r.advance(now)
	return r.request(now, req), r.takeNotices()
}

func (r *Room) request(now spanrill.Millis, req *peermsg.RoomRequest) *peermsg.RoomReply {
	if !validNames(req) {
		return &peermsg.RoomReply{State: peermsg.RoomUnknown}
	}
	a := r.asker(now, req.Daemon, req.Addr)
	if a == nil {
		return &peermsg.RoomReply{State: peermsg.RoomUnknown}
	}
	if req.Standby {
		r.noteStandby(now, a, req.Daemons)
	}
	if c := a.claims[req.ID]; c != nil {
		if c.repeats(req) {
			c.since = now
			return r.reply(now, c)
		}
		r.cancel(now, c)
	} else {
		a.refused.record(now, len(atMost(req.RefusedBy, maxRefusedBy)))
	}
	r.recordRefusals(now, req.RefusedBy)
	c := r.newClaim(now, a, req)
	a.starts.record(now)
	r.sizes.record(c.need)
	if !r.admit(now, c) {
		return r.refuse(now, c)
	}
	reply := r.reply(now, c)
	if c.state == claimHolding {
		reply.Ahead = r.grantAhead(now, c)
	}
	return reply
}

// newClaim returns a claim for a request that is neither waiting nor holds room yet.
func (r *Room) newClaim(now spanrill.Millis, a *asker, req *peermsg.RoomRequest) *claim {
	need := needOf(req)
	c := &claim{
		handle: r.nextHandle(), id: req.ID, asker: a, need: need, content: req.Content, since: now,
		callerEnd: now + min(max(0, req.Remaining), maxRemaining),
		refusedBy: slices.Clone(atMost(req.RefusedBy, maxRefusedBy)),
	}
	c.firstBy = now + need.Patient
	c.entry = spanrill.LineEntry{
		ID: c.handle, Class: need.Class, Account: accountOf(req.Account),
		LatestStart: now + max(0, need.Patient-r.ledger.FirstEvent(now, need)-messagesTime),
		Returned:    req.Content != 0 && r.returns.Redeem(now, req.Content),
	}
	if c.entry.LatestStart == now { // its objective cannot be met any more
		c.need.Patient = 0
	}
	if c.entry.Returned {
		r.counts.ReturnsKept++
		c.entry.LatestStart = max(c.entry.LatestStart, now+lateWait(req))
	}
	return c
}

// messagesTime is how long the reply or notice takes to the daemon, the request to the engine, and its first
// event back: each some milliseconds between availability zones.
const messagesTime spanrill.Millis = 10

// lateWait returns how long a caller that has returned waits, 0 if it does not wait at all.
func lateWait(req *peermsg.RoomRequest) spanrill.Millis {
	if req.MaxWait <= 0 {
		return 0
	}
	return min(returnWait, max(0, req.Remaining))
}

// admit starts a request or lets it wait. It reports false if the request is to be refused.
func (r *Room) admit(now spanrill.Millis, c *claim) bool {
	if len(r.claims) >= maxClaims || !r.canEver(now, c.need) {
		return false
	}
	if c.entry.LatestStart == now {
		return r.startAtOnce(now, c)
	}
	alone := r.Waiting() == 0
	if alone && r.start(now, c) {
		r.keep(c, claimHolding)
		return true
	}
	if !r.enterLine(now, c) {
		return false
	}
	if next, ok := r.line.Next(now, r.passed); !alone && ok && next.ID == c.handle {
		c.replying = true
		r.startWaiting(now)
		c.replying = false
	}
	if c.waited = c.state == claimWaiting; c.waited {
		r.counts.Waited[c.need.Class]++
	}
	return true
}

// startAtOnce starts a request that cannot wait, because its objective for the first event cannot be met
// any more, or it has none. It does not enter the line, where others could be dropped because of it.
// It returns false if there is no room, or a waiting request goes before it.
func (r *Room) startAtOnce(now spanrill.Millis, c *claim) bool {
	if r.Waiting() > 0 {
		r.startWaiting(now)
	}
	if next, ok := r.line.Next(now, r.passed); ok && goesBefore(next, c.entry) {
		return false
	}
	if !r.start(now, c) {
		return false
	}
	r.keep(c, claimHolding)
	return true
}

// goesBefore reports whether a waiting request starts before one that has just arrived.
func goesBefore(waiting, arrived spanrill.LineEntry) bool {
	if waiting.Returned != arrived.Returned {
		return arrived.Returned
	}
	return waiting.Class <= arrived.Class
}

// canEver reports whether a request could get room if the chains were empty. While the allowance
// rises, the ledger cannot tell.
func (r *Room) canEver(now spanrill.Millis, need spanrill.RoomNeed) bool {
	rises := !r.allowance.standby && r.allowance.at(now) < 1
	return rises || r.ledger.CanEver(need)
}

// reply describes the state of a claim.
func (r *Room) reply(now spanrill.Millis, c *claim) *peermsg.RoomReply {
	if c.state == claimWaiting {
		return &peermsg.RoomReply{State: peermsg.RoomWaiting, Wait: max(0, r.line.Wait(now, c.entry))}
	}
	return &peermsg.RoomReply{State: peermsg.RoomGranted, First: c.first}
}

// refuse returns the refusal of a request that did not wait. The line has counted one that it did not
// let enter.
func (r *Room) refuse(now spanrill.Millis, c *claim) *peermsg.RoomReply {
	if !c.offered {
		r.line.RecordRefused(now, c.entry)
	}
	r.counts.Refused[c.need.Class]++
	return &peermsg.RoomReply{State: peermsg.RoomRefused, RetryAfter: r.retryAfter(now, c)}
}

// retryAfter plans the return of a caller.
func (r *Room) retryAfter(now spanrill.Millis, c *claim) spanrill.Millis {
	refused := spanrill.RefusedRequest{
		Class: c.need.Class, Content: c.content, Remaining: max(0, c.callerEnd-now), Returned: c.entry.Returned,
	}
	return max(1, r.returns.Plan(now, refused, r.ledger.EndRate(now), r.Waiting()))
}

// recordRefusals records engines that have refused requests for lack of room. Those that are on no chain
// are ignored.
func (r *Room) recordRefusals(now spanrill.Millis, engines []uint32) {
	for _, engine := range atMost(engines, maxRefusedBy) {
		if !r.engines[engine] {
			continue
		}
		r.ledger.RecordRefusal(now, engine)
		r.counts.RefusedByEngines++
	}
}
