package membership

import (
	"context"
	"slices"
	"strings"

	"spanrill/protocol/peermsg"
	"spanrill/task"
)

// sendTo sends gossip to members concurrently.
func (l *List) sendTo(ctx context.Context, tasks *task.Group, g *peermsg.Gossip, targets ...peermsg.Member) {
	for _, m := range targets {
		tasks.Start(ctx, "gossip", func(context.Context) error { return l.send(m.PeerAddr, g) })
	}
}

// targets returns a few random live members. In a large fleet all but one of them are in this daemon's
// availability zone, because traffic between zones is billed.
func (l *List) targets() []peermsg.Member {
	r := l.live.Load()
	picked := l.sample(nil, r.others, 1)
	if len(r.others) > zoneGossipThreshold {
		picked = l.sample(picked, r.sameZone, l.fanout)
	}
	picked = l.sample(picked, r.others, l.fanout)
	members := make([]peermsg.Member, len(picked))
	for i, index := range picked {
		members[i] = r.members[index]
	}
	return members
}

// sample adds random indices from the pool until there are n, or the pool is exhausted. It does
// not copy the pool, because n is small and the fleet may be large.
func (l *List) sample(picked, pool []int, n int) []int {
	remaining := 0
	for _, index := range pool {
		if !slices.Contains(picked, index) {
			remaining++
		}
	}
	for ; remaining > 0 && len(picked) < n; remaining-- {
		index := pool[l.random.IntN(len(pool))]
		for slices.Contains(picked, index) {
			index = pool[l.random.IntN(len(pool))]
		}
		picked = append(picked, index)
	}
	return picked
}

// zoneGossipThreshold is the number of other members above which gossip mostly stays in the
// availability zone. Fewer members are all reached within a few rounds.
const zoneGossipThreshold = 16

// takeSilent returns some of the members that are overdue or suspected, those first that have not been
// asked, and records that they are asked. Each is sent its own entry, which it answers with its heartbeat.
// The others have their turn in later rounds, so that the loss of many members at once costs each daemon
// no more messages in a large fleet.
func (l *List) takeSilent() []peermsg.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unasked, asked []*entry
	for _, e := range l.inState(overdue, suspected) {
		if e.state == overdue && e.askedAt == notAsked {
			unasked = append(unasked, e)
			continue
		}
		asked = append(asked, e)
	}
	taken := l.sampleEntries(unasked, maxAsked)
	for _, e := range taken {
		e.askedAt = l.clock.Now()
	}
	taken = append(taken, l.sampleEntries(asked, maxAsked-len(taken))...)
	return appendMembers(nil, taken)
}

// inState returns the entries in any of the given states, sorted by name. The caller holds the
// lock.
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

// randomNonLiveBox returns a random box without a live entry: unknown, dead or left. It comes with
// its last known incarnation and heartbeat. It returns false if every box is live.
func (l *List) randomNonLiveBox() (peermsg.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var nonLive []peermsg.Member
	for name, addr := range l.boxAddrs {
		m := peermsg.Member{Name: name, PeerAddr: addr}
		e := l.entries[name]
		if e != nil && e.state.isLive() {
			continue
		}
		if e != nil {
			m.Incarnation, m.Heartbeat = e.member.Incarnation, e.member.Heartbeat
		}
		nonLive = append(nonLive, m)
	}
	if len(nonLive) == 0 {
		return peermsg.Member{}, false
	}
	slices.SortFunc(nonLive, func(a, b peermsg.Member) int { return strings.Compare(a.Name, b.Name) })
	return nonLive[l.random.IntN(len(nonLive))], true
}

// withReceiver adds the receiver's entry to gossip. The receiver answers when it sees that its
// heartbeat is outdated or unknown to the sender. Without this entry, a daemon that appears in no
// other gossip would stay unknown.
func withReceiver(g *peermsg.Gossip, receiver peermsg.Member) *peermsg.Gossip {
	return &peermsg.Gossip{Members: append(slices.Clone(g.Members), receiver)}
}

// gossip increments this daemon's heartbeat and returns its entry, those of suspected members, which answer
// when they see their outdated heartbeat, and those of random members.
func (l *List) gossip() *peermsg.Gossip {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Heartbeat++
	l.self.Revision = l.revision()
	members := append(make([]peermsg.Member, 0, maxMembers), l.self)
	members = appendMembers(members, l.sampleEntries(l.inState(suspected), maxSuspects))
	members = l.appendRandom(members, l.inState(alive, overdue, left))
	return &peermsg.Gossip{Members: members}
}

// appendRandom adds random entries until the message is full.
func (l *List) appendRandom(members []peermsg.Member, entries []*entry) []peermsg.Member {
	return appendMembers(members, l.sampleEntries(entries, maxMembers-len(members)))
}

// sampleEntries returns up to n random entries. It changes the order of the given ones.
func (l *List) sampleEntries(entries []*entry, n int) []*entry {
	n = min(n, len(entries))
	for i := range n {
		j := i + l.random.IntN(len(entries)-i)
		entries[i], entries[j] = entries[j], entries[i]
	}
	return entries[:n]
}

// Merge updates the list from the gossip of a peer. It answers a sender that is new, and calls
// onNewer for the member with the latest configuration if that is newer than this daemon's.
func (l *List) Merge(g *peermsg.Gossip) {
	var newer *peermsg.Member
	ownRevision := l.revision()
	senderIsNew := len(g.Members) > 0 && !g.Answer && !l.knows(g.Members[0])
	for i := range g.Members {
		m := &g.Members[i]
		if m.Name == l.self.Name {
			l.refute(g.Members[0], *m)
			continue
		}
		if l.updateMember(*m) && m.Revision > ownRevision && (newer == nil || m.Revision > newer.Revision) {
			newer = m
		}
	}
	l.publishThrottled()
	if senderIsNew {
		l.sendIntroduction(g.Members[0])
	}
	if newer != nil {
		l.onNewer(*newer)
	}
}

// knows reports whether this incarnation of a daemon, or a later one, is known.
func (l *List) knows(m peermsg.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[m.Name]
	return m.Name == l.self.Name || e != nil && e.member.Incarnation >= m.Incarnation
}

// sendIntroduction answers the first message of a daemon with some live members. A new daemon may
// know the receiver only by its name in the box list. The receiver's own name may differ from that:
// a gateway's name changes with each start. Its Merge then does not find itself in the message and
// does not call refute.
func (l *List) sendIntroduction(m peermsg.Member) {
	if m.Leaving {
		return
	}
	if err := l.send(m.PeerAddr, l.introduction(m.Name)); err != nil {
		l.log.WithError(err).WithField("peer", m.Name).Debug("introduction not sent to new daemon") // the daemon asks again
	}
}

// introduction returns this daemon's entry and those of random live members without the
// receiver. Each call makes a new random selection.
func (l *List) introduction(to string) *peermsg.Gossip {
	l.mu.Lock()
	defer l.mu.Unlock()
	others := slices.DeleteFunc(l.inState(alive, overdue), func(e *entry) bool { return e.member.Name == to })
	members := l.appendRandom([]peermsg.Member{l.self}, others)
	return &peermsg.Gossip{Members: members, Answer: true}
}

// refute sends this daemon's entry to a peer that has an old incarnation or an outdated heartbeat
// of it.
func (l *List) refute(from, known peermsg.Member) {
	l.mu.Lock()
	stale := known.Incarnation < l.self.Incarnation ||
		known.Incarnation == l.self.Incarnation && known.Heartbeat+overdueRounds <= l.self.Heartbeat
	answer := &peermsg.Gossip{Members: []peermsg.Member{l.self}, Answer: true}
	l.mu.Unlock()
	if stale {
		_ = l.send(from.PeerAddr, answer)
	}
}
