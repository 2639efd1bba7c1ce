package relay

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/events"
	"spanrill/meter"
)

// eventBody is the body of a stream's answer. It reads events from the engine, and after the stream
// was resumed from other engines. Only whole events are forwarded, so that a caller never receives
// parts of two events joined. If a stream cannot be completed, Read returns an error and the
// caller's connection is closed without the end mark of the body.
type eventBody struct {
	g               *generation
	framer          *framer
	ready           []byte // events for the caller
	outBuf          []byte // buffer that ready is a part of
	readBuf         []byte
	lastEventAt     spanrill.Millis // when the last event arrived
	events          int
	firstEventDelay spanrill.Millis // from the request to the first event
	longestPause    spanrill.Millis // longest time between two events
	complete        bool            // all events have arrived
	resumes         int             // how often the stream was resumed on another path
	failure         error
	hold            memoryHold // of the events that the caller has not got yet
}

// readSize is the size of the read buffer in bytes, enough for several events.
const readSize = 4096

func newEventBody(g *generation) *eventBody {
	return &eventBody{g: g, framer: newFramer(g.head.LastEventID), readBuf: make([]byte, readSize), lastEventAt: g.relay.Clock.Now(), hold: memoryHold{memory: g.relay.answerMemory}}
}

// Read returns events as they arrive.
func (b *eventBody) Read(p []byte) (int, error) {
	for len(b.ready) == 0 {
		if b.complete {
			return 0, io.EOF
		}
		if err := b.fill(); err != nil {
			b.failure = err
			return 0, err
		}
	}
	n := copy(p, b.ready)
	b.ready = b.ready[n:]
	return n, nil
}

// fill reads once from the engine. If the attempt has ended before the end of the stream, it
// resumes the stream.
func (b *eventBody) fill() error {
	n, err := b.g.answer.Body().Read(b.readBuf)
	if n > 0 {
		var count int
		b.outBuf, count = b.framer.feed(reuse(b.outBuf), b.readBuf[:n])
		b.ready = b.outBuf
		b.recordEvents(count)
	}
	if err == nil {
		err = b.framer.checkProgress()
	}
	if err == nil {
		err = b.holdMemory()
	}
	if err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) && !b.framer.hasPartial() {
		if err = b.g.checkEnd(b.g.answer, b.g.firstEngine); err == nil {
			b.complete = true
			return nil
		}
	}
	if b.g.checkContinuation() == continuationAccepted {
		b.switchToContinuation()
		return nil
	}
	return b.resume(err)
}

// holdMemory holds memory for the events that the caller has not got yet.
func (b *eventBody) holdMemory() error {
	size := len(b.framer.buf) + len(b.ready)
	if size <= freeAnswerBytes {
		b.hold.release()
		return nil
	}
	return b.hold.grow(b.g.ctx, size)
}

// recordEvents counts new events and records their timing for the engines of the path.
func (b *eventBody) recordEvents(count int) {
	if count == 0 {
		return
	}
	g, now := b.g, b.g.relay.Clock.Now()
	seconds := float64(now-b.lastEventAt) / float64(spanrill.Second)
	if g.begun {
		g.relay.Meters.TimeBetweenTokens.Update(seconds)
		b.longestPause = max(b.longestPause, now-b.lastEventAt)
		g.firstEngine.RecordEventGap((now - b.lastEventAt) / spanrill.Millis(count))
	} else {
		b.firstEventDelay = now - g.start
		g.relay.Meters.TimeToFirstToken.Update(float64(now-g.start) / float64(spanrill.Second))
		g.firstEngine.RecordLag(now, float64(now-g.sentAt)/g.expectedFirstEvent()/slowFirstEventFactor)
		g.begun = true
		for _, p := range g.path.Parts() {
			p.Upstream.RecordAccepted(g.sentAt)
		}
	}
	if g.firstEventAt == 0 {
		g.firstEventAt = now
	}
	g.recordGoesOn(now)
	g.recordOverLostPath(now)
	g.abandonContinuation() // an event has shown that the running attempt works
	g.lastEventID = b.framer.lastID
	b.lastEventAt, g.lastEventAt, g.nextProbeSilence, g.nextDeliveryCheckSilence = now, now, 0, 0
	g.continuedOnSilence, g.noOtherPathLogged, g.rereadsTokens, g.failedMoves = false, false, false, 0
	b.events += count
	for _, p := range g.path.Parts() {
		p.Upstream.RecordProgress(now)
	}
	if g.service.Model != nil {
		b.recordTokens(count)
	}
}

// recordTokens counts the tokens of new events.
func (b *eventBody) recordTokens(events int) {
	g := b.g
	g.relay.Meters.Tokens.Add(events)
	if b.events%growInterval == 0 {
		g.path.Grow(int64(g.head.PromptTokens + b.events*g.relay.eventTokens.tokensPerEvent(g.service)))
	}
}

// growInterval is the number of events after which the reservation of memory is raised.
const growInterval = 8

// errCutOff means that a stream cannot be completed.
var errCutOff = errors.New("stream cannot be completed")

// resume continues the stream on another path after the last event, once its attempt has ended. It
// retries for as long as callers wait for an event, because an engine that refuses or has no room
// may accept the request a moment later.
func (b *eventBody) resume(cause error) error {
	g := b.g
	b.framer.dropPartial()
	g.recordLostAttempt()
	for deadline := g.relay.Clock.Now() + maxResumeWait; ; {
		if g.awaitContinuation() {
			b.switchToContinuation()
			return nil
		}
		if g.ctx.Err() != nil {
			return errors.Wrap(errCutOff, g.endedRefusal(true).Detail())
		}
		if !g.mayContinue() || g.relay.Clock.Now() >= deadline {
			return errors.Wrapf(errCutOff, "%v", cause)
		}
		if refusal := g.checkBeforeSend(); refusal != nil && (refusal.Reason() == spanrill.ReasonBadKey || isSuspectRefusal(refusal)) {
			return errors.Wrapf(errCutOff, "%v", refusal)
		}
		if !g.startContinuation(cause) {
			g.sleep(resumePollInterval)
		}
	}
}

// recordLostAttempt records that the running attempt ended before its answer was complete, and
// releases it.
func (g *generation) recordLostAttempt() {
	g.mayHaveRun = true
	if g.ctx.Err() == nil {
		g.avoid[g.firstEngine.ID()] = true
		g.firstEngine.RecordFailure(g.relay.Clock.Now())
		g.recordBrokenAttempt(g.firstEngine, g.streamingTime())
	}
	g.release()
}

// switchToContinuation makes the accepted continuation the stream's attempt.
func (b *eventBody) switchToContinuation() {
	g := b.g
	cause := g.pending.cause
	g.adoptContinuation()
	b.framer.dropPartial()
	b.resumes++
	g.relay.Meters.StreamsResumed.Inc()
	g.relay.failureLog.Log(events.ContinuationAdopted, g.relay.Log, func() logrus.Fields {
		f := g.logFields()
		f["path"], f["behind_event"], f["silent_ms"], f["why"] = g.path.String(), b.framer.lastID, g.relay.Clock.Now()-b.lastEventAt, cause
		return f
	})
}

// retryReasonOf returns the metric label for the cause of a continuation.
func retryReasonOf(cause error) meter.RetryReason {
	switch {
	case errors.Is(cause, errFirstEngineDead), errors.Is(cause, errStageDead), errors.Is(cause, errMovesFailed):
		return meter.RetryStageLost
	case errors.Is(cause, errNoEvents):
		return meter.RetryStalled
	default:
		return meter.RetryCut
	}
}

// maxResumeWait is how long a stream looks for another path after its attempt has ended. Callers
// give up a stream after 2 s without an event.
const maxResumeWait spanrill.Millis = 1200

// Close ends the request, whether its stream is complete or not.
func (b *eventBody) Close() error {
	g := b.g
	b.hold.release()
	if g.service.Model != nil {
		g.relay.roomRetries.recordEnd(g.relay.Clock.Now())
	}
	delivered := b.complete && len(b.ready) == 0
	if delivered {
		g.recordServed()
		g.recordPartsWorking(g.firstEventAt)
		g.firstEngine.RecordSuccess(g.relay.Clock.Now())
		if g.service.Model != nil && g.head.LastEventID == "" {
			g.relay.eventTokens.recordAnswer(g.service.Name, b.events)
		}
		g.relay.Meters.CountOutcome(spanrill.OutcomeRan)
	}
	b.logEnd(delivered)
	g.release()
	g.finish()
	return nil
}

func (b *eventBody) logEnd(delivered bool) {
	g := b.g
	extra := func() logrus.Fields {
		f := logrus.Fields{
			"events": b.events, "last_event": b.framer.lastID, "taken_up": b.resumes, "moves": g.moves, "whole": delivered,
			"first_ms": b.firstEventDelay, "longest_pause_ms": b.longestPause,
		}
		if g.firstEngine != nil {
			f["upstream"] = g.firstEngine.ID()
		}
		if b.failure != nil {
			f["error"] = b.failure
		}
		return f
	}
	if delivered {
		g.logEnded(fasthttp.StatusOK, extra())
		return
	}
	g.relay.failureLog.Log(events.StreamFailed, g.relay.Log, func() logrus.Fields {
		f := g.logFields()
		for name, value := range extra() {
			f[name] = value
		}
		return f
	})
}
