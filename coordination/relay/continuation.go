package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/coordination/retry"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/transport/httpcall"
)

// continuation is a second attempt at a request whose running one is in doubt. The
// running attempt stays the caller's until an engine has accepted the second one.
// A refusal leaves everything as it was, and the request may ask elsewhere.
//
// It runs on a goroutine of its own, which changes nothing of the generation: what
// came of it is taken by the request's goroutine once done is closed.
type continuation struct {
	g      *generation
	path   *chainrouting.Path
	sentAt spanrill.Millis
	why    error
	ctx    context.Context
	cancel context.CancelFunc
	poke   atomic.Pointer[func()]
	taken  atomic.Bool   // it is the running attempt now
	done   chan struct{} // closed when it was accepted or has failed

	mu      sync.Mutex
	ended   bool
	dropped bool
	answer  *httpcall.Answer // once ended, if it was accepted
	failure *sendError       // once ended, if it was not
}

const (
	// maxRefusals bounds how often one request is refused by engines: each refusal
	// takes from the retry budget of all. There are up to seven chains today.
	maxRefusals = 8
	// openingPoll is how often a continuation looks whether an engine of its own
	// path has died before it is accepted.
	openingPoll spanrill.Millis = 100
	// continueGap is the pause after a continuation that failed while the running
	// attempt stays: a round trip, a look at the news of others, and less than the
	// shortest silence that is looked at.
	continueGap spanrill.Millis = 30
	// openingLimit bounds how long a continuation may take until it is accepted: as
	// long as a stream whose attempt has ended looks for a path. Reading the tokens of
	// many streams in turn has taken up to 0.8 s in plays.
	openingLimit = takeUpWait
)

// errNotOpened means that a continuation got no answer in its time. Unlike a dead later
// engine it speaks against the first one, which is avoided.
var errNotOpened = errors.New("the continuation got no answer")

// errContinued ends the reading of an attempt in whose place a continuation was
// accepted.
var errContinued = errors.New("the request goes on on another path")

// mayContinue reports whether the request may be sent once more while an attempt at
// it runs or after one has run.
func (g *generation) mayContinue() bool {
	return g.route.Repeat == spanrill.RepeatResume && g.sends-g.refusals < g.route.MaxAttempts+extraSends && g.refusals < maxRefusals
}

// startNext sends the request once more on another path, behind the last event that
// its caller has, and reports whether it did. The running attempt, if there still is
// one, is not touched.
func (g *generation) startNext(why error) bool {
	r := g.relay
	if !g.mayContinue() || g.next != nil || r.Clock.Now() < g.nextAt || g.maySend() != nil {
		return false
	}
	path, err := r.Router.Pick(g.service.Name, g.service.Model, g.needBeside())
	if err == nil && !path.Whole(g.service.Model.Layers) {
		path.Release()
		err = errors.Errorf("path %s does not run every layer once", path)
	}
	if err != nil {
		g.logWaits(err)
		return false
	}
	if !r.Budgets.Of(g.service.Name).TakeSoon(g.ctx, g.use()) {
		path.Release()
		r.Meters.Refused(spanrill.ReasonRetryBudget)
		g.logWaits(errNoBudget)
		return false
	}
	r.Meters.Retried(retryReason(why))
	g.launch(path, why)
	return true
}

// use is what a retry of the request saves.
func (g *generation) use() retry.Use {
	if g.begun {
		return retry.Running
	}
	return retry.Waiting
}

// errNoBudget means that the retry budget of all daemons is spent for now.
var errNoBudget = errors.New("the retry budget is spent")

// needBeside is what the request needs of a second path: it begins at another engine
// than the one that runs it.
func (g *generation) needBeside() chainrouting.Need {
	need := g.need(true)
	avoid := make(map[string]bool, len(g.avoid)+1)
	for id := range g.avoid {
		avoid[id] = true
	}
	if g.path != nil {
		avoid[g.first.ID()] = true
	}
	need.Avoid = avoid
	return need
}

func (g *generation) launch(path *chainrouting.Path, why error) {
	first := path.First()
	ctx, cancel := context.WithCancel(httpcall.Anew(g.ctx)) // an old connection may be silent too
	c := &continuation{g: g, path: path, sentAt: g.relay.Clock.Now(), why: why, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	g.next = c
	g.continuations = append(g.continuations, c)
	g.noteSend()
	g.sentTo[first.ID()] = first
	req := g.requestFor(path)
	g.logContinues(c)
	g.logSent(first, path, g.behind)
	go func() {
		c.end(accepted(g.try(ctx, path, req, c)))
		fasthttp.ReleaseRequest(req)
		close(c.done)
		g.wake()
	}()
}

// wake has the request's goroutine look now, if it waits for the running attempt.
func (g *generation) wake() {
	if poke := g.poke.Load(); poke != nil {
		(*poke)()
	}
}

// accepted takes an answer that is a failure of the engine's own for no acceptance.
func accepted(answer *httpcall.Answer, failure *sendError) (*httpcall.Answer, *sendError) {
	if failure != nil || answer.Status() == fasthttp.StatusOK {
		return answer, failure
	}
	answer.Close()
	return nil, &sendError{outcome: spanrill.OutcomeRan, retry: meter.RetryStageLost, cause: errors.Errorf("answered with status %d", answer.Status())}
}

// end notes what came of the attempt.
func (c *continuation) end(answer *httpcall.Answer, failure *sendError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended, c.answer, c.failure = true, answer, failure
	if c.dropped {
		c.discard()
	}
}

// drop gives the attempt up. What it has reserved is given back, and its engine is
// told by the end of the connection.
func (c *continuation) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped = true
	c.cancel()
	if c.ended {
		c.discard()
	}
}

func (c *continuation) discard() {
	if c.answer != nil {
		c.answer.Close()
		c.answer = nil
	}
	c.path.Release()
}

// every is how long nothing arrives before onSilence runs.
func (c *continuation) every() spanrill.Millis {
	if c.taken.Load() {
		return c.g.watchGap()
	}
	return openingPoll
}

// onSilence gives the attempt up if an engine of its path dies before it was accepted,
// or if that takes too long. Afterwards the request's own rules hold.
func (c *continuation) onSilence(silent spanrill.Millis) error {
	if c.taken.Load() {
		return c.g.onSilence(silent)
	}
	if silent >= firstGap {
		c.g.relay.Prober.Check(c.ctx, c.path.Upstreams())
	}
	switch {
	case c.path.HasDead():
		return errStageLost
	case silent >= openingLimit:
		return errNotOpened
	}
	return nil
}

func (c *continuation) setPoke(poke func()) { c.poke.Store(&poke) }

// nextState is what has come of a continuation.
type nextState uint8

const (
	nextNone nextState = iota
	nextOpening
	nextAccepted
)

// checkNext looks at the continuation under way, and notes its failure.
func (g *generation) checkNext() nextState {
	if g.next == nil {
		return nextNone
	}
	select {
	case <-g.next.done:
	default:
		return nextOpening
	}
	if g.next.failure == nil {
		return nextAccepted
	}
	c := g.next
	g.next, g.nextAt = nil, g.relay.Clock.Now()+continueGap
	g.noteFailure(c.path.First(), c.failure)
	g.logNotAccepted(c)
	c.drop()
	return nextNone
}

// awaitNext waits for the continuation under way and reports whether it was accepted.
func (g *generation) awaitNext() bool {
	if g.next == nil {
		return false
	}
	select {
	case <-g.next.done:
	case <-g.ctx.Done():
		g.unknown = true // it may have run
		return false
	}
	return g.checkNext() == nextAccepted
}

// adoptNext makes the continuation that was accepted the running attempt, and gives
// the one before up.
func (g *generation) adoptNext() {
	c := g.next
	g.next = nil
	g.release()
	g.answer, g.first, g.quiet, g.firstEvent, g.askAt, g.unheardAt, g.reads = c.answer, c.path.First(), c.sentAt, 0, 0, 0, true
	c.answer = nil // it is the generation's
	g.ranOn[g.first.ID()] = true
	g.setPath(c.path)
	c.taken.Store(true)
	g.poke.Store(c.poke.Load())
}

// dropNext gives the continuation under way up: the running attempt goes on.
func (g *generation) dropNext() {
	if g.next == nil {
		return
	}
	g.next.drop()
	g.next = nil
}

// endContinuations waits until no attempt uses the caller's request any more.
func (g *generation) endContinuations() {
	g.dropNext()
	for _, c := range g.continuations {
		c.cancel()
		<-c.done
	}
}

func (g *generation) logContinues(c *continuation) {
	g.relay.bad.Log(events.StreamContinues, g.relay.Log, func() logrus.Fields {
		f := g.fields()
		f["why"], f["path"], f["running"], f["begun"] = c.why, c.path.String(), g.path != nil, g.begun
		f["silent_ms"], f["budget_left"] = g.relay.Clock.Now()-g.lastHeard, g.relay.Budgets.Of(g.service.Name).Left()
		if g.path != nil {
			f["doubted_path"], f["dead"] = g.path.String(), g.path.Dead()
		}
		return f
	})
}

func (g *generation) logNotAccepted(c *continuation) {
	g.relay.bad.Log(events.StreamNotAccepted, g.relay.Log, func() logrus.Fields {
		f := g.fields()
		f["path"], f["error"], f["outcome"], f["running"] = c.path.String(), c.failure, c.failure.outcome.String(), g.path != nil
		return f
	})
}
