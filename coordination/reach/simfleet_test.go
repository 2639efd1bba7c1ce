package reach

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/rng"
	"spanrill/task"
	"spanrill/transport/tunnel"
)

// simFleet is a fleet of dialers in simulated time. They reach upstreams and each other over a network
// on which connections can be cut.
type simFleet struct {
	*testing.T
	clock     *clock.System
	random    *rng.Source
	upstreams []string          // addresses
	serviceOf map[string]string // by address
	group     task.Group
	ctx       context.Context

	mu       sync.Mutex
	daemons  []*simDaemon
	callTime spanrill.Millis // how long a call keeps its connection
	requests int             // number of the last request
	bytes    int             // of messages about helpers
	silent   map[string]bool // upstreams that answer no connection, by address
	dials    int             // direct connections that were asked for
}

// simDaemon is one daemon. It is a spanrill.UpstreamDirectory.
type simDaemon struct {
	*simFleet
	name, zone string
	dialer     *Dialer
	server     *Server
	random     *rng.Source
	stop       context.CancelFunc
	maxOpen    int // tunnels

	// The lock of the fleet guards the rest.
	cuts     map[string]simCut // by service
	down     bool              // killed: connections are refused
	frozen   bool              // connections hang
	leaving  bool
	delay    spanrill.Millis // of answers to peers
	island   int             // daemons reach those of the same island only
	known    []*simDaemon    // members that it knows
	news     map[*simDaemon]simNews
	open     int // tunnels
	mostOpen int
	served   int // tunnels that it opened for others
	asked    int // tunnels and helpers that others asked for
	heardAt  spanrill.Millis
}

// simNews is what a daemon has told another one with its news.
type simNews struct {
	lost []string
	at   spanrill.Millis
}

// simCut is a way in which a daemon loses its path to the upstreams of a service.
type simCut uint8

const (
	simWhole  simCut = iota
	simSilent        // connections hang
	simReset         // connections are refused
	simLossy         // three packets in ten are lost
)

const (
	simUpstreams = 24 // of each of the two services
	simZones     = 4
	// simDialTimeout is the time that a direct connection may take, as in gateways.
	simDialTimeout spanrill.Millis = 350
	// simRequestTime is the time that a request has to get a connection.
	simRequestTime = 1500 * spanrill.Millis(1)
	simNewsRound   = 250 * spanrill.Millis(1)
	simNewsTTL     = 2 * spanrill.Second
	simNewsPeers   = 4 // that a daemon of a large fleet asks in a round
	simMaxTries    = 3 // upstreams that a request tries
)

var simServices = []string{"reading", "register"}

// playFleet plays a fleet of n daemons.
func playFleet(t *testing.T, n int, play func(f *simFleet)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		boot := func() time.Duration { return time.Since(start) }
		ctx, cancel := context.WithCancel(context.Background())
		f := &simFleet{T: t, clock: clock.NewSystem(clock.WithBootTime(boot)), random: rng.New(1), serviceOf: map[string]string{}, silent: map[string]bool{}, ctx: ctx, callTime: 100}
		f.pass(100 * spanrill.Second)
		for i := range simUpstreams {
			for _, service := range simServices {
				addr := fmt.Sprint(service, i)
				f.upstreams = append(f.upstreams, addr)
				f.serviceOf[addr] = service
			}
		}
		for i := range n {
			f.start(fmt.Sprint("d", i), fmt.Sprint("z", i%simZones))
		}
		f.introduceAll()
		play(f)
		cancel()
		f.pass(20 * spanrill.Second)
		_ = f.group.Wait()
	})
}

// start starts a daemon that knows no other one.
func (f *simFleet) start(name, zone string) *simDaemon {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	d := &simDaemon{simFleet: f, name: name, zone: zone, random: rng.New(f.random.Uint64()), maxOpen: 256, cuts: map[string]simCut{}, news: map[*simDaemon]simNews{}}
	d.dialer = New(d, f.clock, log, d.random, WithDirect(d.dialDirect, simDialTimeout), WithHelp(d.helpers, d), WithZone(zone))
	d.server = NewServer(d.dialer, func(tunnel.Target) error { return nil }, func(string, spanrill.Notice, spanrill.Millis) {})
	ctx, cancel := context.WithCancel(f.ctx)
	d.stop = cancel
	f.group.Start(ctx, "paths", d.dialer.Run)
	f.group.Start(ctx, "news", d.exchangeNews)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, d)
	return d
}

// introduceAll makes each daemon know all that run.
func (f *simFleet) introduceAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		d.known = slices.DeleteFunc(slices.Clone(f.daemons), func(o *simDaemon) bool { return o == d || o.down })
	}
}

// kill ends a daemon's process.
func (d *simDaemon) kill() {
	d.set(func() { d.down = true })
	d.stop()
}

// set changes the state of the fleet.
func (f *simFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// cut cuts daemons off from services, all if none is named.
func (f *simFleet) cut(cut simCut, daemons []*simDaemon, services ...string) {
	if len(services) == 0 {
		services = simServices
	}
	f.set(func() {
		for _, d := range daemons {
			for _, s := range services {
				d.cuts[s] = cut
			}
		}
	})
}

func (f *simFleet) pass(d spanrill.Millis) {
	<-f.clock.After(d)
	synctest.Wait()
}
