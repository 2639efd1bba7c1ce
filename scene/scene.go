// Package scene runs a whole deployment in one process: daemons with stand-ins for the platform,
// the engines and a plain service. The demo and the benchmarks use it.
//
// # Usage
//
//	s, err := scene.Start(ctx, scene.Demo())
//	if err != nil {
//		return fmt.Errorf("start scene: %w", err)
//	}
//	defer s.Close()
//	url := s.URL(0)
package scene

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/reach"
	"spanrill/daemon"
	"spanrill/protocol/objectapi"
	"spanrill/settings"
	"spanrill/standin/engine"
	"spanrill/standin/model"
	"spanrill/standin/platform"
	"spanrill/standin/service"
	"spanrill/state/config"
	"spanrill/task"
	"spanrill/transport/httpcall"
)

// EngineSpec describes an engine of the deployment.
type EngineSpec struct {
	Name        string
	Zone        string
	Layers      spanrill.LayerRange
	Accelerator engine.Accelerator
	Empty       bool // starts without a model
}

// AccountSpec describes a client account. Its bearer key is KeyPrefix followed by its name.
type AccountSpec struct {
	Name              string
	Priority          int
	Weight            int
	RequestsPerSecond int // 0 for no limit
	MaxInFlight       int // maximum of concurrent requests, 0 for no limit
}

// KeyPrefix is the prefix of each account's bearer key; the account's name follows it.
const KeyPrefix = "key-of-"

// Spec describes a deployment.
type Spec struct {
	Model            model.Spec
	Zones            []string
	Engines          []EngineSpec
	ServiceUpstreams int // upstreams of the service "readings", distributed over the zones
	Daemons          int
	Accounts         []AccountSpec
	RoutingPolicy    string // "" for the default
	Seed             uint64
	ReportLag        time.Duration // interval between the load reports of an engine
	BoxLag           time.Duration // time until the platform's box list shows a change
	// LinkDelay returns the delay of the link between two engines. Without it links have no delay.
	LinkDelay func(from, to EngineSpec) time.Duration
	// ChangeSettings, if set, changes the settings of each daemon before it starts.
	ChangeSettings func(*settings.Settings)
	// UpstreamDial, if set, returns the function with which a daemon, counted from 0, connects to
	// upstreams.
	UpstreamDial func(daemon int) reach.DialFunc
	Log          *logrus.Logger
}

// Site is the name of the only site in a scene's configuration.
const Site = "site"

// Scene is a running deployment.
type Scene struct {
	spec     Spec
	ip       string
	platform *platform.Platform
	engines  map[string]*engine.Engine
	services []*service.Service
	daemons  []*Daemon
	boxes    []spanrill.Box
	tasks    task.Group
}

// Daemon is a daemon of a scene, with the settings that it was started with.
type Daemon struct {
	*daemon.Daemon
	settings settings.Settings
	stop     context.CancelFunc
}

// sceneCount is the number of scenes that this process has started.
var sceneCount atomic.Int64

// nextIP returns a loopback address for a new scene. It depends on the process ID and on a counter,
// so that scenes of one process, or of processes that run at the same time, don't share ports.
func nextIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, (os.Getpid()/200)%250, 2+sceneCount.Add(1)%250)
}

// Start starts a scene and waits until each daemon is ready and knows all others and all loaded
// engines.
func Start(ctx context.Context, spec Spec) (*Scene, error) {
	s := &Scene{spec: spec, ip: nextIP(), engines: map[string]*engine.Engine{}}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Scene) start(ctx context.Context) error {
	s.platform = platform.New(platform.WithBoxLag(s.spec.BoxLag))
	if _, err := s.platform.Listen(s.platformAddr()); err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	if err := s.startUpstreams(); err != nil {
		return err
	}
	for i := range s.spec.Daemons {
		s.addDaemonBox(i)
	}
	s.platform.SetBoxes(s.boxes)
	if err := s.configure(ctx); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	for i := range s.spec.Daemons {
		if err := s.startDaemon(i); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

func (s *Scene) platformAddr() string { return s.ip + ":7000" }

func (s *Scene) startUpstreams() error {
	for _, e := range s.spec.Engines {
		if err := s.startEngine(e); err != nil {
			return fmt.Errorf("start engine %s: %w", e.Name, err)
		}
	}
	for i := range s.spec.ServiceUpstreams {
		svc := service.New(fmt.Sprintf("readings-%d", i+1))
		addr, err := svc.Listen(s.ip + ":0")
		if err != nil {
			return fmt.Errorf("start service: %w", err)
		}
		s.services = append(s.services, svc)
		s.boxes = append(s.boxes, spanrill.Box{
			Name: fmt.Sprintf("readings-%d", i+1), Role: spanrill.RoleService, Service: "readings",
			Zone: s.spec.Zones[i%len(s.spec.Zones)], Addr: addr, State: spanrill.BoxLive,
		})
	}
	return nil
}

func (s *Scene) startEngine(e EngineSpec) error {
	opts := []engine.Option{engine.WithAccelerator(e.Accelerator), engine.WithReportLag(s.spec.ReportLag)}
	if !e.Empty {
		opts = append(opts, engine.WithModel(s.spec.Model, e.Layers))
	}
	eng := engine.New(e.Name, opts...)
	eng.SetFaults(engine.Faults{LinkMicros: s.LinkDelays(e.Name)})
	addr, err := eng.Listen(s.ip + ":0")
	if err != nil {
		return err
	}
	s.engines[e.Name] = eng
	s.boxes = append(s.boxes, spanrill.Box{
		Name: e.Name, Role: spanrill.RoleEngine, Zone: e.Zone, Addr: addr, State: spanrill.BoxLive,
	})
	return nil
}

func (s *Scene) daemonSettings(i int) settings.Settings {
	v := settings.Default()
	v.Name = fmt.Sprintf("entry-%d", i+1)
	v.Zone = s.spec.Zones[i%len(s.spec.Zones)]
	v.Listen = fmt.Sprintf("%s:%d", s.ip, 9001+i)
	v.AdminListen = fmt.Sprintf("%s:%d", s.ip, 10001+i)
	v.PeerListen = fmt.Sprintf("%s:%d", s.ip, 11001+i)
	v.TunnelListen = fmt.Sprintf("%s:%d", s.ip, 12001+i)
	v.Platform, v.FleetSecret = s.platformAddr(), "secret-of-the-scene"
	v.Seed = s.spec.Seed + uint64(i) + 1
	v.Drain.Notice = 100
	if s.spec.RoutingPolicy != "" {
		v.RoutingPolicy = s.spec.RoutingPolicy
	}
	if s.spec.ChangeSettings != nil {
		s.spec.ChangeSettings(&v)
	}
	return v
}

// addDaemonBox adds daemon i to the box list. The daemon need not run yet.
func (s *Scene) addDaemonBox(i int) {
	v := s.daemonSettings(i)
	s.boxes = append(s.boxes, spanrill.Box{
		Name: v.Name, Role: spanrill.RoleEntry, Zone: v.Zone, State: spanrill.BoxLive,
		Addr: v.Listen, PeerAddr: v.PeerListen, AdminAddr: v.AdminListen,
	})
}

func (s *Scene) startDaemon(i int) error {
	v := s.daemonSettings(i)
	log := s.spec.Log
	if log == nil {
		log = logrus.New()
		log.SetLevel(logrus.PanicLevel)
	}
	options := []daemon.Option{daemon.WithLogger(log)}
	if s.spec.UpstreamDial != nil {
		options = append(options, daemon.WithUpstreamDial(s.spec.UpstreamDial(i)))
	}
	d, err := daemon.New(v, options...)
	if err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.daemons = append(s.daemons, &Daemon{Daemon: d, settings: v, stop: stop})
	s.tasks.Start(ctx, v.Name, d.Run)
	return nil
}

// configure writes the model, the site and the accounts to the configuration.
func (s *Scene) configure(ctx context.Context) error {
	store := objectapi.New(s.platformAddr(), httpcall.New())
	modelSpec := s.spec.Model
	docs := map[config.Name]any{
		{Kind: config.KindModel, Name: modelSpec.Name}: config.Model{Name: modelSpec.Name, Version: modelSpec.Version, Layers: modelSpec.Layers},
		{Kind: config.KindSite, Name: Site}:            config.Site{Name: Site, Zones: s.spec.Zones, Fences: config.FencesAll},
	}
	for _, a := range s.spec.Accounts {
		s.addAccount(docs, a)
	}
	change := config.Change{Author: "scene", Documents: map[config.Name]json.RawMessage{}}
	for n, doc := range docs {
		value, err := json.Marshal(doc)
		if err != nil {
			return fmt.Errorf("encode %s: %w", n, err)
		}
		change.Documents[n] = value
	}
	_, err := config.NewEditor(store).Commit(ctx, change)
	return err
}

// addAccount adds an account to docs, and a template that only this account uses.
func (s *Scene) addAccount(docs map[config.Name]any, a AccountSpec) {
	hash := config.HashKey(KeyPrefix + a.Name)
	docs[config.Name{Kind: config.KindTemplate, Name: a.Name}] = config.Template{
		Name: a.Name,
		Models: []config.ModelUse{{
			Model: s.spec.Model.Name, Priority: config.IntLiteral(a.Priority), Site: config.StringLiteral(Site), MaxTokens: config.IntLiteral(4096),
		}},
		Services: []config.ServiceUse{{
			Service: "readings", Site: config.StringLiteral(Site), Calls: []config.Call{{Method: "POST", Path: "/readings"}},
		}},
		Limits: config.Limits{
			RequestsPerSecond: config.IntLiteral(a.RequestsPerSecond), InFlight: config.IntLiteral(a.MaxInFlight), Weight: config.IntLiteral(a.Weight),
		},
	}
	docs[config.Name{Kind: config.KindAccount, Name: a.Name}] = config.Account{
		Name: a.Name, Template: a.Name, KeyHashes: []string{hex.EncodeToString(hash[:])},
	}
}

// readyTimeout is the maximum time that Start waits for all daemons together.
const readyTimeout = 20 * time.Second

// awaitReady waits until isReady is true for every daemon. It fails when readyTimeout is over or ctx
// ends.
func (s *Scene) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range s.daemons {
		for !s.isReady(d) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Errorf("daemon %s is not ready within the time limit", d.settings.Name)
			}
			<-time.After(10 * time.Millisecond)
		}
	}
	return nil
}

// isReady reports whether a daemon is ready, knows all daemons, and knows as many loaded engines as
// were started with a model.
func (s *Scene) isReady(d *Daemon) bool {
	st := d.Status()
	loaded := 0
	for _, u := range st.Upstreams {
		if u.Model != "" {
			loaded++
		}
	}
	expected := 0
	for _, e := range s.spec.Engines {
		if !e.Empty {
			expected++
		}
	}
	return st.Ready && len(st.Peers) == len(s.daemons) && loaded >= expected
}

// LinkDelays returns the delay of the link from the named engine to each engine, in microseconds, by
// engine name. It is empty if Spec.LinkDelay is not set.
func (s *Scene) LinkDelays(name string) map[string]int {
	links := map[string]int{}
	if s.spec.LinkDelay == nil {
		return links
	}
	for _, from := range s.spec.Engines {
		if from.Name != name {
			continue
		}
		for _, to := range s.spec.Engines {
			links[to.Name] = int(s.spec.LinkDelay(from, to) / time.Microsecond)
		}
	}
	return links
}

// URL returns the base URL at which daemon i serves callers.
func (s *Scene) URL(i int) string { return "http://" + s.daemons[i].settings.Listen }

// Addr returns the address of an upstream or a daemon, or "" if there is none of that name.
func (s *Scene) Addr(name string) string {
	for _, b := range s.boxes {
		if b.Name == name {
			return b.Addr
		}
	}
	return ""
}

// Stages returns the engines that daemon i knows, as stages of chains.
func (s *Scene) Stages(i int) []spanrill.StageRef { return s.daemons[i].Stages() }

// Daemons returns the daemons, in the order of their start.
func (s *Scene) Daemons() []*Daemon { return s.daemons }

// Engine returns the stand-in of an engine, or nil if there is none of that name.
func (s *Scene) Engine(name string) *engine.Engine { return s.engines[name] }

// Services returns the stand-ins of the plain service's upstreams.
func (s *Scene) Services() []*service.Service { return s.services }

// Platform returns the stand-in of the platform.
func (s *Scene) Platform() *platform.Platform { return s.platform }

// PlatformAddr returns the address of the platform.
func (s *Scene) PlatformAddr() string { return s.platformAddr() }

// Spec returns the spec that the scene was started with.
func (s *Scene) Spec() Spec { return s.spec }

// StopDaemon starts a graceful shutdown of daemon i, which drains its requests.
func (s *Scene) StopDaemon(i int) { s.daemons[i].stop() }

// Close stops the daemons, waits until they have ended, and stops the stand-ins.
func (s *Scene) Close() {
	for _, d := range s.daemons {
		d.stop()
	}
	_ = s.tasks.Wait()
	for _, e := range s.engines {
		e.Kill()
	}
	for _, svc := range s.services {
		svc.Close()
	}
	s.platform.Close()
}
