package relay

import (
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
	path    *chainrouting.Path
	avoid   map[string]bool // engines that failed this request
	answer  *httpcall.Answer
	first   *fleet.Upstream
	begun   bool            // an event has reached the caller
	quiet   spanrill.Millis // since when nothing has come from the path
	askAt   spanrill.Millis // silence at which the engines are asked next
	moves   int
	poke    atomic.Pointer[func()]
	current atomic.Pointer[chainrouting.Path] // for other goroutines
	sentTo  map[string]*fleet.Upstream        // first engines that the request was sent to, by id
	unknown bool                              // an attempt may have run
}

// serveChained finds a path, sends the request and leaves the events to the
// body of the answer.
func (q *request) serveChained() {
	g := &generation{request: q, avoid: map[string]bool{}, sentTo: map[string]*fleet.Upstream{}}
	leave := q.relay.streams.add(g)
	end := q.finish
	q.finish = func() {
		leave()
		end()
	}
	if refusal := g.open(); refusal != nil {
		g.release()
		q.refuse(refusal)
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
		if refusal := g.findPath(g.start); refusal != nil {
			return g.orUnknown(refusal)
		}
		if refusal := g.stillAllowed(); refusal != nil {
			return g.orUnknown(refusal)
		}
		err := g.send(g.head.LastEvent)
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
	g.avoid[g.first.ID()] = true
	g.first.Failed(g.relay.Clock.Now())
	return &sendError{outcome: spanrill.OutcomeRan, retry: meter.RetryStageLost, cause: errors.Errorf("engine %s answered %d", g.first.ID(), status)}
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
	// roomPoll is how often a request that waits looks for room: about the time
	// of one token on a chain.
	roomPoll spanrill.Millis = 15
	// fullRetry is the soonest that a caller should come back to full chains:
	// about the time in which a tenth of the requests that run have ended.
	fullRetry spanrill.Millis = 300
	// brokenRetry is when a caller should come back when layers are missing:
	// about the time to load one engine's part.
	brokenRetry spanrill.Millis = 700
)

// findPath waits until a path has room, at most until the limit. A new request does
// not wait: nothing tells that there will be room for it before others come, and its
// caller can come back in its turn.
func (g *generation) findPath(limit spanrill.Millis) *spanrill.Refusal {
	waited := false
	for {
		path, err := g.relay.Router.Pick(g.service.Name, g.service.Model, g.need(g.begun))
		if err == nil && !path.Whole(g.service.Model.Layers) {
			path.Release()
			return spanrill.NewRefusal(spanrill.ReasonInternal, "path %s does not run every layer once", path)
		}
		if err == nil {
			g.setPath(path)
			g.first = path.First()
			return nil
		}
		now := g.relay.Clock.Now()
		if now >= limit || g.ctx.Err() != nil {
			return g.noPath(err)
		}
		if !waited {
			waited = true
			g.logWaits(err)
		}
		g.sleep(min(roomPoll, limit-now))
	}
}

func (g *generation) noPath(err error) *spanrill.Refusal {
	if g.ctx.Err() != nil {
		return g.ended(g.unknown)
	}
	g.considered = consideredBy(err)
	if errors.Is(err, chainrouting.ErrNoRoom) {
		after, gap := g.relay.turns.take(g.relay.Clock.Now())
		return spanrill.NewRefusal(spanrill.ReasonNoRoom, "%v, requests end every %d ms", err, gap).WithRetryAfter(after)
	}
	return spanrill.NewRefusal(spanrill.ReasonNoChain, "%v", err).WithRetryAfter(brokenRetry)
}

// send makes one attempt and leaves the answer in g.answer. The error is a
// *sendError.
func (g *generation) send(lastEvent string) error {
	r := g.relay
	req := g.upstreamRequest(spanrill.UpstreamSend{EngineID: g.first.ID(), Path: g.path.Wire(), LastEvent: lastEvent, Priority: g.urgency()})
	defer fasthttp.ReleaseRequest(req)
	g.sends++
	g.sentTo[g.first.ID()] = g.first
	g.quiet = r.Clock.Now()
	g.logSent(g.first, g.path, lastEvent)
	answer, err := r.HTTP.DoWatched(g.ctx, g.first.Addr(), req, g.reuse(), g.watchGap, g.onSilence, g.setPoke)
	if err != nil {
		return g.callFailed(err)
	}
	head := r.Codec.ReadHead(answer.Header())
	if err := g.genuine(head, answer.Header()); err != nil {
		answer.Close()
		g.first.Failed(r.Clock.Now())
		return &sendError{outcome: spanrill.OutcomeUnknown, retry: meter.RetryBadToken, cause: err}
	}
	if head.NotRun {
		answer.Close()
		return g.refusedBy(head, answer.Status())
	}
	g.answer = answer
	return nil
}

// urgency is the priority for the engines. A stream that is taken up goes
// first: its caller has waited already.
func (g *generation) urgency() int {
	if g.begun {
		return 0
	}
	return g.priority()
}
