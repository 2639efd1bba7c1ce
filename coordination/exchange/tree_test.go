package exchange

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// network is a fleet of daemons that call each other without sockets.
type network struct {
	clock       *clock.Manual
	members     []peermsg.Member
	daemons     map[string]*daemon
	unreachable map[string]bool
	fetches     atomic.Int64 // of the configuration
}

// endpoint connects one daemon to the others of the network.
type endpoint struct {
	*network
	name string
}

func (e endpoint) Ranked() []peermsg.Member { return e.members }

func (e endpoint) Others() []peermsg.Member {
	var others []peermsg.Member
	for _, m := range e.members {
		if m.Name != e.name {
			others = append(others, m)
		}
	}
	return others
}

func (e endpoint) Request(ctx context.Context, addr string, kind uint8, req, reply any) error {
	if e.unreachable[addr] || e.unreachable[e.name] {
		return errSilent
	}
	if kind == uint8(peermsg.KindRouteConfig) {
		e.fetches.Add(1)
	}
	var asked peermsg.NewsRequest
	if kind == uint8(peermsg.KindNews) {
		data, err := peermsg.Encode(req)
		if err != nil {
			return err
		}
		if err := peermsg.Decode(data, &asked); err != nil {
			return err
		}
	}
	return (&peer{clock: e.clock, exchange: e.daemons[addr].exchange, newsRequest: &asked}).Request(ctx, addr, kind, req, reply)
}

// newNetwork returns a fleet of n daemons that all know one engine. Daemon i holds tokensOf(i) tokens
// there.
func newNetwork(n int) *network {
	net := &network{clock: clock.NewManual(), daemons: map[string]*daemon{}, unreachable: map[string]bool{}}
	net.clock.Advance(100_000)
	for i := range n {
		name := fmt.Sprintf("daemon-%03d", i)
		net.members = append(net.members, peermsg.Member{Name: name, PeerAddr: name, Zone: fmt.Sprint("zone-", i%3)})
	}
	for i, m := range net.members {
		d := newDaemon(net.clock, m.Name, endpoint{network: net, name: m.Name})
		net.daemons[m.Name] = d
		listEntry(net.clock, d, 9, spanrill.LayerRange{From: 0, To: 4})
		d.table.View().ByID("e").Reserve(tokensOf(i))
	}
	return net
}

func tokensOf(i int) int64 { return int64(i + 1) }

func (n *network) runRounds(count int) {
	for range count {
		for _, m := range n.members {
			n.daemons[m.Name].exchange.Round(context.Background())
		}
		n.clock.Advance(roundInterval)
	}
}

// After a few rounds in a fleet of any size, each daemon knows what all others hold, the
// configuration that the daemon reading the store has, and the orders of the lease holder, also
// while the first daemon in rank is unreachable.
func TestNewsReachesAllDaemons(t *testing.T) {
	testNews(t, []newsCase{
		{"small", 8, nil, 5},
		{"two levels", 71, nil, 60},
		{"two levels, first daemon unreachable", 71, []int{0}, 60},
		{"three levels", 120, nil, 119},
		{"three levels, a parent unreachable", 120, []int{3}, 100},
	})
}

type newsCase struct {
	name        string
	daemons     int
	unreachable []int // ranks of unreachable daemons
	holder      int
}

func testNews(t *testing.T, cases []newsCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(c.daemons)
			var total int64
			for i := range n.members {
				total += tokensOf(i)
			}
			for _, rank := range c.unreachable {
				n.unreachable[n.members[rank].Name] = true
				total -= tokensOf(rank)
			}
			reader := n.daemons[n.members[len(c.unreachable)%2].Name] // a reachable root
			holder := n.daemons[n.members[c.holder].Name]
			holder.holdsPlacement = true
			holder.targets["e"] = fleet.Target{Layers: spanrill.LayerRange{From: 4, To: 8}}
			n.runRounds(4 * holder.exchange.broadcastRounds()) // detects unreachable daemons and fills all sums
			reader.setConfig(5, 50, n.clock.Now())
			n.runRounds(holder.exchange.broadcastRounds() + 1)
			n.expectConverged(t, total, int64(c.daemons-len(c.unreachable)))
		})
	}
}

func (n *network) expectConverged(t *testing.T, total, alive int64) {
	t.Helper()
	for i, m := range n.members {
		if n.unreachable[m.Name] {
			continue
		}
		d := n.daemons[m.Name]
		if got := d.table.View().ByID("e").Tokens(); got != total {
			t.Errorf("%s: %d tokens, want %d", m.Name, got, total)
		}
		if d.config.Revision() != 50 {
			t.Errorf("%s: configuration revision %d, want 50", m.Name, d.config.Revision())
		}
		if d.table.View().ByID("e").Target() == nil {
			t.Errorf("%s: no target from the lease holder", m.Name)
		}
		if t.Failed() {
			t.Fatalf("first failure at rank %d of %d daemons", i, alive)
		}
	}
}

// In a fleet of 350 daemons, none is the parent of more than treeCount*fanout others.
func TestTreeChildrenAreBounded(t *testing.T) {
	n := newNetwork(350)
	childCounts := map[string]int{}
	for _, m := range n.members {
		for _, to := range n.daemons[m.Name].exchange.recipients() {
			if len(to.trees) > 0 {
				childCounts[to.member.Name]++
			}
		}
	}
	for name, count := range childCounts {
		if count > treeCount*fanout {
			t.Errorf("%s has %d children, want at most treeCount*fanout", name, count)
		}
	}
}

// Guards against fetching a new configuration from all peers that have it at the same time:
// eight concurrent copies fill a slow link.
func TestConfigIsFetchedOnce(t *testing.T) {
	n := newNetwork(8)
	for _, m := range n.members[1:] {
		n.daemons[m.Name].setConfig(5, 50, n.clock.Now())
	}
	behind := n.daemons[n.members[0].Name]
	behind.exchange.Round(context.Background())
	_ = behind.exchange.requestTasks.Wait() // errors of silent peers do not matter
	if got := n.fetches.Load(); got != 1 || behind.config.Revision() != 50 {
		t.Fatalf("%d fetches and revision %d, want 1 and 50", got, behind.config.Revision())
	}
}
