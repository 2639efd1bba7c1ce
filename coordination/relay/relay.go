// Package relay serves callers' requests by upstreams.
//
// A request is decoded, matched with a route, checked for its key and for the
// freshness of the configuration, and sent on. Plain answers are read whole
// before the first byte goes to the caller. Event streams are forwarded event
// by event; when an engine of their path dies they move to another engine, or
// go on elsewhere behind the last event. What runs is not ended before another
// engine has accepted its continuation.
//
//	relay.go         the way of a request up to its service
//	start.go         requests that come before what the store holds is known
//	refuse.go        final answers of spanrill's own
//	maysend.go       what is checked just before each attempt
//	plain.go         services whose answers are read whole
//	plainchoice.go   which upstream of such a service
//	chained.go       generations over a path of engines: the first event
//	attempts.go      attempts that failed, and whether another one follows
//	stream.go        the events behind it
//	eventsize.go     how many tokens an event holds
//	framing.go       whole events in a series of bytes
//	continuation.go  a second attempt beside one that is in doubt
//	watch.go         engines that die under a running request
//	streams.go       all generations that run, to tell them of a dead engine
//	gone.go          callers that leave
//	rests.go         upstreams that have asked for rest
//	limits.go        upstreams whose rate limit is exhausted
//	ends.go          upstreams that end under requests
//	log.go           one line for each decision
//
// # Usage
//
//	r := relay.New(parts, relay.Bounds{Freshness: 4300})
//	server := &fasthttp.Server{Handler: r.Serve}
package relay

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/coordination/probe"
	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/rng"
	"spanrill/state/fleet"
	"spanrill/state/routes"
	"spanrill/transport/httpcall"
)

// Dependencies is what a relay works with.
type Dependencies struct {
	Config  *routes.Current
	Fleet   *fleet.Table
	Router  *chainrouting.Router
	Prober  *probe.Prober
	Engines spanrill.LayerEngines
	Codec   spanrill.HeaderCodec
	HTTP    *httpcall.Client
	Budgets *retry.Budgets
	// Suspects knows the requests under which upstreams have ended.
	Suspects *suspect.Ledger
	// OnSuspected tells other daemons at once of a request that is kept back from now on.
	OnSuspected func(suspect.Content)
	// Permit returns nil if the rate limit of an upstream allows a request now.
	Permit func(context.Context, *fleet.Upstream) error
	// Daemons returns the number of live daemons, including this one.
	Daemons func() int
	Clock   spanrill.Clock
	Log     logrus.FieldLogger
	Meters  *meter.Meters
	Random  *rng.Source
	// StoreUnresponsive reports whether a daemon that does not know yet what the store holds will
	// not know it soon.
	StoreUnresponsive func() bool
}

// Options are the limits that the relay keeps.
type Options struct {
	Zone      string          // availability zone of this daemon
	MaxConfigAge spanrill.Millis // oldest proof of the configuration with which a keyed request is sent
}

// Relay serves requests.
type Relay struct {
	Dependencies
	bounds   Options
	running  *callers
	streams  *streams
	ends     *ends
	turns    *turns
	limited  *limitTurns
	start    *start
	sizes    *eventSizes
	inFlight atomic.Int64
	closing  atomic.Bool // answers end their connections
	refusing atomic.Bool // new requests are refused
	good     *events.Limiter
	bad      *events.Limiter
}

// The lines a second that one daemon writes about requests. A daemon of today
// gets about ten requests a second.
const (
	goodLines = 60
	badLines  = 120
)

// New returns a relay.
func New(parts Dependencies, bounds Options) *Relay {
	return &Relay{
		Dependencies: parts, bounds: bounds, running: newCallers(parts.Clock, parts.Meters), streams: newStreams(), ends: &ends{}, turns: &turns{}, limited: &limitTurns{}, sizes: newEventSizes(),
		start: newStart(parts.Clock, parts.StoreUnresponsive, parts.Config.Ready(), parts.Fleet.Seen()),
		good:  events.NewLimiter(parts.Clock, goodLines), bad: events.NewLimiter(parts.Clock, badLines),
	}
}

// InFlight returns how many requests have no whole answer yet.
func (r *Relay) InFlight() int64 { return r.inFlight.Load() }

// CloseConnections makes every answer end its connection, for a planned stop.
func (r *Relay) CloseConnections() { r.closing.Store(true) }

// RefuseNewRequests refuses requests from now on, for the end of a planned stop.
func (r *Relay) RefuseNewRequests() { r.refusing.Store(true) }

// request is one request of a caller.
type request struct {
	relay     *Relay
	ctx       context.Context // ends with the caller, the deadline or the route's timeout
	cancel    context.CancelCauseFunc
	http      *fasthttp.RequestCtx
	head      spanrill.CallerRequest
	table     *routes.Table
	route     *spanrill.Route
	account   *spanrill.Account
	service   *spanrill.ServiceInfo
	start     spanrill.Millis
	until     spanrill.Millis // when the answer is of no more use
	body      []byte
	finish    func()
	sends     int
	goneNoted bool // it was noted that the caller has left

	ran  atomic.Bool // an upstream has answered that it ran the request
	made *attempt    // an answer that an upstream has made, of a plain service

	content suspect.Content // what it asks for
	try     *suspect.Try
	broke   map[*fleet.Upstream]bool // under which its attempts broke off

	considered []string // what was wrong with each chain, of a request that found none
}

// Serve answers one request.
func (r *Relay) Serve(ctx *fasthttp.RequestCtx) {
	r.Meters.Requests.Inc()
	r.inFlight.Add(1)
	q := &request{relay: r, http: ctx, start: r.Clock.Now(), finish: func() { r.inFlight.Add(-1) }}
	if r.closing.Load() {
		ctx.SetConnectionClose()
	}
	r.start.await(r.Log)
	refusal := q.admit()
	if refusal != nil {
		q.refuse(refusal)
		q.finish()
		return
	}
	q.begin()
	if refusal := q.suspected(); refusal != nil {
		q.refuse(refusal)
		q.finish()
		return
	}
	if q.service.Model != nil && q.route.Chained {
		q.serveChained()
		return
	}
	q.servePlain()
}

// admit finds the route, the account and the service of a request.
func (q *request) admit() *spanrill.Refusal {
	r := q.relay
	q.table = r.Config.Table()
	if q.table == nil {
		return spanrill.NewRefusal(spanrill.ReasonNotReady, "no configuration yet").WithRetryAfter(notReadyRetry)
	}
	if r.refusing.Load() {
		return spanrill.NewRefusal(spanrill.ReasonDraining, "this daemon is stopping").WithRetryAfter(leastRetry)
	}
	var err error
	if q.head, err = r.Codec.ReadRequest(&q.http.Request.Header); err != nil {
		return spanrill.NewRefusal(spanrill.ReasonBadField, "%v", err)
	}
	if limit := q.table.Limits().BodyBytes; limit > 0 && len(q.http.Request.Body()) > limit {
		return spanrill.NewRefusal(spanrill.ReasonBodyTooLarge, "body of %d bytes, the limit is %d", len(q.http.Request.Body()), limit)
	}
	if refusal := q.match(); refusal != nil {
		return refusal
	}
	q.service = q.table.Service(routes.Choose(q.route, r.Random.Float64()))
	if q.service == nil {
		return spanrill.NewRefusal(spanrill.ReasonNoUpstream, "route %s has no service", q.route.Name).WithRetryAfter(notReadyRetry)
	}
	return nil
}

const (
	// notReadyRetry is about how long a daemon takes to read the configuration.
	notReadyRetry spanrill.Millis = 500
	// staleRetry is about how long the store takes to answer a daemon again.
	staleRetry spanrill.Millis = 700
)

// match finds the route and checks the key. What this daemon does not know may
// be in a newer configuration, unless the one held is proved fresh.
func (q *request) match() *spanrill.Refusal {
	header := &q.http.Request.Header
	path, _, _ := strings.Cut(string(header.RequestURI()), "?")
	route, ok := q.table.Find(string(header.Host()), path)
	if !ok {
		return q.unknown(spanrill.ReasonUnknownRoute, "no such route")
	}
	q.route = route
	if route.Open || !q.table.HasAccounts() {
		return nil
	}
	if !q.fresh() {
		return q.stale()
	}
	if q.account, ok = q.table.Account(q.head.Key); !ok {
		return spanrill.NewRefusal(spanrill.ReasonBadKey, "no key, or one that no account has")
	}
	return nil
}

func (q *request) unknown(reason spanrill.Reason, text string) *spanrill.Refusal {
	if !q.fresh() {
		return q.stale()
	}
	return spanrill.NewRefusal(reason, "%s", text)
}

// fresh reports whether the configuration is proved fresh enough for a request
// with a key.
func (q *request) fresh() bool { return q.relay.Config.Age() <= q.relay.bounds.MaxConfigAge }

func (q *request) stale() *spanrill.Refusal {
	return spanrill.NewRefusal(spanrill.ReasonConfigStale, "the configuration was last proved fresh %d ms ago", q.relay.Config.Age()).
		WithRetryAfter(staleRetry)
}

// begin starts the time of a request that was admitted.
func (q *request) begin() {
	limit := q.route.Timeout
	if q.head.Deadline > 0 && (limit <= 0 || q.head.Deadline < limit) {
		limit = q.head.Deadline
	}
	if limit <= 0 {
		limit = defaultLimit
	}
	q.until = q.start + limit
	q.body = q.http.Request.Body()
	q.content = q.contentOf()
	q.try = q.relay.Suspects.Begin(q.content)
	ctx, stop := context.WithTimeout(context.Background(), limit.Duration())
	q.ctx, q.cancel = context.WithCancelCause(ctx)
	forget := q.relay.running.add(q.http.Conn(), q.until, q.cancel)
	q.finish = func() {
		q.try.End()
		forget()
		q.cancel(nil)
		stop()
		q.relay.inFlight.Add(-1)
	}
	q.relay.Budgets.Of(q.service.Name).Request()
}

// defaultLimit bounds a request whose route and caller set no limit.
const defaultLimit = 30 * spanrill.Second

// left returns how much time the request has.
func (q *request) left() spanrill.Millis { return q.until - q.relay.Clock.Now() }

// priority is the account's where it has one.
func (q *request) priority() int {
	if q.account != nil && q.account.Priority != spanrill.NoPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// upstreamRequest builds the request for one attempt.
func (q *request) upstreamRequest(send spanrill.UpstreamSend) *fasthttp.Request {
	if q.account != nil {
		send.Account = q.account.Name
	}
	send.Remaining = q.left()
	req := fasthttp.AcquireRequest()
	q.http.Request.Header.CopyTo(&req.Header)
	q.relay.Codec.WriteSend(&req.Header, send)
	req.SetBodyRaw(q.body)
	return req
}
