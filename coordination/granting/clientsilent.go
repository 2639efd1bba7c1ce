package granting

import (
	"spanrill"
	"spanrill/protocol/peermsg"
)

// A request that waits at a granting daemon which then dies would hear nothing until its latest
// start. It is woken instead, and asks the next daemon with the time that it has left. Its end is
// told to the daemon that it has left.

// wakeWaiters wakes the requests that wait at a granting daemon. The caller must hold c.mu.
func (c *Client) wakeWaiters(isLeft func(*clientWaiter) bool) {
	for _, w := range c.waiters {
		if !w.isWaiting || !isLeft(w) {
			continue
		}
		select {
		case w.notice <- answer{state: peermsg.RoomUnknown}:
		default: // its notice has just arrived
		}
	}
}

// leaveSilentGranters wakes the requests that wait at daemons which do not answer, or do not grant
// any more.
func (c *Client) leaveSilentGranters() {
	left := map[*outbox]bool{}
	for box, w := range c.waitedAt() {
		left[box] = c.isLost(w)
	}
	if len(left) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeWaiters(func(w *clientWaiter) bool { return left[w.box] })
}

// waitedAt returns one waiting request for each service and other daemon at which requests wait.
func (c *Client) waitedAt() map[*outbox]*clientWaiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := map[*outbox]*clientWaiter{}
	for _, w := range c.waiters {
		if w.isWaiting && w.granter.PeerAddr != "" {
			found[w.box] = w
		}
	}
	return found
}

// isLost reports whether the daemon at which a request waits does not answer, has been restarted or is
// not one that grants any more.
func (c *Client) isLost(w *clientWaiter) bool {
	for _, granter := range c.granters(w.service) {
		if granter.Name == w.granter.Name {
			return granter.Incarnation != w.granter.Incarnation || c.isSilent(c.clock.Now(), granter.Name)
		}
	}
	return true
}

// isSilent reports whether a granting daemon did not answer last, or answers neither questions for
// room nor others.
func (c *Client) isSilent(now spanrill.Millis, name string) bool {
	isUnresponsive := c.peers.Unresponsive(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.contacts[name]
	if k == nil { // no request has asked it lately
		return isUnresponsive
	}
	return k.isSilent || isUnresponsive && !k.isTrusted(now)
}
