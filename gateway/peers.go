package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/exchange"
	"spanrill/coordination/membership"
	"spanrill/coordination/quarantine"
	"spanrill/coordination/suspect"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/task"
	"spanrill/transport/peernet"
)

// peers connects the gateway with the other daemons.
type peers struct {
	gateway *Gateway
	name    string // differs after each start
	net     *peernet.Net
	list    *membership.List
}

// memberRound is the pause between two rounds of gossip. A lost daemon is considered dead after
// eight of them.
const memberRound spanrill.Millis = 500

func newPeers(g *Gateway) (*peers, error) {
	p := &peers{gateway: g, name: fmt.Sprintf("%s/%08x", g.settings.Name, uint32(g.random.Uint64()))}
	var err error
	p.net, err = peernet.New(g.settings.PeerListen, p.name, g.settings.FleetSecret, p.handle,
		peernet.WithLogger(g.log), peernet.WithMeters(g.meters))
	if err != nil {
		return nil, fmt.Errorf("build peer transport: %w", err)
	}
	self := peermsg.Member{Name: p.name, Zone: g.settings.Zone, PeerAddr: g.settings.PeerListen, MilliCores: g.settings.MilliCores(), TunnelAddr: g.settings.TunnelListen}
	p.list = membership.New(self, g.clock, p.gossip, membership.WithLogger(g.log),
		membership.WithRandom(g.random), membership.WithRound(memberRound), membership.WithRunningTime(g.running))
	seeds := make([]spanrill.Box, 0, len(g.settings.Peers))
	for _, addr := range g.settings.Peers {
		if addr != g.settings.PeerListen {
			seeds = append(seeds, spanrill.Box{Name: addr, Role: spanrill.RoleEntry, PeerAddr: addr})
		}
	}
	p.list.SetBoxes(seeds)
	return p, nil
}

// run transports messages and gossips until the context ends.
func (p *peers) run(ctx context.Context) error {
	var tasks task.Group
	tasks.Start(ctx, "peer transport", p.net.Run)
	tasks.Start(ctx, "membership", p.list.Run)
	return tasks.Wait()
}

func (p *peers) gossip(addr string, g *peermsg.Gossip) error {
	payload, err := peermsg.Encode(g)
	if err != nil {
		return err
	}
	return p.net.Send(addr, peermsg.KindGossip, payload)
}

// Others returns the live daemons without this one.
func (p *peers) Others() []peermsg.Member { return p.list.Others() }

// Ranked returns all live daemons, in the order of their ranks for asking the platform's store.
func (p *peers) Ranked() []peermsg.Member { return p.list.Ranked(askStore) }

// askStore is the key by which daemons are ranked for asking the platform's store.
const askStore = "store"

// rank returns this daemon's rank for a key, from 0 to rankedDaemons.
func (p *peers) rank(key string) int {
	return p.rankAmong(key, func(peermsg.Member) bool { return true })
}

// rankAmong is like rank, but counts only this daemon and the members that match.
func (p *peers) rankAmong(key string, match func(peermsg.Member) bool) int {
	ahead := 0
	for _, m := range p.list.Ranked(key) {
		if m.Name == p.name || ahead == rankedDaemons {
			break
		}
		if match(m) {
			ahead++
		}
	}
	return ahead
}

// Request sends a request to a peer and decodes its reply.
func (p *peers) Request(ctx context.Context, addr string, kind uint8, req, reply any) error {
	return peermsg.Request(ctx, p.net, addr, peernet.Kind(kind), req, reply)
}

// handle processes a message of a peer and returns the reply, or nil. A message that cannot be
// decoded is dropped and counted, without effect on its sender.
func (p *peers) handle(from string, kind peernet.Kind, payload []byte) []byte {
	reply, err := p.dispatch(kind, payload)
	if err != nil {
		p.gateway.meters.FramesRefused.Inc()
		events.FrameRefused.Log(p.gateway.log, logrus.Fields{"peer": from, "kind": kind, "error": err})
		return nil
	}
	if reply == nil {
		return nil
	}
	encoded, err := peermsg.Encode(reply)
	if err != nil {
		events.FrameRefused.Log(p.gateway.log, logrus.Fields{"peer": from, "kind": kind, "error": err})
		return nil
	}
	return encoded
}

func (p *peers) dispatch(kind peernet.Kind, payload []byte) (reply any, err error) {
	switch kind {
	case peermsg.KindGossip:
		var m peermsg.Gossip
		if err = peermsg.Decode(payload, &m); err == nil && len(m.Members) > 0 {
			p.list.Merge(&m)
		}
		return nil, err
	case peermsg.KindNews:
		var m peermsg.NewsRequest
		if err = peermsg.Decode(payload, &m); err != nil {
			return nil, err
		}
		return p.gateway.exchange.HandleNewsRequest(&m), nil
	case peermsg.KindRouteConfig:
		return p.gateway.exchange.HandleRouteConfigRequest(), nil
	case peermsg.KindLoan:
		var m peermsg.LoanRequest
		if err = peermsg.Decode(payload, &m); err != nil {
			return nil, err
		}
		return p.gateway.exchange.HandleLoanRequest(&m), nil
	case peermsg.KindSuspects:
		var m peermsg.SuspectNotice
		if err = peermsg.Decode(payload, &m); err == nil {
			p.gateway.exchange.MergeSuspects(m.Marks)
			p.gateway.exchange.MergeParts(m.Parts)
		}
		return nil, err
	case peermsg.KindPermit:
		var m peermsg.PermitRequest
		if err = peermsg.Decode(payload, &m); err != nil {
			return nil, err
		}
		return p.gateway.limiter.HandlePermitRequest(&m), nil
	case peermsg.KindEntries:
		var m peermsg.EntriesRequest
		if err = peermsg.Decode(payload, &m); err != nil {
			return nil, err
		}
		return p.gateway.exchange.HandleEntriesRequest(&m), nil
	case peermsg.KindRoom, peermsg.KindRoomNotice, peermsg.KindRoomReport, peermsg.KindRoomStatus:
		return p.gateway.room.dispatch(kind, payload)
	}
	return nil, fmt.Errorf("unknown kind %d", kind)
}

// broadcastSuspect sends the marks of a request that is withheld from now on to all other daemons.
// The caller may retry at another daemon within milliseconds, and polling delivers the marks up to
// a round later, in which more engines would crash.
func (p *peers) broadcastSuspect(c suspect.Content) {
	p.broadcast(&peermsg.SuspectNotice{Marks: exchange.SuspectMarks(p.gateway.suspects.ContentMarks(c))})
}

// broadcastParts sends what this daemon knows of some parts of prompts to all other daemons.
func (p *peers) broadcastParts(parts []quarantine.Part) {
	p.broadcast(&peermsg.SuspectNotice{Parts: exchange.PartMarks(p.gateway.parts.Marks(parts))})
}

// broadcast sends a notice to all other daemons.
func (p *peers) broadcast(notice *peermsg.SuspectNotice) {
	payload, err := peermsg.Encode(notice)
	if err != nil {
		p.gateway.log.WithError(err).Error("cannot encode suspect marks to broadcast")
		return
	}
	for _, m := range p.list.Others() {
		_ = p.net.Send(m.PeerAddr, peermsg.KindSuspects, payload) // the peer polls the marks in its next round
	}
}

const (
	// maxGranters is the maximum number of daemons that grant permits, each for some of the
	// upstreams. They are those with the largest CPU share.
	maxGranters = 16
	// maxGrantersAsked is the maximum number of daemons that are asked for one permit.
	maxGrantersAsked = 2
	// granterRankKey is the key by which daemons are ranked for granting permits.
	granterRankKey = "limits"
)

// Granters returns the daemons that grant permits for an upstream, in order of preference. This
// daemon is returned without an address.
func (p *peers) Granters(upstream uint32) []peermsg.Member {
	ranked := p.list.Ranked(granterRankKey)
	owners := membership.OwnersAmong(fmt.Sprint(upstream), ranked[:min(maxGranters, len(ranked))], maxGrantersAsked)
	for i := range owners {
		if owners[i].Name == p.name {
			owners[i].PeerAddr = ""
		}
	}
	return owners
}

// Unresponsive reports whether a daemon left this daemon's last request for news unanswered.
func (p *peers) Unresponsive(daemon string) bool { return p.gateway.exchange.Unresponsive(daemon) }

// RequestPermit asks a daemon for a permit.
func (p *peers) RequestPermit(ctx context.Context, addr string, req *peermsg.PermitRequest) (*peermsg.Permit, error) {
	var permit peermsg.Permit
	if err := p.Request(ctx, addr, uint8(peermsg.KindPermit), req, &permit); err != nil {
		return nil, fmt.Errorf("ask for permit: %w", err)
	}
	return &permit, nil
}

// leave tells the others that this daemon is stopping.
func (p *peers) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	p.list.Leave(ctx)
}

// leaveTimeout bounds the announcement.
const leaveTimeout = 500 * time.Millisecond
