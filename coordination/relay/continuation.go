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

// continuation is a second attempt at a request whose running attempt may have failed. The running
// attempt serves the caller until an engine has accepted the second one. If the second one is
// refused, the running attempt goes on, and another continuation may be sent to another engine.
//
// A continuation runs on its own goroutine, which does not change the generation. The request's
// goroutine takes the result once done is closed.
type continuation struct {
	g        *generation
	path     *chainrouting.Path
	sentAt   spanrill.Millis
	cause    error
	ctx      context.Context
	cancel   context.CancelFunc
	checkNow atomic.Pointer[func()]
	adopted  atomic.Bool   // the continuation is the running attempt now
	done     chan struct{} // closed when the continuation was accepted or has failed

	mu        sync.Mutex
	finished  bool
	abandoned bool
	answer    *httpcall.Answer // set once finished, if it was accepted
	failure   *sendError       // set once finished, if it was not accepted
}

const (
	// maxRefusals is how often engines may refuse a request: one more than the largest number of
	// chains, seven. It is limited because each refusal uses retry budget that all requests share.
	maxRefusals = 8
	// openingCheckInterval is how often a continuation that is not accepted yet checks whether an
	// engine of its path has died.
	openingCheckInterval spanrill.Millis = 100
	// continuationPause is the pause after a failed continuation while the running attempt goes on.
	// It leaves time for a round trip and for other requests to find dead engines, and is shorter
	// than the shortest silence after which engines are probed.
	continuationPause spanrill.Millis = 30
	// maxOpeningTime is how long a continuation may wait to be accepted. An engine that reads the
	// tokens of many streams one after another can take 0.8 s.
	maxOpeningTime = maxResumeWait
)

// errNotOpened means that a continuation got no answer in time. It counts as a failure of the first
// engine, which is then avoided. A dead engine further down the path does not.
var errNotOpened = errors.New("continuation got no answer")

// errContinued ends an attempt that was replaced by an accepted continuation.
var errContinued = errors.New("the request continues on another path")

// mayContinue reports whether the request may be sent again while an attempt runs or after one has
// run.
func (g *generation) mayContinue() bool {
	return g.route.Repeat == spanrill.RepeatResume && g.sends-g.refusals < g.route.MaxAttempts+maxExtraSends && g.refusals < maxRefusals
}

// startContinuation sends the request to another path, to continue after the last event that its
// caller has. It reports whether it did. The running attempt, if there is one, goes on.
func (g *generation) startContinuation(cause error) bool {
	r := g.relay
	if !g.mayContinue() || g.pending != nil || r.Clock.Now() < g.nextContinuationAt || g.checkBeforeSend() != nil {
		return false
	}
	path, err := g.pickPath(g.continuationNeed())
	if err == nil && !g.isCovered(path) {
		path.Release()
		err = errors.Errorf("path %s does not run every layer once", path)
	}
	if err != nil {
		g.logNoOtherPath(err)
		return false
	}
	if !r.Budgets.Of(g.service.Name).TakeOrBorrow(g.ctx, g.retryPriority()) {
		path.Release()
		r.Meters.CountRefusal(spanrill.ReasonRetryBudget)
		g.logNoOtherPath(errNoBudget)
		return false
	}
	r.Meters.CountRetry(retryReasonOf(cause))
	g.launchContinuation(path, cause)
	return true
}

// retryPriority returns the priority that the request has in the retry budget.
func (g *generation) retryPriority() retry.Priority {
	if g.begun {
		return retry.PriorityRunning
	}
	return retry.PriorityWaiting
}

// errNoBudget means that the retry budget, which all daemons share, is spent.
var errNoBudget = errors.New("retry budget is spent")

// continuationNeed returns what a continuation needs of its path. The path must not start at the
// first engine of the running attempt.
func (g *generation) continuationNeed() chainrouting.Need {
	need := g.pathNeed(true)
	avoid := make(map[string]bool, len(g.avoid)+1)
	for id := range g.avoid {
		avoid[id] = true
	}
	if g.path != nil {
		avoid[g.firstEngine.ID()] = true
	}
	need.Avoid = avoid
	return need
}

// launchContinuation registers a continuation on the path and starts the goroutine that sends it.
func (g *generation) launchContinuation(path *chainrouting.Path, cause error) {
	first := path.First()
	ctx, cancel := context.WithCancel(httpcall.WithNewConn(g.ctx)) // an idle connection may be broken as well
	c := &continuation{g: g, path: path, sentAt: g.relay.Clock.Now(), cause: cause, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	g.pending = c
	g.continuations = append(g.continuations, c)
	g.recordSend()
	g.sentTo[first.ID()] = first
	req := g.requestFor(path)
	g.logContinuation(c)
	g.logSent(first, path, g.lastEventID)
	go func() {
		c.finish(g.requireStream(g.sendAttempt(ctx, path, req, c)))
		fasthttp.ReleaseRequest(req)
		close(c.done)
		g.wake()
	}()
}

// wake makes the request's goroutine run onSilence immediately if it is waiting for bytes of the
// running attempt.
func (g *generation) wake() {
	if check := g.checkNow.Load(); check != nil {
		(*check)()
	}
}

// requireStream turns an answer that is no stream of events into a failure.
func (g *generation) requireStream(answer *httpcall.Answer, failure *sendError) (*httpcall.Answer, *sendError) {
	if failure != nil || answer.Status() == fasthttp.StatusOK && g.isEventStream(answer) {
		return answer, failure
	}
	answer.Close()
	return nil, &sendError{outcome: spanrill.OutcomeRan, retryReason: meter.RetryStageLost, cause: errors.Errorf("answered with status %d", answer.Status())}
}

// finish stores the result of the attempt, or discards it if the continuation was abandoned.
func (c *continuation) finish(answer *httpcall.Answer, failure *sendError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished, c.answer, c.failure = true, answer, failure
	if c.abandoned {
		c.discard()
	}
}

// abandon cancels the attempt and releases its answer and its path. The engine notices because the
// connection is closed.
func (c *continuation) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	c.cancel()
	if c.finished {
		c.discard()
	}
}

// discard closes the answer, if any, and releases the path. The caller holds c.mu.
func (c *continuation) discard() {
	if c.answer != nil {
		c.answer.Close()
		c.answer = nil
	}
	c.path.Release()
}

// checkInterval returns the pause before the next run of onSilence while nothing arrives.
func (c *continuation) checkInterval() spanrill.Millis {
	if c.adopted.Load() {
		return c.g.watchGap()
	}
	return openingCheckInterval
}

// onSilence ends the attempt if an engine of its path has died or if it was not accepted in time.
// Once the continuation is adopted, the onSilence of the generation is used.
func (c *continuation) onSilence(silent spanrill.Millis) error {
	if c.adopted.Load() {
		return c.g.onSilence(silent)
	}
	if silent >= firstEventWatchGap && c.g.service.Model != nil {
		c.g.relay.Prober.Check(c.ctx, c.path.Upstreams())
	}
	switch {
	case c.path.HasDeadEngine():
		return errStageDead
	case silent >= maxOpeningTime:
		return errNotOpened
	}
	return nil
}

func (c *continuation) setCheckNow(check func()) { c.checkNow.Store(&check) }

// continuationState is the state of the pending continuation.
type continuationState uint8

const (
	continuationNone continuationState = iota
	continuationOpening
	continuationAccepted
)

// checkContinuation returns the state of the pending continuation. It records the failure of one
// that has failed, which is then no longer pending.
func (g *generation) checkContinuation() continuationState {
	if g.pending == nil {
		return continuationNone
	}
	select {
	case <-g.pending.done:
	default:
		return continuationOpening
	}
	if g.pending.failure == nil {
		return continuationAccepted
	}
	c := g.pending
	g.pending, g.nextContinuationAt = nil, g.relay.Clock.Now()+continuationPause
	g.recordFailure(c.path.First(), c.failure)
	g.logNotAccepted(c)
	c.abandon()
	return continuationNone
}

// awaitContinuation waits for the pending continuation and reports whether it was accepted.
func (g *generation) awaitContinuation() bool {
	if g.pending == nil {
		return false
	}
	select {
	case <-g.pending.done:
	case <-g.ctx.Done():
		g.mayHaveRun = true // the continuation may have run
		return false
	}
	return g.checkContinuation() == continuationAccepted
}

// adoptContinuation makes the accepted continuation the running attempt and releases the one that
// it replaces.
func (g *generation) adoptContinuation() {
	c := g.pending
	g.pending = nil
	g.release()
	g.answer, g.firstEngine, g.sentAt, g.firstEventAt, g.nextProbeSilence, g.nextDeliveryCheckSilence, g.rereadsTokens = c.answer, c.path.First(), c.sentAt, 0, 0, 0, true
	c.answer = nil // now owned by the generation
	g.ranOn[g.firstEngine.ID()] = true
	g.setPath(c.path)
	c.adopted.Store(true)
	g.checkNow.Store(c.checkNow.Load())
}

// abandonContinuation cancels the pending continuation, because the running attempt goes on.
func (g *generation) abandonContinuation() {
	if g.pending == nil {
		return
	}
	g.pending.abandon()
	g.pending = nil
}

// endContinuations cancels all continuations and waits until none uses the caller's request any
// more.
func (g *generation) endContinuations() {
	g.abandonContinuation()
	for _, c := range g.continuations {
		c.cancel()
		<-c.done
	}
}

func (g *generation) logContinuation(c *continuation) {
	g.relay.failureLog.Log(events.ContinuationSent, g.relay.Log, func() logrus.Fields {
		f := g.logFields()
		f["why"], f["path"], f["running"], f["begun"] = c.cause, c.path.String(), g.path != nil, g.begun
		f["silent_ms"], f["budget_left"] = g.relay.Clock.Now()-g.lastEventAt, g.relay.Budgets.Of(g.service.Name).Remaining()
		if g.path != nil {
			f["doubted_path"], f["dead"] = g.path.String(), g.path.DeadIDs()
		}
		return f
	})
}

func (g *generation) logNotAccepted(c *continuation) {
	g.relay.failureLog.Log(events.ContinuationRejected, g.relay.Log, func() logrus.Fields {
		f := g.logFields()
		f["path"], f["error"], f["outcome"], f["running"] = c.path.String(), c.failure, c.failure.outcome.String(), g.path != nil
		return f
	})
}
