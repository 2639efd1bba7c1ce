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

// call is one request of a caller.
type call struct {
	server   *Server
	ctx      *fasthttp.RequestCtx
	id       string
	snapshot *config.Snapshot
	grant    *config.Grant
	once     sync.Once
	streamed bool // the body is still being written when the handler returns
	keyed    bool // a call of a service with an idempotency key
	claimed  bool // the key was free, and is this call's now
}

func (s *Server) newCall(ctx *fasthttp.RequestCtx) *call {
	id := fmt.Sprintf("req-%016x", s.Random.Uint64())
	ctx.Response.Header.Set(HeaderRequestID, id)
	return &call{server: s, ctx: ctx, id: id, snapshot: s.Config(), keyed: isKeyed(ctx)}
}

func isKeyed(ctx *fasthttp.RequestCtx) bool {
	return len(ctx.Request.Header.Peek(HeaderIdempotency)) > 0 && bytes.HasPrefix(ctx.Path(), []byte(PathServices))
}

// release takes the request off the count, unless its stream goes on.
func (c *call) release() {
	if !c.streamed {
		c.done()
	}
}

func (c *call) done() {
	c.once.Do(func() { c.server.inFlight.Add(-1) })
}

var bearer = []byte("Bearer ")

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

// refuse gives the final answer to a request that is given up on. A request
// with an idempotency key may be the repeat of one that ran. While it is not
// known that the key was free, its outcome is unknown.
func (c *call) refuse(r *spanrill.Refusal) {
	if c.keyed && !c.claimed && r.Outcome() == spanrill.OutcomeNotRun {
		r = r.WithOutcome(spanrill.OutcomeUnknown)
	}
	c.count(r)
	c.ctx.Response.ResetBody()
	c.setOutcome(r.Outcome())
	c.setRetryAfter(r.RetryAfter())
	c.ctx.SetStatusCode(r.Reason().Status())
	c.writeJSON(r)
}

func (c *call) count(r *spanrill.Refusal) {
	c.server.Meters.CountRefusal(r.Reason())
	c.server.Meters.CountOutcome(r.Outcome())
	events.RequestRefused.Log(c.server.Log, logrus.Fields{
		"request": c.id, "reason": r.Reason().Code(), "outcome": r.Outcome().String(), "detail": r.Detail(),
	})
}

func (c *call) setOutcome(o spanrill.Outcome) {
	c.ctx.Response.Header.Set(HeaderOutcome, o.String())
}

// setRetryAfter says when to come back, in whole seconds as HTTP has it and in
// milliseconds for clients that read them.
func (c *call) setRetryAfter(after spanrill.Millis) {
	if after <= 0 {
		return
	}
	seconds := (after + spanrill.Second - 1) / spanrill.Second
	c.ctx.Response.Header.Set(HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	c.ctx.Response.Header.Set(HeaderRetryAfterMs, strconv.FormatInt(int64(after), 10))
}

func (c *call) writeJSON(v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.ctx.SetContentType("application/json")
	c.ctx.SetBody(body)
}

func (c *call) listModels() {
	list := modelList{Object: "list", Data: []modelCard{}}
	for _, name := range slices.Sorted(maps.Keys(c.grant.Models())) {
		list.Data = append(list.Data, modelCard{ID: name, Object: "model", OwnedBy: "spanrill"})
	}
	c.setOutcome(spanrill.OutcomeRan)
	c.writeJSON(list)
}
