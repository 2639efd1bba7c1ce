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
// ran. An answer that gives up says in Retry-After when to come back.
//
// # Usage
//
//	api := callerapi.New(callerapi.Parts{...}, callerapi.WithLimits(limits))
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
	// Admit waits until the request may start, or returns why it may not. The
	// function returned ends the request and tells how many tokens it took.
	Admit(ctx context.Context, grant *config.Grant, model *config.ModelGrant, maxTokens int) (func(tokens int), *spanrill.Refusal)
}

// Claims makes sure that a call with an idempotency key runs at most once.
type Claims interface {
	// Do runs f, or returns the recorded outcome of an earlier call with the
	// same key.
	Do(ctx context.Context, account, key string, req *spanrill.ServiceRequest, f func() (*spanrill.ServiceAnswer, *spanrill.Refusal)) (*spanrill.ServiceAnswer, *spanrill.Refusal)
}

// Parts are what the server stands on.
type Parts struct {
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

// Limits bounds what callers may send and receive.
type Limits struct {
	BodyBytes    int
	HeaderBytes  int
	StreamTokens int
	ReadWait     spanrill.Millis // for a whole request
	WriteWait    spanrill.Millis // for the reader of an answer
}

// DefaultLimits are the limits of settings that name none.
var DefaultLimits = Limits{
	BodyBytes: 4 << 20, HeaderBytes: 16 << 10, StreamTokens: 32768,
	ReadWait: 30 * spanrill.Second, WriteWait: 30 * spanrill.Second,
}

// Server serves callers.
type Server struct {
	Parts
	limits   Limits
	http     *fasthttp.Server
	ctx      context.Context
	draining atomic.Bool
	inFlight atomic.Int64
	streams  task.Group
	recent   *ring.Ring[Finished]
}

// New returns a server.
func New(parts Parts, limits Limits) *Server {
	s := &Server{Parts: parts, limits: limits, ctx: context.Background(), recent: ring.New[Finished](recentKept)}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.transportError,
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

// Serve serves until the listener is closed by Shutdown. The context cancels
// the requests that run.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	s.ctx = ctx
	if err := s.http.Serve(ln); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Drain refuses requests from now on. Those that run go on.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the requests that run.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Shutdown stops serving once the open connections are idle or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c := s.newCall(ctx)
	s.inFlight.Add(1)
	s.Meters.Requests.Inc()
	defer c.release()
	defer c.recover()
	if s.draining.Load() {
		ctx.SetConnectionClose()
		c.refuse(spanrill.NewRefusal(spanrill.ReasonDraining, "this daemon is stopping").WithRetryAfter(drainRetry))
		return
	}
	if refusal := c.authenticate(); refusal != nil {
		c.refuse(refusal)
		return
	}
	c.route()
}

// drainRetry is when a caller that met a stopping daemon should come back: the
// balancer sends it to another one at once.
const drainRetry = 100 * spanrill.Millis(1)

func (c *call) route() {
	path := string(c.ctx.Path())
	switch {
	case path == PathChat && c.ctx.IsPost(), path == PathCompletions && c.ctx.IsPost():
		c.inference(path)
	case path == PathModels && c.ctx.IsGet():
		c.listModels()
	case strings.HasPrefix(path, PathServices):
		c.service(strings.TrimPrefix(path, PathServices))
	default:
		c.refuse(spanrill.NewRefusal(spanrill.ReasonUnknownRoute, "no such path: %s %s", c.ctx.Method(), path))
	}
}

// transportError answers a request that could not be read.
func (s *Server) transportError(ctx *fasthttp.RequestCtx, err error) {
	c := s.newCall(ctx)
	ctx.SetConnectionClose()
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		linger(ctx.Conn())
		c.refuse(spanrill.NewRefusal(spanrill.ReasonBodyTooLarge, "the body is larger than %d bytes", s.limits.BodyBytes))
	case errors.As(err, &small):
		c.refuse(spanrill.NewRefusal(spanrill.ReasonHeadersTooLarge, "the headers are larger than %d bytes", s.limits.HeaderBytes))
	default:
		c.refuse(spanrill.NewRefusal(spanrill.ReasonBadBody, "the request could not be read: %v", err))
	}
}

// recover answers a request whose handling panicked.
func (c *call) recover() {
	if p := recover(); p != nil {
		events.RequestPanicked.Log(c.server.Log, logrus.Fields{"request": c.id, "panic": fmt.Sprint(p)})
		c.refuse(spanrill.NewRefusal(spanrill.ReasonInternal, "internal error").WithOutcome(spanrill.OutcomeUnknown))
	}
}
