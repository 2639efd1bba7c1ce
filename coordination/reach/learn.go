package reach

import (
	"context"

	"spanrill"
	"spanrill/transport/tunnel"
)

const (
	// learnInterval is the pause between two rounds of questions while this daemon has lost its path and
	// knows no helper.
	learnInterval spanrill.Millis = 100
	// learnFanout is the number of daemons that are asked in a round. What one daemon knows reaches a
	// fleet of n that asks in about log(n) / log(1 + learnFanout) rounds.
	learnFanout = 4
)

// learnHelpers asks other daemons for helpers, while a path is lost and no helper is known, until the
// context ends. So helpers are known before a request needs them, and daemons without requests can
// tell of helpers too.
func (d *Dialer) learnHelpers(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, lost := range d.paths.lostServices() {
			if d.known.countReaching(lost.Service) == 0 {
				d.askForHelpers(ctx, lost.Service)
			}
		}
		select {
		case <-ctx.Done():
		case <-d.clock.After(learnInterval):
		}
	}
	return ctx.Err()
}

// askForHelpers asks a few daemons for helpers for a service.
func (d *Dialer) askForHelpers(ctx context.Context, service string) {
	if !d.asks.has() {
		return
	}
	members := d.known.order(service, d.helpers(service))
	for _, h := range members[:min(learnFanout, len(members))] {
		if !d.asks.take() {
			return
		}
		d.tasks.Start(ctx, "ask for helpers", func(ctx context.Context) error {
			d.askForHelpersAt(ctx, service, h)
			return nil
		})
	}
}

// askForHelpersAt asks a daemon for helpers for a service and records the answer.
func (d *Dialer) askForHelpersAt(ctx context.Context, service string, h spanrill.Helper) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout.Duration())
	defer cancel()
	sentAt := d.clock.Now()
	told, err := d.tunnels.Ask(ctx, h, tunnel.Question{Service: service, Zone: d.zone, Helpers: d.known.tell(service, h.Name, h.Zone)})
	if err != nil {
		if ctx.Err() == nil || context.Cause(ctx) == context.DeadlineExceeded {
			d.meters.HelpFailed.Inc()
			d.known.recordLate(h.Name)
		}
		return
	}
	d.known.merge(service, told.Helpers, sentAt)
	switch {
	case told.Reaches && told.Age >= 0:
		d.known.recordReached(service, h, sentAt-told.Age, told.Open, told.Room)
	case told.Lost:
		d.known.recordDenied(service, h, sentAt)
	}
}
