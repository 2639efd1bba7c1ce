package exchange

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"spanrill/events"
	"spanrill/protocol/peermsg"
)

// PeerPathLost reports whether a peer recently said that it has lost its network path to the upstreams
// of a service, or of any service if it is "".
func (e *Exchange) PeerPathLost(peer, service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, ok := e.newsByPeer[peer]
	return ok && e.clock.Now()-last.askedAt <= newsTTL && hasLostPath(last.news.LostPaths, service)
}

// hasLostPath reports whether a list names a service, or any if it is "".
func hasLostPath(lost []peermsg.LostPath, service string) bool {
	return slices.ContainsFunc(lost, func(p peermsg.LostPath) bool { return service == "" || p.Service == service })
}

// PeerLostPaths returns, by peer, the services to whose upstreams it has recently said to have lost
// its network path.
func (e *Exchange) PeerLostPaths() map[string][]peermsg.LostPath {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, all := e.clock.Now(), map[string][]peermsg.LostPath{}
	for peer, last := range e.newsByPeer {
		if len(last.news.LostPaths) > 0 && now-last.askedAt <= newsTTL {
			all[peer] = last.news.LostPaths
		}
	}
	return all
}

// logLostPaths logs which paths of a peer are lost, or work again, since its last news.
func (e *Exchange) logLostPaths(peer string, before, after []peermsg.LostPath) {
	for _, p := range after {
		if !hasLostPath(before, p.Service) {
			events.PeerPathLost.Log(e.log, logrus.Fields{"peer": peer, "service": p.Service})
		}
	}
	for _, p := range before {
		if !hasLostPath(after, p.Service) {
			events.PeerPathRestored.Log(e.log, logrus.Fields{"peer": peer, "service": p.Service})
		}
	}
}

// lostByOthers is how many of the other daemons have lost their paths.
type lostByOthers struct {
	counts  lostCounts
	daemons int // that the counts cover
}

// countLost returns the counts of one daemon with these lost paths.
func countLost(lost []peermsg.LostPath) lostCounts {
	counts := lostCounts{}
	for _, p := range lost {
		counts[p.Service], counts[""] = 1, 1
	}
	return counts
}

// ownLostPaths returns the services to whose upstreams this daemon has lost its network path.
func (e *Exchange) ownLostPaths() []peermsg.LostPath {
	if e.state.LostPaths == nil {
		return nil
	}
	return e.state.LostPaths()
}

// LostByOthers returns how many of the other daemons have lost their network path to the upstreams of a
// service, or of any service if it is "", and how many daemons that covers. The counts are as old as the
// sums, see SumsAsOf.
func (e *Exchange) LostByOthers(service string) (lost, daemons int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lostByOthers.counts[service], e.lostByOthers.daemons
}

// LostCounts returns how many daemons, with this one, have lost their path by service, without services
// that none has lost, and how many daemons that covers.
func (e *Exchange) LostCounts() (counts map[string]int, daemons int) {
	counts = countLost(e.ownLostPaths())
	e.mu.Lock()
	defer e.mu.Unlock()
	for service, n := range e.lostByOthers.counts {
		counts[service] += n
	}
	delete(counts, "")
	maps.DeleteFunc(counts, func(_ string, n int) bool { return n <= 0 })
	return counts, 1 + e.lostByOthers.daemons
}
