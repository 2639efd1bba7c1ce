package exchange

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/protocol/peermsg"
)

// roots is the number of trees over all daemons. Their roots are the first in the
// order in which daemons ask the platform's store: news goes on when one is cut off.
const roots = 2

// target is a daemon to ask, and the numbers of the trees in which it is the
// parent of this one.
type target struct {
	member   peermsg.Member
	trees    []int
	noOrders bool // it is not asked for orders to engines
}

// targets returns whom to ask in this round: the parents of this daemon in the
// trees, the holder of the lease if this daemon is near the root, and those that
// were not asked for longest.
func (e *Exchange) targets() []target {
	t := e.topology()
	others := len(t.ranked) - 1
	if int64(others) > e.others.Swap(int64(others)) {
		e.grewAt.Store(int64(e.clock.Now()))
	}
	if settled := e.Settled(); settled != e.wasSettled.Swap(settled) && settled {
		events.FleetKnown.Log(e.log, logrus.Fields{"daemons": 1 + others})
	}
	var out []target
	if others > fanout {
		out = e.chosen(t)
	} else {
		for _, m := range e.peers.Others() {
			out = append(out, target{member: m})
		}
	}
	if !e.informed() && e.early < seedRounds {
		out = append(out, e.someSeeds()...)
	}
	return out
}

// chosen returns whom to ask in a large fleet.
func (e *Exchange) chosen(t *topology) []target {
	e.mu.Lock()
	defer e.mu.Unlock()
	parents, holder := e.near(t)
	out := make([]target, 0, asked)
	add := func(at int) {
		m := t.ranked[at]
		out = append(out, target{member: m, trees: parents[m.Name], noOrders: len(out) > 0})
	}
	for at, m := range t.ranked {
		if m.Name != e.state.Name && (len(parents[m.Name]) > 0 || m.Name == holder) {
			add(at)
		}
	}
	n := asked * (1 + min(mostLate, e.state.Late()))
	for _, pool := range [][]int{t.near, t.far} {
		for _, at := range e.longestUnasked(t, pool, n-len(out), out) {
			add(at)
		}
	}
	return out
}

// longestUnasked returns the daemons of a pool that were not asked for longest, up to a
// number, and none of those that are targets already. Of equal ones chance decides. The
// caller holds the lock.
func (e *Exchange) longestUnasked(t *topology, pool []int, n int, targets []target) []int {
	var out []int
	for range n {
		best, equal := -1, 0
		for _, at := range pool {
			name := t.ranked[at].Name
			if slices.Contains(out, at) || slices.ContainsFunc(targets, func(t target) bool { return t.member.Name == name }) {
				continue
			}
			switch {
			case best < 0 || e.askedAt[name] < e.askedAt[t.ranked[best].Name]:
				best, equal = at, 1
			case e.askedAt[name] == e.askedAt[t.ranked[best].Name]:
				equal++
				if e.random.IntN(equal) == 0 {
					best = at
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

// topology is the trees as this daemon sees them. It is worked out anew when a daemon comes
// or goes.
type topology struct {
	ranked []peermsg.Member
	self   int   // place of this daemon in ranked, or -1
	near   []int // places of the other daemons of its availability zone
	far    []int // places of all others
	depth  int   // levels of a tree
	// zones are the names of the daemons of the availability zone in the order of each
	// tree, and ats are the places of this daemon among them.
	zones [roots][]string
	ats   [roots]int
}

// topology returns the trees over the daemons that are alive.
func (e *Exchange) topology() *topology {
	ranked := e.peers.Ranked()
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.trees; t != nil && len(t.ranked) == len(ranked) && len(ranked) > 0 && &t.ranked[0] == &ranked[0] {
		return t
	}
	e.trees = newTopology(ranked, e.state.Name)
	e.forgetAsked(ranked)
	e.deepest.Store(int64(e.trees.depth))
	return e.trees
}

func newTopology(ranked []peermsg.Member, self string) *topology {
	t := &topology{ranked: ranked, self: place(ranked, self), depth: depth(ranked)}
	zone := ""
	if t.self >= 0 {
		zone = ranked[t.self].Zone
	}
	for at, m := range ranked {
		switch {
		case at == t.self:
		case m.Zone == zone:
			t.near = append(t.near, at)
		default:
			t.far = append(t.far, at)
		}
	}
	for tree := range t.zones {
		for i := range ranked {
			m := ranked[(tree+i)%len(ranked)]
			if m.Zone != zone {
				continue
			}
			if m.Name == self {
				t.ats[tree] = len(t.zones[tree])
			}
			t.zones[tree] = append(t.zones[tree], m.Name)
		}
	}
	return t
}

// root returns the name of the root of a tree.
func (t *topology) root(tree int) string { return t.ranked[tree%len(t.ranked)].Name }

// forgetAsked forgets when daemons were asked that are gone. The caller holds
// the lock.
func (e *Exchange) forgetAsked(alive []peermsg.Member) {
	names := make(map[string]bool, len(alive))
	for _, m := range alive {
		names[m.Name] = true
	}
	maps.DeleteFunc(e.askedAt, func(name string, _ spanrill.Millis) bool { return !names[name] })
	maps.DeleteFunc(e.mute, func(name string, _ bool) bool { return !names[name] })
	maps.DeleteFunc(e.peerKnows, func(name string, _ knownOrders) bool { return !names[name] })
}

// noteMute notes whether a peer has answered its last question.
func (e *Exchange) noteMute(name string, mute bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mute {
		e.mute[name] = true
		return
	}
	delete(e.mute, name)
}

// Mute reports whether a peer did not answer the last question of this daemon. A peer that was
// never asked is not mute.
func (e *Exchange) Mute(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mute[name]
}

// near returns those that this daemon asks in every round: its parents, by name,
// with the trees, and at a root the holder of the lease. The caller holds the lock.
func (e *Exchange) near(t *topology) (parents map[string][]int, holder string) {
	parents = map[string][]int{}
	if t.self < 0 {
		return parents, ""
	}
	for tree := range roots {
		if name := e.parent(t, tree); name != "" {
			parents[name] = append(parents[name], tree)
		}
	}
	if t.self < roots {
		holder = e.placement.holder
	}
	return parents, holder
}

// parent returns the name of this daemon's parent in a tree, or "" at the root. In each
// availability zone, the daemon at place i has the one at place (i-1)/fanout as its
// parent, and the first has the root: little crosses between zones. A parent that did not
// answer its last question is passed over for its own parent. The caller holds the lock.
func (e *Exchange) parent(t *topology, tree int) string {
	root := t.root(tree)
	if root == e.state.Name {
		return ""
	}
	for at := t.ats[tree]; at > 0; {
		at = (at - 1) / fanout
		if name := t.zones[tree][at]; !e.mute[name] {
			return name
		}
	}
	return root
}

// place returns the rank of a daemon, or -1.
func place(ranked []peermsg.Member, name string) int {
	return slices.IndexFunc(ranked, func(m peermsg.Member) bool { return m.Name == name })
}

// levels is through how many daemons news goes from a root until all have it.
func (e *Exchange) levels() int {
	if e.others.Load() <= fanout {
		return 1
	}
	return int(max(1, e.deepest.Load()))
}

// settleTime is how long no daemon was added before the fleet is taken as known:
// three rounds of the members' gossip.
const settleTime spanrill.Millis = 1500

// aloneTime is how long a daemon that was told of others and has heard of none takes
// them for late: longer than it takes all to start.
const aloneTime = 5 * spanrill.Second

// Settled reports whether this daemon knows how many others there are.
func (e *Exchange) Settled() bool {
	if len(e.state.Seeds) > 0 && e.others.Load() == 0 && e.clock.Now()-e.startedAt < aloneTime {
		return false
	}
	return e.clock.Now()-spanrill.Millis(e.grewAt.Load()) >= settleTime
}

// depth is the levels of a tree over these daemons.
func depth(ranked []peermsg.Member) int {
	sizes := map[string]int{}
	most := 0
	for _, m := range ranked {
		sizes[m.Zone]++
		most = max(most, sizes[m.Zone])
	}
	n := 1
	for reach := 1; reach < most; reach = reach*fanout + 1 {
		n++
	}
	return n
}

// SpreadTime is how long news takes from a root of the trees to all daemons.
func (e *Exchange) SpreadTime() spanrill.Millis { return gap * spanrill.Millis(e.levels()) }

// Rounds is in how many rounds the figures of every other daemon arrive.
func (e *Exchange) Rounds() int {
	if e.others.Load() <= fanout {
		return 1
	}
	return 2 * e.levels() // up to the root and down again
}
