package granting

import (
	"io"

	"github.com/sirupsen/logrus"

	"spanrill"
)

// refreshInterval is the minimum time between two readings of the chains of a service.
const refreshInterval spanrill.Millis = 100

// role is the part that this daemon has in granting the room of a service.
type role uint8

const (
	roleNone      role = iota // other daemons grant
	roleStandby               // another daemon is preferred, and may still grant
	rolePreferred             // this daemon is the first in order that may be alive
)

var roleNames = [...]string{"none", "standby", "preferred"}

// String returns the role's name in log lines.
func (r role) String() string { return roleNames[r] }

// roleOf returns this daemon's role by its own list of daemons, whatever the sender of a request
// believes: where lists differ, one of two daemons stays within the part of a standby. A daemon that
// has probably been cut off from most others does not grant: they have another granting daemon.
func (g *Granter) roleOf(now spanrill.Millis, service string) role {
	g.observeFleet(now)
	granters := g.peers.Granters(service)
	switch {
	case g.fleet.isMinority(now):
		return roleNone
	case len(granters) > 0 && granters[0].PeerAddr == "":
		return rolePreferred
	case len(granters) < 2 || granters[1].PeerAddr != "":
		return roleNone
	case g.peers.Unresponsive(granters[0].Name):
		return rolePreferred
	}
	return roleStandby
}

// observeFleet records the number of live daemons. The caller holds the lock.
func (g *Granter) observeFleet(now spanrill.Millis) {
	if daemons, known := g.peers.Fleet(); known {
		g.fleet.observe(now, daemons)
	}
}

// served is a service for which this daemon is asked for room.
type served struct {
	name        string
	room        *Room
	role        role
	known       bool // the chains are known
	read        bool // the chains and sums were read
	readAt      spanrill.Millis
	toldAsOf    spanrill.Millis
	toldSet     bool
	requestedAt spanrill.Millis

	log servedLog
}

// grants reports whether requests may be decided here.
func (s *served) grants(now spanrill.Millis, g *Granter) bool {
	s.refresh(now, g)
	return s.known && s.role != roleNone
}

// refresh reads the role, the chains and the sums if they may have changed.
func (s *served) refresh(now spanrill.Millis, g *Granter) {
	if s.read && now-s.readAt < refreshInterval {
		return
	}
	wasRead := s.read
	s.read, s.readAt = true, now
	s.setRole(now, g)
	chains, ok := g.source.Chains(s.name)
	if ok && !s.known && wasRead && s.role == rolePreferred {
		s.room.takeOverAnew(now + askedAgainTime) // others decided until now
	}
	s.known = ok
	if ok {
		s.room.SetChains(now, chains) // before the sums, which count at the engines of known chains only
	}
	if uses, asOf := g.source.Told(s.name); !s.toldSet || asOf != s.toldAsOf {
		s.toldSet, s.toldAsOf = ok, asOf
		s.room.SetTold(now, g.steady.earlier(asOf), uses)
	}
}

// setRole reads the role. A daemon that becomes preferred knows nothing of what others have given
// but the sums. One that no longer grants sends the waiting requests elsewhere.
func (s *served) setRole(now spanrill.Millis, g *Granter) {
	current := g.roleOf(now, s.name)
	if current == s.role {
		return
	}
	before := s.role
	s.role = current
	s.room.SetStandby(now, current != rolePreferred)
	switch {
	case current == rolePreferred && before == roleStandby:
		s.room.TakeOver(now)
	case current == rolePreferred:
		s.room.TakeOver(now + silentPassOver) // some daemons still ask the one before
	}
	if current == roleNone {
		s.room.Resign(now)
	}
}

// tick does the periodic work.
func (s *served) tick(now spanrill.Millis, g *Granter) []Notice {
	s.refresh(now, g)
	notices := s.room.Tick(now)
	s.logChanges(now, g.log)
	return notices
}

// discardLog returns a logger without output.
func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
