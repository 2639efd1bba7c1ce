package exchange

import (
	"sort"

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
	member peermsg.Member
	trees  []int
}

// targets returns whom to ask in this round: the parents of this daemon in the
// trees, the holder of the lease if this daemon is near the root, and those that
// were not asked for longest.
func (e *Exchange) targets() []target {
	others := e.peers.Others()
	if int64(len(others)) > e.others.Swap(int64(len(others))) {
		e.grewAt.Store(int64(e.clock.Now()))
	}
	if settled := e.Settled(); settled != e.wasSettled.Swap(settled) && settled {
		events.FleetKnown.Log(e.log, logrus.Fields{"daemons": 1 + len(others)})
	}
	var out []target
	if len(others) > fanout {
		out = e.chosen(others)
	} else {
		for _, m := range others {
			out = append(out, target{member: m})
		}
	}
	if !e.informed() && e.early < seedRounds {
		out = append(out, e.someSeeds()...)
	}
	return out
}

// chosen returns whom to ask in a large fleet.
func (e *Exchange) chosen(others []peermsg.Member) []target {
	ranked := e.peers.Ranked()
	parents, holder := e.near(ranked)
	zone := ""
	if i := place(ranked, e.state.Name); i >= 0 {
		zone = ranked[i].Zone
	}
	e.deepest.Store(int64(depth(ranked)))
	first := func(name string) bool { return len(parents[name]) > 0 || name == holder }
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetAsked(others)
	for i := len(others) - 1; i > 0; i-- {
		k := e.random.IntN(i + 1)
		others[i], others[k] = others[k], others[i]
	}
	sort.SliceStable(others, func(i, k int) bool {
		a, b := others[i].Name, others[k].Name
		if first(a) != first(b) {
			return first(a)
		}
		if here := others[i].Zone == zone; here != (others[k].Zone == zone) {
			return here
		}
		return e.askedAt[a] < e.askedAt[b]
	})
	out := make([]target, 0, asked)
	for _, m := range others[:asked] {
		out = append(out, target{member: m, trees: parents[m.Name]})
	}
	return out
}

// forgetAsked forgets when daemons were asked that are gone. The caller holds
// the lock.
func (e *Exchange) forgetAsked(others []peermsg.Member) {
	kept := make(map[string]spanrill.Millis, len(others))
	for _, m := range others {
		kept[m.Name] = e.askedAt[m.Name]
	}
	for name := range e.mute {
		if _, ok := kept[name]; !ok {
			delete(e.mute, name)
		}
	}
	e.askedAt = kept
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

// near returns those that this daemon asks in every round: its parents, by name,
// with the trees, and at a root the holder of the lease.
func (e *Exchange) near(ranked []peermsg.Member) (parents map[string][]int, holder string) {
	parents = map[string][]int{}
	self := place(ranked, e.state.Name)
	if self < 0 {
		return parents, ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for tree := range roots {
		if name := e.parent(rotated(ranked, tree), ranked[self].Zone); name != "" {
			parents[name] = append(parents[name], tree)
		}
	}
	if self < roots && e.placement.said != nil {
		holder = e.placement.said.Holder
	}
	return parents, holder
}

// rotated returns the order of a tree: the first in it is the root.
func rotated(ranked []peermsg.Member, tree int) []peermsg.Member {
	return append(append([]peermsg.Member(nil), ranked[tree:]...), ranked[:tree]...)
}

// parent returns the name of this daemon's parent in the tree of that order, or
// "" at the root. In each availability zone, the daemon at place i has the one at
// place (i-1)/fanout as its parent, and the first has the root: little crosses
// between zones. A parent that did not answer its last question is passed over
// for its own parent. The caller holds the lock.
func (e *Exchange) parent(order []peermsg.Member, zone string) string {
	root := order[0].Name
	if root == e.state.Name {
		return ""
	}
	var names []string
	at := 0
	for _, m := range order {
		if m.Name == e.state.Name {
			at = len(names)
		}
		if m.Zone == zone {
			names = append(names, m.Name)
		}
	}
	for at > 0 {
		at = (at - 1) / fanout
		if !e.mute[names[at]] {
			return names[at]
		}
	}
	return root
}

// place returns the rank of a daemon, or -1.
func place(ranked []peermsg.Member, name string) int {
	for i, m := range ranked {
		if m.Name == name {
			return i
		}
	}
	return -1
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
