package relay

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/events"
	"spanrill/state/fleet"
)

const (
	// minWatchGap is the shortest silence of a path after which a request probes its engines.
	// Events jitter by this much, because the batches of engines differ.
	minWatchGap spanrill.Millis = 65
	// watchGapFactor is the ratio of the silence to the usual time between events. A prompt that is
	// read between two tokens makes a single pause longer by a third.
	watchGapFactor = 1.4
	// engineIdleMargin is subtracted from the silence of the path to get the time without output,
	// on any request of this daemon, after which an engine is probed.
	engineIdleMargin spanrill.Millis = 5
	// firstEventWatchGap is the silence before the first event, while the prompt is read, after
	// which a request probes its engines.
	firstEventWatchGap spanrill.Millis = 240
	// stalledReportSilence is the silence from which on the first engine's list of stalled requests
	// is used. The list lags by 200 ms.
	stalledReportSilence spanrill.Millis = 320
	// moveTimeout is the timeout of an order to move a request.
	moveTimeout spanrill.Millis = 300
	// maxMoves is how often one request may be moved.
	maxMoves = 6
)

// Reasons to start a continuation beside a running attempt, or to end one.
var (
	// errFirstEngineDead means that the first engine of the path did not answer.
	errFirstEngineDead = errors.New("first engine of the path is dead")
	// errStageDead means that a later engine did not answer, and no engine of its availability zone
	// can replace it. It also ends a continuation that is not accepted yet if any engine of its
	// path is dead.
	errStageDead = errors.New("engine of the path is dead")
	// errMovesFailed means that too many orders to move the request have failed.
	errMovesFailed = errors.New("orders to move the request failed")
	// errNoEvents means that no event has arrived for long although all engines of the path answer.
	// The connection may be broken.
	errNoEvents = errors.New("no events although the engines answer")
)

// checkInterval returns the pause before the next run of onSilence while nothing arrives.
func (g *generation) checkInterval() spanrill.Millis { return g.watchGap() }

// onSilence runs on the request's goroutine while nothing arrives from the path. Its error ends the
// attempt. It returns one only if the request has ended or a continuation was accepted, because
// silence alone does not prove that the attempt has failed.
func (g *generation) onSilence(silent spanrill.Millis) error {
	if err := g.ctx.Err(); err != nil {
		return err
	}
	if g.path == nil {
		return nil
	}
	switch g.checkContinuation() {
	case continuationAccepted:
		return errContinued
	case continuationOpening:
		return nil
	}
	if g.hangsOnLostPath(silent) && g.startContinuation(errPathLost) {
		return nil
	}
	if g.service.Model == nil {
		g.checkSilentService(silent)
		return nil
	}
	noneDead := g.probeWhenSilent(silent)
	switch {
	case noneDead && g.begun && silent < g.undeliveredAfter() && g.path.LosesLayers():
		g.vacate()
	case g.firstEngine.Dead():
		g.recordBrokenAttempt(g.firstEngine, g.streamingTime())
		g.startContinuation(errFirstEngineDead)
	case g.hasDeadEngine():
		g.replaceDead()
	case silent >= max(g.undeliveredAfter(), g.nextDeliveryCheckSilence) && !g.continuedOnSilence:
		g.nextDeliveryCheckSilence = silent + undeliveredSilence // each check is a call to the engine
		g.continuedOnSilence = g.runsUndelivered() && g.startContinuation(errNoEvents)
	}
	return nil
}

// checkSilentService continues the stream of a plain service at another upstream if nothing listens at
// the address of its own any more. Silence alone does not show that the upstream has failed: plain
// services have no report calls, and their health checks wait for a slot as requests do.
func (g *generation) checkSilentService(silent spanrill.Millis) {
	if silent < max(g.undeliveredAfter(), g.nextProbeSilence) {
		return
	}
	g.nextProbeSilence = silent * probeBackoffFactor
	g.relay.Prober.CheckListening(g.ctx, g.firstEngine)
	if g.firstEngine.Ended() {
		g.recordBrokenAttempt(g.firstEngine, g.streamingTime())
		g.startContinuation(errFirstEngineDead)
	}
}

// undeliveredSilence is the silence after which a stream is also sent to another chain although all
// its engines answer, because its connection may be broken. Callers give up a stream after 2 s
// without an event, and the new attempt first has to read all tokens so far.
const undeliveredSilence spanrill.Millis = 700

// undeliveredAfter returns undeliveredSilence, or twice that before the first event and while
// engines that are new on the path read the prompt and all tokens so far, for many requests one
// after another.
func (g *generation) undeliveredAfter() spanrill.Millis {
	if g.rereadsTokens || !g.begun {
		return 2 * undeliveredSilence
	}
	return undeliveredSilence
}

// runsUndelivered reports whether the request probably runs while its events do not arrive: its
// first engine answers, has no waiting requests, and does not list the request as stalled. Requests
// that an engine has preempted for lack of memory, or that wait for a dead engine, are silent too.
func (g *generation) runsUndelivered() bool {
	report, ok := g.relay.Prober.Check(g.ctx, []*fleet.Upstream{g.firstEngine})[g.firstEngine.ID()]
	if !ok || report.Waiting > 0 {
		return false
	}
	return !slices.ContainsFunc(report.StalledRequests, func(s spanrill.StalledRequest) bool { return s.RequestID == g.head.ID })
}

// probeWhenSilent probes the engines of the path if the silence is long enough, and reports whether
// none of them is known to be dead.
func (g *generation) probeWhenSilent(silent spanrill.Millis) bool {
	gap := firstEventWatchGap
	if g.begun {
		gap = g.watchGap()
	} else {
		g.recordFirstEventLag()
	}
	if silent >= gap && silent >= g.nextProbeSilence && g.probeSilentEngines(silent) {
		g.nextProbeSilence = silent * probeBackoffFactor
	}
	return !g.hasDeadEngine()
}

// replaceDead continues the request without the dead engines of its path: on other engines of their
// availability zones, on another chain, or on engines of other zones, in this order. If none of
// these is possible, the request waits where it is.
func (g *generation) replaceDead() {
	if g.move(true) {
		return
	}
	cause := errStageDead
	if g.failedMoves >= maxFailedMoves {
		cause = errMovesFailed
	}
	if paused := g.relay.Clock.Now() < g.nextContinuationAt; !paused && !g.startContinuation(cause) {
		g.move(false)
	}
}

// watchGap returns the silence of the path after which the request probes its engines. It depends
// on the usual time between events of the first engine, because engines choose how many tokens an
// event holds.
func (g *generation) watchGap() spanrill.Millis {
	if g.firstEngine == nil {
		return minWatchGap
	}
	return max(minWatchGap, spanrill.Millis(watchGapFactor*float64(g.firstEngine.EventGap())))
}

// probeBackoffFactor is the ratio of the silence at the next probe to that at the last one. It
// limits the cost of probing.
const probeBackoffFactor = 2

// recordFirstEventLag records for the first engine that the first event is late, so that other
// requests are routed accordingly.
func (g *generation) recordFirstEventLag() {
	now := g.relay.Clock.Now()
	waited := float64(now - g.sentAt)
	if expected := g.expectedFirstEvent(); waited > expected*slowFirstEventFactor {
		g.firstEngine.RecordLag(now, waited/expected)
	}
}

// slowFirstEventFactor is how many times longer than expected a first event must take to count as
// late. Requests differ, and engines batch them.
const slowFirstEventFactor = 2.0

// expectedFirstEvent returns the expected time from sending to the first event in milliseconds, in
// which the prompt is read and one token passes through the path.
func (g *generation) expectedFirstEvent() float64 {
	return max(minExpectedFirstEvent, float64(g.route.LatencyTarget)/firstEventTargetDivisor)
}

const (
	// minExpectedFirstEvent is the shortest expected time to the first event, in milliseconds.
	minExpectedFirstEvent = 60.0
	// firstEventTargetDivisor is the ratio of the route's target to the time of a first event on a
	// good path.
	firstEventTargetDivisor = 5.0
)

// probeSilentEngines probes the engines of the path that have lately produced nothing for any
// request of this daemon. If there are none and the silence is long, it probes the first engine. It
// reports whether it probed any.
func (g *generation) probeSilentEngines(silent spanrill.Millis) bool {
	since := g.relay.Clock.Now() - g.watchGap() + engineIdleMargin
	var silentEngines []*fleet.Upstream
	for _, p := range g.path.Parts() {
		if !p.Upstream.Dead() && p.Upstream.LastResponse() < since {
			silentEngines = append(silentEngines, p.Upstream)
		}
	}
	if len(silentEngines) == 0 && silent >= stalledReportSilence {
		silentEngines = append(silentEngines, g.firstEngine)
	}
	if len(silentEngines) == 0 {
		return false
	}
	reports := g.relay.Prober.Check(g.ctx, silentEngines)
	if g.hasDeadEngine() {
		g.relay.generations.checkDeadPaths()
	}
	if silent >= stalledReportSilence {
		g.markStalledEngine(reports[g.firstEngine.ID()])
		g.logSilence(silent, reports)
	}
	return true
}

// logSilenceAfter is the silence after which it is logged.
const logSilenceAfter spanrill.Millis = 500

// logSilence logs what the engines of the path report, once in each silence.
func (g *generation) logSilence(silent spanrill.Millis, reports map[string]spanrill.EngineReport) {
	if silent < logSilenceAfter || silent >= logSilenceAfter+g.watchGap() {
		return
	}
	g.relay.failureLog.Log(events.PathSilent, g.relay.Log, func() logrus.Fields {
		f := g.logFields()
		f["silent_ms"], f["begun"], f["path"], f["tokens"] = silent, g.begun, g.path.String(), g.firstEngine.Tokens()
		for id, r := range reports {
			f["report_"+id] = fmt.Sprintf("running %d waiting %d kv %.0f of %.0f pace %.1f stalled %d", r.Running, r.Waiting, r.KVUsed, r.KVTotal, r.Pace, len(r.StalledRequests))
		}
		return f
	})
}

// markStalledEngine marks as dead the engine that the request waits for according to the report of
// the first engine, even if it answers probes.
func (g *generation) markStalledEngine(report spanrill.EngineReport) {
	for _, s := range report.StalledRequests {
		if s.RequestID != g.head.ID {
			continue
		}
		u := g.relay.Fleet.View().ByAddr(s.Addr)
		if u == nil || u == g.firstEngine {
			return
		}
		g.avoid[u.ID()] = true
		if u.SetDead(true) {
			events.UpstreamStalled.Log(g.relay.Log, logrus.Fields{"upstream": u.ID(), "addr": s.Addr, "told_by": g.firstEngine.ID(), "request": g.head.ID})
		}
		return
	}
}

func (g *generation) hasDeadEngine() bool { return g.path.HasDeadEngine() }

// move orders the first engine to continue the running request on another path, which starts at the
// same engine and on which dead engines are replaced. It reports whether that succeeded. The
// replacements are in the availability zones of the dead engines if sameZone is set, or else in any
// zone.
func (g *generation) move(sameZone bool) bool {
	r := g.relay
	if g.moves >= maxMoves || sameZone && g.failedMoves >= maxFailedMoves {
		return false
	}
	next, err := r.Router.Replace(g.service.Name, g.service.Model, g.path, g.pathNeed(true), sameZone)
	if err != nil {
		if !sameZone {
			g.logMove(events.RequestMoveFailed, g.path, err)
		}
		return false
	}
	g.moves++
	ctx, cancel := context.WithTimeout(g.ctx, moveTimeout.Duration())
	defer cancel()
	if err := r.Engines.Reroute(ctx, g.firstEngine.Addr(), g.head.ID, next.Stages()); err != nil {
		g.failedMoves++
		g.logMove(events.RequestMoveFailed, next, err)
		next.Release()
		return false
	}
	g.logMove(events.RequestMoved, next, nil)
	g.path.Release()
	g.setPath(next)
	g.rereadsTokens = true
	return true
}

// maxFailedMoves is the number of failed orders to move a request after which it is continued on
// another chain instead.
const maxFailedMoves = 3

// hasOtherPath reports whether another path has room for the request and the retry budget allows
// it.
func (g *generation) hasOtherPath() bool {
	if !g.mayContinue() || !g.relay.Budgets.Of(g.service.Name).Available(g.ctx, g.retryPriority()) {
		return false
	}
	path, err := g.pickPath(g.pathNeed(true))
	if err != nil {
		return false
	}
	path.Release()
	return true
}

func (g *generation) logMove(e events.Event, path *chainrouting.Path, err error) {
	g.relay.failureLog.Log(e, g.relay.Log, func() logrus.Fields {
		f := g.logFields()
		f["path"], f["moves"] = path.String(), g.moves
		if err != nil {
			f["error"] = err
		}
		return f
	})
}
