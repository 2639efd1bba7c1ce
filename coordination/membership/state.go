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

// state is the state of a member.
type state uint8

const (
	alive state = iota
	// overdue means that no new heartbeat has arrived for some rounds, perhaps only because the messages of
	// others did not contain it. The member is asked itself.
	overdue
	// suspected means that it has not answered.
	suspected
	dead
	left
)

// isLive reports whether members in this state are live.
func (s state) isLive() bool { return s == alive || s == overdue || s == suspected }

// entry is one member as this daemon knows it.
type entry struct {
	member      peermsg.Member
	heartbeatAt spanrill.Millis // when its heartbeat last increased
	askedAt     spanrill.Millis // when it was first asked since it became overdue, or notAsked
	state       state
}

// notAsked is the time at which a member was asked that has not been asked.
const notAsked spanrill.Millis = -1

// updateMember stores an entry if it is newer than the known one, and reports whether it was.
func (l *List) updateMember(m peermsg.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[m.Name]
	if e == nil {
		e = &entry{state: dead}
	}
	old := e.member
	if m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.Heartbeat <= old.Heartbeat {
		return false
	}
	l.changed = l.changed || m.Incarnation != old.Incarnation
	if l.entries[m.Name] == nil {
		l.insert(m.Name, e)
	}
	e.member, e.heartbeatAt = m, l.clock.Now()
	l.setState(e, stateOf(m))
	return true
}

// insert adds the entry of an unknown member. The caller holds the lock.
func (l *List) insert(name string, e *entry) {
	index, _ := slices.BinarySearchFunc(l.sorted, name, func(e *entry, name string) int { return strings.Compare(e.member.Name, name) })
	l.sorted = slices.Insert(l.sorted, index, e)
	l.entries[name] = e
}

func stateOf(m peermsg.Member) state {
	if m.Leaving {
		return left
	}
	return alive
}

// setState changes the state of a member and logs the change. The caller holds the lock.
func (l *List) setState(e *entry, to state) {
	from := e.state
	e.state = to
	if from == to {
		return
	}
	l.changed = l.changed || from.isLive() != to.isLive()
	if to == overdue || from == overdue && to == alive {
		return
	}
	event := eventOf(from, to)
	l.eventLimiters[event].Log(event, l.log, func() logrus.Fields { return logrus.Fields{"peer": e.member.Name} })
}

func eventOf(from, to state) events.Event {
	switch {
	case to == left:
		return events.PeerLeft
	case to == suspected:
		return events.PeerSuspected
	case to == dead:
		return events.PeerLost
	case from == suspected:
		return events.PeerReturned
	}
	return events.PeerJoined
}

// maxEventsPerSecond bounds the log lines of each event. When a fleet starts or loses power,
// each daemon sees all others join or leave at once. Each line contains the number of lines that
// were omitted before it.
const maxEventsPerSecond = 50

func newEventLimiters(clock spanrill.Clock) map[events.Event]*events.Limiter {
	limiters := map[events.Event]*events.Limiter{}
	for _, e := range []events.Event{events.PeerLeft, events.PeerSuspected, events.PeerLost, events.PeerReturned, events.PeerJoined} {
		limiters[e] = events.NewLimiter(clock, maxEventsPerSecond)
	}
	return limiters
}

// updateStates asks, suspects, declares dead or removes members without a new heartbeat.
func (l *List) updateStates() {
	l.mu.Lock()
	round := l.scaledRound()
	l.sorted = slices.DeleteFunc(l.sorted, func(e *entry) bool { return l.forgetIfExpired(e, round) })
	for _, e := range l.sorted {
		sinceHeartbeat := l.running.Since(e.heartbeatAt)
		switch {
		case e.state == left:
		case sinceHeartbeat > round*deadRounds:
			l.setState(e, dead)
		case e.state == overdue && e.askedAt != notAsked && l.running.Since(e.askedAt) > l.round*answerRounds:
			l.setState(e, suspected)
		case e.state == alive && sinceHeartbeat > round*overdueRounds:
			e.askedAt = notAsked
			l.setState(e, overdue)
		}
	}
	l.mu.Unlock()
	l.publish()
}

// forgetIfExpired removes a member without a new heartbeat for forgetRounds, and reports whether
// it did. The caller holds the lock.
func (l *List) forgetIfExpired(e *entry, round spanrill.Millis) bool {
	if l.running.Since(e.heartbeatAt) <= round*forgetRounds {
		return false
	}
	delete(l.entries, e.member.Name)
	l.changed = true
	return true
}

// scaledRound returns the round length for the timeouts of members. It is longer when the members
// do not fit into the messages of one round, because then not every heartbeat arrives in each
// round. The caller holds the lock.
func (l *List) scaledRound() spanrill.Millis {
	rounds := 1 + len(l.entries)/(maxMembers*l.fanout)
	return l.round * spanrill.Millis(rounds)
}

// publishThrottled replaces the list of live members after a message, but at most once per round
// in a large fleet: while many daemons start together, each message adds members.
func (l *List) publishThrottled() {
	l.mu.Lock()
	throttled := len(l.sorted) > maxUnthrottledMembers && l.clock.Now()-l.publishedAt < l.round
	l.mu.Unlock()
	if !throttled {
		l.publish()
	}
}

// maxUnthrottledMembers is the number of other members up to which each message takes effect at
// once.
const maxUnthrottledMembers = 64

// publish replaces the list of live members that readers see, if it has changed.
func (l *List) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.changed && l.live.Load() != nil {
		return
	}
	l.changed, l.publishedAt = false, l.clock.Now()
	members := appendMembers(make([]peermsg.Member, 0, len(l.sorted)+1), l.inState(alive, overdue, suspected))
	self := sort.Search(len(members), func(i int) bool { return members[i].Name >= l.self.Name })
	members = slices.Insert(members, self, l.self)
	l.live.Store(newRoster(members, self))
}

func newRoster(members []peermsg.Member, self int) *roster {
	r := &roster{members: members, others: make([]int, 0, len(members)-1)}
	for i, m := range members {
		if i == self {
			continue
		}
		r.others = append(r.others, i)
		if m.Zone == members[self].Zone {
			r.sameZone = append(r.sameZone, i)
		}
	}
	return r
}
