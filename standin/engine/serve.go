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
	request := &stageRequest{}
	if web.ReadJSON(ctx, request) {
		web.WriteJSON(ctx, e.handleStage(request))
	}
}

func (e *Engine) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	newer := []CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Seq > after {
			newer = append(newer, ev)
		}
	}
	web.WriteJSON(ctx, newer)
}

// kvState is the KV cache of a stream on this stage, as it is exported and imported.
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
	var imported kvState
	if err := json.Unmarshal(ctx.PostBody(), &imported); err != nil || imported.Layers != s.layers {
		ctx.Error("the body is not a KV cache of this stream's layers", fasthttp.StatusConflict)
		return
	}
	s.pos, s.kv = imported.Pos, imported.KV
}

// Orders returns the orders that were carried out, oldest first.
func (e *Engine) Orders() []spanrill.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]spanrill.Order{}, e.orders...)
}

func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var o spanrill.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		e.writeConflict(ctx, e.newRunError(spanrill.CodeBadRequest, "%v", err))
		return
	}
	loseReply, runErr := e.applyOrder(o)
	if runErr != nil {
		e.writeConflict(ctx, runErr)
		return
	}
	if loseReply {
		ctx.Conn().Close()
	}
}

// applyOrder carries out an order, unless an earlier order under the same lease had a higher term. It
// also reports whether a fault requires that the reply is lost.
func (e *Engine) applyOrder(o spanrill.Order) (loseReply bool, runErr *spanrill.RunError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.FailOrders > 0 {
		e.faults.FailOrders--
		return false, e.newRunError(spanrill.CodeBusy, "simulated failure of an order")
	}
	if o.Term < e.terms[o.LeaseName] && !e.faults.IgnoreFences {
		return false, e.newRunError(spanrill.CodeFenced, "term %d is lower than term %d of an earlier order", o.Term, e.terms[o.LeaseName])
	}
	if o.Layers.Len() > e.accelerator.MaxLayers {
		return false, e.newRunError(spanrill.CodeBadRequest, "%d layers do not fit in memory, which holds %d", o.Layers.Len(), e.accelerator.MaxLayers)
	}
	e.terms[o.LeaseName] = max(e.terms[o.LeaseName], o.Term)
	e.orders = append(e.orders, o)
	e.startLoading(o)
	if e.faults.LoseOrderReply > 0 {
		e.faults.LoseOrderReply--
		return true, nil
	}
	return false, nil
}

// startLoading begins to load the model and layers of an order, unless the engine holds or loads them
// already. The caller holds e.mu.
func (e *Engine) startLoading(o spanrill.Order) {
	spec := model.Spec{Name: o.Model, Version: o.Version, Layers: o.LayerCount}
	if spec == e.spec && o.Layers == e.layers {
		return
	}
	e.loading = true
	e.generation++
	e.spec, e.layers = spec, o.Layers
	e.cache.clear()
	loadedGeneration := e.generation
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.generation == loadedGeneration {
			e.loading = false
		}
	})
}
