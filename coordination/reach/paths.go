package reach

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// paths holds which upstreams this daemon has lost its own network path to.
type paths struct {
	directory spanrill.UpstreamDirectory
	clock     spanrill.Clock
	log       logrus.FieldLogger
	onLost    func(service string, since spanrill.Millis)
	anyLost   atomic.Bool // whether any upstream is lost, so that most calls need no lock
	mu        sync.Mutex
	services  map[string]*servicePaths
	connected map[string]spanrill.Millis // when a direct connection to a service was last opened
}

// servicePaths is the state of the paths to the upstreams of one service.
type servicePaths struct {
	lost map[string]spanrill.Millis // addresses that helpers reach and this daemon does not, and since when
	// Upstreams to which connections have failed since one was last opened: those that a helper
	// reached, and the others.
	lostInRow, failedInRow map[string]bool
	firstLostAt            spanrill.Millis // when the attempt at the first of lostInRow began
	failingSince           spanrill.Millis // when the first of failedInRow failed
	confirming             bool            // further upstreams are being tried because of failedInRow
	confirmingAll          bool            // those of other services are
	cut                    bool            // all upstreams of the service count as lost
	cutSince               spanrill.Millis
	helped                 map[string]int  // connections since then by name of the helper
	restoredAt             spanrill.Millis // when the path last worked again, or spanrill.Never
	flaps                  int             // losses in a row that each came soon after the path worked again
	connectedInRow         int             // direct connections since the last one that failed, while cut
	denied                 int             // helpers that answered since then that they cannot help
	helpedAddr             string          // upstream that a helper connected last
}

const (
	// minLostInRow is the number of upstreams of a service that helpers reach and this daemon does not,
	// in a row, from which on the path to all of them counts as lost. A single one can have lost its
	// own path.
	minLostInRow = 2
	// minFailedInRow is the same number for upstreams that nobody reaches, or for which nobody can be
	// asked. It is larger, because several upstreams can fail together.
	minFailedInRow = 6
	// flapTime is how soon after a path works again its next loss counts as a flap: a path that loses some
	// packets connects now and then.
	flapTime = 3 * spanrill.Second
	// connectionsPerFlap is how many more direct connections in a row show that a path works, for each
	// flap, up to maxConnectionsInRow.
	connectionsPerFlap = 3
	// maxConnectionsInRow takes two seconds of checks.
	maxConnectionsInRow = 8
	// confirmFrom is the number of such upstreams from which on others are tried to find out.
	confirmFrom = 2
)

func newPaths(directory spanrill.UpstreamDirectory, clock spanrill.Clock, log logrus.FieldLogger) *paths {
	return &paths{directory: directory, clock: clock, log: log, onLost: func(string, spanrill.Millis) {}, services: map[string]*servicePaths{}, connected: map[string]spanrill.Millis{}}
}

// of returns the state of a service. The caller holds the lock.
func (p *paths) of(service string) *servicePaths {
	s := p.services[service]
	if s == nil {
		s = &servicePaths{lost: map[string]spanrill.Millis{}, lostInRow: map[string]bool{}, failedInRow: map[string]bool{}, helped: map[string]int{}, restoredAt: spanrill.Never}
		p.services[service] = s
	}
	return s
}

// lostSince returns since when connections to an upstream go through helpers, and whether they do.
func (p *paths) lostSince(service, addr string) (spanrill.Millis, bool) {
	if !p.anyLost.Load() {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return 0, false
	}
	if s.cut {
		return s.cutSince, true
	}
	since, lost := s.lost[addr]
	return since, lost
}

// isCut reports whether the path to all upstreams of a service is lost.
func (p *paths) isCut(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	return s != nil && s.cut
}

// connectedAt returns when a direct connection to a service was last opened, or never.
func (p *paths) connectedAt(service string) spanrill.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.connected[service]; ok {
		return at
	}
	return never
}

// updateAnyLost sets anyLost. The caller holds the lock.
func (p *paths) updateAnyLost() {
	for _, s := range p.services {
		if s.cut || len(s.lost) > 0 {
			p.anyLost.Store(true)
			return
		}
	}
	p.anyLost.Store(false)
}

// recordConnected records a direct connection.
func (p *paths) recordConnected(service, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.updateAnyLost()
	p.connected[service] = p.clock.Now()
	s := p.services[service]
	if s == nil {
		return
	}
	delete(s.lost, addr)
	clear(s.lostInRow)
	s.clearFailed()
	if !s.cut {
		return
	}
	s.connectedInRow++
	if s.connectedInRow < min(1+s.flaps*connectionsPerFlap, maxConnectionsInRow) {
		return
	}
	s.cut, s.restoredAt = false, p.clock.Now()
	clear(s.lost) // those that are still lost are found again
	events.PathRestored.Log(p.log, logrus.Fields{"service": service, "addr": addr, "lost_ms": p.clock.Now() - s.cutSince, "helped": s.helped, "denied": s.denied, "flaps": s.flaps})
	s.helped = map[string]int{}
}

// othersFailed reports whether other upstreams of a service than the one at addr have failed or were lost
// since this daemon last connected to one of them.
func (p *paths) othersFailed(service, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return false
	}
	for _, row := range []map[string]bool{s.lostInRow, s.failedInRow} {
		if len(row) > 1 || len(row) == 1 && !row[addr] {
			return true
		}
	}
	return false
}

// recordNotConnected records that a direct connection failed, whatever the cause.
func (p *paths) recordNotConnected(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[service]; s != nil {
		s.connectedInRow = 0
	}
}

// recordLost records that a helper reached an upstream that this daemon did not, in an attempt that
// began at a time. It reports whether this was the first upstream of the service in a row.
func (p *paths) recordLost(service, addr string, begunAt spanrill.Millis) (first bool) {
	p.mu.Lock()
	s, now := p.of(service), p.clock.Now()
	first = len(s.lostInRow) == 0
	if first {
		s.firstLostAt = begunAt
	}
	s.firstLostAt = min(s.firstLostAt, begunAt)
	if _, known := s.lost[addr]; !known {
		s.lost[addr] = now
	}
	s.lostInRow[addr] = true
	p.anyLost.Store(true)
	cut := !s.cut && len(s.lostInRow) >= min(minLostInRow, max(1, len(p.directory.Addrs(service))))
	if cut {
		p.markCut(s, service, addr)
	}
	begunAt = s.firstLostAt
	p.mu.Unlock()
	if cut {
		p.onLost(service, begunAt)
	}
	return first && !cut
}

// failureCheck is what should be tried after a failed connection.
type failureCheck uint8

const (
	checkNone          failureCheck = iota
	checkOthers                     // other upstreams of the service
	checkOtherServices              // upstreams of other services, see recordUnreached
)

// recordFailed records that neither this daemon nor a helper reached an upstream. Told is whether a
// helper has tried. Many of these in a row mean a lost path if no upstream of any service was heard
// meanwhile and none is reached: the helpers may have lost theirs as well, or there are none. It returns
// what should be tried to find out.
func (p *paths) recordFailed(service, addr string, told bool) failureCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, addrs := p.of(service), p.directory.Addrs(service)
	if told {
		delete(s.lost, addr)
	}
	if len(s.failedInRow) == 0 || p.directory.LastHeard() >= s.failingSince {
		s.clearFailed()
		s.failingSince = p.clock.Now()
	}
	s.failedInRow[addr] = true
	switch {
	case s.cut || s.confirmingAll:
		return checkNone
	case len(s.failedInRow) >= max(confirmFrom, min(minFailedInRow, len(addrs))):
		s.confirmingAll = true
		return checkOtherServices
	case !s.confirming && len(s.failedInRow) >= confirmFrom:
		s.confirming = true
		return checkOthers
	}
	return checkNone
}

// recordUnreached records whether this daemon reaches upstreams of other services after so many of a
// service have failed that its path may be lost. If it does, those have failed themselves.
func (p *paths) recordUnreached(service, addr string, reachesOthers bool) {
	p.mu.Lock()
	s := p.of(service)
	cut := s.confirmingAll && !reachesOthers && !s.cut
	if cut {
		p.markCut(s, service, addr)
	}
	since := s.failingSince
	s.clearFailed()
	p.mu.Unlock()
	if cut {
		p.onLost(service, since)
	}
}

// clearFailed forgets the failures in a row.
func (s *servicePaths) clearFailed() {
	clear(s.failedInRow)
	s.confirming, s.confirmingAll = false, false
}

// markCut records that the path to all upstreams of a service is lost. The caller holds the lock.
func (p *paths) markCut(s *servicePaths, service, addr string) {
	s.cut, s.cutSince, s.connectedInRow = true, p.clock.Now(), 0
	if s.cutSince-s.restoredAt <= flapTime {
		s.flaps++
	} else {
		s.flaps = 0
	}
	p.anyLost.Store(true)
	clear(s.helped)
	s.denied = 0
	events.PathLost.Log(p.log, logrus.Fields{"service": service, "addr": addr, "upstreams_reached_by_helpers": len(s.lostInRow), "upstreams_reached_by_none": len(s.failedInRow)})
}

// recordHelped records a connection through a helper.
func (p *paths) recordHelped(service, helper, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.of(service)
	s.helped[helper]++
	s.helpedAddr = addr
}

// recordDenied records that a helper answered that it cannot help.
func (p *paths) recordDenied(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(service).denied++
}

// toCheck returns the addresses to which direct connections should be checked now: one for each
// service, in turn a random one and the one that a helper reached last. Random is drawn from [0, n).
// Upstreams that are gone are forgotten.
func (p *paths) toCheck(random func(n int) int) map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.updateAnyLost()
	check := map[string]string{}
	for name, s := range p.services {
		addrs := p.directory.Addrs(name)
		s.forgetOthers(addrs)
		candidates := addrs
		if !s.cut {
			candidates = slices.DeleteFunc(slices.Clone(addrs), func(addr string) bool { _, lost := s.lost[addr]; return !lost })
		}
		if len(candidates) > 0 && (s.cut || len(s.lost) > 0) {
			check[name] = candidates[random(len(candidates))]
			if slices.Contains(candidates, s.helpedAddr) {
				check[name], s.helpedAddr = s.helpedAddr, ""
			}
		}
	}
	return check
}

// forgetOthers drops what is known about all addresses but those given.
func (s *servicePaths) forgetOthers(addrs []string) {
	if len(s.lost)+len(s.lostInRow)+len(s.failedInRow) == 0 {
		return
	}
	exists := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		exists[addr] = true
	}
	for addr := range s.lost {
		if !exists[addr] {
			delete(s.lost, addr)
		}
	}
	for _, row := range []map[string]bool{s.lostInRow, s.failedInRow} {
		for addr := range row {
			if !exists[addr] {
				delete(row, addr)
			}
		}
	}
}
