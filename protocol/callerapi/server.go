// Package callerapi serves callers over HTTP: inference clients, and callers
// of plain services.
//
//	POST /v1/chat/completions   a chat, whole or as server-sent events
//	POST /v1/completions        a completion, whole or as server-sent events
//	GET  /v1/models             the models that the client account may use
//	ANY  /services/{name}/...   a call of a plain service
//
// Each request carries the bearer key of a client account. Each answer names
// its request in X-Request-Id and says in Spanrill-Outcome whether the request
// ran. A refusal that may be retried says in Retry-After when.
//
// # Usage
//
//	api := callerapi.New(callerapi.Dependencies{...}, callerapi.DefaultLimits)
//	err := api.Serve(ctx, listener)
package callerapi

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/dispatch"
	"spanrill/coordination/pipeline"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/ring"
	"spanrill/rng"
	"spanrill/state/config"
	"spanrill/task"
)

// Admission decides which requests may start.
type Admission interface {
	// Admit waits until the request may start, or returns why it is refused. The model is nil for
	// a call of a plain service. The caller must call the returned function when the request ends,
	// with the number of its tokens.
	Admit(ctx context.Context, grant *config.Grant, model *config.ModelGrant, maxTokens int) (func(tokens int), *spanrill.Refusal)
}

// Claims ensures that a call with an idempotency key runs at most once.
type Claims interface {
	// Do calls run, or returns the recorded outcome of an earlier call with the
	// same key.
	Do(ctx context.Context, account, key string, req *spanrill.ServiceRequest, run func() (*spanrill.ServiceAnswer, *spanrill.Refusal)) (*spanrill.ServiceAnswer, *spanrill.Refusal)
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Config    func() *config.Snapshot
	Runner    *pipeline.Runner
	Services  *dispatch.Dispatcher
	Admission Admission
	Claims    Claims
	Clock     spanrill.Clock
	Meters    *meter.Meters
	Log       logrus.FieldLogger
	Random    *rng.Source
	// ResumeSecret signs the ids of server-sent events.
	ResumeSecret string
}

// Limits are the limits of requests and answers.
type Limits struct {
	BodyBytes    int
	HeaderBytes  int
	StreamTokens int
	ReadWait     spanrill.Millis // timeout for reading a whole request
	WriteWait    spanrill.Millis // timeout for writing an answer; not enforced
}

// DefaultLimits are used where the settings have no limits.
var DefaultLimits = Limits{
	BodyBytes: 4 << 20, HeaderBytes: 16 << 10, StreamTokens: 32768,
	ReadWait: 30 * spanrill.Second, WriteWait: 30 * spanrill.Second,
}

// Server is the HTTP server for callers.
type Server struct {
	Dependencies
	limits   Limits
	http     *fasthttp.Server
	ctx      context.Context
	draining atomic.Bool
	inFlight atomic.Int64
	streams  task.Group
	recent   *ring.Ring[FinishedGeneration]
}

// New returns a Server that accepts no connections until Serve is called.
func New(deps Dependencies, limits Limits) *Server {
	s := &Server{Dependencies: deps, limits: limits, ctx: context.Background(), recent: ring.New[FinishedGeneration](maxRecent)}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleReadError,
		MaxRequestBodySize:    limits.BodyBytes,
		ReadBufferSize:        limits.HeaderBytes,
		ReadTimeout:           limits.ReadWait.Duration(),
		IdleTimeout:           2 * time.Minute,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                log.New(io.Discard, "", 0),
	}
	return s
}

// Serve serves until Shutdown closes the listener. When the context ends, the running requests are
// canceled.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	s.ctx = ctx
	if err := s.http.Serve(ln); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Drain makes the server refuse new requests. Running requests continue.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the number of running requests.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Shutdown stops serving once the open connections are idle or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

// handle authenticates and routes one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c := s.newCall(ctx)
	s.inFlight.Add(1)
	s.Meters.Requests.Inc()
	defer c.release()
	defer c.recover()
	if s.draining.Load() {
		ctx.SetConnectionClose()
		c.refuse(spanrill.NewRefusal(spanrill.ReasonDraining, "this daemon is stopping").WithRetryAfter(drainRetryAfter))
		return
	}
	if refusal := c.authenticate(); refusal != nil {
		c.refuse(refusal)
		return
	}
	c.route()
}

// drainRetryAfter is when a caller refused by a stopping daemon should retry. It is short, since
// the load balancer sends the retry to another daemon.
const drainRetryAfter = 100 * spanrill.Millis(1)

// route handles the request according to its method and path.
func (c *call) route() {
	path := string(c.ctx.Path())
	switch {
	case path == PathChat && c.ctx.IsPost(), path == PathCompletions && c.ctx.IsPost():
		c.handleInference(path)
	case path == PathModels && c.ctx.IsGet():
		c.listModels()
	case strings.HasPrefix(path, PathServices):
		c.handleService(strings.TrimPrefix(path, PathServices))
	default:
		c.refuse(spanrill.NewRefusal(spanrill.ReasonUnknownRoute, "no such path: %s %s", c.ctx.Method(), path))
	}
}

// handleReadError answers a request that could not be read or parsed.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	c := s.newCall(ctx)
	ctx.SetConnectionClose()
	var bufferErr *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		linger(ctx.Conn())
		c.refuse(spanrill.NewRefusal(spanrill.ReasonBodyTooLarge, "the body is larger than %d bytes", s.limits.BodyBytes))
	case errors.As(err, &bufferErr):
		c.refuse(spanrill.NewRefusal(spanrill.ReasonHeadersTooLarge, "the headers are larger than %d bytes", s.limits.HeaderBytes))
	default:
		c.refuse(spanrill.NewRefusal(spanrill.ReasonBadBody, "the request could not be read: %v", err))
	}
}

// recover answers a request whose handler panicked. Its outcome is unknown.
func (c *call) recover() {
	if p := recover(); p != nil {
		events.RequestPanicked.Log(c.server.Log, logrus.Fields{"request": c.id, "panic": fmt.Sprint(p)})
		c.refuse(spanrill.NewRefusal(spanrill.ReasonInternal, "internal error").WithOutcome(spanrill.OutcomeUnknown))
	}
}
