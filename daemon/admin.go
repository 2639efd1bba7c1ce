package daemon

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"spanrill"
	"spanrill/coordination/routing"
	"spanrill/protocol/callerapi"
	"spanrill/state/load"
)

// Status is what a daemon reports about itself on its admin address.
type Status struct {
	Name           string           `json:"name"`
	Zone           string           `json:"availability_zone"`
	Ready          bool             `json:"ready"`
	NotReadyReason string           `json:"why,omitempty"` // why it is not ready
	Revision       uint64           `json:"revision"`
	EditID         string           `json:"edit_id"`
	InFlight       int64            `json:"in_flight"`
	RoutingPolicy  string           `json:"routing_policy"`
	PlacementTerm  uint64           `json:"placement_term,omitempty"` // term of the placement lease, if held
	Running        int              `json:"running"`                  // requests admitted
	Waiting        int              `json:"waiting"`                  // requests in the queue
	Peers          []string         `json:"peers"`                    // names of the live daemons, including this one
	LostPaths      []LostPath       `json:"lost_paths"`               // services whose upstreams it reaches only through other daemons
	Upstreams      []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is what a daemon knows about one upstream.
type UpstreamStatus struct {
	Name     string              `json:"name"`
	Addr     string              `json:"addr"`
	Zone     string              `json:"availability_zone"`
	Service  string              `json:"service,omitempty"`
	Model    string              `json:"model,omitempty"`
	Layers   spanrill.LayerRange `json:"layers"`
	InFlight int64               `json:"in_flight"`
	Load     float64             `json:"load"`
	Slowdown float64             `json:"slow"`
	Leaving  bool                `json:"leaving"`
	Ejected  bool                `json:"ejected"`
}

// handleAdmin serves the requests of operators.
//
//	GET  /healthz   200 while the process runs
//	GET  /readyz    200 if the daemon should get requests
//	GET  /metrics   counters
//	GET  /status    a Status
//	GET  /requests  the most recently finished generations
//	GET  /explain   the routing decision for an account and a model
//	POST /drain     starts a planned stop
func (d *Daemon) handleAdmin(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		d.serveReady(ctx)
	case path == "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		d.meters.Write(ctx)
	case path == "/status":
		serveJSON(ctx, d.Status())
	case path == "/requests":
		serveJSON(ctx, d.RecentGenerations())
	case path == "/explain":
		d.serveExplain(ctx)
	case path == "/drain" && ctx.IsPost():
		d.Stop()
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case d.settings.Pprof && len(path) > 12 && path[:13] == "/debug/pprof/":
		pprofhandler.PprofHandler(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (d *Daemon) serveReady(ctx *fasthttp.RequestCtx) {
	if err := d.readyError(); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func serveJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

func (d *Daemon) serveAdmin(context.Context) error {
	server := &fasthttp.Server{Handler: d.handleAdmin, NoDefaultServerHeader: true}
	if err := server.Serve(d.adminListener); err != nil {
		return fmt.Errorf("serve admin interface: %w", err)
	}
	return nil
}

// Stages returns the engines known to the daemon, as stages of chains.
func (d *Daemon) Stages() []spanrill.StageRef {
	var stages []spanrill.StageRef
	for _, u := range d.table.Upstreams() {
		if u.Service() == "" && u.Report() != nil {
			stages = append(stages, u.Stage())
		}
	}
	return stages
}

// RecentGenerations returns the most recently finished generations, newest first.
func (d *Daemon) RecentGenerations() []callerapi.FinishedGeneration { return d.api.RecentGenerations() }

// serveExplain explains how a request of the client account and for the model in the query arguments
// would be routed.
func (d *Daemon) serveExplain(ctx *fasthttp.RequestCtx) {
	account, model := string(ctx.QueryArgs().Peek("account")), string(ctx.QueryArgs().Peek("model"))
	snapshot := d.follower.Current()
	if snapshot == nil {
		ctx.Error("no configuration yet", fasthttp.StatusServiceUnavailable)
		return
	}
	grant := snapshot.Account(account)
	if grant == nil {
		ctx.Error("no client account "+account, fasthttp.StatusNotFound)
		return
	}
	modelGrant := grant.Model(model)
	if modelGrant == nil {
		ctx.Error("client account "+account+" has no model "+model, fasthttp.StatusNotFound)
		return
	}
	m := modelGrant.Model()
	index := d.table.View().Model(load.ModelKey{Model: m.Name, Version: m.Version, Site: modelGrant.Site().Name})
	if index == nil {
		ctx.Error("no engine holds model "+model, fasthttp.StatusNotFound)
		return
	}
	serveJSON(ctx, d.router.Explain(index, &routing.Query{Layers: m.Layers}))
}

// Status returns the daemon's status.
func (d *Daemon) Status() Status {
	s := Status{
		Name: d.settings.Name, Zone: d.settings.Zone, Revision: d.follower.Revision(),
		InFlight: d.api.InFlight(), RoutingPolicy: d.router.Policy().Name(),
	}
	if head := d.follower.Head(); head != nil {
		s.EditID = head.EditID
	}
	if err := d.readyError(); err != nil {
		s.NotReadyReason = err.Error()
	}
	s.Ready = s.NotReadyReason == ""
	if l := d.lease.Load(); l != nil {
		s.PlacementTerm, _ = l.Held()
	}
	s.Running, s.Waiting = d.gate.Depth()
	for _, m := range d.peers.list.Live() {
		s.Peers = append(s.Peers, m.Name)
	}
	s.LostPaths = d.paths.lostPaths()
	now := d.clock.Now()
	for _, u := range d.table.Upstreams() {
		status := UpstreamStatus{
			Name: u.Name(), Addr: u.Addr(), Zone: u.Zone(), Service: u.Service(),
			InFlight: u.InFlight(), Load: u.Load(now), Slowdown: u.Slowdown(now),
			Leaving: d.table.Leaving(u), Ejected: u.Ejected(now),
		}
		if r := u.Report(); r != nil {
			status.Model, status.Layers = r.Model, r.Layers
		}
		s.Upstreams = append(s.Upstreams, status)
	}
	return s
}
