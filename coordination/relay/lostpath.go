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
	reason := spanrill.ReasonNoPath
	if errors.Is(err, spanrill.ErrHelpersFull) {
		reason = spanrill.ReasonHelpersFull
	}
	return spanrill.NewRefusal(reason, "%v", err).WithRetryAfter(noPathRetryAfter)
}

// errPathLost means that an attempt was sent over this daemon's own path to the upstream, which was
// lost afterwards.
var errPathLost = errors.New("network path to the first engine was lost")

// sentBeforePathLost reports whether the running attempt was sent before this daemon lost its path to
// the first engine, and since when that is lost.
func (g *generation) sentBeforePathLost() (since spanrill.Millis, lost bool) {
	if g.relay.Paths == nil || g.firstEngine == nil {
		return 0, false
	}
	since, lost = g.relay.Paths.LostSince(g.firstEngine.Addr())
	return since, lost && g.sentAt <= since
}

// patientGaps is after how many watch gaps of silence a connection over a lost path counts as hanging
// although events have come over that path since.
const patientGaps = 4

// hangsOnLostPath reports whether the attempt's connection probably hangs: it was made before the path
// was lost, and nothing comes. Connections may also live on while only new ones fail.
func (g *generation) hangsOnLostPath(silent spanrill.Millis) bool {
	if silent < g.watchGap() {
		return false
	}
	since, lost := g.sentBeforePathLost()
	livesOn := spanrill.Millis(g.relay.heardOverLostPath.Load()) > since
	return lost && (!livesOn || silent >= patientGaps*g.watchGap())
}

// recordOverLostPath records that an event has come over a path on which connections can no longer be
// opened.
func (g *generation) recordOverLostPath(now spanrill.Millis) {
	if _, lost := g.sentBeforePathLost(); lost {
		g.relay.heardOverLostPath.Store(int64(now))
	}
}
