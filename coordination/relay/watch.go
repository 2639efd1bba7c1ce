package relay

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/events"
	"spanrill/state/fleet"
)

const (
	// leastGap is the shortest silence of a path after which a request looks at
	// its engines: the lists of engines' passes are this uneven.
	leastGap spanrill.Millis = 65
	// gapFactor is how many usual pauses between events a silence has to last.
	// Prompts that are read between two tokens make single pauses longer by a
	// third.
	gapFactor = 1.4
	// othersMargin is by how much less nothing must have come through an engine
	// for any request of this daemon before one that hears nothing asks it.
	othersMargin spanrill.Millis = 5
	// firstGap is the same before the first event, when a prompt is read.
	firstGap spanrill.Millis = 240
	// stalledGap is how long nothing comes before the first engine's own list
	// of requests that stand still is believed. It lags by 200 ms.
	stalledGap spanrill.Millis = 320
	// moveWait bounds the order that moves a request.
	moveWait spanrill.Millis = 300
	// maxMoves bounds how often one request is moved.
	maxMoves = 6
)

// errFirstLost means that the first engine of a path is dead: the request has
// to go on elsewhere.
var errFirstLost = errors.New("first engine of the path is dead")

// errNotThere means that the first engine no longer knows the request.
var errNotThere = errors.New("engine does not know the request")

// onSilence runs on the request's goroutine while nothing comes from the path.
// An error ends the attempt.
func (g *generation) onSilence(silent spanrill.Millis) error {
	if err := g.ctx.Err(); err != nil {
		return err
	}
	if g.path == nil {
		return nil
	}
	gap := firstGap
	if g.begun {
		gap = g.watchGap()
	} else {
		g.noteWait()
	}
	if silent >= gap && silent >= g.askAt && g.askSuspects(silent) {
		g.askAt = silent * askAgainFactor
	}
	if g.first.Dead() {
		return errFirstLost
	}
	if g.hasDead() && g.moves < maxMoves {
		return g.move()
	}
	return nil
}

// watchGap is how long nothing comes from a path before the request looks at
// its engines. It follows the pauses that are usual on the path: an event holds
// as many tokens as the engines choose.
func (g *generation) watchGap() spanrill.Millis {
	if g.first == nil {
		return leastGap
	}
	return max(leastGap, spanrill.Millis(gapFactor*float64(g.first.EventGap())))
}

// askAgainFactor spreads the questions about one silence: each costs.
const askAgainFactor = 2

// noteWait lets other requests know that a first event takes long on a path.
func (g *generation) noteWait() {
	now := g.relay.Clock.Now()
	waited := float64(now - g.quiet)
	if expected := g.expectedFirst(); waited > expected*slowFirst {
		g.first.NoteLag(now, waited/expected)
	}
}

// slowFirst is how many times longer than expected a first event has to take
// before it tells anything: requests differ, and passes are shared.
const slowFirst = 2.0

// expectedFirst is about how long the first event should take, in
// milliseconds: the reading of the prompt and a pass over the path.
func (g *generation) expectedFirst() float64 {
	return max(leastFirst, float64(g.route.Target)/firstPart)
}

const (
	// leastFirst is the shortest time to the first event that is expected.
	leastFirst = 60.0
	// firstPart of the target is what a first event takes on a good path.
	firstPart = 5.0
)

// askSuspects asks those engines of the path through which nothing has come for
// any request of this daemon for a while, and reports whether there were any.
func (g *generation) askSuspects(silent spanrill.Millis) bool {
	since := g.relay.Clock.Now() - g.watchGap() + othersMargin
	var suspects []*fleet.Upstream
	for _, p := range g.path.Parts() {
		if !p.Upstream.Dead() && p.Upstream.LastOK() < since {
			suspects = append(suspects, p.Upstream)
		}
	}
	if len(suspects) == 0 && silent >= stalledGap {
		suspects = append(suspects, g.first)
	}
	if len(suspects) == 0 {
		return false
	}
	reports := g.relay.Prober.Check(g.ctx, suspects)
	if g.hasDead() {
		g.relay.streams.pokeDead()
	}
	if silent >= stalledGap {
		g.believeStalled(reports[g.first.ID()])
		g.logQuiet(silent, reports)
	}
	return true
}

// quietLog is how long nothing has come before that is worth a line.
const quietLog spanrill.Millis = 500

// logQuiet says once for each silence what the engines of a path report.
func (g *generation) logQuiet(silent spanrill.Millis, reports map[string]spanrill.EngineReport) {
	if silent < quietLog || silent >= quietLog+g.watchGap() {
		return
	}
	g.relay.bad.Log(events.RequestQuiet, g.relay.Log, func() logrus.Fields {
		f := g.fields()
		f["silent_ms"], f["begun"], f["path"], f["tokens"] = silent, g.begun, g.path.String(), g.first.Tokens()
		for id, r := range reports {
			f["report_"+id] = fmt.Sprintf("running %d waiting %d kv %.0f of %.0f pace %.1f stalled %d", r.Running, r.Waiting, r.KVUsed, r.KVTotal, r.Pace, len(r.Stalled))
		}
		return f
	})
}

// believeStalled takes the first engine's word for the engine that the request
// waits for, although that one answers.
func (g *generation) believeStalled(report spanrill.EngineReport) {
	for _, s := range report.Stalled {
		if s.RequestID != g.head.ID {
			continue
		}
		u := g.relay.Fleet.View().ByAddr(s.Addr)
		if u == nil || u == g.first {
			return
		}
		g.avoid[u.ID()] = true
		if u.SetDead(true) {
			events.UpstreamStalled.Log(g.relay.Log, logrus.Fields{"upstream": u.ID(), "addr": s.Addr, "told_by": g.first.ID(), "request": g.head.ID})
		}
		return
	}
}

func (g *generation) hasDead() bool { return g.path.HasDead() }

// move gives the running request another path with the same first engine. When
// no other engine can take the part, the request waits on.
func (g *generation) move() error {
	r := g.relay
	next, err := g.replacement()
	if err != nil {
		return err
	}
	if next == nil {
		return nil
	}
	g.moves++
	ctx, cancel := context.WithTimeout(g.ctx, moveWait.Duration())
	defer cancel()
	if err := r.Engines.Repath(ctx, g.first.Addr(), g.head.ID, next.Wire()); err != nil {
		g.logMove(events.MoveFailed, next, err)
		next.Release()
		if g.moves >= movesBeforeElsewhere {
			return errNotThere
		}
		return nil
	}
	g.logMove(events.RequestMoved, next, nil)
	g.path.Release()
	g.setPath(next)
	return nil
}

// movesBeforeElsewhere is how many moves of one request fail before it goes on
// on another chain.
const movesBeforeElsewhere = 3

// replacement returns a path without the dead engines: near by if there is one,
// across availability zones if the request cannot go on on another chain, or
// nil if there is none. An error ends the attempt, so that the request goes on
// on another chain.
func (g *generation) replacement() (*chainrouting.Path, error) {
	router, service := g.relay.Router, g.service
	next, err := router.Replace(service.Name, service.Model, g.path, g.need(true), true)
	if err == nil {
		return next, nil
	}
	if g.canGoElsewhere() {
		return nil, errors.Wrap(err, "no engine near by can take the part over")
	}
	next, err = router.Replace(service.Name, service.Model, g.path, g.need(true), false)
	if err != nil {
		g.logMove(events.MoveFailed, g.path, err)
		return nil, nil //nolint:nilnil // no path, and the request waits on where it is
	}
	return next, nil
}

// canGoElsewhere reports whether another path has room for the request and the
// retry budget allows it.
func (g *generation) canGoElsewhere() bool {
	if g.route.Repeat != spanrill.RepeatResume || g.sends >= g.route.MaxAttempts+extraSends {
		return false
	}
	if g.relay.Budgets.Of(g.service.Name).Left() < 1 {
		return false
	}
	path, err := g.relay.Router.Pick(g.service.Name, g.service.Model, g.need(true))
	if err != nil {
		return false
	}
	path.Release()
	return true
}

func (g *generation) logMove(e events.Event, path *chainrouting.Path, err error) {
	g.relay.bad.Log(e, g.relay.Log, func() logrus.Fields {
		f := g.fields()
		f["path"], f["moves"] = path.String(), g.moves
		if err != nil {
			f["error"] = err
		}
		return f
	})
}
