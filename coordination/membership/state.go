package membership

import (
	"slices"
	"sort"
	"strings"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/protocol/peermsg"
)

// state is what the list takes a member for.
type state uint8

const (
	alive state = iota
	suspected
	dead
	left
)

// lives reports whether a member in that state counts as living.
func (s state) lives() bool { return s == alive || s == suspected }

// entry is one member as this daemon knows it.
type entry struct {
	member peermsg.Member
	risen  spanrill.Millis // when its count rose last
	state  state
}

// learn takes news of one member and reports whether it was news.
func (l *List) learn(m peermsg.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[m.Name]
	if e == nil {
		e = &entry{state: dead}
	}
	old := e.member
	if m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.Beat <= old.Beat {
		return false
	}
	l.changed = l.changed || m.Incarnation != old.Incarnation
	if l.entries[m.Name] == nil {
		l.insert(m.Name, e)
	}
	e.member, e.risen = m, l.clock.Now()
	l.change(e, stateOf(m))
	return true
}

// insert adds the entry of a member that is not known. The caller holds the lock.
func (l *List) insert(name string, e *entry) {
	at, _ := slices.BinarySearchFunc(l.sorted, name, func(e *entry, name string) int { return strings.Compare(e.member.Name, name) })
	l.sorted = slices.Insert(l.sorted, at, e)
	l.entries[name] = e
}

func stateOf(m peermsg.Member) state {
	if m.Leaving {
		return left
	}
	return alive
}

// change moves a member to another state. The caller holds the lock.
func (l *List) change(e *entry, to state) {
	from := e.state
	e.state = to
	if from == to {
		return
	}
	l.changed = l.changed || from.lives() != to.lives()
	event := eventOf(from, to)
	l.lines[event].Log(event, l.log, func() logrus.Fields { return logrus.Fields{"peer": e.member.Name} })
}

func eventOf(from, to state) events.Event {
	switch {
	case to == left:
		return events.PeerLeft
	case to == suspected:
		return events.PeerSuspect
	case to == dead:
		return events.PeerLost
	case from == suspected:
		return events.PeerReturned
	}
	return events.PeerJoined
}

// linesASecond bounds the lines of each event: all daemons of a fleet come and go together
// when it starts or loses power, and each sees all others. A line says how many were left
// out before it.
const linesASecond = 50

func newLines(clock spanrill.Clock) map[events.Event]*events.Limiter {
	lines := map[events.Event]*events.Limiter{}
	for _, e := range []events.Event{events.PeerLeft, events.PeerSuspect, events.PeerLost, events.PeerReturned, events.PeerJoined} {
		lines[e] = events.NewLimiter(clock, linesASecond)
	}
	return lines
}

// judge suspects and forgets members whose count does not rise.
func (l *List) judge() {
	l.mu.Lock()
	now := l.clock.Now()
	scale := l.patience()
	l.sorted = slices.DeleteFunc(l.sorted, func(e *entry) bool { return l.forgets(e, now, scale) })
	for _, e := range l.sorted {
		silent := now - e.risen
		switch {
		case e.state == left:
		case silent > scale*deadRounds:
			l.change(e, dead)
		case silent > scale*suspectRounds:
			l.change(e, suspected)
		}
	}
	l.mu.Unlock()
	l.publish()
}

// forgets forgets a member whose count has not risen for very long, and reports whether
// it did. The caller holds the lock.
func (l *List) forgets(e *entry, now, scale spanrill.Millis) bool {
	if now-e.risen <= scale*forgetRounds {
		return false
	}
	delete(l.entries, e.member.Name)
	l.changed = true
	return true
}

// patience is the length of a round for judging: it grows once the members no
// longer fit into one message, since then not every count comes with each
// round. The caller holds the lock.
func (l *List) patience() spanrill.Millis {
	full := 1 + len(l.entries)/(maxMembers*l.fanout)
	return l.round * spanrill.Millis(full)
}

// publishNews makes the list of live members after a message, in a large fleet once in a
// round at the most: while daemons start together each message brings new ones.
func (l *List) publishNews() {
	l.mu.Lock()
	waits := len(l.sorted) > promptMembers && l.clock.Now()-l.publishedAt < l.round
	l.mu.Unlock()
	if !waits {
		l.publish()
	}
}

// promptMembers is up to how many other members each message is taken at once.
const promptMembers = 64

// publish makes the list of live members that readers see.
func (l *List) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.changed && l.live.Load() != nil {
		return
	}
	l.changed, l.publishedAt = false, l.clock.Now()
	members := appendMembers(make([]peermsg.Member, 0, len(l.sorted)+1), l.inState(alive, suspected))
	self := sort.Search(len(members), func(i int) bool { return members[i].Name >= l.self.Name })
	members = slices.Insert(members, self, l.self)
	l.live.Store(newRoster(members, self))
}

func newRoster(members []peermsg.Member, self int) *roster {
	r := &roster{members: members, others: make([]int, 0, len(members)-1)}
	for at, m := range members {
		if at == self {
			continue
		}
		r.others = append(r.others, at)
		if m.Zone == members[self].Zone {
			r.near = append(r.near, at)
		}
	}
	return r
}
