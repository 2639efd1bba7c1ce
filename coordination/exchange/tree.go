package exchange

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/protocol/peermsg"
)

// treeCount is the number of trees over all daemons. Their roots are the first daemons in rank, the
// order in which daemons ask the platform's store. With two trees, news still arrives when one
// root is unreachable.
const treeCount = 2

// recipient is a daemon to ask in a round.
type recipient struct {
	member     peermsg.Member
	trees      []int // numbers of the trees in which it is this daemon's parent
	skipOrders bool  // do not ask it for placement orders
}

// recipients returns the daemons to ask in this round. In a small fleet these are all others.
func (e *Exchange) recipients() []recipient {
	t := e.topology()
	others := len(t.ranked) - 1
	if int64(others) > e.otherCount.Swap(int64(others)) {
		e.lastAddedAt.Store(int64(e.clock.Now()))
	}
	if known := e.FleetSizeKnown(); known != e.fleetSizeWasKnown.Swap(known) && known {
		events.FleetSizeKnown.Log(e.log, logrus.Fields{"daemons": 1 + others})
	}
	var out []recipient
	if others > fanout {
		out = e.treeRecipients(t)
	} else {
		for _, m := range e.peers.Others() {
			out = append(out, recipient{member: m})
		}
	}
	if !e.initialized() && e.startRounds < seedRounds {
		out = append(out, e.randomSeeds()...)
	}
	return out
}

// treeRecipients returns the daemons to ask in a large fleet: the parents of this daemon in the
// trees, the lease holder if this daemon is a root, and the least recently asked others, those
// of its own availability zone first.
func (e *Exchange) treeRecipients(t *topology) []recipient {
	e.mu.Lock()
	defer e.mu.Unlock()
	parents, holder := e.fixedPeers(t)
	out := make([]recipient, 0, askedPerRound)
	add := func(rank int) {
		m := t.ranked[rank]
		out = append(out, recipient{member: m, trees: parents[m.Name], skipOrders: len(out) > 0})
	}
	for rank, m := range t.ranked {
		if m.Name != e.state.Name && (len(parents[m.Name]) > 0 || m.Name == holder) {
			add(rank)
		}
	}
	n := askedPerRound * (1 + min(maxLateRounds, e.state.LateRounds()))
	for _, pool := range [][]int{t.sameZone, t.otherZones} {
		for _, rank := range e.leastRecentlyAsked(t, pool, n-len(out), out) {
			add(rank)
		}
	}
	return out
}

// leastRecentlyAsked returns the ranks of up to n daemons of a pool that were asked least
// recently and are not among the recipients chosen already. Ties are broken at random. The caller
// must hold e.mu.
func (e *Exchange) leastRecentlyAsked(t *topology, pool []int, n int, chosen []recipient) []int {
	var out []int
	for range n {
		best, ties := -1, 0
		for _, rank := range pool {
			name := t.ranked[rank].Name
			if slices.Contains(out, rank) || slices.ContainsFunc(chosen, func(r recipient) bool { return r.member.Name == name }) {
				continue
			}
			switch {
			case best < 0 || e.askedAt[name] < e.askedAt[t.ranked[best].Name]:
				best, ties = rank, 1
			case e.askedAt[name] == e.askedAt[t.ranked[best].Name]:
				ties++
				if e.random.IntN(ties) == 0 {
					best = rank
				}
			}
		}
		if best < 0 {
			break
		}
		out = append(out, best)
	}
	return out
}

// topology describes the trees over the daemons that this daemon knows. It is rebuilt when a daemon
// joins or leaves.
type topology struct {
	ranked     []peermsg.Member
	selfRank   int   // index of this daemon in ranked, or -1
	sameZone   []int // indexes of the other daemons in this daemon's availability zone
	otherZones []int // indexes of all other daemons
	depth      int   // levels of a tree
	// zoneMembers are, for each tree, the names of the daemons in this daemon's availability zone in
	// the order of that tree. zoneRanks are the indexes of this daemon among them.
	zoneMembers [treeCount][]string
	zoneRanks   [treeCount]int
}

// topology returns the trees over the live daemons.
func (e *Exchange) topology() *topology {
	ranked := e.peers.Ranked()
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.cachedTopology; t != nil && len(t.ranked) == len(ranked) && len(ranked) > 0 && &t.ranked[0] == &ranked[0] {
		return t
	}
	e.cachedTopology = newTopology(ranked, e.state.Name)
	e.pruneDeparted(ranked)
	e.depth.Store(int64(e.cachedTopology.depth))
	return e.cachedTopology
}

func newTopology(ranked []peermsg.Member, self string) *topology {
	t := &topology{ranked: ranked, selfRank: rankOf(ranked, self), depth: treeDepth(ranked)}
	zone := ""
	if t.selfRank >= 0 {
		zone = ranked[t.selfRank].Zone
	}
	for rank, m := range ranked {
		switch {
		case rank == t.selfRank:
		case m.Zone == zone:
			t.sameZone = append(t.sameZone, rank)
		default:
			t.otherZones = append(t.otherZones, rank)
		}
	}
	for tree := range t.zoneMembers {
		for i := range ranked {
			m := ranked[(tree+i)%len(ranked)]
			if m.Zone != zone {
				continue
			}
			if m.Name == self {
				t.zoneRanks[tree] = len(t.zoneMembers[tree])
			}
			t.zoneMembers[tree] = append(t.zoneMembers[tree], m.Name)
		}
	}
	return t
}

// root returns the name of the root of a tree.
func (t *topology) root(tree int) string { return t.ranked[tree%len(t.ranked)].Name }

// pruneDeparted drops the state kept for daemons that are not alive. The caller must hold e.mu.
func (e *Exchange) pruneDeparted(alive []peermsg.Member) {
	names := make(map[string]bool, len(alive))
	for _, m := range alive {
		names[m.Name] = true
	}
	maps.DeleteFunc(e.askedAt, func(name string, _ spanrill.Millis) bool { return !names[name] })
	maps.DeleteFunc(e.unresponsive, func(name string, _ bool) bool { return !names[name] })
	maps.DeleteFunc(e.peerOrders, func(name string, _ knownOrders) bool { return !names[name] })
}

// setUnresponsive records whether a peer failed to answer this daemon's last request.
func (e *Exchange) setUnresponsive(name string, unresponsive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if unresponsive {
		e.unresponsive[name] = true
		return
	}
	delete(e.unresponsive, name)
}

// Unresponsive reports whether a peer did not answer the last request of this daemon. It is
// false for a peer that was never asked.
func (e *Exchange) Unresponsive(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unresponsive[name]
}

// fixedPeers returns the peers that this daemon asks in every round: its parents by name, with
// the trees, and the lease holder if this daemon is a root. The caller must hold e.mu.
func (e *Exchange) fixedPeers(t *topology) (parents map[string][]int, holder string) {
	parents = map[string][]int{}
	if t.selfRank < 0 {
		return parents, ""
	}
	for tree := range treeCount {
		if name := e.parent(t, tree); name != "" {
			parents[name] = append(parents[name], tree)
		}
	}
	if t.selfRank < treeCount {
		holder = e.placement.holder
	}
	return parents, holder
}

// parent returns the name of this daemon's parent in a tree, or "" at the root. Within each
// availability zone, the parent of the daemon at index i is the one at (i-1)/fanout, and the
// parent of the first is the root, so that little traffic crosses zones. A parent that did not
// answer the last request is skipped in favor of its own parent. The caller must hold e.mu.
func (e *Exchange) parent(t *topology, tree int) string {
	root := t.root(tree)
	if root == e.state.Name {
		return ""
	}
	for index := t.zoneRanks[tree]; index > 0; {
		index = (index - 1) / fanout
		if name := t.zoneMembers[tree][index]; !e.unresponsive[name] {
			return name
		}
	}
	return root
}

// rankOf returns the index of a daemon in the ranked members, or -1.
func rankOf(ranked []peermsg.Member, name string) int {
	return slices.IndexFunc(ranked, func(m peermsg.Member) bool { return m.Name == name })
}

// broadcastRounds returns how many rounds news takes from a root to all daemons.
func (e *Exchange) broadcastRounds() int {
	if e.otherCount.Load() <= fanout {
		return 1
	}
	return int(max(1, e.depth.Load()))
}

// settleTime is how long the fleet must go without a new daemon before its size counts as known:
// three gossip rounds of the members.
const settleTime spanrill.Millis = 1500

// seedWait is how long a daemon that has seeds but knows no other daemon waits before it assumes that
// it is alone: longer than all daemons take to start.
const seedWait = 5 * spanrill.Second

// FleetSizeKnown reports whether this daemon knows how many others there are.
func (e *Exchange) FleetSizeKnown() bool {
	if len(e.state.Seeds) > 0 && e.otherCount.Load() == 0 && e.clock.Now()-e.startedAt < seedWait {
		return false
	}
	return e.clock.Now()-spanrill.Millis(e.lastAddedAt.Load()) >= settleTime
}

// treeDepth returns the number of levels of a tree over these daemons.
func treeDepth(ranked []peermsg.Member) int {
	sizes := map[string]int{}
	largest := 0
	for _, m := range ranked {
		sizes[m.Zone]++
		largest = max(largest, sizes[m.Zone])
	}
	levels := 1
	for covered := 1; covered < largest; covered = covered*fanout + 1 {
		levels++
	}
	return levels
}

// BroadcastTime returns how long news takes from a root of the trees to all daemons.
func (e *Exchange) BroadcastTime() spanrill.Millis {
	return roundInterval * spanrill.Millis(e.broadcastRounds())
}

// AggregationRounds returns how many rounds the figures of every other daemon take to arrive.
func (e *Exchange) AggregationRounds() int {
	if e.otherCount.Load() <= fanout {
		return 1
	}
	return 2 * e.broadcastRounds() // up to the root and down again
}
