package peernet

import (
	"time"

	"github.com/sirupsen/logrus"

	"spanrill/events"
)

const (
	// silentMisses is how many questions in a row go without an answer, and
	// without any byte, before a link counts as silent: one can fall to a peer
	// that stands still for a moment. Questions wait for 400 ms and are asked
	// every 250 ms; a silence is found 0.95 to 1.26 s after the last byte
	// (docs/design/silence.md).
	silentMisses = 2
	// defaultIdle is many times the pause between two messages of a peer, which
	// is 17 s on average for a member of a zone of 100 that is only sent gossip.
	defaultIdle = 5 * time.Minute
)

// elapsed is a clock that is never set.
func (n *Net) elapsed() time.Duration { return time.Since(n.begun) }

// hear notes that bytes have come.
func (l *link) hear() {
	l.heard.Store(int64(l.net.elapsed()))
	l.misses.Store(0)
}

// unanswered takes note of a question sent at a time that got no answer. A link
// that has said nothing since, several times in a row, is given up, so that the
// next message makes a new one.
func (n *Net) unanswered(l *link, sent time.Duration) {
	if l.quietSince(sent) && l.misses.Add(1) == silentMisses {
		n.giveUp(l, sent)
	}
}

// quietSince reports whether nothing has come since a time.
func (l *link) quietSince(at time.Duration) bool { return time.Duration(l.heard.Load()) <= at }

// giveUp closes a silent link. If another one misses answers as well, all links
// may have gone silent at once: then those go too that have said nothing since,
// among them those on which nothing is ever asked.
func (n *Net) giveUp(silent *link, sent time.Duration) {
	var quiet []*link
	common := false
	n.mu.Lock()
	for _, l := range n.links {
		if l != silent && l.quietSince(sent) {
			quiet = append(quiet, l)
			common = common || l.misses.Load() > 0
		}
	}
	n.mu.Unlock()
	if !common {
		quiet = nil
	}
	for _, l := range append(quiet, silent) {
		n.forget(l) // at once: the event loop may be slow
		_ = l.conn.Close()
	}
	n.meters.SilentConnections.Inc()
	events.ConnectionSilent.Log(n.log, logrus.Fields{
		"remote": silent.addr, "kind": "peer", "also_closed": len(quiet),
		"silent_ms": (n.elapsed() - time.Duration(silent.heard.Load())).Milliseconds(),
	})
}

// take keeps a link that a peer has made and closes those that have said nothing
// for long: a peer that gives up a silent link cannot say so on it.
func (n *Net) take(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for old := range n.taken {
		if old.quietSince(n.elapsed() - n.idle) {
			delete(n.taken, old)
			_ = old.conn.Close()
		}
	}
	n.taken[l] = true
}
