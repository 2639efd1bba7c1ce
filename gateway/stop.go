package gateway

import (
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

const (
	// notice is how long new connections may still come after readiness has
	// failed: the balancer asks every second and lets one answer pass.
	notice spanrill.Millis = 2600
	// graceMargin is left between the last request and the kill.
	graceMargin spanrill.Millis = 700
	// drainPoll is how often a draining daemon looks whether requests still run.
	drainPoll spanrill.Millis = 20
)

// drain fails readiness, serves on until the balancer has noticed, then refuses
// what is new, and returns when the requests that run have ended, or shortly
// before the process is killed. Every answer from now on ends its connection.
func (g *Gateway) drain() {
	start := g.clock.Now()
	g.draining.Store(true)
	g.relay.CloseConnections()
	events.DaemonDraining.Log(g.log, logrus.Fields{"in_flight": g.relay.InFlight(), "connections": g.callers.Open()})
	g.peers.leave()
	limit := start + g.settings.Bounds.Grace - graceMargin
	for g.clock.Now() < limit {
		if g.clock.Now() >= start+notice {
			g.relay.RefuseNewRequests()
			g.callers.CloseIdle()
			if g.relay.InFlight() == 0 {
				return
			}
		}
		<-g.clock.After(drainPoll)
	}
	events.DaemonDrainLate.Log(g.log, logrus.Fields{"in_flight": g.relay.InFlight()})
}

// close ends all connections.
func (g *Gateway) close() {
	for _, ln := range []interface{ Close() error }{g.listener, g.ready} {
		_ = ln.Close() // nothing is served any more
	}
	if g.metrics != nil {
		_ = g.metrics.Close()
	}
	g.http.Close()
}
