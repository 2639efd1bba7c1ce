package engine

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/standin/model"
	"spanrill/standin/web"
)

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/run":
		e.serveRun(ctx)
	case path == "/v1/stage":
		e.serveStage(ctx)
	case path == "/v1/status":
		web.WriteJSON(ctx, e.status())
	case path == "/v1/cache-events":
		e.serveCacheEvents(ctx)
	case path == "/v1/orders" && ctx.IsPost():
		e.serveOrder(ctx)
	case path == "/v1/orders":
		web.WriteJSON(ctx, e.Orders())
	case strings.HasPrefix(path, "/v1/kv/"):
		e.serveKV(ctx, path[len("/v1/kv/"):])
	case path == "/faults":
		var f Faults
		if web.ReadJSON(ctx, &f) {
			e.SetFaults(f)
		}
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (e *Engine) serveStage(ctx *fasthttp.RequestCtx) {
	op := &stageOp{}
	if web.ReadJSON(ctx, op) {
		web.WriteJSON(ctx, e.stage(op))
	}
}

func (e *Engine) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	fresh := []CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Seq > after {
			fresh = append(fresh, ev)
		}
	}
	web.WriteJSON(ctx, fresh)
}

// kvState is a stream's KV as it is exported and imported.
type kvState struct {
	Layers spanrill.LayerRange `json:"layers"`
	Pos    int                 `json:"pos"`
	KV     []model.KV          `json:"kv"`
}

func (e *Engine) serveKV(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		ctx.Error("no such stream", fasthttp.StatusNotFound)
		return
	}
	if !ctx.IsPost() {
		web.WriteJSON(ctx, kvState{Layers: s.layers, Pos: s.pos, KV: s.kv})
		return
	}
	var in kvState
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil || in.Layers != s.layers {
		ctx.Error("KV of other layers", fasthttp.StatusConflict)
		return
	}
	s.pos, s.kv = in.Pos, in.KV
}

// Orders returns the orders that took effect, oldest first.
func (e *Engine) Orders() []spanrill.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]spanrill.Order{}, e.orders...)
}

func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var o spanrill.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		e.refuseRun(ctx, e.refuse(spanrill.CodeBadRequest, "%v", err))
		return
	}
	lose, refusal := e.order(o)
	if refusal != nil {
		e.refuseRun(ctx, refusal)
		return
	}
	if lose {
		ctx.Conn().Close()
	}
}

// order takes an order unless a newer holder of the same duty gave one before.
func (e *Engine) order(o spanrill.Order) (lose bool, refusal *spanrill.RunError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.FailOrders > 0 {
		e.faults.FailOrders--
		return false, e.refuse(spanrill.CodeBusy, "order fault")
	}
	if o.Term < e.terms[o.LeaseName] && !e.faults.IgnoreFences {
		return false, e.refuse(spanrill.CodeFenced, "term %d is below %d", o.Term, e.terms[o.LeaseName])
	}
	if o.Layers.Len() > e.speed.MemLayers {
		return false, e.refuse(spanrill.CodeBadRequest, "%d layers do not fit into %d", o.Layers.Len(), e.speed.MemLayers)
	}
	e.terms[o.LeaseName] = max(e.terms[o.LeaseName], o.Term)
	e.orders = append(e.orders, o)
	e.load(o)
	if e.faults.LoseOrderReply > 0 {
		e.faults.LoseOrderReply--
		return true, nil
	}
	return false, nil
}

// load starts to load what the order names. The caller holds the lock.
func (e *Engine) load(o spanrill.Order) {
	spec := model.Spec{Name: o.Model, Version: o.Version, Layers: o.LayerNum}
	if spec == e.spec && o.Layers == e.layers {
		return
	}
	e.loading = true
	e.generation++
	e.spec, e.layers = spec, o.Layers
	e.cache.clear()
	mine := e.generation
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.generation == mine {
			e.loading = false
		}
	})
}
