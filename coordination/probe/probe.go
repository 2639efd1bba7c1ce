// Package probe checks whether engines answer, and which upstream listens at an address.
//
// A request that has received nothing for a while probes the engines of its path. Requests that
// probe the same engine at the same time share one query, and its result is reused for a while,
// because each query costs a call.
//
// An engine that refuses the connection counts as dead at once. A silent one is queried a second
// time, on a new connection, because a lost packet is retransmitted only after a fifth of a second,
// and a reused connection may be broken without notice. It counts as dead if neither query is
// answered.
//
// Silence is conclusive only if this daemon could have received an answer: its process was not
// paused meanwhile, and it heard from another engine. Otherwise the engine is queried again.
// Without this rule, a daemon with a slow link or processor would take all engines for dead at
// once, and move all of its streams.
//
// # Usage
//
//	p := probe.New(engines, clock, log, probe.WithLastHeard(table.LastHeard))
//	p.Check(ctx, suspects)
//	if u.Dead() { ... }
package probe

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/fleet"
	"spanrill/transport/httpcall"
)

const (
	// answerTimeout bounds a query. A report usually takes a millisecond or two.
	answerTimeout spanrill.Millis = 40
	// hedgeDelay is the time without an answer after which a second query is sent.
	hedgeDelay spanrill.Millis = 15
	// resultLifetime is how long a result is reused.
	resultLifetime spanrill.Millis = 250
	// recheckInterval is the least time between two queries to a dead engine.
	recheckInterval spanrill.Millis = 500
	// maxTries bounds how often an engine is queried while its silence is inconclusive. The last
	// try always decides, so that a daemon that hears from no engine at all gets a result.
	maxTries = 3
	// maxTimerDelay is how much later than its timeout a query may end before the process counts
	// as paused. Timers are usually late by a small fraction of it.
	maxTimerDelay spanrill.Millis = 20
)

// Prober queries engines for their reports and records which are dead.
type Prober struct {
	engines   spanrill.LayerEngines
	clock     spanrill.Clock
	log       logrus.FieldLogger
	lastHeard func() spanrill.Millis                       // when anything last came from any engine
	dial      func(ctx context.Context, addr string) error // opens a connection and closes it

	mu         sync.Mutex
	queries    map[string]*query          // latest query of each engine, by id
	dialChecks map[string]*dialCheck      // latest check of each upstream, by id
	deadSince  map[string]spanrill.Millis // when the query began that found an engine dead, by id
}

// query is a request for a report. Its result is set when done is closed.
type query struct {
	done      chan struct{}
	startedAt spanrill.Millis
	report    spanrill.EngineReport
	err       error
}

// Option changes a default of New.
type Option func(*Prober)

// WithDial sets the function that opens and closes a connection.
func WithDial(dial func(ctx context.Context, addr string) error) Option {
	return func(p *Prober) { p.dial = dial }
}

// WithLastHeard sets the function that returns when anything last came from any engine.
func WithLastHeard(lastHeard func() spanrill.Millis) Option {
	return func(p *Prober) { p.lastHeard = lastHeard }
}

// New returns a prober.
func New(engines spanrill.LayerEngines, clock spanrill.Clock, log logrus.FieldLogger, opts ...Option) *Prober {
	p := &Prober{engines: engines, clock: clock, log: log, queries: map[string]*query{}, dialChecks: map[string]*dialCheck{}, deadSince: map[string]spanrill.Millis{}, lastHeard: clock.Now, dial: dialAndClose}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Check queries all of the engines at once and records which are dead. It returns the reports of
// those that answered, by id.
func (p *Prober) Check(ctx context.Context, upstreams []*fleet.Upstream) map[string]spanrill.EngineReport {
	queries := make([]*query, len(upstreams))
	for i, u := range upstreams {
		queries[i] = p.startQuery(ctx, u)
	}
	reports := make(map[string]spanrill.EngineReport, len(upstreams))
	for i, q := range queries {
		select {
		case <-q.done:
		case <-ctx.Done():
			return reports
		}
		if q.err == nil {
			reports[upstreams[i].ID()] = q.report
		}
	}
	return reports
}

// startQuery returns the running or recent query of an engine, or starts one.
func (p *Prober) startQuery(ctx context.Context, u *fleet.Upstream) *query {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if q := p.queries[u.ID()]; q != nil && now-q.startedAt < resultLifetime {
		return q
	}
	q := &query{done: make(chan struct{}), startedAt: now}
	p.queries[u.ID()] = q
	go p.runQuery(context.WithoutCancel(ctx), u, q)
	return q
}

// runQuery repeats a query until it is answered or its failure is conclusive.
func (p *Prober) runQuery(ctx context.Context, u *fleet.Upstream, q *query) {
	defer close(q.done)
	for range maxTries {
		sentAt := p.clock.Now()
		p.reportHedged(ctx, u, q)
		if q.err == nil || isDialFailure(q.err) || p.silenceIsConclusive(sentAt) {
			break
		}
	}
	p.recordResult(u, q)
}

// silenceIsConclusive reports whether an engine counts as dead if it has not answered a query sent
// at sentAt.
func (p *Prober) silenceIsConclusive(sentAt spanrill.Millis) bool {
	now := p.clock.Now()
	return now-sentAt < answerTimeout+maxTimerDelay && p.lastHeard() > sentAt
}

// reportHedged queries an engine, queries it again if it has not answered after hedgeDelay, and sets
// the result of q to the first answer or the last error.
func (p *Prober) reportHedged(ctx context.Context, u *fleet.Upstream, q *query) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout.Duration())
	results := make(chan reportResult, 2)
	var pending sync.WaitGroup
	// The slower of two queries is not cancelled, so that its timeout reveals a silent connection.
	defer func() {
		go func() {
			pending.Wait()
			cancel()
		}()
	}()
	send := func(ctx context.Context) {
		pending.Add(1)
		go func() {
			defer pending.Done()
			results <- p.report(ctx, u.Addr())
		}()
	}
	send(ctx)
	sent, hedge := 1, p.clock.After(hedgeDelay)
	for received := 0; received < sent; {
		select {
		case <-hedge:
			sent, hedge = sent+1, nil
			send(httpcall.WithNewConn(ctx))
		case result := <-results:
			received++
			q.report, q.err = result.report, result.err
			if result.err == nil || isDialFailure(result.err) {
				received = sent
			}
		}
	}
}

// reportResult is the result of one query.
type reportResult struct {
	report spanrill.EngineReport
	err    error
}

func (p *Prober) report(ctx context.Context, addr string) reportResult {
	report, err := p.engines.Report(ctx, addr)
	return reportResult{report: report, err: err}
}

// isDialFailure reports whether connecting failed, other than by timeout or for lack of local
// resources.
func isDialFailure(err error) bool {
	var call *spanrill.CallError
	return errors.As(err, &call) && call.Phase == spanrill.PhaseDial && !errors.Is(err, context.DeadlineExceeded) && !spanrill.IsLocalResourceError(err)
}

// recordResult sets the state of an engine from the result of a query and logs changes.
func (p *Prober) recordResult(u *fleet.Upstream, q *query) {
	if spanrill.IsLocalResourceError(q.err) {
		events.LocalResourcesExhausted.Log(p.log, logrus.Fields{"upstream": u.ID(), "addr": u.Addr(), "error": q.err})
		return // otherwise, a daemon without file descriptors would take all engines for dead
	}
	if errors.Is(q.err, spanrill.ErrNoPath) {
		return // it tells of this daemon's own path only
	}
	dead := q.err != nil
	if dead && p.isForgotten(u, q) {
		return
	}
	if spanrill.IsConnectionRefused(q.err) {
		u.RecordNotListening()
	}
	if !dead {
		u.SetPace(q.report.Pace)
		u.RecordResponse(p.clock.Now())
	}
	if !u.SetDead(dead) {
		return
	}
	p.mu.Lock()
	p.deadSince[u.ID()] = q.startedAt
	p.mu.Unlock()
	event, fields := events.UpstreamRecovered, logrus.Fields{"upstream": u.ID(), "addr": u.Addr()}
	if dead {
		event = events.UpstreamEjected
		fields["why"], fields["error"] = "did not answer a probe", q.err
	}
	event.Log(p.log, fields)
}

// Forget makes engines count as alive again that queries begun since a time have found dead, because
// this daemon's network path to them was lost then. Their next silence is judged anew.
func (p *Prober) Forget(upstreams []*fleet.Upstream, since spanrill.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range upstreams {
		if p.queries[u.ID()] == nil || p.queries[u.ID()].startedAt < since-answerTimeout {
			continue
		}
		delete(p.queries, u.ID())
		if p.deadSince[u.ID()] >= since-answerTimeout && u.SetDead(false) {
			events.UpstreamRecovered.Log(p.log, logrus.Fields{"upstream": u.ID(), "addr": u.Addr(), "why": "the path to it was lost"})
		}
	}
}

// isForgotten reports whether Forget has dropped a query while it ran.
func (p *Prober) isForgotten(u *fleet.Upstream, q *query) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queries[u.ID()] != q
}

// Recheck queries dead engines again, and drops the results of engines that are gone. It should
// be called a few times a second.
func (p *Prober) Recheck(ctx context.Context, table *fleet.Table) {
	now, view := p.clock.Now(), table.View()
	table.EachActive(func(u *fleet.Upstream) {
		if u.Dead() && p.queryAge(u.ID(), now) >= recheckInterval {
			p.startQuery(ctx, u)
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.queries {
		if view.ByID(id) == nil {
			delete(p.queries, id)
			delete(p.deadSince, id)
		}
	}
	for id := range p.dialChecks {
		if view.ByID(id) == nil {
			delete(p.dialChecks, id)
		}
	}
}

// queryAge returns the time since the last query of an engine, or recheckInterval if there is
// none.
func (p *Prober) queryAge(id string, now spanrill.Millis) spanrill.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queries[id]
	if q == nil {
		return recheckInterval
	}
	return now - q.startedAt
}
