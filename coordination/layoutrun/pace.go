package layoutrun

import (
	"context"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/fleet"
)

const (
	// paceGap is the pause between two questions to one engine about its pace. Each question
	// is paid for; an engine that turns slow does so for several seconds.
	paceGap = 5 * spanrill.Second
	// pacesASecond bounds these questions, which up to 500 engines do not reach. One daemon
	// before 2,997 engines that asked all of them at once used up its 4,100 descriptors and made
	// 1,204 connections a second. Before 2,730 engines the busiest of 14 daemons uses 0.0237 of
	// a core in the first 22 s with it, and 0.0283 without (one play each).
	pacesASecond = 100
)

// paces is how far the questions about paces have come.
type paces struct {
	next   int             // engine in the turn
	begun  spanrill.Millis // the turn
	looked spanrill.Millis
}

// due returns which of that many engines are to be asked now: the next ones in the turn, which
// begins anew at the earliest paceGap after it began.
func (p *paces) due(engines int, now spanrill.Millis) (from, to int) {
	since := min(now-p.looked, spanrill.Second) // after a pause engines are not asked all at once
	p.looked = now
	if p.next >= engines {
		if now-p.begun < paceGap {
			return 0, 0
		}
		p.next, p.begun = 0, now
	}
	from = p.next
	p.next = min(engines, from+int(max(1, pacesASecond*since/spanrill.Second)))
	return from, p.next
}

// askPaces asks engines in turn how slow they are. The answers reach the other daemons with
// the news.
func (p *Placer) askPaces(ctx context.Context) {
	var engines []*fleet.Upstream
	for _, s := range p.models() {
		if s.Model == nil {
			continue
		}
		for _, u := range p.table.View().Of(s.Name) {
			if u.Takes() && !u.Dead() && u.Layers().Len() > 0 {
				engines = append(engines, u)
			}
		}
	}
	from, to := p.paces.due(len(engines), p.clock.Now())
	for _, u := range engines[from:to] {
		p.orders.Start(ctx, "ask for pace", func(ctx context.Context) error { return p.askPace(ctx, u) })
	}
}

func (p *Placer) askPace(ctx context.Context, u *fleet.Upstream) error {
	if err := p.calls.enter(ctx); err != nil {
		return err
	}
	defer p.calls.leave()
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
