// Package scene builds whole systems in one process: daemons before stand-ins,
// for the demo, for measurements and for trials.
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

// Engine describes one engine.
type Engine struct {
	Name   string
	Zone   string
	Layers spanrill.LayerRange
	Speed  engine.Speed
	Empty  bool // holds no model at the start
}

// Account describes one client account. Its bearer key is its name behind
// KeyPrefix.
type Account struct {
	Name     string
	Priority int
	Weight   int
	Requests int // a second, 0 for no limit
	InFlight int // at once, 0 for no limit
}

// KeyPrefix and an account's name make its bearer key.
const KeyPrefix = "key-of-"

// Spec describes a scene.
type Spec struct {
	Model     model.Spec
	Zones     []string
	Engines   []Engine
	Services  int // upstreams of the service "readings", over all zones
	Daemons   int
	Accounts  []Account
	Policy    string
	Seed      uint64
	ReportLag time.Duration
	BoxLag    time.Duration
	// Link returns the delay of the link between two engines.
	Link func(from, to Engine) time.Duration
	// Settings changes the settings of each daemon.
	Settings func(*settings.Settings)
	Log      *logrus.Logger
}

// Site is the name of a scene's one site.
const Site = "site"

// Scene is a system that runs.
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

// Daemon is one daemon of a scene.
type Daemon struct {
	*daemon.Daemon
	settings settings.Settings
	stop     context.CancelFunc
}

var scenes atomic.Int64

// nextIP returns a loopback address that no other scene uses.
func nextIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, (os.Getpid()/200)%250, 2+scenes.Add(1)%250)
}

// Start starts a scene and waits until its daemons are ready.
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
		s.listDaemon(i)
	}
	s.platform.SetBoxes(s.boxes)
	if err := s.configure(ctx); err != nil {
		return fmt.Errorf("configure: %w", err)
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
	for i := range s.spec.Services {
		v := service.New(fmt.Sprintf("readings-%d", i+1))
		addr, err := v.Listen(s.ip + ":0")
		if err != nil {
			return fmt.Errorf("start service: %w", err)
		}
		s.services = append(s.services, v)
		s.boxes = append(s.boxes, spanrill.Box{
			Name: fmt.Sprintf("readings-%d", i+1), Role: spanrill.RoleService, Service: "readings",
			Zone: s.spec.Zones[i%len(s.spec.Zones)], Addr: addr, State: spanrill.BoxLive,
		})
	}
	return nil
}

func (s *Scene) startEngine(e Engine) error {
	opts := []engine.Option{engine.WithSpeed(e.Speed), engine.WithReportLag(s.spec.ReportLag)}
	if !e.Empty {
		opts = append(opts, engine.WithModel(s.spec.Model, e.Layers))
	}
	v := engine.New(e.Name, opts...)
	v.SetFaults(engine.Faults{LinkMicros: s.Links(e.Name)})
	addr, err := v.Listen(s.ip + ":0")
	if err != nil {
		return err
	}
	s.engines[e.Name] = v
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
	v.Platform, v.FleetSecret = s.platformAddr(), "secret-of-the-scene"
	v.Seed = s.spec.Seed + uint64(i) + 1
	v.Drain.Notice = 100
	if s.spec.Policy != "" {
		v.RoutingPolicy = s.spec.Policy
	}
	if s.spec.Settings != nil {
		s.spec.Settings(&v)
	}
	return v
}

func (s *Scene) listDaemon(i int) {
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
	d, err := daemon.New(v, daemon.WithLogger(log))
	if err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.daemons = append(s.daemons, &Daemon{Daemon: d, settings: v, stop: stop})
	s.tasks.Start(ctx, v.Name, d.Run)
	return nil
}

func (s *Scene) configure(ctx context.Context) error {
	store := objectapi.New(s.platformAddr(), httpcall.New())
	m := s.spec.Model
	docs := map[config.Name]any{
		{Kind: config.KindModel, Name: m.Name}: config.Model{Name: m.Name, Version: m.Version, Layers: m.Layers},
		{Kind: config.KindSite, Name: Site}:    config.Site{Name: Site, Zones: s.spec.Zones, Fences: config.FencesAll},
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

// addAccount adds an account with a template of its own.
func (s *Scene) addAccount(docs map[config.Name]any, a Account) {
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
			RequestsPerSecond: config.IntLiteral(a.Requests), InFlight: config.IntLiteral(a.InFlight), Weight: config.IntLiteral(a.Weight),
		},
	}
	docs[config.Name{Kind: config.KindAccount, Name: a.Name}] = config.Account{
		Name: a.Name, Template: a.Name, KeyHashes: []string{hex.EncodeToString(hash[:])},
	}
}

const readyLimit = 20 * time.Second

// awaitReady returns once every daemon is ready and knows all others and all
// engines.
func (s *Scene) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(readyLimit)
	for _, d := range s.daemons {
		for !s.ready(d) {
			if time.Now().After(limit) || ctx.Err() != nil {
				return errors.Errorf("%s is not ready in time", d.settings.Name)
			}
			<-time.After(10 * time.Millisecond)
		}
	}
	return nil
}

func (s *Scene) ready(d *Daemon) bool {
	st := d.Status()
	holding := 0
	for _, u := range st.Upstreams {
		if u.Model != "" {
			holding++
		}
	}
	want := 0
	for _, e := range s.spec.Engines {
		if !e.Empty {
			want++
		}
	}
	return st.Ready && len(st.Peers) == len(s.daemons) && holding >= want
}

// Links returns the delays of the links from an engine, in microseconds.
func (s *Scene) Links(name string) map[string]int {
	links := map[string]int{}
	if s.spec.Link == nil {
		return links
	}
	for _, from := range s.spec.Engines {
		if from.Name != name {
			continue
		}
		for _, to := range s.spec.Engines {
			links[to.Name] = int(s.spec.Link(from, to) / time.Microsecond)
		}
	}
	return links
}

// URL returns the address that callers of a daemon use.
func (s *Scene) URL(i int) string { return "http://" + s.daemons[i].settings.Listen }

// Addr returns the address of an upstream.
func (s *Scene) Addr(name string) string {
	for _, b := range s.boxes {
		if b.Name == name {
			return b.Addr
		}
	}
	return ""
}

// Stages returns the engines that a daemon knows, as stages of chains.
func (s *Scene) Stages(i int) []spanrill.StageRef { return s.daemons[i].Stages() }

// Daemons returns the daemons.
func (s *Scene) Daemons() []*Daemon { return s.daemons }

// Engine returns an engine's stand-in.
func (s *Scene) Engine(name string) *engine.Engine { return s.engines[name] }

// Services returns the upstreams of the plain service.
func (s *Scene) Services() []*service.Service { return s.services }

// Platform returns the platform's stand-in.
func (s *Scene) Platform() *platform.Platform { return s.platform }

// PlatformAddr returns the address of the platform's stand-in.
func (s *Scene) PlatformAddr() string { return s.platformAddr() }

// Spec returns the scene's description.
func (s *Scene) Spec() Spec { return s.spec }

// StopDaemon stops a daemon as planned.
func (s *Scene) StopDaemon(i int) { s.daemons[i].stop() }

// Close stops everything.
func (s *Scene) Close() {
	for _, d := range s.daemons {
		d.stop()
	}
	_ = s.tasks.Wait()
	for _, e := range s.engines {
		e.Kill()
	}
	for _, v := range s.services {
		v.Close()
	}
	s.platform.Close()
}
