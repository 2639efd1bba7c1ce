package granting

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// servedLog is what was logged last about a service.
type servedLog struct {
	role       role
	lapsed     uint64
	counts     Counts
	roleLimit  logLimit
	lapseLimit logLimit
	shortLimit logLimit
}

// logChanges logs a new role, claims that have lapsed, and a lack of room.
func (s *served) logChanges(now spanrill.Millis, log logrus.FieldLogger) {
	counts := s.room.Counts()
	if s.role != s.log.role && s.log.roleLimit.allow(now) {
		events.RoomGranterChanged.Log(log, logrus.Fields{"service": s.name, "role": s.role.String(), "before": s.log.role.String()})
		s.log.role = s.role
	}
	if counts.Lapsed > s.log.lapsed && s.log.lapseLimit.allow(now) {
		events.RoomLapsed.Log(log, logrus.Fields{"service": s.name, "requests": counts.Lapsed - s.log.lapsed})
		s.log.lapsed = counts.Lapsed
	}
	if counts.Refused == s.log.counts.Refused && counts.Waited == s.log.counts.Waited || !s.log.shortLimit.allow(now) {
		return
	}
	events.RoomShort.Log(log, s.shortFields(now, counts))
	s.log.counts = counts
}

// shortFields describes the room of a service and the decisions since the last line.
func (s *served) shortFields(now spanrill.Millis, counts Counts) logrus.Fields {
	status, last := s.room.Status(now), &s.log.counts
	fields := logrus.Fields{
		"service": s.name, "waiting": classCounts(status.Waiting[:]), "returns": status.Returns, "chains": describeChains(status.Chains),
		"ends_per_second": s.room.EndRate(now), "engine_refusals": counts.RefusedByEngines - last.RefusedByEngines,
		"given": classCounts(difference(&counts.Given, &last.Given)), "waited": classCounts(difference(&counts.Waited, &last.Waited)),
		"refused": classCounts(difference(&counts.Refused, &last.Refused)),
	}
	return fields
}

// difference returns how much numbers by class have grown.
func difference(now, before *[spanrill.ClassCount]uint64) []uint64 {
	grown := make([]uint64, len(now))
	for class := range now {
		grown[class] = now[class] - before[class]
	}
	return grown
}

// classCounts lists the numbers of the classes that have any.
func classCounts[N int | uint64](counts []N) string {
	var b strings.Builder
	for class, n := range counts {
		if n > 0 {
			fmt.Fprintf(&b, "%d:%d ", class, n)
		}
	}
	return strings.TrimSpace(b.String())
}

// maxChainsLogged bounds the chains that a log line describes.
const maxChainsLogged = 32

// describeChains lists for each chain its first engine, requests given and told, and its fill.
func describeChains(chains []spanrill.RoomState) string {
	var b strings.Builder
	for _, c := range chains[:min(len(chains), maxChainsLogged)] {
		given := 0
		for _, n := range c.Given {
			given += n
		}
		fmt.Fprintf(&b, "%s/%08x:%d+%d=%.2f+%.2f/%08x,%dms ", c.Zone, c.First, given, c.Told, c.Own, c.Fill-c.Own, c.Fullest, c.Starting)
	}
	if more := len(chains) - maxChainsLogged; more > 0 {
		fmt.Fprintf(&b, "and %d more", more)
	}
	return strings.TrimSpace(b.String())
}
