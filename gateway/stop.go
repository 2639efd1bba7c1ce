package gateway

import (
	"net"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

const (
	// balancerDelay is how long new connections may still arrive after readiness has
	// failed: the load balancer polls every second and tolerates one failed check.
	balancerDelay spanrill.Millis = 2600
	// graceMargin is the time between the end of draining and the kill of the process.
	graceMargin spanrill.Millis = 700
	// maxNoticePercent bounds the time in which requests are still taken, as a percentage of the time until
	// the end of draining. The rest is for running requests.
	maxNoticePercent = 50
	// endTimeout bounds the wait until the callers of requests that are ended have their answers.
	endTimeout spanrill.Millis = 200
	// drainPoll is how often a draining daemon checks whether requests still run.
	drainPoll spanrill.Millis = 20
)

// drain fails readiness, continues to serve until the load balancer sends no new connections, and
// then refuses new requests. It returns when the running requests have ended. Shortly before the process
// is killed it ends those that still run. Every answer from now on closes its connection.
func (g *Gateway) drain() {
	start := g.clock.Now()
	g.draining.Store(true)
	g.relay.CloseConnections()
	if g.tunnels != nil {
		g.tunnels.Leave()
	}
	events.DaemonDraining.Log(g.log, logrus.Fields{"in_flight": g.relay.InFlight(), "tunnels": g.openTunnels(), "connections": g.callers.OpenConnections()})
	g.peers.leave()
	drainTime := max(0, g.settings.Bounds.Grace-graceMargin)
	notice := min(balancerDelay, drainTime*maxNoticePercent/100)
	for g.clock.Now() < start+drainTime {
		if g.clock.Now() >= start+notice {
			g.relay.RefuseNewRequests()
			g.callers.CloseIdle()
			if g.relay.InFlight() == 0 && g.openTunnels() == 0 {
				return
			}
		}
		<-g.clock.After(drainPoll)
	}
	events.DaemonDrainTimedOut.Log(g.log, logrus.Fields{"in_flight": g.relay.InFlight(), "tunnels": g.openTunnels()})
	g.endRequests()
}

// endRequests ends the running requests and waits until their answers are written, for endTimeout at most.
// Each connection is closed behind its answer.
func (g *Gateway) endRequests() {
	g.relay.RefuseNewRequests()
	g.callers.CloseIdle()
	g.relay.EndRequests()
	for end := g.clock.Now() + endTimeout; g.clock.Now() < end && g.callers.OpenConnections() > 0; {
		<-g.clock.After(drainPoll)
	}
}

// close closes all listeners and upstream connections.
func (g *Gateway) close() {
	for _, ln := range []interface{ Close() error }{g.listener, g.readyListener} {
		_ = ln.Close() // the process ends, so an error has no consequence
	}
	for _, ln := range []net.Listener{g.metricsListener, g.tunnelListener} {
		if ln != nil {
			_ = ln.Close()
		}
	}
	g.http.Close()
}
