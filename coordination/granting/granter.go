package granting

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/protocol/peermsg"
)

const (
	// tickInterval is the pause between two checks of all services for lapsed claims and waiting
	// requests that can start.
	tickInterval = advanceInterval
	// serviceRetention is how long a service without requests and claims is retained.
	serviceRetention = 60 * spanrill.Second
	// handlesPerService is the distance between the handles of two services, so that ids of grants
	// given ahead of need are unique at this daemon.
	handlesPerService = 1 << 40
)

// Granter gives room for the services whose granting daemon, or standby, this daemon is. It
// implements Local. It is safe for concurrent use.
type Granter struct {
	peers  Peers
	source Source
	parts  Parts
	clock  spanrill.Clock
	log    logrus.FieldLogger
	ahead  bool
	done   chan struct{}

	// mu is held while Peers and Source are read: the chains of a service every refreshInterval, the
	// list of granting daemons as often. They have to answer from memory, and must not call the
	// Granter. A decision takes some microseconds (BenchmarkRequest), so that one lock suffices for
	// the thousand requests a second of the largest service.
	mu        sync.Mutex
	notice    func(*peermsg.RoomNotice) // receives the notices for this daemon
	services  map[string]*served        // with requests in the last serviceRetention
	fleet     fleetSize
	steady    steadyTime
	opened    uint64 // services added since the start
	forgotten Counts // of services that are no longer retained
}

// GranterOption changes a default of NewGranter.
type GranterOption func(*Granter)

// WithGranterLogger sets the logger. Without it nothing is logged.
func WithGranterLogger(log logrus.FieldLogger) GranterOption { return func(g *Granter) { g.log = log } }

// WithAhead sets whether grants are given ahead of need. They are without this option.
func WithAhead(ahead bool) GranterOption { return func(g *Granter) { g.ahead = ahead } }

// NewGranter returns a Granter. It grants as soon as requests arrive; Run lets claims lapse.
func NewGranter(peers Peers, source Source, parts Parts, clock spanrill.Clock, opts ...GranterOption) *Granter {
	g := &Granter{
		peers: peers, source: source, parts: parts, clock: clock, log: discardLog(), ahead: true,
		done: make(chan struct{}), notice: func(*peermsg.RoomNotice) {}, services: map[string]*served{},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// OnNotice sets the function that receives the notices for requests of this daemon. It must not
// block.
func (g *Granter) OnNotice(receive func(*peermsg.RoomNotice)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notice = receive
}

// HandleRequest decides on a request of a daemon. The state of the reply is peermsg.RoomUnknown if
// this daemon does not grant the room of the service, has probably been cut off from most others, or
// does not know the engines yet.
func (g *Granter) HandleRequest(req *peermsg.RoomRequest) *peermsg.RoomReply {
	reply, notices := g.request(req)
	g.deliver(notices)
	return reply
}

func (g *Granter) request(req *peermsg.RoomRequest) (*peermsg.RoomReply, []Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	s := g.serve(req.Service)
	if s == nil || !s.grants(now, g) {
		return &peermsg.RoomReply{State: peermsg.RoomUnknown}, nil
	}
	s.requestedAt = now
	return s.room.Request(now, req)
}

// HandleReport applies what a daemon tells of its requests and of the engines.
func (g *Granter) HandleReport(report *peermsg.RoomReport) {
	g.deliver(g.report(report))
}

func (g *Granter) report(report *peermsg.RoomReport) []Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[report.Service]
	if s == nil {
		return nil
	}
	now := g.now()
	s.refresh(now, g)
	return s.room.Report(now, report)
}

// HandleStatus returns the state of a service's room. It is empty if no daemon has asked for room.
func (g *Granter) HandleStatus(req *peermsg.RoomStatusRequest) *peermsg.RoomStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	s := g.services[req.Service]
	if s == nil {
		return &peermsg.RoomStatus{Granting: g.source.Divides(req.Service) && g.roleOf(now, req.Service) == rolePreferred}
	}
	granting := s.grants(now, g)
	status := s.room.Status(now)
	status.Granting = granting
	return status
}

// Counts returns the numbers of decisions for all services since the start.
func (g *Granter) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := g.forgotten
	for _, s := range g.services {
		counts.add(s.room.Counts())
	}
	return counts
}

// now returns the time by which room is given and lapses. The caller holds the lock.
func (g *Granter) now() spanrill.Millis { return g.steady.at(g.clock.Now()) }

// Run lets claims lapse and starts waiting requests until the context ends.
func (g *Granter) Run(ctx context.Context) error {
	defer close(g.done)
	for ctx.Err() == nil {
		g.deliver(g.tick())
		select {
		case <-ctx.Done():
		case <-g.clock.After(tickInterval):
		}
	}
	return ctx.Err()
}

// Done returns a channel that is closed when Run has ended.
func (g *Granter) Done() <-chan struct{} { return g.done }

// tick does the periodic work of all services.
func (g *Granter) tick() []Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.observeFleet(now)
	var notices []Notice
	for _, name := range slices.Sorted(maps.Keys(g.services)) {
		s := g.services[name]
		notices = append(notices, s.tick(now, g)...)
		if s.room.Len() == 0 && now-s.requestedAt > serviceRetention {
			g.forgotten.add(s.room.Counts())
			delete(g.services, name)
		}
	}
	return notices
}

// serve returns the state of a service, or nil if its room is not divided. The caller holds the
// lock.
func (g *Granter) serve(name string) *served {
	s := g.services[name]
	if s != nil || !g.source.Divides(name) {
		return s
	}
	s = &served{name: name, requestedAt: g.now()}
	s.room = NewRoom(name, g.parts, g.roomOptions()...)
	s.room.SetStandby(s.requestedAt, true) // until the role is known
	g.services[name] = s
	return s
}

// roomOptions returns the options for the Room of another service. The caller holds the lock.
func (g *Granter) roomOptions() []RoomOption {
	options := []RoomOption{withHandlesAfter(g.opened * handlesPerService)}
	g.opened++
	if !g.ahead {
		options = append(options, WithoutAhead())
	}
	return options
}

// deliver sends notices. A notice that is lost is covered by the daemon's own deadline for the
// request.
func (g *Granter) deliver(notices []Notice) {
	for _, n := range notices {
		if n.Addr == "" {
			g.receiver()(n.Message)
			continue
		}
		if err := g.peers.Send(n.Addr, uint8(peermsg.KindRoomNotice), n.Message); err != nil {
			g.log.WithError(err).WithField("peer", n.Addr).Debug("cannot send what became of a request for room")
		}
	}
}

func (g *Granter) receiver() func(*peermsg.RoomNotice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.notice
}
