package relay

import (
	"github.com/pkg/errors"

	"spanrill"
)

// noPathRetryAfter is the retry time of callers of a daemon that has no path to the upstreams and that
// no other daemon helps: about how long it takes until the path is checked again. Callers may return
// to another daemon.
const noPathRetryAfter spanrill.Millis = 250

// isNoPath reports whether a call failed because this daemon has no path to the upstream, which says
// nothing about the upstream.
func isNoPath(err error) bool { return errors.Is(err, spanrill.ErrNoPath) }

// noPathRefusal returns the refusal of a request that was not sent for lack of a path.
func noPathRefusal(err error) *spanrill.Refusal {
	return spanrill.NewRefusal(spanrill.ReasonNoPath, "%v", err).WithRetryAfter(noPathRetryAfter)
}

// errPathLost means that an attempt was sent over this daemon's own path to the upstream, which was
// lost afterwards.
var errPathLost = errors.New("network path to the first engine was lost")

// sentBeforePathLost reports whether the running attempt was sent before this daemon lost its path to
// the first engine, so that its connection may hang.
func (g *generation) sentBeforePathLost() bool {
	if g.relay.Paths == nil || g.firstEngine == nil {
		return false
	}
	since, lost := g.relay.Paths.LostSince(g.firstEngine.Addr())
	return lost && g.sentAt <= since
}
