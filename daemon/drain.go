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

// drain fails readiness, accepts requests until the load balancer has noticed, and then refuses
// new ones. It returns when the running requests have ended, or at the end of the drain time.
func (d *Daemon) drain() {
	if d.draining.Swap(true) {
		return
	}
	events.DaemonDraining.Log(d.log, logrus.Fields{"in_flight": d.api.InFlight()})
	d.peers.list.Leave(d.work)
	<-d.clock.After(d.settings.Drain.Notice)
	d.api.Drain()
	limit := d.clock.Now() + d.settings.Drain.Finish
	for d.api.InFlight() > 0 {
		if d.clock.Now() > limit {
			events.DaemonDrainTimedOut.Log(d.log, logrus.Fields{"in_flight": d.api.InFlight()})
			return
		}
		<-d.clock.After(drainPoll)
	}
}

// closeTimeout bounds the wait for open connections at the end.
const closeTimeout = time.Second

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = d.api.Shutdown(ctx)
	_ = d.callers.Close()
	_ = d.admin.Close()
	d.http.Close()
}
