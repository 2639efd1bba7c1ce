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

// Status is what a daemon says of itself on its admin address.
type Status struct {
	Name      string           `json:"name"`
	Zone      string           `json:"availability_zone"`
	Ready     bool             `json:"ready"`
	Why       string           `json:"why,omitempty"` // why it is not ready
	Revision  uint64           `json:"revision"`
	EditID    string           `json:"edit_id"`
	InFlight  int64            `json:"in_flight"`
	Policy    string           `json:"routing_policy"`
	Placement uint64           `json:"placement_term,omitempty"` // term of the placement lease, if held
	Running   int              `json:"running"`
	Waiting   int              `json:"waiting"`
	Peers     []string         `json:"peers"` // daemons alive, this one included
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is what a daemon knows of one upstream.
type UpstreamStatus struct {
	Name     string              `json:"name"`
	Addr     string              `json:"addr"`
	Zone     string              `json:"availability_zone"`
	Service  string              `json:"service,omitempty"`
	Model    string              `json:"model,omitempty"`
	Layers   spanrill.LayerRange `json:"layers"`
	InFlight int64               `json:"in_flight"`
	Load     float64             `json:"load"`
	Slow     float64             `json:"slow"`
	Leaving  bool                `json:"leaving"`
	Ejected  bool                `json:"ejected"`
}

// adminRoutes serves operators.
//
//	GET  /healthz   the process runs
//	GET  /readyz    the daemon should get requests
//	GET  /metrics   counters
//	GET  /status    a Status
//	GET  /requests  the generations that ended last
//	GET  /explain   why a request of an account would go where
//	POST /drain     starts a planned stop
func (d *Daemon) adminRoutes(ctx *fasthttp.RequestCtx) {
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
		serveJSON(ctx, d.Recent())
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
	if err := d.ready(); err != nil {
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
	server := &fasthttp.Server{Handler: d.adminRoutes, NoDefaultServerHeader: true}
	if err := server.Serve(d.admin); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Stages returns the engines that the daemon knows, as stages of chains.
func (d *Daemon) Stages() []spanrill.StageRef {
	var stages []spanrill.StageRef
	for _, u := range d.table.Upstreams() {
		if u.Service() == "" && u.Report() != nil {
			stages = append(stages, u.Stage())
		}
	}
	return stages
}

// Recent returns the generations that ended last, newest first.
func (d *Daemon) Recent() []callerapi.Finished { return d.api.Recent() }

// serveExplain answers for the query arguments account and model.
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
	use := grant.Model(model)
	if use == nil {
		ctx.Error("client account "+account+" has no model "+model, fasthttp.StatusNotFound)
		return
	}
	m := use.Model()
	index := d.table.View().Model(load.ModelKey{Model: m.Name, Version: m.Version, Site: use.Site().Name})
	if index == nil {
		ctx.Error("no engine holds model "+model, fasthttp.StatusNotFound)
		return
	}
	serveJSON(ctx, d.router.Explain(index, &routing.Query{Layers: m.Layers}))
}

// Status returns what the daemon says of itself.
func (d *Daemon) Status() Status {
	s := Status{
		Name: d.settings.Name, Zone: d.settings.Zone, Revision: d.follower.Revision(),
		InFlight: d.api.InFlight(), Policy: d.router.Policy().Name(),
	}
	if head := d.follower.Head(); head != nil {
		s.EditID = head.EditID
	}
	if err := d.ready(); err != nil {
		s.Why = err.Error()
	}
	s.Ready = s.Why == ""
	if l := d.lease.Load(); l != nil {
		s.Placement, _ = l.Held()
	}
	s.Running, s.Waiting = d.gate.Depth()
	for _, m := range d.peers.list.Live() {
		s.Peers = append(s.Peers, m.Name)
	}
	now := d.clock.Now()
	for _, u := range d.table.Upstreams() {
		us := UpstreamStatus{
			Name: u.Name(), Addr: u.Addr(), Zone: u.Zone(), Service: u.Service(),
			InFlight: u.InFlight(), Load: u.Load(now), Slow: u.Slowdown(now),
			Leaving: d.table.Leaving(u), Ejected: u.Ejected(now),
		}
		if r := u.Report(); r != nil {
			us.Model, us.Layers = r.Model, r.Layers
		}
		s.Upstreams = append(s.Upstreams, us)
	}
	return s
}
