package relay

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/events"
	"spanrill/state/fleet"
)

const (
	// watchGap is how long nothing comes from a path before the request looks
	// at its engines. Two tokens take about 40 ms on the slowest chain.
	watchGap spanrill.Millis = 80
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
		gap = watchGap
	}
	if silent < gap {
		return nil
	}
	g.askSuspects(silent)
	if g.first.Dead() {
		return errFirstLost
	}
	if g.hasDead() && g.moves < maxMoves {
		return g.move()
	}
	return nil
}

// askSuspects asks those engines of the path from which nothing has come since
// this request has heard nothing.
func (g *generation) askSuspects(silent spanrill.Millis) {
	since := g.relay.Clock.Now() - silent
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
		return
	}
	reports := g.relay.Prober.Check(g.ctx, suspects)
	if silent >= stalledGap {
		g.believeStalled(reports[g.first.ID()])
	}
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

func (g *generation) hasDead() bool {
	for _, p := range g.path.Parts() {
		if p.Upstream.Dead() {
			return true
		}
	}
	return false
}

// move gives the running request another path with the same first engine. When
// no other engine can take the part, the request waits on.
func (g *generation) move() error {
	r := g.relay
	next, err := r.Router.Replace(g.service.Name, g.service.Model, g.path, g.need(true))
	if err != nil {
		g.logMove(events.MoveFailed, g.path, err)
		if errors.Is(err, chainrouting.ErrNoPath) || errors.Is(err, chainrouting.ErrNoRoom) {
			return g.elsewhere(err)
		}
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
	g.path = next
	return nil
}

// movesBeforeElsewhere is how many moves of one request fail before it goes on
// on another chain.
const movesBeforeElsewhere = 3

// elsewhere ends the attempt if another chain can take the request: its own
// chain has a hole that nobody fills.
func (g *generation) elsewhere(cause error) error {
	if g.route.Repeat != spanrill.RepeatResume {
		return nil
	}
	path, err := g.relay.Router.Pick(g.service.Name, g.service.Model, g.need(true))
	if err != nil {
		return nil //nolint:nilerr // no other chain: the request waits on where it is
	}
	path.Release()
	return errors.Wrap(cause, "no engine can take the part over")
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
