package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// drainPoll is how often a draining daemon looks whether requests still run.
const drainPoll = 20 * spanrill.Millis(1)

// drain fails readiness, takes requests until the balancer has noticed,
// refuses new ones from then on, and returns when those that run have ended.
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
			events.DaemonDrainLate.Log(d.log, logrus.Fields{"in_flight": d.api.InFlight()})
			return
		}
		<-d.clock.After(drainPoll)
	}
}

// closeWait bounds how long open connections are waited for at the end.
const closeWait = time.Second

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	_ = d.api.Shutdown(ctx)
	_ = d.callers.Close()
	_ = d.admin.Close()
	d.http.Close()
}
