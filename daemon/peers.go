package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/claim"
	"spanrill/coordination/membership"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/state/config"
	"spanrill/state/record"
	"spanrill/task"
	"spanrill/transport/peernet"
)

// peers connects the daemon with the other daemons.
type peers struct {
	daemon *Daemon
	net    *peernet.Net
	list   *membership.List
	claims *claim.Claims

	boxes       atomic.Pointer[[]byte] // the last box list as JSON, nil before the first
	fetching    sync.Mutex             // held while a configuration is fetched
	fetches     task.Group
	lastReports map[string]sentReport // by name of the upstream
}

func newPeers(d *Daemon) (*peers, error) {
	p := &peers{daemon: d, lastReports: map[string]sentReport{}}
	var err error
	p.net, err = peernet.New(d.settings.PeerListen, d.settings.Name, d.settings.FleetSecret, p.handle,
		peernet.WithLogger(d.log), peernet.WithMeters(d.meters))
	if err != nil {
		return nil, fmt.Errorf("build peer transport: %w", err)
	}
	self := peermsg.Member{
		Name: d.settings.Name, Zone: d.settings.Zone,
		PeerAddr: d.settings.PeerAddr(), AdminAddr: d.settings.AdminListen, TunnelAddr: d.settings.TunnelListen,
	}
	p.list = membership.New(self, d.clock, p.gossip, membership.WithLogger(d.log),
		membership.WithRandom(d.random), membership.WithRevision(d.revision, p.fetchNewerConfig))
	p.setBoxes(nil)
	return p, nil
}

func (d *Daemon) revision() uint64 { return d.follower.Revision() }

// run transports messages, gossips and sends demand until the context ends.
func (p *peers) run(ctx context.Context) error {
	var tasks task.Group
	tasks.Start(ctx, "peer transport", p.net.Run)
	tasks.Start(ctx, "membership", p.list.Run)
	tasks.Start(ctx, "demand", p.exchangeDemand)
	err := tasks.Wait()
	_ = p.fetches.Wait()
	return err
}

// demandInterval is the pause between two demand messages.
const demandInterval = spanrill.Second

// exchangeDemand maintains the admission gate and sends this daemon's demand periodically.
func (p *peers) exchangeDemand(ctx context.Context) error {
	for ctx.Err() == nil {
		p.daemon.gate.SetDaemons(len(p.list.Live()))
		p.daemon.gate.Maintain()
		p.broadcastDemand()
		select {
		case <-ctx.Done():
		case <-p.daemon.clock.After(demandInterval):
		}
	}
	return ctx.Err()
}

func (p *peers) broadcastDemand() {
	demand := p.daemon.gate.Demand()
	m := &peermsg.Demand{Accounts: make([]peermsg.AccountDemand, 0, len(demand))}
	for account, perSecond := range demand {
		m.Accounts = append(m.Accounts, peermsg.AccountDemand{Account: account, MilliPerSecond: uint32(perSecond * 1000)})
	}
	p.broadcast(peermsg.KindDemand, m)
}

// broadcast sends a message to all other daemons. A daemon that cannot be reached misses it; the
// next message replaces it.
func (p *peers) broadcast(kind peernet.Kind, msg any) {
	payload, err := peermsg.Encode(msg)
	if err != nil {
		return
	}
	for _, m := range p.list.Others() {
		_ = p.net.Send(m.PeerAddr, kind, payload)
	}
}

func (p *peers) gossip(addr string, g *peermsg.Gossip) error {
	return p.Send(addr, uint8(peermsg.KindGossip), g)
}

// Send sends a message that gets no reply.
func (p *peers) Send(addr string, kind uint8, msg any) error {
	payload, err := peermsg.Encode(msg)
	if err != nil {
		return err
	}
	return p.net.Send(addr, peernet.Kind(kind), payload)
}

// Request sends a request and decodes its reply.
func (p *peers) Request(ctx context.Context, addr string, kind uint8, req, reply any) error {
	return peermsg.Request(ctx, p.net, addr, peernet.Kind(kind), req, reply)
}

// Owner returns the peer address of the daemon that writes a slot's claims, or "" for this one.
func (p *peers) Owner(slot int) string {
	owner := p.list.Owners(record.ObjectKey(slot), 1)[0]
	if owner.Name == p.daemon.settings.Name {
		return ""
	}
	return owner.PeerAddr
}

// Includes reports whether this daemon observes the upstream.
func (p *peers) Includes(upstream string) bool {
	return p.list.Owns("observe/"+upstream, p.daemon.settings.Observe.Observers)
}

// BroadcastReports forwards reports of upstreams to the other daemons. A report that differs from the
// last one in more than load is sent at once. Other reports are sent every loadReportInterval, by
// the first of the upstream's observers only.
func (p *peers) BroadcastReports(reports []spanrill.UpstreamStatus) {
	m := &peermsg.Reports{}
	now := p.daemon.clock.Now()
	for _, r := range reports {
		if report := peermsg.NewReport(r); p.shouldForward(report, now) {
			m.Reports = append(m.Reports, report)
		}
	}
	if len(m.Reports) > 0 {
		p.broadcast(peermsg.KindReports, m)
	}
}

// loadReportInterval is the pause between two reports that differ at most in load. It is shorter than
// the age of a report at which a daemon asks the upstream itself.
const loadReportInterval = 2 * spanrill.Second

// sentReport is the last report of an upstream that was sent.
type sentReport struct {
	withoutLoad peermsg.Report // with the load and its age set to zero
	sentAt      spanrill.Millis
}

// shouldForward reports whether a report has to be forwarded now. Only the observer calls it, so
// it needs no lock.
func (p *peers) shouldForward(r peermsg.Report, now spanrill.Millis) bool {
	withoutLoad := r
	withoutLoad.Running, withoutLoad.Waiting, withoutLoad.Age = 0, 0, 0
	last, known := p.lastReports[r.Name]
	if known && last.withoutLoad == withoutLoad && (now-last.sentAt < loadReportInterval || !p.list.Owns("observe/"+r.Name, 1)) {
		return false
	}
	p.lastReports[r.Name] = sentReport{withoutLoad: withoutLoad, sentAt: now}
	return true
}

// In a fleet of up to maxWatchingFleet daemons all watch the head of the configuration in the
// platform's store. In a larger one watchersPerZone daemons in each availability zone do.
const (
	maxWatchingFleet = 16
	watchersPerZone  = 2
)

// shouldWatchHead reports whether this daemon watches the head of the configuration.
func (p *peers) shouldWatchHead() bool {
	live := p.list.Live()
	if len(live) <= maxWatchingFleet {
		return true
	}
	return p.list.OwnsAmong("config-watch", watchersPerZone, func(m peermsg.Member) bool {
		return m.Zone == p.daemon.settings.Zone
	})
}

// fetchNewerConfig fetches the configuration of a member whose revision is newer than this daemon's. It
// does nothing while another fetch runs.
func (p *peers) fetchNewerConfig(m peermsg.Member) {
	if !p.fetching.TryLock() {
		return
	}
	p.fetches.Start(p.daemon.work, "configuration of peer", func(ctx context.Context) error {
		defer p.fetching.Unlock()
		return p.fetchConfig(ctx, m)
	})
}

// fetchTimeout bounds fetching a configuration from a peer.
const fetchTimeout = 3 * spanrill.Second

// fetchConfig fetches and applies the configuration of a member.
func (p *peers) fetchConfig(ctx context.Context, m peermsg.Member) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	var reply peermsg.Head
	if err := p.Request(ctx, m.PeerAddr, uint8(peermsg.KindHead), &peermsg.Head{}, &reply); err != nil {
		return fmt.Errorf("fetch head of %s: %w", m.Name, err)
	}
	var head config.Head
	if err := json.Unmarshal(reply.Value, &head); err != nil {
		return fmt.Errorf("decode head of %s: %w", m.Name, err)
	}
	if err := p.daemon.follower.Offer(ctx, &head, peerConfigSource{peers: p, addr: m.PeerAddr}); err != nil {
		return fmt.Errorf("apply configuration of %s: %w", m.Name, err)
	}
	events.ConfigFromPeer.Log(p.daemon.log, logrus.Fields{"peer": m.Name, "revision": head.Revision})
	return nil
}

// peerConfigSource reads parts of the configuration from one peer.
type peerConfigSource struct {
	peers *peers
	addr  string
}

// Part returns the value of the part with the given hash, or spanrill.ErrNotFound if the peer lacks
// it.
func (s peerConfigSource) Part(ctx context.Context, hash string) ([]byte, error) {
	var reply peermsg.Part
	err := s.peers.Request(ctx, s.addr, uint8(peermsg.KindPart), &peermsg.Part{Hash: hash}, &reply)
	if err == nil && reply.Value == nil {
		err = spanrill.ErrNotFound
	}
	return reply.Value, err
}

// setBoxes updates the seeds of the member list from a box list, and keeps the box list for
// daemons that start while the platform is unavailable.
func (p *peers) setBoxes(boxes []spanrill.Box) {
	seeds := append([]spanrill.Box(nil), boxes...)
	for i, addr := range p.daemon.settings.Peers {
		seeds = append(seeds, spanrill.Box{Name: fmt.Sprintf("peer-%d", i), Role: spanrill.RoleEntry, PeerAddr: addr})
	}
	p.list.SetBoxes(seeds)
	if boxes == nil {
		return
	}
	if value, err := json.Marshal(boxes); err == nil {
		p.boxes.Store(&value)
	}
}

// Errors of requests to peers and of messages from them.
var (
	errNoBoxes     = errors.New("no peer has a box list")
	errUnknownKind = errors.New("unknown message kind")
)

// Boxes returns the box list of the first peer that has one, or errNoBoxes.
func (p *peers) Boxes(ctx context.Context) ([]spanrill.Box, error) {
	for _, m := range p.list.Others() {
		var reply peermsg.Boxes
		err := p.Request(ctx, m.PeerAddr, uint8(peermsg.KindBoxes), &peermsg.Boxes{}, &reply)
		var boxes []spanrill.Box
		if err == nil && json.Unmarshal(reply.Value, &boxes) == nil {
			return boxes, nil
		}
	}
	return nil, errNoBoxes
}
