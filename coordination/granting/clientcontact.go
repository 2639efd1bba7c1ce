package granting

import (
	"spanrill"
	"spanrill/protocol/peermsg"
)

const (
	// silentPassOver is how long a granting daemon is passed over that did not answer.
	silentPassOver = spanrill.Second
	// notGrantingPassOver is how long one is passed over that does not grant, or cannot yet.
	notGrantingPassOver spanrill.Millis = 100
	// answerTrust is how long an answer outweighs that the daemon does not answer other questions.
	answerTrust = spanrill.Second
	// contactRetention is how long the state of a granting daemon is kept that is not asked any more.
	contactRetention = 10 * spanrill.Second
)

// contactResult is how a granting daemon answered.
type contactResult uint8

const (
	contactAnswered contactResult = iota
	contactSilent
	contactNotGranting
	contactUnknown // the request ended before the answer
)

// contacts knows which granting daemons answer, by name. It is pure, and not safe for concurrent use.
type contacts map[string]*contact

type contact struct {
	passUntil  spanrill.Millis
	isSilent   bool // it did not answer when it was asked last
	isProbed   bool // one request asks it although it may not answer
	answeredAt spanrill.Millis
	hasAnswer  bool
	askedAt    spanrill.Millis
}

// isTrusted reports whether the daemon has answered lately.
func (k *contact) isTrusted(now spanrill.Millis) bool {
	return k.hasAnswer && now-k.answeredAt <= answerTrust
}

// begin reports whether a request may ask a granting daemon now. Only one request at a time asks a
// daemon that may not answer, so that the others don't wait for it.
func (c contacts) begin(now spanrill.Millis, name string, unresponsive bool) bool {
	k := c[name]
	if k == nil {
		k = &contact{}
		c[name] = k
	}
	if now < k.passUntil {
		return false
	}
	if k.isSilent || unresponsive && !k.isTrusted(now) {
		if k.isProbed {
			return false
		}
		k.isProbed = true
	}
	k.askedAt = now
	return true
}

// end records how a granting daemon answered.
func (c contacts) end(now spanrill.Millis, name string, result contactResult) {
	k := c[name]
	if k == nil {
		return
	}
	k.isProbed = false
	switch result {
	case contactAnswered:
		k.isSilent, k.hasAnswer, k.answeredAt, k.passUntil = false, true, now, 0
	case contactSilent:
		k.isSilent, k.passUntil = true, now+silentPassOver
	case contactNotGranting:
		k.isSilent, k.hasAnswer, k.answeredAt, k.passUntil = false, true, now, now+notGrantingPassOver
	}
}

// prune removes daemons that are not asked any more.
func (c contacts) prune(now spanrill.Millis) {
	for name, k := range c {
		if !k.isProbed && now-k.askedAt > contactRetention {
			delete(c, name)
		}
	}
}

// beginContact reports whether a granting daemon may be asked. One that is alone in granting is asked
// also if it does not answer other questions. This daemon itself is not asked if it has probably
// been cut off: the other daemons have another granting daemon then.
func (c *Client) beginContact(granter peermsg.Member, isAlone bool) bool {
	now := c.clock.Now()
	if granter.PeerAddr == "" {
		return !c.isMinority(now)
	}
	unresponsive := !isAlone && c.peers.Unresponsive(granter.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contacts.begin(now, granter.Name, unresponsive)
}

// isMinority reports whether this daemon has probably been cut off from most others.
func (c *Client) isMinority(now spanrill.Millis) bool {
	c.observeFleet(now, 0) // this daemon may just have become the granting one because the others are gone
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet.isMinority(now)
}

// endContact records how a granting daemon answered. Requests that wait at a silent one leave it.
func (c *Client) endContact(granter peermsg.Member, result contactResult) {
	if result == contactSilent {
		c.counts.unanswered.Add(1)
	}
	if granter.PeerAddr == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contacts.end(c.clock.Now(), granter.Name, result)
	if result == contactSilent {
		c.wakeWaiters(func(w *clientWaiter) bool { return w.granter.Name == granter.Name })
	}
}
