package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"spanrill/protocol/peermsg"
)

// Owners returns the n live members that own a key, by rendezvous hashing:
// when a member comes or goes, only its own keys move.
func (l *List) Owners(key string, n int) []peermsg.Member {
	return OwnersAmong(key, l.Live(), n)
}

// OwnersAmong returns the n of the given members that own a key, by rendezvous hashing.
func OwnersAmong(key string, members []peermsg.Member, n int) []peermsg.Member {
	ranked := ranked(key, members)
	return ranked[:min(n, len(ranked))]
}

// Ranked returns all live members in the order in which a duty falls to them: those with
// more processor first, and among alike ones as they own the key. The order is kept until a
// member comes or goes. The slice must not be changed.
func (l *List) Ranked(key string) []peermsg.Member {
	of := l.live.Load()
	l.ordersMu.Lock()
	defer l.ordersMu.Unlock()
	o := l.orders[key]
	if o.of != of {
		o = order{of: of, ranked: ranked(key, of.members)}
		slices.SortStableFunc(o.ranked, func(a, b peermsg.Member) int { return cmp.Compare(Class(b), Class(a)) })
		l.orders[key] = o
	}
	return o.ranked
}

// Class returns the class of processor of a member: one class has from half to all of what
// the next one begins at. Members that do not tell are of class 0.
func Class(m peermsg.Member) int { return bits.Len(uint(max(0, m.Power))) }

// order is the members of a roster in the order in which they own a key.
type order struct {
	of     *roster
	ranked []peermsg.Member
}

func ranked(key string, members []peermsg.Member) []peermsg.Member {
	type scored struct {
		score uint64
		at    int
	}
	scores := make([]scored, len(members))
	for i, m := range members {
		scores[i] = scored{rank(key, m.Name), i}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]peermsg.Member, len(members))
	for i, s := range scores {
		out[i] = members[s.at]
	}
	return out
}

// Owns reports whether this daemon is among the n owners of a key.
func (l *List) Owns(key string, n int) bool {
	return l.OwnsAmong(key, n, func(peermsg.Member) bool { return true })
}

// OwnsAmong reports whether this daemon is among the n owners of a key, when
// only the members that match count.
func (l *List) OwnsAmong(key string, n int, match func(peermsg.Member) bool) bool {
	return l.Rank(key, match) < n
}

// Rank returns this daemon's place among the owners of a key, from 0, when only
// it and the members that match count.
func (l *List) Rank(key string, match func(peermsg.Member) bool) int {
	mine, better := rank(key, l.self.Name), 0
	for _, m := range l.Live() {
		if m.Name != l.self.Name && match(m) && rank(key, m.Name) > mine {
			better++
		}
	}
	return better
}

func rank(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
