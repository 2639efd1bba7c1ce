package gateway

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/membership"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/transport/peernet"
)

// roomSource tells those who divide room what this daemon knows about the engines of a service. It is
// a granting.Source.
type roomSource struct {
	g     *Gateway
	fleet *settledFleet
}

// settledFleet tells whether the size of the fleet has been known since the start of this daemon. It
// stays so while daemons join later: one that restarts is no reason for all others to divide no room
// until the size is known again.
type settledFleet struct {
	isKnown func() bool // whether it is known now
	settled atomic.Bool
}

func (f *settledFleet) wasKnown() bool {
	if !f.settled.Load() && f.isKnown() {
		f.settled.Store(true)
	}
	return f.settled.Load()
}

// Divides reports whether the room of a service is divided.
func (s roomSource) Divides(service string) bool { return s.g.divides(service) }

// Chains returns the chains on which requests can start. It returns false until this daemon has a
// configuration and entries of upstreams, and has known the size of the fleet.
func (s roomSource) Chains(service string) (chains []spanrill.RoomChain, ok bool) {
	t := s.g.config.Table()
	if t == nil || !s.g.knowsUpstreams() || !s.fleet.wasKnown() {
		return nil, false
	}
	info := t.Service(service)
	if info == nil || info.Model == nil {
		return nil, false
	}
	return s.g.router.RoomChains(service, info.Model), true
}

// knowsUpstreams reports whether this daemon has the entries of upstreams.
func (g *Gateway) knowsUpstreams() bool {
	select {
	case <-g.fleet.Ready():
		return true
	default:
		return false
	}
}

// Told returns what the requests of all daemons hold at the engines of a service, by the engines'
// keys, and the time as of which this daemon knows it. Of its own requests it knows it as of now.
func (s roomSource) Told(service string) (uses map[uint32]spanrill.RoomUse, asOf spanrill.Millis) {
	asOf = s.g.exchange.SumsAsOf()
	uses = map[uint32]spanrill.RoomUse{}
	for _, u := range s.g.fleet.View().ByService(service) {
		if use := (spanrill.RoomUse{Tokens: u.Tokens(), Calls: u.Calls()}); use != (spanrill.RoomUse{}) {
			uses[u.Key()] = use
		}
	}
	return uses, asOf
}

// roomPeers finds and calls the daemons that divide room. It is a granting.Peers.
type roomPeers struct {
	*peers
	notices *roomNotices
	reports *roomReports
	silence *roomSilence
	fleet   *settledFleet
}

// Granters returns the daemons that grant the room of a service, in order of preference. This daemon
// is returned without an address, and not at all once it is stopping.
func (p roomPeers) Granters(service string) []peermsg.Member {
	return p.granters("room/" + service)
}

// granters returns the daemons that grant what the key names. See Granters.
func (p roomPeers) granters(key string) []peermsg.Member {
	ranked := p.list.Ranked(granterRankKey)
	staying := make([]peermsg.Member, 0, maxGranters)
	for _, m := range ranked {
		if len(staying) == maxGranters {
			break
		}
		if m.Name != p.name || !p.gateway.draining.Load() {
			staying = append(staying, m)
		}
	}
	owners := membership.OwnersAmong(key, staying, maxGrantersAsked)
	for i := range owners {
		if owners[i].Name == p.name {
			owners[i].PeerAddr = ""
		}
	}
	return owners
}

// Request sends a request to a peer and decodes its reply. It returns when the context ends, also if
// a connection is still being opened, which may take many times longer. The reply is not valid then.
func (p roomPeers) Request(ctx context.Context, addr string, kind uint8, req, reply any) error {
	err := withinTime(ctx, func() error { return p.peers.Request(ctx, addr, kind, req, reply) })
	if asked, ok := req.(*peermsg.RoomRequest); ok && err != nil && !errors.Is(err, context.Canceled) {
		p.silence.log(p.gateway, asked.Service, addr, err)
	}
	return err
}

// silenceLogInterval is the shortest time between two log lines about daemons that do not answer.
const silenceLogInterval = spanrill.Second

// roomSilence logs that daemons which grant room do not answer.
type roomSilence struct {
	loggedAt atomic.Int64 // 0 if never
}

// log logs that a daemon has not answered a request for room, unless such a line has just been logged.
func (s *roomSilence) log(g *Gateway, service, addr string, err error) {
	now, last := g.clock.Now(), s.loggedAt.Load()
	if last != 0 && now-spanrill.Millis(last) < silenceLogInterval || !s.loggedAt.CompareAndSwap(last, int64(max(1, now))) {
		return
	}
	events.RoomGranterSilent.Log(g.log, logrus.Fields{"service": service, "peer": addr, "error": err})
}

// withinTime runs a function and returns its result, or returns earlier when the context ends.
func withinTime(ctx context.Context, f func() error) error {
	result := make(chan error, 1)
	go func() { result <- f() }()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Send sends a message that is not answered. It may get lost. It hardly waits for a connection.
func (p roomPeers) Send(addr string, kind uint8, message any) error {
	if n, ok := message.(*peermsg.RoomNotice); ok {
		return p.notices.add(addr, n)
	}
	payload, err := peermsg.Encode(message)
	if err != nil {
		return err
	}
	return p.reports.sendTo(addr, peernet.Kind(kind), payload)
}

// Fleet returns the number of live daemons, including this one, and whether it has been known since
// the start.
func (p roomPeers) Fleet() (daemons int, known bool) {
	return len(p.list.Live()), p.fleet.wasKnown()
}

// requestStatus asks a daemon for the state of a service's room.
func (p roomPeers) requestStatus(ctx context.Context, addr, service string) (*peermsg.RoomStatus, error) {
	var status peermsg.RoomStatus
	if err := p.Request(ctx, addr, uint8(peermsg.KindRoomStatus), &peermsg.RoomStatusRequest{Service: service}, &status); err != nil {
		return nil, err
	}
	return &status, nil
}
