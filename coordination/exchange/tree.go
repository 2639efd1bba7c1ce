package exchange

import (
	"sort"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// roots is how many daemons ask the platform's store, each the root of a tree
// over all daemons: one may be cut off, and the second goes on.
const roots = 2

// targets returns whom to ask in this round: the parents of this daemon in the
// trees, the holder of the lease if this daemon is near the root, and those that
// were not asked for longest.
func (e *Exchange) targets() []peermsg.Member {
	others := e.peers.Others()
	if len(others) <= fanout {
		return others
	}
	first := e.near(e.peers.Ranked())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetAsked(others)
	for i := len(others) - 1; i > 0; i-- {
		k := e.random.IntN(i + 1)
		others[i], others[k] = others[k], others[i]
	}
	sort.SliceStable(others, func(i, k int) bool {
		a, b := others[i].Name, others[k].Name
		if first[a] != first[b] {
			return first[a]
		}
		return e.askedAt[a] < e.askedAt[b]
	})
	return others[:fanout]
}

// forgetAsked forgets when daemons were asked that are gone. The caller holds
// the lock.
func (e *Exchange) forgetAsked(others []peermsg.Member) {
	kept := make(map[string]spanrill.Millis, len(others))
	for _, m := range others {
		kept[m.Name] = e.askedAt[m.Name]
	}
	e.askedAt = kept
}

// near returns the names of those that this daemon asks in every round.
func (e *Exchange) near(ranked []peermsg.Member) map[string]bool {
	names := map[string]bool{}
	n, self := len(ranked), -1
	for i, m := range ranked {
		if m.Name == e.state.Name {
			self = i
		}
	}
	if self < 0 {
		return names
	}
	for root := range roots {
		place := (self - root + n) % n // in the tree whose root is that one
		if place > 0 {
			names[ranked[((place-1)/fanout+root)%n].Name] = true
		}
	}
	if self < roots {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.placement.said != nil {
			names[e.placement.said.Holder] = true
		}
	}
	return names
}

// levels is through how many daemons news goes from a root until all have it.
func (e *Exchange) levels() int {
	n := 1
	for reach := fanout; reach < len(e.peers.Others()); reach = (reach + 1) * fanout {
		n++
	}
	return n
}

// SpreadTime is how long news takes from a root of the trees to all daemons.
func (e *Exchange) SpreadTime() spanrill.Millis { return gap * spanrill.Millis(e.levels()) }

// Rounds is in how many rounds every other daemon is asked once.
func (e *Exchange) Rounds() int {
	others := len(e.peers.Others())
	if others <= fanout {
		return 1
	}
	free := fanout - roots
	return (others + free - 1) / free
}
