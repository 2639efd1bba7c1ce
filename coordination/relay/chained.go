package relay

import (
	"bytes"
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/coordination/reach"
	"spanrill/meter"
	"spanrill/state/fleet"
	"spanrill/transport/callerhttp"
	"spanrill/transport/httpcall"
)

// generation is a request whose answer is an event stream. It runs on a path of engines, or on an
// upstream of a plain service, which is a path of one engine without layers.
type generation struct {
	*request
	path             *chainrouting.Path
	avoid            map[string]bool // engines not to be used for this request any more, by id
	answer           *httpcall.Answer
	firstEngine      *fleet.Upstream
	begun            bool                              // an event has arrived
	goesOn           atomic.Bool                       // the answer has gone on for quarantine.BeginTime
	lastEventID      string                            // id of the last event that the caller has, or ""
	sentAt           spanrill.Millis                   // when the running attempt was sent
	firstEventAt     spanrill.Millis                   // when its first event arrived, or 0
	lastEventAt      spanrill.Millis                   // when the last event arrived; before the first, when the request did
	nextProbeSilence spanrill.Millis                   // silence after which the engines are probed next
	moves            int                               // orders to move the request to another path
	failedMoves      int                               // failed orders to move since the last event
	refusals         int                               // attempts that engines have refused
	checkNow         atomic.Pointer[func()]            // runs onSilence immediately
	sharedPath       atomic.Pointer[chainrouting.Path] // path, for other goroutines
	sentTo           map[string]*fleet.Upstream        // first engines that count toward the limit on engines, by id
	ranOn            map[string]bool                   // first engines that have run the request or may have, by id
	mayHaveRun       bool                              // an attempt has run or may have
	room             roomHold

	pending                  *continuation   // continuation in progress, or nil
	nextContinuationAt       spanrill.Millis // no other continuation starts before this time
	continuations            []*continuation // all that were started; endContinuations waits for them
	vacates                  vacateSchedule
	rereadsTokens            bool            // the path has new engines that must read all tokens so far
	nextDeliveryCheckSilence spanrill.Millis // silence after which runsUndelivered is called next
	continuedOnSilence       bool            // a continuation was started in the current silence because of errNoEvents
	noOtherPathLogged        bool            // logNoOtherPath has logged the current silence
}

// serveStream sends the request to a path of engines. It answers with a stream of events, with the
// error answer of an engine, or with a refusal.
func (q *request) serveStream() {
	g := &generation{request: q, avoid: map[string]bool{}, sentTo: map[string]*fleet.Upstream{}, ranOn: map[string]bool{}, lastEventID: q.head.LastEventID, lastEventAt: q.start}
	unregister := q.relay.generations.add(g)
	finishRequest := q.finish
	q.finish = func() {
		unregister()
		g.endContinuations()
		finishRequest()
	}
	if refusal := g.openStream(); refusal != nil {
		g.release()
		q.passOnOrRefuse(refusal)
		q.finish()
		return
	}
	resp := &q.http.Response
	q.relay.Codec.CopyResponse(&resp.Header, g.answer.Header())
	if q.relay.closing.Load() {
		q.http.SetConnectionClose()
	}
	if resp.StatusCode() != fasthttp.StatusOK || !g.isEventStream(g.answer) {
		g.passOnWhole()
		return
	}
	if !q.http.Request.Header.IsHTTP11() {
		callerhttp.StreamUntilClose(q.http, newEventBody(g))
		return
	}
	resp.SetBodyStream(newEventBody(g), -1)
}

// isEventStream reports whether a successful answer consists of events. A plain service may answer with
// another type of content.
func (g *generation) isEventStream(answer *httpcall.Answer) bool {
	contentType := answer.Header().ContentType()
	return g.service.Model != nil || len(contentType) == 0 || bytes.HasPrefix(bytes.ToLower(contentType), []byte("text/event-stream"))
}

// passOnWhole answers with an engine's answer that is no stream, unchanged.
func (g *generation) passOnWhole() {
	defer g.finish()
	defer g.release()
	body, err := g.readAnswer(g.ctx, g.answer, g.firstEngine)
	if err != nil {
		g.refuse(spanrill.NewRefusal(spanrill.ReasonUpstreamFailed, "%v", err).WithOutcome(spanrill.OutcomeUnknown))
		return
	}
	g.recordServed()
	body.passOn(&g.http.Response)
	g.logEnded(g.http.Response.StatusCode(), logrus.Fields{"upstream": g.firstEngine.ID()})
}

// release closes the answer of the running attempt, releases its path, and gives back its room.
func (g *generation) release() {
	defer g.room.release() // after the attempt has ended at the engines
	if g.answer != nil {
		g.answer.Close()
		g.answer = nil
	}
	if g.path != nil {
		g.path.Release()
		g.setPath(nil)
	}
}

// setPath sets the path, also for other goroutines.
func (g *generation) setPath(p *chainrouting.Path) {
	g.path = p
	g.sharedPath.Store(p)
}

// setCheckNow stores the function that makes onSilence run immediately.
func (g *generation) setCheckNow(check func()) { g.checkNow.Store(&check) }

// openStream makes attempts until an engine answers. It returns a refusal if none does.
func (g *generation) openStream() *spanrill.Refusal {
	for {
		if refusal := g.findPath(); refusal != nil {
			return g.markMayHaveRun(refusal)
		}
		if refusal := g.checkBeforeSend(); refusal != nil {
			return g.markMayHaveRun(refusal)
		}
		err := g.send()
		if err == nil {
			err = g.repeatableFailure()
		}
		if err == nil {
			return nil
		}
		if refusal := g.retryOrRefuse(err); refusal != nil {
			return refusal
		}
	}
}

// repeatableFailure returns a *sendError if the engine answered with a server error and the request
// can be sent to another engine instead. The error answer is kept in case no other engine answers.
func (g *generation) repeatableFailure() error {
	status := g.answer.Status()
	if status < fasthttp.StatusInternalServerError || g.route.Repeat != spanrill.RepeatResume || !g.hasOtherPath() {
		return nil
	}
	g.keepFailedAnswer()
	g.avoid[g.firstEngine.ID()] = true
	g.firstEngine.RecordFailure(g.relay.Clock.Now())
	return &sendError{outcome: spanrill.OutcomeRan, retryReason: meter.RetryStageLost, cause: errors.Errorf("engine %s answered %d", g.firstEngine.ID(), status)}
}

// keepFailedAnswer keeps an engine's error answer in case no other engine answers. An answer that
// cannot be read completely is not kept.
func (g *generation) keepFailedAnswer() {
	resp := &fasthttp.Response{}
	g.answer.Header().CopyTo(&resp.Header)
	body, err := g.readAnswer(g.ctx, g.answer, g.firstEngine)
	if err != nil {
		return
	}
	g.keepAnswer(attempt{upstream: g.firstEngine, resp: resp, body: body})
}

// markMayHaveRun sets the outcome of a refusal to unknown if an earlier attempt may have run. It
// does so even if the route allows repeats, because the reported outcome must be true.
func (g *generation) markMayHaveRun(refusal *spanrill.Refusal) *spanrill.Refusal {
	if g.mayHaveRun {
		return refusal.WithOutcome(spanrill.OutcomeUnknown)
	}
	return refusal
}

const (
	// resumePollInterval is how often a stream whose attempt has ended looks for another path. It
	// is about the time of one token on a chain.
	resumePollInterval spanrill.Millis = 15
	// fullRetryAfter is the minimum retry time of callers that find all chains full. In about this
	// time a tenth of the running requests end.
	fullRetryAfter spanrill.Millis = 300
	// missingLayersRetryAfter is the retry time when no chain has all layers. It is about the time
	// to load the layers of one engine.
	missingLayersRetryAfter spanrill.Millis = 700
)

// send makes one attempt and stores the answer in g.answer. The error is a *sendError. While the
// attempt waits for its answer, an accepted continuation may replace it.
func (g *generation) send() error {
	req := g.requestFor(g.path)
	defer fasthttp.ReleaseRequest(req)
	g.recordSend()
	g.sentTo[g.firstEngine.ID()] = g.firstEngine
	g.sentAt, g.firstEventAt = g.relay.Clock.Now(), 0
	g.logSent(g.firstEngine, g.path, g.lastEventID)
	answer, failure := g.sendAttempt(g.ctx, g.path, req, g)
	if failure == nil {
		g.answer = answer
		g.ranOn[g.firstEngine.ID()] = true
		g.abandonContinuation()
		return nil
	}
	if !errors.Is(failure, errContinued) {
		g.recordFailure(g.firstEngine, failure)
	}
	if g.awaitContinuation() {
		g.adoptContinuation()
		return nil
	}
	return failure
}

// requestFor builds the request for an attempt on a path.
func (g *generation) requestFor(path *chainrouting.Path) *fasthttp.Request {
	return g.upstreamRequest(spanrill.UpstreamRequest{EngineID: path.First().Name(), Path: path.Stages(), LastEventID: g.lastEventID, Priority: g.enginePriority()})
}

// silenceHandler is called while no bytes of an answer arrive; see httpcall.DoWatched.
type silenceHandler interface {
	checkInterval() spanrill.Millis
	onSilence(silent spanrill.Millis) error
	setCheckNow(check func())
}

// sendAttempt makes one attempt and checks its answer. It does not change the generation, so two
// attempts can run concurrently.
func (g *generation) sendAttempt(ctx context.Context, path *chainrouting.Path, req *fasthttp.Request, handler silenceHandler) (*httpcall.Answer, *sendError) {
	r := g.relay
	answer, err := r.HTTP.DoWatched(r.withSendCheck(reach.WithRequest(ctx, g.head.ID), path.First()), path.First().Addr(), req, g.connectionReuse(), handler.checkInterval, handler.onSilence, handler.setCheckNow)
	if err != nil {
		return nil, newCallFailure(err)
	}
	head := r.Codec.ReadResponse(answer.Header())
	if err := g.verifyAnswer(head, answer.Header()); err != nil {
		answer.Close()
		return nil, &sendError{outcome: spanrill.OutcomeUnknown, retryReason: meter.RetryBadToken, cause: err}
	}
	r.recordEngineLoad(g.service.Name, path.First(), head.Load)
	if head.NotRun {
		answer.Close()
		return nil, g.newRefusalError(path.First(), head, answer.Status())
	}
	return answer, nil
}

// enginePriority returns the priority that is sent to the engines. Streams that have begun are sent
// again only to be resumed. They have the highest priority, 0, because their callers have waited
// already.
func (g *generation) enginePriority() int {
	if g.begun {
		return 0
	}
	return g.priority()
}
