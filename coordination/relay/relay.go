// Package relay forwards callers' requests to upstreams, and retries or resumes them when an
// upstream fails.
//
// A request is decoded and matched with a route. If the route needs a key, the key is checked,
// which requires a configuration that was confirmed recently. Then the request is sent to an
// upstream. Answers of plain services are read completely before the first byte goes to the caller,
// unless the route is one of event streams. Event streams are forwarded event by event, whether a
// chain of engines or a plain service makes them. When an engine of a stream's path dies, the stream is
// moved to other engines, or is sent again to another chain or to another upstream of the plain service,
// which continues after the last event that the caller has. A running attempt is not ended before
// another upstream has accepted the continuation.
//
//	relay.go          a request from its arrival to its end
//	admit.go          the route, the account and the service of a request
//	proof.go          how recently the configuration must have been proved to be the newest
//	start.go          requests that arrive before configuration and upstreams are known
//	refuse.go         error answers of spanrill's own
//	lostpath.go       upstreams that this daemon has lost its network path to
//	maysend.go        checks just before each attempt
//	plain.go          requests whose answers are read completely
//	plainanswer.go    results of attempts at such services
//	plainchoice.go    choice of an upstream of such a service
//	chained.go        event streams, up to the first event
//	paths.go          choice of the path of a stream
//	attempts.go       failed attempts, and whether they are repeated
//	room.go           room that the daemons divide among their requests
//	engineload.go     load that engines tell in their answers
//	stream.go         the events of a stream
//	eventsize.go      tokens per event
//	framing.go        splits bytes into whole events
//	continuation.go   second attempts beside a running one
//	watch.go          detection of dead engines under a running request
//	streams.go        all running generations
//	callers.go        callers that disconnect
//	rests.go          upstreams that have asked for rest
//	limits.go         upstreams whose rate limit is exhausted
//	retrytimes.go     retry times of callers that find all chains full
//	answerend.go      whole answers, and those that end with their connection
//	answermemory.go   memory of large answers
//	brokenattempts.go upstreams that crash while they run a request
//	parts.go          parts of prompts that crash engines
//	log.go            log lines about requests
//
// # Usage
//
//	r := relay.New(dependencies, relay.Options{MaxChangeAge: 2000, MaxKeyAge: 4300})
//	server := &fasthttp.Server{Handler: r.Serve}
package relay

import (
	"context"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/coordination/probe"
	"spanrill/coordination/quarantine"
	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/rng"
	"spanrill/state/fleet"
	"spanrill/state/routes"
	"spanrill/transport/httpcall"
)

// Dependencies are the components that a relay uses.
type Dependencies struct {
	Config  *routes.Current
	Fleet   *fleet.Table
	Router  *chainrouting.Router
	Prober  *probe.Prober
	Engines spanrill.LayerEngines
	Codec   spanrill.HeaderCodec
	HTTP    *httpcall.Client
	Budgets *retry.Budgets
	// Suspects records the requests under which upstreams have crashed.
	Suspects *suspect.Ledger
	// OnSuspected is called when a request begins to be withheld from upstreams or is sent as a
	// trial, so that other daemons learn of it immediately.
	OnSuspected func(suspect.Content)
	// Parts records the parts of prompts under which engines have crashed.
	Parts *quarantine.Ledger
	// OnParts is called when other daemons have to learn at once what Parts holds of some parts.
	OnParts func([]quarantine.Part)
	// Permit returns nil if the rate limit of an upstream allows a request now.
	Permit func(context.Context, *fleet.Upstream) error
	// Daemons returns the number of live daemons, including this one.
	Daemons func() int
	Clock   spanrill.Clock
	Log     logrus.FieldLogger
	Meters  *meter.Meters
	Random  *rng.Source
	// Paths tells which upstreams this daemon has lost its network path to. It may be nil.
	Paths spanrill.UpstreamPaths
	// Room gives requests room on the chains of the services whose room the daemons divide. It is
	// nil if they divide none.
	Room spanrill.RoomGate
	// StoreSilentAtStart reports whether the store does not answer a starting daemon. A daemon that
	// lacks the configuration or the upstreams then will not get them soon.
	StoreSilentAtStart func() bool
	// Proof obtains newer proof that the configuration is the newest. It may be nil.
	Proof spanrill.ConfigProver
	// Turn is called by the goroutine of a request before work that takes processor time. It may wait, so
	// that work that keeps this daemon up to date is not late, and may be nil.
	Turn func()
	// SuspectsKnown is closed when this daemon knows the requests and parts that are withheld since
	// before its start.
	SuspectsKnown <-chan struct{}
}

// Options are the settings of a relay.
type Options struct {
	Zone string // availability zone of this daemon
	// MaxChangeAge is the maximum age of the proof that the configuration is the newest for decisions
	// that a newer one may change.
	MaxChangeAge spanrill.Millis
	// MaxKeyAge is the maximum age of that proof for sending requests with a key.
	MaxKeyAge spanrill.Millis
	// AnswerMemory is the memory for large answers that are read completely before they are passed on, in
	// bytes; 0 is 256 MiB. An answer of more than half of it is not passed on.
	AnswerMemory int
}

// Relay serves requests. Its methods may be called concurrently.
type Relay struct {
	Dependencies
	options        Options
	callers        *callerConns
	generations    *runningGenerations
	brokenAttempts *brokenAttempts
	roomRetries    *roomRetryTimes
	limitRetries   *limitRetryTimes
	startup        *startupHold
	eventTokens    *eventTokenEstimator
	answerMemory   *answerMemory
	roomCounts     roomCounts
	inFlight       atomic.Int64
	// heardOverLostPath is when an event last came over a connection that was opened before its path
	// was lost.
	heardOverLostPath atomic.Int64
	closing           atomic.Bool // answers close their connections
	refusing          atomic.Bool // new requests are refused
	routineLog        *events.Limiter
	failureLog        *events.Limiter
}

// Maximum log lines per second about requests. A daemon gets about ten requests per second.
const (
	routineLinesPerSecond = 60
	failureLinesPerSecond = 120
)

// New returns a relay.
func New(deps Dependencies, options Options) *Relay {
	if deps.SuspectsKnown == nil {
		known := make(chan struct{})
		close(known)
		deps.SuspectsKnown = known
	}
	if deps.Proof == nil {
		deps.Proof = noProver{}
	}
	if deps.Parts == nil {
		deps.Parts, deps.OnParts = quarantine.New(deps.Clock), func([]quarantine.Part) {}
	}
	return &Relay{
		Dependencies: deps, options: options, callers: newCallerConns(deps.Clock, deps.Meters), generations: newRunningGenerations(), brokenAttempts: &brokenAttempts{names: map[uint32]string{}}, roomRetries: &roomRetryTimes{}, limitRetries: &limitRetryTimes{}, eventTokens: newEventTokenEstimator(),
		answerMemory: newAnswerMemory(options.AnswerMemory),
		startup:      newStartupHold(deps.Clock, deps.StoreSilentAtStart, deps.Config.Ready(), deps.Fleet.Ready(), deps.SuspectsKnown),
		routineLog:   events.NewLimiter(deps.Clock, routineLinesPerSecond), failureLog: events.NewLimiter(deps.Clock, failureLinesPerSecond),
	}
}

// InFlight returns the number of requests that are not completely answered yet.
func (r *Relay) InFlight() int64 { return r.inFlight.Load() }

// CloseConnections makes every further answer close its connection, for a graceful shutdown.
func (r *Relay) CloseConnections() { r.closing.Store(true) }

// RefuseNewRequests makes the relay refuse new requests, for the end of a graceful shutdown.
func (r *Relay) RefuseNewRequests() { r.refusing.Store(true) }

// EndRequests ends the running requests, for the end of a graceful shutdown. Those that may have run are
// answered with that, the others are refused; streams that have begun break off.
func (r *Relay) EndRequests() { r.callers.endAll() }

// request is the state of one caller's request.
type request struct {
	relay            *Relay
	ctx              context.Context // ends when the caller disconnects, or at the deadline
	cancel           context.CancelCauseFunc
	http             *fasthttp.RequestCtx
	head             spanrill.CallerRequest
	table            *routes.Table
	proofAge         spanrill.Millis // age of the configuration's proof when the request was decided by it
	route            *spanrill.Route
	account          *spanrill.Account
	service          *spanrill.ServiceInfo
	start            spanrill.Millis
	deadline         spanrill.Millis // the caller expects no answer after this time
	body             []byte
	finish           func() // releases what the request holds, called once at its end
	sends            int    // number of attempts so far
	callerLeftLogged bool   // the caller's disconnection was counted and logged

	hasRun     atomic.Bool   // an upstream has answered without saying that it did not run the request
	keptAnswer *attempt      // answer of an upstream that is passed on if later attempts bring none, or nil
	bodies     []*answerBody // all that were read

	content   suspect.Content          // identifies what is asked for
	guard     *suspect.Guard           // tracks this request in the ledger of suspects
	partGuard *quarantine.Guard        // tracks the parts of its prompt
	brokenOn  map[*fleet.Upstream]bool // upstreams on which attempts broke off

	considered []string // why each chain was rejected, if no path was found
}

// Serve answers one request.
func (r *Relay) Serve(ctx *fasthttp.RequestCtx) {
	r.Meters.Requests.Inc()
	r.inFlight.Add(1)
	q := &request{relay: r, http: ctx, start: r.Clock.Now(), finish: func() { r.inFlight.Add(-1) }}
	if r.closing.Load() {
		ctx.SetConnectionClose()
	}
	r.startup.await(r.Log)
	r.awaitTurn()
	refusal := q.admit()
	if refusal != nil {
		q.refuse(refusal)
		q.finish()
		return
	}
	q.begin()
	refusal = q.checkSuspect()
	if refusal == nil {
		refusal = q.checkParts()
	}
	if refusal != nil {
		q.refuse(refusal)
		q.finish()
		return
	}
	if q.route.Stream || q.service.Model != nil && q.route.Chained {
		q.serveStream()
		return
	}
	q.servePlain()
}

// awaitTurn returns when the goroutine of a request may go on.
func (r *Relay) awaitTurn() {
	if r.Turn != nil {
		r.Turn()
	}
}

// begin sets the deadline of an admitted request, starts to watch its caller, and makes finish undo
// that.
func (q *request) begin() {
	timeout := q.route.Timeout
	if q.head.Deadline > 0 && (timeout <= 0 || q.head.Deadline < timeout) {
		timeout = q.head.Deadline
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	q.deadline = q.start + timeout
	q.body = q.http.Request.Body()
	q.content = q.requestContent()
	q.guard = q.relay.Suspects.Begin(q.content)
	q.beginParts()
	ctx, stop := context.WithTimeout(context.Background(), timeout.Duration())
	q.ctx, q.cancel = context.WithCancelCause(ctx)
	unregister := q.relay.callers.add(q.http.Conn(), q.deadline, q.cancel)
	q.finish = func() {
		q.releaseBodies()
		q.guard.End()
		q.partGuard.End()
		unregister()
		q.cancel(nil)
		stop()
		q.relay.inFlight.Add(-1)
	}
	q.relay.Budgets.Of(q.service.Name).RecordRequest()
}

// defaultTimeout applies to requests for which neither route nor caller set a timeout.
const defaultTimeout = 30 * spanrill.Second

// remaining returns the time until the request's deadline.
func (q *request) remaining() spanrill.Millis { return q.deadline - q.relay.Clock.Now() }

// priority returns the account's priority if it has one, or else the route's.
func (q *request) priority() int {
	if q.account != nil && q.account.Priority != spanrill.NoPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// upstreamRequest builds the request for one attempt from the caller's request. It must be released
// with fasthttp.ReleaseRequest.
func (q *request) upstreamRequest(fields spanrill.UpstreamRequest) *fasthttp.Request {
	if q.account != nil {
		fields.Account = q.account.Name
	}
	fields.Remaining = q.remaining()
	req := fasthttp.AcquireRequest()
	q.http.Request.Header.CopyTo(&req.Header)
	req.Header.SetProtocol("HTTP/1.1") // whatever the caller speaks
	q.relay.Codec.WriteRequest(&req.Header, fields)
	req.SetBodyRaw(q.body)
	return req
}
