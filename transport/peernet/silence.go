package peernet

import (
	"time"

	"github.com/sirupsen/logrus"

	"spanrill/events"
)

const (
	// silentTimeouts is how many requests in a row must time out, without any byte
	// received, before a link counts as silent. A single timeout can be due to a
	// peer that pauses for a moment. Requests time out after 400 ms and are sent
	// every 250 ms, so a silent link is detected 0.95 to 1.26 s after the last
	// byte (docs/design/silence.md).
	silentTimeouts = 2
	// defaultIdleLimit is many times the pause between two messages of a peer. That
	// pause averages 17 s in an availability zone of 100 daemons, if the peer sends
	// only gossip.
	defaultIdleLimit = 5 * time.Minute
)

// elapsed returns the time since n was made, on a monotonic clock.
func (n *Net) elapsed() time.Duration { return time.Since(n.startTime) }

// markReceived records that bytes have just arrived.
func (l *link) markReceived() {
	l.lastReceived.Store(int64(l.net.elapsed()))
	l.timeouts.Store(0)
}

// recordTimeout records that a request has timed out; sent is when it was sent. After silentTimeouts
// such requests in a row, without a byte received, it closes the link, so that the next message
// dials a new one.
func (n *Net) recordTimeout(l *link, sent time.Duration) {
	if l.quietSince(sent) && l.timeouts.Add(1) == silentTimeouts {
		n.closeSilent(l, sent)
	}
}

// quietSince reports whether no bytes have arrived after start, a time as returned by elapsed.
func (l *link) quietSince(start time.Duration) bool {
	return time.Duration(l.lastReceived.Load()) <= start
}

// closeSilent closes a silent link. If requests time out on another quiet link as well, all links
// may have gone silent at once. It then closes every dialed link on which no bytes have arrived
// since sent, including links that carry no requests and so would never time out.
func (n *Net) closeSilent(silent *link, sent time.Duration) {
	var quiet []*link
	othersTimedOut := false
	n.mu.Lock()
	for _, l := range n.links {
		if l != silent && l.quietSince(sent) {
			quiet = append(quiet, l)
			othersTimedOut = othersTimedOut || l.timeouts.Load() > 0
		}
	}
	n.mu.Unlock()
	if !othersTimedOut {
		quiet = nil
	}
	for _, l := range append(quiet, silent) {
		n.removeLink(l) // not left to OnClose: the event loop may be slow
		_ = l.conn.Close()
	}
	n.meters.SilentConnections.Inc()
	events.ConnectionSilent.Log(n.log, logrus.Fields{
		"remote": silent.addr, "kind": "peer", "also_closed": len(quiet),
		"silent_ms": (n.elapsed() - time.Duration(silent.lastReceived.Load())).Milliseconds(),
	})
}

// addAccepted adds a link that a peer dialed, and closes accepted links that have been quiet for
// longer than idleLimit: when a peer closes a silent link, the close may never reach this side.
func (n *Net) addAccepted(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for old := range n.accepted {
		if old.quietSince(n.elapsed() - n.idleLimit) {
			delete(n.accepted, old)
			_ = old.conn.Close()
		}
	}
	n.accepted[l] = true
}
