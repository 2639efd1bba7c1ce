package relay

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/meter"
	"spanrill/state/fleet"
	"spanrill/transport/httpcall"
)

// generation is a request that runs on a path of engines.
type generation struct {
	*request
	path        *chainrouting.Path
	avoid       map[string]bool // engines that failed this request
	answer      *httpcall.Answer
	first       *fleet.Upstream
	begun       bool            // an event has reached the caller
	behind      string          // last event that the caller has, or ""
	quiet       spanrill.Millis // when the running attempt was sent
	firstEvent  spanrill.Millis // when its first event came, or 0
	lastHeard   spanrill.Millis // when an event came last, or the first attempt was sent
	askAt       spanrill.Millis // silence at which the engines are asked next
	moves       int
	failedMoves int // orders to move that were not carried out since the last event
	refusals    int // attempts that engines have refused
	poke        atomic.Pointer[func()]
	current     atomic.Pointer[chainrouting.Path] // for other goroutines
	sentTo      map[string]*fleet.Upstream        // first engines that the request was sent to, by id
	ranOn       map[string]bool                   // those of them that have, or may have, run it
	unknown     bool                              // an attempt may have run

	next          *continuation   // under way, or nil
	nextAt        spanrill.Millis // before this no other one begins
	continuations []*continuation // all, to wait for their ends
	vacateAt      spanrill.Millis // before this it is not moved off engines that give layers up
	reads         bool            // engines that are new on its path read its tokens first
	unheardAt     spanrill.Millis // silence at which it is asked next whether the request runs unheard
	silenceTried  bool            // a continuation was tried because of silence alone
	waits         bool            // that it finds no path was logged
}

// serveChained finds a path, sends the request and leaves the events to the
// body of the answer.
func (q *request) serveChained() {
	g := &generation{request: q, avoid: map[string]bool{}, sentTo: map[string]*fleet.Upstream{}, ranOn: map[string]bool{}, behind: q.head.LastEvent, lastHeard: q.start}
	leave := q.relay.streams.add(g)
	end := q.finish
	q.finish = func() {
		leave()
		g.endContinuations()
		end()
	}
	if refusal := g.open(); refusal != nil {
		g.release()
		q.handOnOr(refusal)
		q.finish()
		return
	}
	resp := &q.http.Response
	q.relay.Codec.CopyHead(&resp.Header, g.answer.Header())
	if q.relay.closing.Load() {
		q.http.SetConnectionClose()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		g.passFailure()
		return
	}
	resp.SetBodyStream(newEventBody(g), -1)
}

// passFailure hands on an engine's own failure, unchanged.
func (g *generation) passFailure() {
	defer g.finish()
	defer g.release()
	body, err := g.answer.ReadAll(maxAnswer)
	if err != nil {
		g.refuse(spanrill.NewRefusal(spanrill.ReasonUpstreamFailed, "%v", err).WithOutcome(spanrill.OutcomeUnknown))
		return
	}
	g.answered()
	g.http.Response.SetBodyRaw(body)
	g.logEnded(g.http.Response.StatusCode(), logrus.Fields{"upstream": g.first.ID()})
}

func (g *generation) release() {
	if g.answer != nil {
		g.answer.Close()
		g.answer = nil
	}
	if g.path != nil {
		g.path.Release()
		g.setPath(nil)
	}
}

// setPath changes the path of the request.
func (g *generation) setPath(p *chainrouting.Path) {
	g.path = p
	g.current.Store(p)
}

func (g *generation) setPoke(poke func()) { g.poke.Store(&poke) }

// need is what the request needs of a path.
func (g *generation) need(urgent bool) chainrouting.Need {
	answer := g.head.GuessTokens
	if answer == 0 {
		answer = int(g.service.Model.UsualAnswer)
	}
	if g.head.MaxTokens > 0 {
		answer = min(answer, g.head.MaxTokens)
	}
	return chainrouting.Need{
		Prompt: g.head.PromptTokens, Answer: answer, Zone: g.relay.bounds.Zone, Avoid: g.avoid,
		Urgent: urgent || g.priority() == 0, Spread: g.begun, First: g.mayFirst(),
	}
}

// open sends the request until an engine has begun its answer.
func (g *generation) open() *spanrill.Refusal {
	for {
		if refusal := g.findPath(); refusal != nil {
			return g.orUnknown(refusal)
		}
		if refusal := g.maySend(); refusal != nil {
			return g.orUnknown(refusal)
		}
		err := g.send()
		if err == nil {
			err = g.failedStart()
		}
		if err == nil {
			return nil
		}
		if refusal := g.afterFailure(err); refusal != nil {
			return refusal
		}
	}
}

// failedStart returns the failure of an answer that is one of the engine's own,
// if the request may go on elsewhere instead of handing that on.
func (g *generation) failedStart() error {
	status := g.answer.Status()
	if status < fasthttp.StatusInternalServerError || g.route.Repeat != spanrill.RepeatResume || !g.canGoElsewhere() {
		return nil
	}
	g.keepFailure()
	g.avoid[g.first.ID()] = true
	g.first.Failed(g.relay.Clock.Now())
	return &sendError{outcome: spanrill.OutcomeRan, retry: meter.RetryStageLost, cause: errors.Errorf("engine %s answered %d", g.first.ID(), status)}
}

// keepFailure keeps an engine's own failure, for the case that no other engine brings
// an answer. One that does not arrive whole is not kept.
func (g *generation) keepFailure() {
	resp := &fasthttp.Response{}
	g.answer.Header().CopyTo(&resp.Header)
	body, err := g.answer.ReadAll(maxAnswer)
	if err != nil {
		return
	}
	resp.SetBodyRaw(body)
	g.keep(attempt{upstream: g.first, resp: resp})
}

// orUnknown marks a refusal of a request that an earlier attempt may have run,
// also where it does no harm if it runs again: what is said must be true.
func (g *generation) orUnknown(refusal *spanrill.Refusal) *spanrill.Refusal {
	if g.unknown {
		return refusal.WithOutcome(spanrill.OutcomeUnknown)
	}
	return refusal
}

const (
	// roomPoll is how often a stream whose attempt has ended looks for room: about
	// the time of one token on a chain.
	roomPoll spanrill.Millis = 15
	// fullRetry is the soonest that a caller should come back to full chains:
	// about the time in which a tenth of the requests that run have ended.
	fullRetry spanrill.Millis = 300
	// brokenRetry is when a caller should come back when layers are missing:
	// about the time to load one engine's part.
	brokenRetry spanrill.Millis = 700
)

// findPath chooses the path of a request that has not begun. It does not wait for
// room: nothing tells that there will be room for it before others come, and its
// caller can come back in its turn.
func (g *generation) findPath() *spanrill.Refusal {
	path, err := g.relay.Router.Pick(g.service.Name, g.service.Model, g.need(false))
	if err != nil {
		return g.noPath(err)
	}
	if !path.Whole(g.service.Model.Layers) {
		path.Release()
		return spanrill.NewRefusal(spanrill.ReasonInternal, "path %s does not run every layer once", path)
	}
	g.setPath(path)
	g.first = path.First()
	return nil
}

func (g *generation) noPath(err error) *spanrill.Refusal {
	if g.ctx.Err() != nil {
		return g.ended(g.unknown)
	}
	g.considered = consideredBy(err)
	if errors.Is(err, chainrouting.ErrRests) || errors.Is(err, chainrouting.ErrLimited) {
		if refusal := g.limitOrRestRefusal(); refusal != nil {
			return refusal
		}
	}
	if errors.Is(err, chainrouting.ErrNoRoom) {
		after, gap := g.relay.turns.take(g.relay.Clock.Now())
		return spanrill.NewRefusal(spanrill.ReasonNoRoom, "%v, requests end every %d ms", err, gap).WithRetryAfter(after)
	}
	return spanrill.NewRefusal(spanrill.ReasonNoChain, "%v", err).WithRetryAfter(brokenRetry)
}

// send makes one attempt and leaves the answer in g.answer. The error is a
// *sendError. While the attempt waits for its answer a continuation may be accepted
// in its place.
func (g *generation) send() error {
	req := g.requestFor(g.path)
	defer fasthttp.ReleaseRequest(req)
	g.noteSend()
	g.sentTo[g.first.ID()] = g.first
	g.quiet, g.firstEvent = g.relay.Clock.Now(), 0
	g.logSent(g.first, g.path, g.behind)
	answer, failure := g.try(g.ctx, g.path, req, g)
	if failure == nil {
		g.answer = answer
		g.ranOn[g.first.ID()] = true
		g.dropNext()
		return nil
	}
	if !errors.Is(failure, errContinued) {
		g.noteFailure(g.first, failure)
	}
	if g.awaitNext() {
		g.adoptNext()
		return nil
	}
	return failure
}

// requestFor builds the request for an attempt on a path.
func (g *generation) requestFor(path *chainrouting.Path) *fasthttp.Request {
	return g.upstreamRequest(spanrill.UpstreamSend{EngineID: path.First().Name(), Path: path.Wire(), LastEvent: g.behind, Priority: g.urgency()})
}

// watch is what is done while nothing arrives of an attempt; see httpcall.DoWatched.
type watch interface {
	every() spanrill.Millis
	onSilence(silent spanrill.Millis) error
	setPoke(poke func())
}

// try makes one attempt and judges its answer. It changes nothing of the generation,
// so that two attempts may be under way.
func (g *generation) try(ctx context.Context, path *chainrouting.Path, req *fasthttp.Request, w watch) (*httpcall.Answer, *sendError) {
	r := g.relay
	answer, err := r.HTTP.DoWatched(r.sendingTo(ctx, path.First()), path.First().Addr(), req, g.reuse(), w.every, w.onSilence, w.setPoke)
	if err != nil {
		return nil, callFailed(err)
	}
	head := r.Codec.ReadHead(answer.Header())
	if err := g.genuine(head, answer.Header()); err != nil {
		answer.Close()
		return nil, &sendError{outcome: spanrill.OutcomeUnknown, retry: meter.RetryBadToken, cause: err}
	}
	if head.NotRun {
		answer.Close()
		return nil, g.refusedBy(path.First(), head, answer.Status())
	}
	return answer, nil
}

// urgency is the priority for the engines. A stream that is taken up goes
// first: its caller has waited already.
func (g *generation) urgency() int {
	if g.begun {
		return 0
	}
	return g.priority()
}
