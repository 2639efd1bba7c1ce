package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// drainPoll is how often a draining daemon checks whether requests still run.
const drainPoll = 20 * spanrill.Millis(1)

// drain fails readiness, accepts requests for the notice time, in which the load balancer notices,
// and then refuses new ones. It returns when the running requests have ended, or after the finish
// time at the latest.
func (d *Daemon) drain() {
	if d.draining.Swap(true) {
		return
	}
	if d.paths.tunnels != nil {
		d.paths.tunnels.Leave()
	}
	events.DaemonDraining.Log(d.log, logrus.Fields{"in_flight": d.api.InFlight(), "tunnels": d.paths.openTunnels()})
	d.peers.list.Leave(d.work)
	<-d.clock.After(d.settings.Drain.Notice)
	d.api.Drain()
	deadline := d.clock.Now() + d.settings.Drain.Finish
	for d.api.InFlight() > 0 || d.paths.openTunnels() > 0 {
		if d.clock.Now() > deadline {
			events.DaemonDrainTimedOut.Log(d.log, logrus.Fields{"in_flight": d.api.InFlight()})
			return
		}
		<-d.clock.After(drainPoll)
	}
}

// closeTimeout bounds the wait for callers' connections to end when the daemon closes.
const closeTimeout = time.Second

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = d.api.Shutdown(ctx)
	_ = d.callerListener.Close()
	_ = d.adminListener.Close()
	if d.tunnelListener != nil {
		_ = d.tunnelListener.Close()
	}
	d.http.Close()
}
