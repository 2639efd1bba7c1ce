package exchange

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// crowd is a fleet with many upstreams in three availability zones, where each daemon has
// requests at upstreams of its own zone.
func crowd(daemons, upstreams int) *network {
	n := newNetwork(daemons)
	k := fleet.Knowledge{At: 20, Change: 20}
	for i := range upstreams {
		k.Entries = append(k.Entries, spanrill.EngineEntry{
			ID: fmt.Sprintf("u%04d", i), Service: "s", Addr: fmt.Sprint("u", i), Zone: fmt.Sprint("zone-", i%3), Kind: "card",
			Layers: spanrill.LayerRange{From: 0, To: 8}, Revision: 20,
		})
	}
	for i, m := range n.members {
		d := n.daemons[m.Name]
		d.exchange.state.Zone = m.Zone
		d.table.Merge(k, n.clock.Now())
		for j := i; j < upstreams; j += len(n.members) {
			d.table.View().ByID(fmt.Sprintf("u%04d", j)).Reserve(crowdTokens(j % 3))
		}
	}
	return n
}

// crowdTokens is what is held at each upstream of a zone.
func crowdTokens(zone int) int64 { return int64(1000 * (zone + 1)) }

func (n *network) expectCrowd(t *testing.T, upstreams int) {
	t.Helper()
	for _, m := range n.members {
		if n.cut[m.Name] {
			continue
		}
		for j := range upstreams {
			u := n.daemons[m.Name].table.View().ByID(fmt.Sprintf("u%04d", j))
			got, want := u.Tokens(), crowdTokens(j%3)
			if own := u.Zone() == m.Zone; own && got != want || max(got-want, want-got) > want/5 {
				t.Fatalf("%s of %s knows of %d tokens at %s of %s, want %d", m.Name, m.Zone, got, u.ID(), u.Zone(), want)
			}
		}
	}
}

// In each round a daemon was told of all upstreams in use, by both trees, and told that to
// eight others: with 2,922 engines a daemon with 20 Mbit/s would have sent more than its link
// carries. Where many are in use it hears of those of its own zone, and of others on average.
func TestSumsNameTheUpstreamsOfAZone(t *testing.T) {
	const upstreams = 3 * usesNamed
	n := crowd(99, upstreams) // upstream i is used by a daemon of its zone
	rounds := 4 * n.daemons[n.members[50].Name].exchange.levels()
	n.rounds(rounds)
	n.expectCrowd(t, upstreams)
	for _, m := range n.members {
		d := n.daemons[m.Name]
		root := n.members[d.exchange.fullest(n.clock.Now())] // of the tree that is used
		news := n.daemons[root.Name].exchange.News(d.exchange.question(target{member: root, trees: []int{0, 1}}))
		whole := 0
		for _, s := range news.Fleet {
			if len(s.Sum.Uses) > 0 {
				whole++
			}
		}
		data, err := peermsg.Encode(news)
		if err != nil || len(data) > 12*(usesNamed+50) || whole != 1 {
			t.Fatalf("%s is told %d bytes of %d trees, error %v", m.Name, len(data), whole, err)
		}
	}
	n.cut[n.members[0].Name] = true // the root of the tree that is used
	n.rounds(int(keep/gap) + rounds)
	for _, m := range n.members[1:] {
		u := n.daemons[m.Name].table.View().ByID("u0001")
		if u.Tokens() == 0 {
			t.Fatalf("%s knows nothing of others while a root is cut off", m.Name)
		}
	}
}

// Where few are in use all are named, and a fleet that grows and shrinks again leaves nothing
// behind of what was told on average.
func TestFewUpstreamsAreAllNamed(t *testing.T) {
	const upstreams = 3 * usesNamed
	n := crowd(99, upstreams)
	rounds := 4 * n.daemons[n.members[50].Name].exchange.levels()
	n.rounds(rounds)
	for i, m := range n.members {
		d := n.daemons[m.Name]
		for j := i; j < upstreams; j += len(n.members) {
			if j >= 9 {
				d.table.View().ByID(fmt.Sprintf("u%04d", j)).Reserve(-crowdTokens(j % 3))
			}
		}
	}
	n.rounds(rounds)
	for _, m := range n.members {
		for j := range upstreams {
			want := int64(0)
			if j < 9 {
				want = crowdTokens(j % 3)
			}
			if got := n.daemons[m.Name].table.View().ByID(fmt.Sprintf("u%04d", j)).Tokens(); got != want {
				t.Fatalf("%s knows of %d tokens at upstream %d, want %d", m.Name, got, j, want)
			}
		}
	}
}
