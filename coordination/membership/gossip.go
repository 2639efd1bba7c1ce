package membership

import (
	"context"
	"sort"

	"spanrill/protocol/peermsg"
	"spanrill/task"
)

// tell sends this daemon's gossip to some members at the same time.
func (l *List) tell(ctx context.Context, targets []peermsg.Member) {
	g := l.gossip()
	var tasks task.Group
	for _, m := range targets {
		tasks.Start(ctx, "gossip", func(context.Context) error { return l.send(m.PeerAddr, g) })
	}
	_ = tasks.Wait()
}

// targets returns a few random live members, those suspected, which are asked
// to answer, and one box that is not known to be alive. All but one of the random
// members are of this daemon's availability zone in a large fleet, because bytes
// between zones are paid for.
func (l *List) targets() []peermsg.Member {
	others := l.Others()
	for i := len(others) - 1; i > 0; i-- {
		k := l.random.IntN(i + 1)
		others[i], others[k] = others[k], others[i]
	}
	if len(others) > largeFleet {
		nearFirst(others[1:], l.self.Zone)
	}
	targets := append(others[:min(l.fanout, len(others)):min(l.fanout, len(others))], l.suspects()...)
	if unknown := l.unknownSeeds(); len(unknown) > 0 {
		targets = append(targets, unknown[l.random.IntN(len(unknown))])
	}
	return targets
}

// largeFleet is the number of other members from which gossip stays near: fewer
// are all reached within a few rounds.
const largeFleet = 16

// nearFirst brings members of a zone to the front and keeps their order.
func nearFirst(members []peermsg.Member, zone string) {
	sort.SliceStable(members, func(i, k int) bool {
		return members[i].Zone == zone && members[k].Zone != zone
	})
}

// suspects returns suspected members. Each of them is tried in every round
// until it is heard of or dead.
func (l *List) suspects() []peermsg.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []peermsg.Member
	for _, e := range l.entries {
		if e.state == suspected {
			all = append(all, e.member)
		}
	}
	return all
}

func (l *List) unknownSeeds() []peermsg.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unknown []peermsg.Member
	for name, addr := range l.seeds {
		if e := l.entries[name]; e == nil || e.state == dead || e.state == left {
			unknown = append(unknown, peermsg.Member{Name: name, PeerAddr: addr})
		}
	}
	sort.Slice(unknown, func(i, k int) bool { return unknown[i].Name < unknown[k].Name })
	return unknown
}

// gossip returns this daemon's own entry, those of suspected members, which
// answer when they see how old their count is, and those of random members.
func (l *List) gossip() *peermsg.Gossip {
	suspects := l.suspects()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Beat++
	l.self.Revision = l.revision()
	g := &peermsg.Gossip{Members: append([]peermsg.Member{l.self}, suspects...)}
	for _, e := range l.entries { // the order of a map is random enough here
		if len(g.Members) >= maxMembers {
			break
		}
		if e.state == alive || e.state == left {
			g.Members = append(g.Members, e.member)
		}
	}
	return g
}

// Take learns from the gossip of a peer.
func (l *List) Take(g *peermsg.Gossip) {
	var newer *peermsg.Member
	own := l.revision()
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
	l.publish()
	if newer != nil {
		l.onNewer(*newer)
	}
}

// refute answers a peer that has not heard of this daemon for long.
func (l *List) refute(from, seen peermsg.Member) {
	l.mu.Lock()
	stale := seen.Incarnation == l.self.Incarnation && seen.Beat+suspectRounds <= l.self.Beat
	answer := &peermsg.Gossip{Members: []peermsg.Member{l.self}}
	l.mu.Unlock()
	if stale {
		_ = l.send(from.PeerAddr, answer)
	}
}
