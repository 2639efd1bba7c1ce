package granting

import (
	"context"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// noticeMargin is how long a waiting request waits for its notice beyond its latest start. It
// exceeds the one-way time between availability zones.
const noticeMargin spanrill.Millis = 30

// clientWaiter is a request that has asked a granting daemon, until it is decided.
type clientWaiter struct {
	id        uint64
	service   string
	granter   peermsg.Member
	box       *outbox
	notice    chan answer // receives at most one
	isWaiting bool        // the granting daemon has told it to wait; guarded by Client.mu
}

// answer is the decision on a request for room.
type answer struct {
	state      peermsg.RoomState
	first      uint32
	retryAfter spanrill.Millis
	reason     string // of a refusal
	gaveUp     bool   // this daemon has decided, and the granting daemon doesn't know
}

// The reasons of refusals, as callers see them.
const (
	refusedByGranter = "no chain has room in time for the request, counting the requests of all daemons"
	refusedByNotice  = "no chain got room for the waiting request in time, counting the requests of all daemons"
	refusedByTime    = "no chain got room for the waiting request in time, and the granting daemon did not say more"
	refusedByContext = "the request ended while it waited for room"
)

// addWaiter adds a request for room with a new id.
func (c *Client) addWaiter(q *question) *clientWaiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &clientWaiter{
		id: c.lastID.Add(1), service: q.request.Service, granter: q.granter,
		box: c.outbox(c.service(q.request.Service), q.granter), notice: make(chan answer, 1),
	}
	w.box.hold(w.id)
	c.waiters[w.id] = w
	return w
}

// removeWaiter removes a request that does not start. Its end is told if the granting daemon may
// believe otherwise.
func (c *Client) removeWaiter(w *clientWaiter, tell bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, w.id)
	if !tell {
		w.box.forget(w.id)
		return
	}
	w.box.end(w.id)
	c.wakeReports()
}

// answerTo returns the decision on a request after the reply to it. A notice may arrive before the
// reply, or although the reply is lost.
func (c *Client) answerTo(ctx context.Context, q *question, w *clientWaiter, reply *peermsg.RoomReply, err error) answer {
	switch {
	case err != nil:
		return c.answerWithoutReply(ctx, w)
	case reply.State == peermsg.RoomWaiting:
		c.counts.waited.Add(1)
		c.beginWaiting(w)
		return c.await(ctx, w, c.waitUntil(q, reply)+noticeMargin)
	}
	return answer{state: reply.State, first: reply.First, retryAfter: reply.RetryAfter, reason: refusedByGranter}
}

// waitUntil returns the latest start of a request that waits. A caller that has returned waits for
// as long as the granting daemon says: its objective is missed already.
func (c *Client) waitUntil(q *question, reply *peermsg.RoomReply) spanrill.Millis {
	return max(c.latestStart(q), c.clock.Now()+min(reply.Wait, returnWait, max(0, q.request.Remaining)))
}

// beginWaiting marks a request that waits for a notice.
func (c *Client) beginWaiting(w *clientWaiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.isWaiting = true
}

// answerWithoutReply returns the decision on a request that got no reply.
func (c *Client) answerWithoutReply(ctx context.Context, w *clientWaiter) answer {
	select {
	case a := <-w.notice:
		return a
	default:
	}
	if ctx.Err() != nil {
		return answer{state: peermsg.RoomRefused, reason: refusedByContext, gaveUp: true}
	}
	return answer{state: peermsg.RoomUnknown}
}

// await blocks until the notice arrives, the context ends or a time has passed.
func (c *Client) await(ctx context.Context, w *clientWaiter, until spanrill.Millis) answer {
	select {
	case a := <-w.notice:
		return a
	case <-ctx.Done():
		return answer{state: peermsg.RoomRefused, reason: refusedByContext, gaveUp: true}
	case <-c.clock.After(until - c.clock.Now()):
	}
	select {
	case a := <-w.notice:
		return a
	default:
		return answer{state: peermsg.RoomRefused, reason: refusedByTime, gaveUp: true}
	}
}

// HandleNotice handles the notice of a granting daemon. Room that was granted to a request that does
// not want it any more is given back.
func (c *Client) HandleNotice(n *peermsg.RoomNotice) {
	if n.State != peermsg.RoomGranted && n.State != peermsg.RoomRefused && n.State != peermsg.RoomUnknown {
		return
	}
	if c.deliverNotice(n) || n.State != peermsg.RoomGranted {
		return
	}
	for _, granter := range c.granters(n.Service) { // the notice does not name its sender
		c.giveBack(n.Service, granter, n.ID)
	}
}

// deliverNotice passes a notice to its waiter. It returns false if no request has the id.
func (c *Client) deliverNotice(n *peermsg.RoomNotice) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.waiters[n.ID]; w != nil {
		a := answer{state: n.State, first: n.First, retryAfter: n.RetryAfter, reason: refusedByNotice}
		select {
		case w.notice <- a:
		default: // a repeated notice
		}
		return true
	}
	s := c.services[n.Service]
	if s == nil {
		return true // no request of this process
	}
	for _, o := range s.outboxes {
		if o.held[n.ID] {
			return true
		}
	}
	return false
}

// giveBack tells a granting daemon that an id holds no room.
func (c *Client) giveBack(service string, granter peermsg.Member, id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	if s == nil {
		return
	}
	c.outbox(s, granter).end(id)
	c.wakeReports()
}
