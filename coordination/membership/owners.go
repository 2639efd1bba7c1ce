package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"spanrill/protocol/peermsg"
)

// Owners returns the n live members that own a key, by rendezvous hashing:
// when a member comes or goes, only its own keys move.
func (l *List) Owners(key string, n int) []peermsg.Member {
	live := l.Live()
	ranked := append([]peermsg.Member(nil), live...)
	sort.Slice(ranked, func(i, k int) bool { return rank(key, ranked[i].Name) > rank(key, ranked[k].Name) })
	return ranked[:min(n, len(ranked))]
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
