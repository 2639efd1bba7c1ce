package exchange

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// newBusyNetwork returns a fleet with many upstreams in three availability zones, where each
// daemon has requests at upstreams of its own zone.
func newBusyNetwork(daemons, upstreams int) *network {
	n := newNetwork(daemons)
	update := fleet.Update{Revision: 20, LastChange: 20}
	for i := range upstreams {
		update.Entries = append(update.Entries, spanrill.EngineEntry{
			ID: fmt.Sprintf("u%04d", i), Service: "s", Addr: fmt.Sprint("u", i), Zone: fmt.Sprint("zone-", i%3), Kind: "card",
			Layers: spanrill.LayerRange{From: 0, To: 8}, Revision: 20,
		})
	}
	for i, m := range n.members {
		d := n.daemons[m.Name]
		d.exchange.state.Zone = m.Zone
		d.table.Merge(update, n.clock.Now())
		for j := i; j < upstreams; j += len(n.members) {
			d.table.View().ByID(fmt.Sprintf("u%04d", j)).Reserve(busyTokens(j % 3))
		}
	}
	return n
}

// busyTokens returns how many tokens are held at each upstream of a zone.
func busyTokens(zone int) int64 { return int64(1000 * (zone + 1)) }

func (n *network) expectBusyTokens(t *testing.T, upstreams int) {
	t.Helper()
	for _, m := range n.members {
		if n.unreachable[m.Name] {
			continue
		}
		for j := range upstreams {
			u := n.daemons[m.Name].table.View().ByID(fmt.Sprintf("u%04d", j))
			got, want := u.Tokens(), busyTokens(j%3)
			if own := u.Zone() == m.Zone; own && got != want || max(got-want, want-got) > want/5 {
				t.Fatalf("%s in %s: %d tokens at %s in %s, want %d", m.Name, m.Zone, got, u.ID(), u.Zone(), want)
			}
		}
	}
}

// Guards against sums that name all upstreams of a large fleet in both trees: with 2,922 engines
// a daemon that sends them to eight children exceeds its link of 20 Mbit/s. When many upstreams
// are in use, a daemon receives the uses of those in its own zone, and averages for the others.
func TestLargeSumsNameUpstreamsOfOneZone(t *testing.T) {
	const upstreams = 3 * maxNamedUses
	n := newBusyNetwork(99, upstreams) // upstream i is used by a daemon of its zone
	rounds := 4 * n.daemons[n.members[50].Name].exchange.broadcastRounds()
	n.runRounds(rounds)
	n.expectBusyTokens(t, upstreams)
	for _, m := range n.members {
		d := n.daemons[m.Name]
		root := n.members[d.exchange.fullestTree(n.clock.Now())] // of the tree in use
		news := n.daemons[root.Name].exchange.HandleNewsRequest(d.exchange.newsRequest(recipient{member: root, trees: []int{0, 1}}))
		named := 0
		for _, s := range news.Fleet {
			if len(s.Sum.Uses) > 0 {
				named++
			}
		}
		data, err := peermsg.Encode(news)
		if err != nil || len(data) > 12*(maxNamedUses+50) || named != 1 {
			t.Fatalf("%s received %d bytes and the upstreams of %d trees, want 1 tree, error %v", m.Name, len(data), named, err)
		}
	}
	n.unreachable[n.members[0].Name] = true // the root of the tree in use
	n.runRounds(int(newsTTL/roundInterval) + rounds)
	for _, m := range n.members[1:] {
		u := n.daemons[m.Name].table.View().ByID("u0001")
		if u.Tokens() == 0 {
			t.Fatalf("%s counts no tokens of other daemons while a root is unreachable", m.Name)
		}
	}
}

// When few upstreams are in use, sums name all of them. A fleet whose load falls keeps nothing of
// the averages that were applied before.
func TestSmallSumsNameAllUpstreams(t *testing.T) {
	const upstreams = 3 * maxNamedUses
	n := newBusyNetwork(99, upstreams)
	rounds := 4 * n.daemons[n.members[50].Name].exchange.broadcastRounds()
	n.runRounds(rounds)
	for i, m := range n.members {
		d := n.daemons[m.Name]
		for j := i; j < upstreams; j += len(n.members) {
			if j >= 9 {
				d.table.View().ByID(fmt.Sprintf("u%04d", j)).Reserve(-busyTokens(j % 3))
			}
		}
	}
	n.runRounds(rounds)
	for _, m := range n.members {
		for j := range upstreams {
			want := int64(0)
			if j < 9 {
				want = busyTokens(j % 3)
			}
			if got := n.daemons[m.Name].table.View().ByID(fmt.Sprintf("u%04d", j)).Tokens(); got != want {
				t.Fatalf("%s: %d tokens at upstream %d, want %d", m.Name, got, j, want)
			}
		}
	}
}
