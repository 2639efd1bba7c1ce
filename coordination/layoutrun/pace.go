package layoutrun

import (
	"context"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/fleet"
)

const (
	// paceInterval is the pause between two pace queries to one engine. Each query has a cost,
	// and an engine that becomes slow stays so for several seconds.
	paceInterval = 5 * spanrill.Second
	// maxPaceQueriesPerSecond bounds the pace queries; up to 500 engines stay below it. Without
	// it, one daemon querying 2,997 engines at once used up its 4,100 descriptors and opened
	// 1,204 connections per second. With 2,730 engines, the busiest of 14 daemons uses 0.0237
	// of a core in the first 22 s with the bound and 0.0283 without it (one run each).
	maxPaceQueriesPerSecond = 100
)

// paceSchedule is the progress of the pace queries, which go through all engines in cycles.
type paceSchedule struct {
	next           int             // index of the next engine in the cycle
	cycleStartedAt spanrill.Millis // start of the current cycle
	lastDueAt      spanrill.Millis // time of the last call of due
}

// due returns the half-open range of indices of the engines to query now: the next ones of the
// cycle. A cycle starts no earlier than paceInterval after the previous one started.
func (p *paceSchedule) due(engineCount int, now spanrill.Millis) (from, to int) {
	elapsed := min(now-p.lastDueAt, spanrill.Second) // no burst of queries after a pause
	p.lastDueAt = now
	if p.next >= engineCount {
		if now-p.cycleStartedAt < paceInterval {
			return 0, 0
		}
		p.next, p.cycleStartedAt = 0, now
	}
	from = p.next
	p.next = min(engineCount, from+int(max(1, maxPaceQueriesPerSecond*elapsed/spanrill.Second)))
	return from, p.next
}

// queryPaces queries the engines that are due for their pace. Other daemons learn the answers
// in rounds with their peers.
func (p *Placer) queryPaces(ctx context.Context) {
	var engines []*fleet.Upstream
	for _, s := range p.services() {
		if s.Model == nil {
			continue
		}
		for _, u := range p.table.View().ByService(s.Name) {
			if u.AcceptsRequests() && !u.Dead() && u.Layers().Len() > 0 {
				engines = append(engines, u)
			}
		}
	}
	from, to := p.paceSchedule.due(len(engines), p.clock.Now())
	for _, u := range engines[from:to] {
		p.tasks.Start(ctx, "query pace", func(ctx context.Context) error { return p.queryPace(ctx, u) })
	}
}

func (p *Placer) queryPace(ctx context.Context, u *fleet.Upstream) error {
	if err := p.calls.acquire(ctx); err != nil {
		return err
	}
	defer p.calls.release()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	report, err := p.engines.Report(ctx, u.Addr())
	if err != nil {
		return err // does not mark the engine as dead: the requests that wait for it decide that
	}
	wasSlow := u.Slow()
	if u.SetPace(report.Pace); u.Slow() != wasSlow {
		p.handleSlowChange(u)
	}
	return nil
}

// handleSlowChange logs that an engine has become slow or has recovered, and has the chains
// derived again.
func (p *Placer) handleSlowChange(u *fleet.Upstream) {
	event := events.UpstreamRecovered
	if u.Slow() {
		event = events.UpstreamSlow
	}
	event.Log(p.log, logrus.Fields{"upstream": u.ID(), "pace": u.Pace()})
	p.table.RefreshView()
}
