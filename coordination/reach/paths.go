package reach

import (
	"sync"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// paths holds what this daemon knows about its network paths to the upstreams of each service.
type paths struct {
	clock    spanrill.Clock
	log      logrus.FieldLogger
	mu       sync.Mutex
	services map[string]*servicePath
}

// servicePath is the state of the paths to the upstreams of one service.
type servicePath struct {
	failed map[string]bool // addresses to which connections failed since one was last opened
	since  spanrill.Millis // when the first of them failed
	logged bool            // their failure was logged
}

// minFailedUpstreams is the number of upstreams of a service that connections must fail to before
// this daemon's own path is suspected. A single upstream can fail by itself.
const minFailedUpstreams = 2

func newPaths(clock spanrill.Clock, log logrus.FieldLogger) *paths {
	return &paths{clock: clock, log: log, services: map[string]*servicePath{}}
}

// of returns the state of a service. The caller holds the lock.
func (p *paths) of(service string) *servicePath {
	s := p.services[service]
	if s == nil {
		s = &servicePath{failed: map[string]bool{}}
		p.services[service] = s
	}
	return s
}

// recordConnected records that a connection to an upstream was opened.
func (p *paths) recordConnected(service, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.of(service)
	if s.logged {
		events.UpstreamsReached.Log(p.log, logrus.Fields{"service": service, "addr": addr, "after_ms": p.clock.Now() - s.since})
	}
	clear(s.failed)
	s.logged = false
}

// recordFailed records that a connection to an upstream could not be opened.
func (p *paths) recordFailed(service, addr string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.of(service)
	if len(s.failed) == 0 {
		s.since = p.clock.Now()
	}
	s.failed[addr] = true
	if s.logged || len(s.failed) < minFailedUpstreams {
		return
	}
	s.logged = true
	events.UpstreamsUnreached.Log(p.log, logrus.Fields{"service": service, "addr": addr, "failing_ms": p.clock.Now() - s.since, "error": err})
}
