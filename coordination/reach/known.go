package reach

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"spanrill"
	"spanrill/rng"
	"spanrill/transport/tunnel"
)

// knownHelpers holds what this daemon knows about other daemons as helpers: which of them reach the
// upstreams of a service and how much room they have, which do not, and as of when. It comes from the
// answers of helpers and from the daemons that ask this one for help. Daemons tell each other of those
// that reach a service whenever one asks another, so that the knowledge spreads as an epidemic.
type knownHelpers struct {
	clock  spanrill.Clock
	random *rng.Source
	zone   string

	mu         sync.Mutex
	services   map[string]map[string]*knownHelper // by service and name
	opening    map[string]int                     // tunnels that are being opened by name
	fullUntil  map[string]spanrill.Millis         // it has said that it has no room until then
	leftUntil  map[string]spanrill.Millis         // it has said that it is leaving until then
	lateUntil  map[string]spanrill.Millis         // it did not answer, and others are preferred until then
	exploredAt map[string]spanrill.Millis         // when a further helper was last looked for, by service
}

// knownHelper is a daemon as a helper for one service.
type knownHelper struct {
	spanrill.Helper
	reachedAt spanrill.Millis // when it last reached an upstream of the service, or never
	deniedAt  spanrill.Millis // when it last had no path, or never
	room      int             // tunnels that it could open besides, as of reachedAt
	open      int             // tunnels that it had open, as of reachedAt
}

// never is the time of what has not happened.
const never spanrill.Millis = -1 << 60

const (
	// knownFor is how long a daemon that has reached a service counts as one that does.
	knownFor = 2 * spanrill.Second
	// avoidTime is how long a helper that cannot help is not asked, and one that did not answer is asked
	// last: a few checks of its own path.
	avoidTime = 2 * checkInterval
	// maxTold is the number of helpers that one message between daemons names, half of them from the
	// availability zone of the receiver if there are as many.
	maxTold = 4
	// maxReaching is the number of daemons reaching a service that are remembered.
	maxReaching = 16
	// maxKnown is the number of daemons above which old knowledge about a service is dropped. Daemons
	// have another name after each start.
	maxKnown = 1024
)

func newKnownHelpers(clock spanrill.Clock, random *rng.Source) *knownHelpers {
	return &knownHelpers{clock: clock, random: random, services: map[string]map[string]*knownHelper{}, opening: map[string]int{}, fullUntil: map[string]spanrill.Millis{}, leftUntil: map[string]spanrill.Millis{}, lateUntil: map[string]spanrill.Millis{}, exploredAt: map[string]spanrill.Millis{}}
}

// of returns the entry of a helper. The caller holds the lock.
func (k *knownHelpers) of(service string, h spanrill.Helper) *knownHelper {
	s := k.services[service]
	if s == nil {
		s = map[string]*knownHelper{}
		k.services[service] = s
	}
	known := s[h.Name]
	if known == nil {
		if len(s) >= maxKnown {
			now := k.clock.Now()
			maps.DeleteFunc(s, func(_ string, o *knownHelper) bool {
				return now-o.reachedAt > knownFor && now-o.deniedAt > avoidTime
			})
		}
		known = &knownHelper{Helper: h, reachedAt: never, deniedAt: never}
		s[h.Name] = known
	}
	if h.Addr != "" {
		known.Helper = h
	}
	return known
}

// recordReached records that a daemon reached the upstreams of a service at a time, with the tunnels
// that it had open and room for others.
func (k *knownHelpers) recordReached(service string, h spanrill.Helper, at spanrill.Millis, open, room int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.of(service, h)
	if at <= known.reachedAt {
		return
	}
	known.reachedAt, known.open, known.room = at, open, room
	k.dropOldest(service)
}

// dropOldest forgets the oldest of too many daemons that reach a service. The caller holds the lock.
func (k *knownHelpers) dropOldest(service string) {
	var oldest *knownHelper
	n := 0
	for _, known := range k.services[service] {
		if known.reachedAt == never {
			continue
		}
		n++
		if oldest == nil || known.reachedAt < oldest.reachedAt {
			oldest = known
		}
	}
	if n > maxReaching {
		delete(k.services[service], oldest.Name)
	}
}

// recordDenied records that a daemon had no path to the upstreams of a service at a time.
func (k *knownHelpers) recordDenied(service string, h spanrill.Helper, at spanrill.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.of(service, h)
	known.deniedAt = max(known.deniedAt, at)
}

// recordFull records that a daemon has no room.
func (k *knownHelpers) recordFull(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setUntil(k.fullUntil, name)
}

// recordLeaving records that a daemon is leaving.
func (k *knownHelpers) recordLeaving(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setUntil(k.leftUntil, name)
}

// isAnyFull reports whether a daemon that is known to reach a service has no room.
func (k *knownHelpers) isAnyFull(service string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	notFull := func(name string) bool { return now >= k.fullUntil[name] }
	return len(k.reaching(service, now, notFull)) > 0
}

// recordLate records that a daemon did not answer.
func (k *knownHelpers) recordLate(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setUntil(k.lateUntil, name)
}

// setUntil sets the end of a state that lasts avoidTime. The caller holds the lock.
func (k *knownHelpers) setUntil(until map[string]spanrill.Millis, name string) {
	now := k.clock.Now()
	if len(until) >= maxKnown {
		maps.DeleteFunc(until, func(_ string, end spanrill.Millis) bool { return now >= end })
	}
	until[name] = now + avoidTime
}

// addOpening changes the number of tunnels that are being opened through a helper.
func (k *knownHelpers) addOpening(name string, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.opening[name] += n; k.opening[name] == 0 {
		delete(k.opening, name)
	}
}

// merge adds what another daemon has told of helpers for a service at a time.
func (k *knownHelpers) merge(service string, told []tunnel.Helper, at spanrill.Millis) {
	for _, h := range told[:min(len(told), maxTold)] {
		if h.Name == "" || h.Addr == "" || h.Age < 0 || h.Age > knownFor {
			continue
		}
		k.recordReached(service, spanrill.Helper{Name: h.Name, Addr: h.Addr, Zone: h.Zone}, at-h.Age, h.Open, h.Room)
	}
}

// tell returns helpers for a service for a daemon in an availability zone, without that daemon.
func (k *knownHelpers) tell(service, to, zone string) []tunnel.Helper {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	reaching := k.reaching(service, now, func(name string) bool { return name == to })
	shuffle(k.random, reaching)
	inZone := 0
	for i, known := range reaching {
		if inZone < maxTold/2 && known.Zone == zone {
			reaching[inZone], reaching[i] = reaching[i], reaching[inZone]
			inZone++
		}
	}
	told := make([]tunnel.Helper, 0, maxTold)
	for _, known := range reaching[:min(maxTold, len(reaching))] {
		told = append(told, tunnel.Helper{Name: known.Name, Addr: known.Addr, Zone: known.Zone, Age: now - known.reachedAt, Open: known.open, Room: known.room})
	}
	return told
}

// reaching returns the daemons that are known to reach a service, sorted by name, without those that
// are excluded. The caller holds the lock.
func (k *knownHelpers) reaching(service string, now spanrill.Millis, exclude func(name string) bool) []*knownHelper {
	var found []*knownHelper
	for name, known := range k.services[service] {
		if now-known.reachedAt <= knownFor && known.reachedAt > known.deniedAt && !exclude(name) {
			found = append(found, known)
		}
	}
	slices.SortFunc(found, func(a, b *knownHelper) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// isAvoided reports whether a daemon has lately said that it cannot help. The caller holds the lock.
func (k *knownHelpers) isAvoided(service, name string, now spanrill.Millis) bool {
	if now < k.fullUntil[name] || now < k.leftUntil[name] {
		return true
	}
	known := k.services[service][name]
	return known != nil && known.deniedAt >= known.reachedAt && now-known.deniedAt < avoidTime
}

// minZoneRoom is the fraction of their tunnels that the helpers in this daemon's availability zone must
// have free to be preferred.
const minZoneRoom = 0.5

// pickReaching returns a helper that is known to reach a service, without those that are excluded. One
// in this daemon's availability zone that is not half full is preferred. Among several, each is picked
// in proportion to its room.
func (k *knownHelpers) pickReaching(service string, exclude func(name string) bool) (spanrill.Helper, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	reaching := slices.DeleteFunc(k.reaching(service, now, exclude), func(known *knownHelper) bool {
		return k.isAvoided(service, known.Name, now) || now < k.lateUntil[known.Name]
	})
	near := slices.DeleteFunc(slices.Clone(reaching), func(known *knownHelper) bool {
		return known.Zone != k.zone || float64(k.roomOf(known)) < minZoneRoom*float64(known.room+known.open)
	})
	if len(near) > 0 {
		reaching = near
	}
	if len(reaching) == 0 {
		return spanrill.Helper{}, false
	}
	total := 0
	for _, known := range reaching {
		total += k.roomOf(known)
	}
	at := k.random.IntN(total)
	for _, known := range reaching {
		if at -= k.roomOf(known); at < 0 {
			return known.Helper, true
		}
	}
	return reaching[0].Helper, true
}

// roomOf returns how many tunnels a helper could open besides those that are being opened, 1 at least.
// The caller holds the lock.
func (k *knownHelpers) roomOf(known *knownHelper) int {
	return max(1, known.room-k.opening[known.Name])
}

// countReaching returns how many daemons are known to reach a service.
func (k *knownHelpers) countReaching(service string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.reaching(service, k.clock.Now(), func(string) bool { return false }))
}

// takeExploration reports whether a further helper for a service may be looked for now, and records that
// it is.
func (k *knownHelpers) takeExploration(service string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if last, ok := k.exploredAt[service]; ok && now-last < exploreInterval {
		return false
	}
	k.exploredAt[service] = now
	return true
}

// order returns the members that may be asked for help with a service without knowing whether they can:
// first in random order, with every second one from this daemon's availability zone while there are any,
// then those that have told of a lost path, which can name others, then those that did not answer lately.
// Members that have lately said that they cannot help are left out.
func (k *knownHelpers) order(service string, members []spanrill.Helper) []spanrill.Helper {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	var near, far, lost, late []spanrill.Helper
	for _, h := range members {
		switch {
		case k.isAvoided(service, h.Name, now):
		case now < k.lateUntil[h.Name]:
			late = append(late, h)
		case h.Lost:
			lost = append(lost, h)
		case h.Zone == k.zone:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	for _, list := range [][]spanrill.Helper{near, far, lost, late} {
		shuffle(k.random, list)
	}
	return slices.Concat(interleave(near, far), lost, late)
}

// shuffle puts elements into random order.
func shuffle[T any](random *rng.Source, elements []T) {
	for i := range elements {
		j := i + random.IntN(len(elements)-i)
		elements[i], elements[j] = elements[j], elements[i]
	}
}

// interleave takes elements from two lists in turn.
func interleave(a, b []spanrill.Helper) []spanrill.Helper {
	out := make([]spanrill.Helper, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}
