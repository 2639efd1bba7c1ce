package layoutrun

import (
	"context"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/fleet"
)

// paceGap is the pause between two rounds of questions to all engines that hold
// layers. Each question is paid for; an engine that turns slow does so for
// several seconds.
const paceGap = 5 * spanrill.Second

// askPaces asks engines now and then how slow they are, while this daemon may
// give orders. The answers reach the other daemons with the news.
func (p *Placer) askPaces(ctx context.Context) {
	if _, ok := p.mayAct(); !ok || p.clock.Now()-p.askedAt < paceGap {
		return
	}
	p.askedAt = p.clock.Now()
	for _, s := range p.models() {
		if s.Model == nil {
			continue
		}
		for _, u := range p.table.View().Of(s.Name) {
			if u.Takes() && !u.Dead() && u.Layers().Len() > 0 {
				p.orders.Start(ctx, "ask for pace", func(ctx context.Context) error { return p.askPace(ctx, u) })
			}
		}
	}
}

func (p *Placer) askPace(ctx context.Context, u *fleet.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, callWait.Duration())
	defer cancel()
	report, err := p.engines.Report(ctx, u.Addr())
	if err != nil {
		return err // whether the engine is dead is for the requests that wait for it
	}
	before := u.Slow()
	if u.SetPace(report.Pace); u.Slow() != before {
		p.noteSlow(u)
	}
	return nil
}

// noteSlow logs that an engine has turned slow, or is well again, and lets the
// chains be read anew.
func (p *Placer) noteSlow(u *fleet.Upstream) {
	event := events.UpstreamBack
	if u.Slow() {
		event = events.UpstreamSlow
	}
	event.Log(p.log, logrus.Fields{"upstream": u.ID(), "pace": u.Pace()})
	p.table.Touch()
}
