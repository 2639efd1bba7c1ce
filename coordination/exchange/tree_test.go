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

// network is a fleet of daemons that ask one another without sockets.
type network struct {
	clock   *clock.Manual
	members []peermsg.Member
	daemons map[string]*daemon
	cut     map[string]bool
	fetches atomic.Int64 // of the configuration
}

// end is one daemon's view of the network.
type end struct {
	*network
	name string
}

func (e end) Ranked() []peermsg.Member { return e.members }

func (e end) Others() []peermsg.Member {
	var others []peermsg.Member
	for _, m := range e.members {
		if m.Name != e.name {
			others = append(others, m)
		}
	}
	return others
}

func (e end) Ask(ctx context.Context, addr string, kind uint8, req, reply any) error {
	if e.cut[addr] || e.cut[e.name] {
		return errSilent
	}
	if kind == uint8(peermsg.KindRouteConfig) {
		e.fetches.Add(1)
	}
	var asked peermsg.AskNews
	if kind == uint8(peermsg.KindNews) {
		data, err := peermsg.Encode(req)
		if err != nil {
			return err
		}
		if err := peermsg.Decode(data, &asked); err != nil {
			return err
		}
	}
	return (&peer{clock: e.clock, exchange: e.daemons[addr].exchange, asked: &asked}).Ask(ctx, addr, kind, req, reply)
}

// newNetwork returns a fleet of which each daemon knows one engine, and has a
// request there that holds as many tokens as tokensOf says.
func newNetwork(n int) *network {
	net := &network{clock: clock.NewManual(), daemons: map[string]*daemon{}, cut: map[string]bool{}}
	net.clock.Advance(100_000)
	for i := range n {
		name := fmt.Sprintf("daemon-%03d", i)
		net.members = append(net.members, peermsg.Member{Name: name, PeerAddr: name, Zone: fmt.Sprint("zone-", i%3)})
	}
	for i, m := range net.members {
		d := newDaemon(net.clock, m.Name, end{network: net, name: m.Name})
		net.daemons[m.Name] = d
		entries(net.clock, d, 9, spanrill.LayerRange{From: 0, To: 4})
		d.table.View().ByID("e").Reserve(tokensOf(i))
	}
	return net
}

func tokensOf(i int) int64 { return int64(i + 1) }

func (n *network) rounds(count int) {
	for range count {
		for _, m := range n.members {
			n.daemons[m.Name].exchange.Round(context.Background())
		}
		n.clock.Advance(gap)
	}
}

// In a fleet of any size each daemon knows after a few rounds what all others
// hold, has the proof of the daemon that reads the store, and the word of the
// holder of the lease, also while the first in rank is cut off.
func TestNewsReachesAll(t *testing.T) {
	for _, c := range []struct {
		name    string
		daemons int
		cut     []int // ranks
		holder  int
	}{
		{"small", 8, nil, 5},
		{"two levels", 71, nil, 60},
		{"two levels, the first is cut off", 71, []int{0}, 60},
		{"three levels", 120, nil, 119},
		{"three levels, a parent is cut off", 120, []int{3}, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(c.daemons)
			var total int64
			for i := range n.members {
				total += tokensOf(i)
			}
			for _, rank := range c.cut {
				n.cut[n.members[rank].Name] = true
				total -= tokensOf(rank)
			}
			reader := n.daemons[n.members[len(c.cut)%2].Name] // the first in rank that is not cut off
			holder := n.daemons[n.members[c.holder].Name]
			holder.placement = true
			holder.targets["e"] = fleet.Target{Layers: spanrill.LayerRange{From: 4, To: 8}}
			n.rounds(4 * holder.exchange.levels()) // to learn who is cut off, and for all sums
			reader.take(5, 50, n.clock.Now())
			n.rounds(holder.exchange.levels() + 1)
			n.expect(t, total, int64(c.daemons-len(c.cut)))
		})
	}
}

func (n *network) expect(t *testing.T, total, alive int64) {
	t.Helper()
	for i, m := range n.members {
		if n.cut[m.Name] {
			continue
		}
		d := n.daemons[m.Name]
		if got := d.table.View().ByID("e").Tokens(); got != total {
			t.Errorf("%s knows of %d tokens, want %d", m.Name, got, total)
		}
		if d.config.Revision() != 50 {
			t.Errorf("%s has revision %d of the configuration", m.Name, d.config.Revision())
		}
		if d.table.View().ByID("e").Target() == nil {
			t.Errorf("%s does not know what the holder of the lease orders", m.Name)
		}
		if t.Failed() {
			t.Fatalf("rank %d of %d is the first", i, alive)
		}
	}
}

// However large the fleet, a daemon asks a few others in a round, and few ask it.
func TestQuestionsDoNotGrowWithTheFleet(t *testing.T) {
	n := newNetwork(350)
	askedBy := map[string]int{}
	for _, m := range n.members {
		for _, target := range n.daemons[m.Name].exchange.targets() {
			if len(target.trees) > 0 {
				askedBy[target.member.Name]++
			}
		}
	}
	for name, times := range askedBy {
		if times > roots*fanout {
			t.Errorf("%s has %d daemons below it", name, times)
		}
	}
}

// A new configuration is fetched once, although all peers that were asked at the
// same time have it: eight copies side by side fill a slow link.
func TestOneFetch(t *testing.T) {
	n := newNetwork(8)
	for _, m := range n.members[1:] {
		n.daemons[m.Name].take(5, 50, n.clock.Now())
	}
	behind := n.daemons[n.members[0].Name]
	behind.exchange.Round(context.Background())
	_ = behind.exchange.asks.Wait() // silent peers were asked again
	if got := n.fetches.Load(); got != 1 || behind.config.Revision() != 50 {
		t.Fatalf("%d fetches, revision %d", got, behind.config.Revision())
	}
}
