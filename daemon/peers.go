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

// peers connects the daemon's parts with those of the other daemons.
type peers struct {
	daemon *Daemon
	net    *peernet.Net
	list   *membership.List
	claims *claim.Claims

	boxes    atomic.Pointer[[]byte] // the last box list, as JSON
	fetching sync.Mutex             // held while a configuration is fetched
	fetches  task.Group
	told     map[string]toldReport // by upstream
}

func newPeers(d *Daemon) (*peers, error) {
	p := &peers{daemon: d, told: map[string]toldReport{}}
	var err error
	p.net, err = peernet.New(d.settings.PeerListen, d.settings.Name, d.settings.FleetSecret, p.handle,
		peernet.WithLogger(d.log), peernet.WithMeters(d.meters))
	if err != nil {
		return nil, fmt.Errorf("build peer transport: %w", err)
	}
	self := peermsg.Member{
		Name: d.settings.Name, Zone: d.settings.Zone,
		PeerAddr: d.settings.PeerAddr(), AdminAddr: d.settings.AdminListen,
	}
	p.list = membership.New(self, d.clock, p.gossip, membership.WithLogger(d.log),
		membership.WithRandom(d.random), membership.WithRevision(d.revision, p.newer))
	p.setBoxes(nil)
	return p, nil
}

func (d *Daemon) revision() uint64 { return d.follower.Revision() }

// run carries messages and exchanges news until the context ends.
func (p *peers) run(ctx context.Context) error {
	var tasks task.Group
	tasks.Start(ctx, "peer transport", p.net.Run)
	tasks.Start(ctx, "membership", p.list.Run)
	tasks.Start(ctx, "demand", p.exchangeDemand)
	err := tasks.Wait()
	_ = p.fetches.Wait()
	return err
}

// demandGap is the pause between two messages about demand.
const demandGap = spanrill.Second

func (p *peers) exchangeDemand(ctx context.Context) error {
	for ctx.Err() == nil {
		p.daemon.gate.SetDaemons(len(p.list.Live()))
		p.daemon.gate.Maintain()
		p.tellDemand()
		select {
		case <-ctx.Done():
		case <-p.daemon.clock.After(demandGap):
		}
	}
	return ctx.Err()
}

func (p *peers) tellDemand() {
	all := p.daemon.gate.Demand()
	m := &peermsg.Demand{Accounts: make([]peermsg.AccountDemand, 0, len(all))}
	for account, perSecond := range all {
		m.Accounts = append(m.Accounts, peermsg.AccountDemand{Account: account, PerMille: uint32(perSecond * 1000)})
	}
	p.broadcast(peermsg.KindDemand, m)
}

// broadcast sends a message to all other daemons. One that cannot be reached
// misses it; the next message takes its place.
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
	return p.Tell(addr, uint8(peermsg.KindGossip), g)
}

// Tell sends a message that gets no reply.
func (p *peers) Tell(addr string, kind uint8, msg any) error {
	payload, err := peermsg.Encode(msg)
	if err != nil {
		return err
	}
	return p.net.Send(addr, peernet.Kind(kind), payload)
}

// Ask sends a request and decodes its reply.
func (p *peers) Ask(ctx context.Context, addr string, kind uint8, req, reply any) error {
	return peermsg.Ask(ctx, p.net, addr, peernet.Kind(kind), req, reply)
}

// Owner returns the peer address of the daemon that gathers a slot's claims.
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

// BroadcastReports passes reports of upstreams on to the other daemons: one that
// changes what an upstream can be used for at once, and one that changes its
// load alone every loadGap, by the first of its observers.
func (p *peers) BroadcastReports(reports []spanrill.UpstreamStatus) {
	m := &peermsg.Reports{}
	now := p.daemon.clock.Now()
	for _, r := range reports {
		if report := peermsg.NewReport(r); p.worthTelling(report, now) {
			m.Reports = append(m.Reports, report)
		}
	}
	if len(m.Reports) > 0 {
		p.broadcast(peermsg.KindReports, m)
	}
}

// loadGap is the pause between two reports that differ in load alone. It is
// shorter than the age at which a daemon asks an upstream itself.
const loadGap = 2 * spanrill.Second

// toldReport is what was told of an upstream last.
type toldReport struct {
	use peermsg.Report // without its load
	at  spanrill.Millis
}

// worthTelling reports whether a report has to be passed on now. It is called
// by the observer alone.
func (p *peers) worthTelling(r peermsg.Report, now spanrill.Millis) bool {
	use := r
	use.Running, use.Waiting, use.Age = 0, 0, 0
	last, known := p.told[r.Name]
	if known && last.use == use && (now-last.at < loadGap || !p.list.Owns("observe/"+r.Name, 1)) {
		return false
	}
	p.told[r.Name] = toldReport{use: use, at: now}
	return true
}

// The platform's head is watched by all daemons of a small fleet, and by a few
// in each availability zone of a large one.
const (
	smallFleet   = 16
	zoneWatchers = 2
)

func (p *peers) watches() bool {
	live := p.list.Live()
	if len(live) <= smallFleet {
		return true
	}
	return p.list.OwnsAmong("config-watch", zoneWatchers, func(m peermsg.Member) bool {
		return m.Zone == p.daemon.settings.Zone
	})
}

// newer fetches the configuration of a member that has a newer one.
func (p *peers) newer(m peermsg.Member) {
	if !p.fetching.TryLock() {
		return
	}
	p.fetches.Start(p.daemon.work, "configuration of peer", func(ctx context.Context) error {
		defer p.fetching.Unlock()
		return p.fetch(ctx, m)
	})
}

const fetchLimit = 3 * spanrill.Second

func (p *peers) fetch(ctx context.Context, m peermsg.Member) error {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit.Duration())
	defer cancel()
	var reply peermsg.Head
	if err := p.Ask(ctx, m.PeerAddr, uint8(peermsg.KindHead), &peermsg.Head{}, &reply); err != nil {
		return fmt.Errorf("fetch head of %s: %w", m.Name, err)
	}
	var head config.Head
	if err := json.Unmarshal(reply.Value, &head); err != nil {
		return fmt.Errorf("decode head of %s: %w", m.Name, err)
	}
	if err := p.daemon.follower.Offer(ctx, &head, peerParts{peers: p, addr: m.PeerAddr}); err != nil {
		return fmt.Errorf("take configuration of %s: %w", m.Name, err)
	}
	events.ConfigFromPeer.Log(p.daemon.log, logrus.Fields{"peer": m.Name, "revision": head.Revision})
	return nil
}

// peerParts reads parts of the configuration from one peer.
type peerParts struct {
	peers *peers
	addr  string
}

// Part returns the value whose hash is given.
func (s peerParts) Part(ctx context.Context, hash string) ([]byte, error) {
	var reply peermsg.Part
	err := s.peers.Ask(ctx, s.addr, uint8(peermsg.KindPart), &peermsg.Part{Hash: hash}, &reply)
	if err == nil && reply.Value == nil {
		err = spanrill.ErrNotFound
	}
	return reply.Value, err
}

// setBoxes takes a box list for the list of members, and keeps it for daemons
// that start while the platform is out.
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

// Errors of peers.
var (
	errNoBoxes     = errors.New("no peer has a box list")
	errUnknownKind = errors.New("unknown kind of message")
)

// Boxes returns the box list of any peer.
func (p *peers) Boxes(ctx context.Context) ([]spanrill.Box, error) {
	for _, m := range p.list.Others() {
		var reply peermsg.Boxes
		err := p.Ask(ctx, m.PeerAddr, uint8(peermsg.KindBoxes), &peermsg.Boxes{}, &reply)
		var boxes []spanrill.Box
		if err == nil && json.Unmarshal(reply.Value, &boxes) == nil {
			return boxes, nil
		}
	}
	return nil, errNoBoxes
}
