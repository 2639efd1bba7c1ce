package membership

import (
	"context"
	"slices"
	"strings"

	"spanrill/protocol/peermsg"
	"spanrill/task"
)

// tell sends gossip to some members at the same time.
func (l *List) tell(ctx context.Context, tasks *task.Group, g *peermsg.Gossip, targets ...peermsg.Member) {
	for _, m := range targets {
		tasks.Start(ctx, "gossip", func(context.Context) error { return l.send(m.PeerAddr, g) })
	}
}

// targets returns a few random live members, and those suspected, which are asked
// to answer. All but one of the random members are of this daemon's availability
// zone in a large fleet, because bytes between zones are paid for.
func (l *List) targets() []peermsg.Member {
	r := l.live.Load()
	picked := l.pick(nil, r.others, 1)
	if len(r.others) > largeFleet {
		picked = l.pick(picked, r.near, l.fanout)
	}
	picked = l.pick(picked, r.others, l.fanout)
	members := make([]peermsg.Member, len(picked))
	for i, at := range picked {
		members[i] = r.members[at]
	}
	return append(members, l.suspects()...)
}

// pick adds places of a pool at random until there are n, as far as the pool goes. The
// pool is not copied: n is small, and the fleet may be large.
func (l *List) pick(picked, pool []int, n int) []int {
	left := 0
	for _, at := range pool {
		if !slices.Contains(picked, at) {
			left++
		}
	}
	for ; left > 0 && len(picked) < n; left-- {
		at := pool[l.random.IntN(len(pool))]
		for slices.Contains(picked, at) {
			at = pool[l.random.IntN(len(pool))]
		}
		picked = append(picked, at)
	}
	return picked
}

// largeFleet is the number of other members from which gossip stays near: fewer
// are all reached within a few rounds.
const largeFleet = 16

// suspects returns suspected members. Each of them is tried in every round
// until it is heard of or dead.
func (l *List) suspects() []peermsg.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return appendMembers(nil, l.inState(suspected))
}

// inState returns the entries in some states in the order of their names. The caller
// holds the lock.
func (l *List) inState(states ...state) []*entry {
	var found []*entry
	for _, e := range l.sorted {
		if slices.Contains(states, e.state) {
			found = append(found, e)
		}
	}
	return found
}

func appendMembers(members []peermsg.Member, entries []*entry) []peermsg.Member {
	for _, e := range entries {
		members = append(members, e.member)
	}
	return members
}

// unknown returns a random box that is not known to be alive, with the last count
// that is known of it, and whether there is one.
func (l *List) unknown() (peermsg.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unknown []peermsg.Member
	for name, addr := range l.seeds {
		m := peermsg.Member{Name: name, PeerAddr: addr}
		e := l.entries[name]
		if e != nil && e.state.lives() {
			continue
		}
		if e != nil {
			m.Incarnation, m.Beat = e.member.Incarnation, e.member.Beat
		}
		unknown = append(unknown, m)
	}
	if len(unknown) == 0 {
		return peermsg.Member{}, false
	}
	slices.SortFunc(unknown, func(a, b peermsg.Member) int { return strings.Compare(a.Name, b.Name) })
	return unknown[l.random.IntN(len(unknown))], true
}

// asking returns gossip that holds also the entry of its receiver, which answers when
// it sees that its count is old or not known. Without it a daemon that none of the
// messages happens to name would stay unknown: see docs/FINDINGS.md, 30.
func asking(g *peermsg.Gossip, receiver peermsg.Member) *peermsg.Gossip {
	return &peermsg.Gossip{Members: append(slices.Clone(g.Members), receiver)}
}

// gossip returns this daemon's own entry, those of suspected members, which
// answer when they see how old their count is, and those of random members.
func (l *List) gossip() *peermsg.Gossip {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Beat++
	l.self.Revision = l.revision()
	members := append(make([]peermsg.Member, 0, maxMembers), l.self)
	members = appendMembers(members, l.inState(suspected))
	members = l.appendSome(members, l.inState(alive, left))
	return &peermsg.Gossip{Members: members}
}

// appendSome adds random entries until the members fill a message.
func (l *List) appendSome(members []peermsg.Member, entries []*entry) []peermsg.Member {
	for i := 0; i < len(entries) && len(members) < maxMembers; i++ {
		k := i + l.random.IntN(len(entries)-i)
		entries[i], entries[k] = entries[k], entries[i]
		members = append(members, entries[i].member)
	}
	return members
}

// Take learns from the gossip of a peer.
func (l *List) Take(g *peermsg.Gossip) {
	var newer *peermsg.Member
	own := l.revision()
	stranger := len(g.Members) > 0 && !g.Answer && !l.knows(g.Members[0])
	for i := range g.Members {
		m := &g.Members[i]
		if m.Name == l.self.Name {
			l.refute(g.Members[0], *m)
			continue
		}
		if l.learn(*m) && m.Revision > own && (newer == nil || m.Revision > newer.Revision) {
			newer = m
		}
	}
	l.publishNews()
	if stranger {
		l.welcome(g.Members[0])
	}
	if newer != nil {
		l.onNewer(*newer)
	}
}

// knows reports whether a start of a daemon has been heard of.
func (l *List) knows(m peermsg.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[m.Name]
	return m.Name == l.self.Name || e != nil && e.member.Incarnation >= m.Incarnation
}

// welcome tells a daemon that has sent its first message what is known of the others. It
// may know nobody, and the name under which it asks is not the one that this daemon has
// now, which is new with each start: without an answer 300 daemons that start together
// and are told of three heard of nobody for 1.5 to 5 s.
func (l *List) welcome(m peermsg.Member) {
	if m.Leaving {
		return
	}
	if err := l.send(m.PeerAddr, l.introduction(m.Name)); err != nil {
		l.log.WithError(err).WithField("peer", m.Name).Debug("no answer to a new daemon") // it asks again
	}
}

// introduction returns this daemon's own entry and those of some living members, drawn
// anew for each receiver.
func (l *List) introduction(to string) *peermsg.Gossip {
	l.mu.Lock()
	defer l.mu.Unlock()
	others := slices.DeleteFunc(l.inState(alive), func(e *entry) bool { return e.member.Name == to })
	members := l.appendSome([]peermsg.Member{l.self}, others)
	return &peermsg.Gossip{Members: members, Answer: true}
}

// refute answers a peer that has not heard of this daemon, or not for long.
func (l *List) refute(from, seen peermsg.Member) {
	l.mu.Lock()
	stale := seen.Incarnation < l.self.Incarnation ||
		seen.Incarnation == l.self.Incarnation && seen.Beat+suspectRounds <= l.self.Beat
	answer := &peermsg.Gossip{Members: []peermsg.Member{l.self}, Answer: true}
	l.mu.Unlock()
	if stale {
		_ = l.send(from.PeerAddr, answer)
	}
}
