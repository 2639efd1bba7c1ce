package callerapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/events"
	"spanrill/state/config"
)

// call is the state of one HTTP request of a caller while it is served.
type call struct {
	server            *Server
	ctx               *fasthttp.RequestCtx
	id                string
	snapshot          *config.Snapshot
	grant             *config.Grant // what the client account may use, set by authenticate
	finishOnce        sync.Once
	streaming         bool // the body is still written when the handler returns
	hasIdempotencyKey bool // the request calls a service with an idempotency key
	keyClaimed        bool // the key was free, and this call has claimed it
}

// newCall gives a request its id and the configuration in force.
func (s *Server) newCall(ctx *fasthttp.RequestCtx) *call {
	id := fmt.Sprintf("req-%016x", s.Random.Uint64())
	ctx.Response.Header.Set(HeaderRequestID, id)
	return &call{server: s, ctx: ctx, id: id, snapshot: s.Config(), hasIdempotencyKey: carriesIdempotencyKey(ctx)}
}

// carriesIdempotencyKey reports whether a request calls a plain service with an idempotency key.
func carriesIdempotencyKey(ctx *fasthttp.RequestCtx) bool {
	return len(ctx.Request.Header.Peek(HeaderIdempotency)) > 0 && bytes.HasPrefix(ctx.Path(), []byte(PathServices))
}

// release ends the call when its handler returns, unless its answer is still streamed.
func (c *call) release() {
	if !c.streaming {
		c.finish()
	}
}

// finish takes the call off the count of requests in flight, once.
func (c *call) finish() {
	c.finishOnce.Do(func() { c.server.inFlight.Add(-1) })
}

var bearer = []byte("Bearer ")

// authenticate looks up the client account of the bearer key, or returns why the request is refused.
func (c *call) authenticate() *spanrill.Refusal {
	if c.snapshot == nil {
		return spanrill.NewRefusal(spanrill.ReasonNotReady, "this daemon has no configuration yet").
			WithRetryAfter(spanrill.Second)
	}
	header := c.ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	key, ok := bytes.CutPrefix(header, bearer)
	if !ok || len(key) == 0 {
		return spanrill.NewRefusal(spanrill.ReasonBadKey, "send the header Authorization: Bearer <key>")
	}
	c.grant = c.snapshot.ByKey(string(key))
	if c.grant == nil {
		return spanrill.NewRefusal(spanrill.ReasonBadKey, "no client account has this key")
	}
	if c.grant.Disabled() {
		return spanrill.NewRefusal(spanrill.ReasonAccountDisabled, "client account %s is disabled", c.grant.Account())
	}
	return nil
}

// refuse answers a request with a refusal. A request with an idempotency key may repeat one that
// ran, so until this call has claimed the key, the outcome is unknown instead of not-run.
func (c *call) refuse(r *spanrill.Refusal) {
	if c.hasIdempotencyKey && !c.keyClaimed && r.Outcome() == spanrill.OutcomeNotRun {
		r = r.WithOutcome(spanrill.OutcomeUnknown)
	}
	c.recordRefusal(r)
	c.ctx.Response.ResetBody()
	c.setOutcome(r.Outcome())
	c.setRetryAfter(r.RetryAfter())
	c.ctx.SetStatusCode(r.Reason().Status())
	c.writeJSON(r)
}

// recordRefusal counts and logs a refusal.
func (c *call) recordRefusal(r *spanrill.Refusal) {
	c.server.Meters.CountRefusal(r.Reason())
	c.server.Meters.CountOutcome(r.Outcome())
	events.RequestRefused.Log(c.server.Log, logrus.Fields{
		"request": c.id, "reason": r.Reason().Code(), "outcome": r.Outcome().String(), "detail": r.Detail(),
	})
}

// setOutcome sets the header that tells whether the request ran.
func (c *call) setOutcome(o spanrill.Outcome) {
	c.ctx.Response.Header.Set(HeaderOutcome, o.String())
}

// setRetryAfter sets when the caller should retry: in whole seconds, rounded up, in the standard
// header, and in milliseconds for clients that read Retry-After-Ms.
func (c *call) setRetryAfter(after spanrill.Millis) {
	if after <= 0 {
		return
	}
	seconds := (after + spanrill.Second - 1) / spanrill.Second
	c.ctx.Response.Header.Set(HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	c.ctx.Response.Header.Set(HeaderRetryAfterMs, strconv.FormatInt(int64(after), 10))
}

// writeJSON sets v as the body of the answer.
func (c *call) writeJSON(v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.ctx.SetContentType("application/json")
	c.ctx.SetBody(body)
}

// listModels answers with the models that the client account may use.
func (c *call) listModels() {
	list := modelList{Object: "list", Data: []modelCard{}}
	for _, name := range slices.Sorted(maps.Keys(c.grant.Models())) {
		list.Data = append(list.Data, modelCard{ID: name, Object: "model", OwnedBy: "spanrill"})
	}
	c.setOutcome(spanrill.OutcomeRan)
	c.writeJSON(list)
}
