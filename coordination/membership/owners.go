package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"spanrill/protocol/peermsg"
)

// Owners returns the n live members that own a key, by rendezvous hashing. When a member joins
// or leaves, only its own keys move.
func (l *List) Owners(key string, n int) []peermsg.Member {
	return OwnersAmong(key, l.Live(), n)
}

// OwnersAmong returns the n of the given members that own a key, by rendezvous hashing.
func OwnersAmong(key string, members []peermsg.Member, n int) []peermsg.Member {
	owners := rankMembers(key, members)
	return owners[:min(n, len(owners))]
}

// Ranked returns all live members in order of preference for a task: by descending processor
// class, and within a class by rendezvous hashing of the key. The order is cached until a member
// joins or leaves. The slice must not be modified.
func (l *List) Ranked(key string) []peermsg.Member {
	live := l.live.Load()
	l.rankingsMu.Lock()
	defer l.rankingsMu.Unlock()
	cached := l.rankings[key]
	if cached.roster != live {
		cached = ranking{roster: live, ranked: rankMembers(key, live.members)}
		slices.SortStableFunc(cached.ranked, func(a, b peermsg.Member) int { return cmp.Compare(CPUClass(b), CPUClass(a)) })
		l.rankings[key] = cached
	}
	return cached.ranked
}

// CPUClass returns the processor class of a member. Each class begins at twice the processor
// power of the class below. Members that report no power are of class 0.
func CPUClass(m peermsg.Member) int { return bits.Len(uint(max(0, m.MilliCores))) }

// ranking is the cached result of Ranked for the members of a roster.
type ranking struct {
	roster *roster
	ranked []peermsg.Member
}

func rankMembers(key string, members []peermsg.Member) []peermsg.Member {
	type scored struct {
		score uint64
		index int
	}
	scores := make([]scored, len(members))
	for i, m := range members {
		scores[i] = scored{ownershipScore(key, m.Name), i}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]peermsg.Member, len(members))
	for i, s := range scores {
		out[i] = members[s.index]
	}
	return out
}

// Owns reports whether this daemon is among the n owners of a key.
func (l *List) Owns(key string, n int) bool {
	return l.OwnsAmong(key, n, func(peermsg.Member) bool { return true })
}

// OwnsAmong reports whether this daemon is among the n owners of a key, when only it and the
// matching members are considered.
func (l *List) OwnsAmong(key string, n int, match func(peermsg.Member) bool) bool {
	return l.Rank(key, match) < n
}

// Rank returns this daemon's index among the owners of a key, from 0, when only it and the
// matching members are considered.
func (l *List) Rank(key string, match func(peermsg.Member) bool) int {
	mine, higher := ownershipScore(key, l.self.Name), 0
	for _, m := range l.Live() {
		if m.Name != l.self.Name && match(m) && ownershipScore(key, m.Name) > mine {
			higher++
		}
	}
	return higher
}

func ownershipScore(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
