// Package probe finds out whether engines answer.
//
// A request that has heard nothing for a while asks the engines of its path.
// Requests that ask about the same engine at the same time share one question,
// and an answer is used for a while, since each question is paid for.
//
// An engine that refuses the connection is dead at once. One that says nothing
// is asked a second time meanwhile, on a new connection, because a lost packet is
// sent again only after a fifth of a second, and a connection that was used before
// may be silent for good; it is dead when neither question was answered.
//
// A silence says something of an engine only if this daemon could have heard an
// answer: it did not stand still meanwhile, and something came from another
// engine. Otherwise the engine is asked again before it is judged. A daemon
// with a slow link or processor would otherwise take all engines for dead at
// once, and move every stream it has.
//
// # Usage
//
//	p := probe.New(engines, clock, log, probe.WithHeard(table.LastHeard))
//	p.Check(ctx, suspects)
//	if u.Dead() { ... }
package probe

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/fleet"
	"spanrill/transport/httpcall"
)

const (
	// answerWait is how long an engine may take to answer. A report takes a
	// millisecond or two.
	answerWait spanrill.Millis = 40
	// hedgeAfter is when the question is asked a second time.
	hedgeAfter spanrill.Millis = 15
	// reuse is how long an answer is used.
	reuse spanrill.Millis = 250
	// againAfter is when an engine that did not answer is asked again.
	againAfter spanrill.Millis = 500
	// tries bounds how often an engine is asked whose silence says nothing. A
	// daemon that hears of no engine at all judges by the last.
	tries = 3
	// lateBy is by how much later than set a wait ends when this process stood
	// still: many times what timers are late.
	lateBy spanrill.Millis = 20
)

// Prober asks engines for their reports.
type Prober struct {
	engines spanrill.LayerEngines
	clock   spanrill.Clock
	log     logrus.FieldLogger
	heard   func() spanrill.Millis
	dial    func(ctx context.Context, addr string) error

	mu     sync.Mutex
	asked  map[string]*question // by id
	knocks map[string]*knock    // by id
}

// question is one question and, once done is closed, its answer.
type question struct {
	done   chan struct{}
	at     spanrill.Millis
	report spanrill.EngineReport
	err    error
}

// knock is a connection that is tried and, once done is closed, noted.
type knock struct {
	done chan struct{}
	at   spanrill.Millis
}

// Knock opens a connection to an upstream and notes whether anything listens there. It says
// nothing of whether the upstream works: one that is silent is not taken for dead. Requests
// that break off there at the same time share one connection.
func (p *Prober) Knock(ctx context.Context, u *fleet.Upstream) {
	k, first := p.knockAt(u.ID())
	if first {
		p.knock(ctx, u)
		close(k.done)
		return
	}
	select {
	case <-k.done:
	case <-ctx.Done():
	}
}

// knockAt returns the knock at an upstream that is under way or was made just before, or a
// new one.
func (p *Prober) knockAt(id string) (k *knock, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if k = p.knocks[id]; k != nil && now-k.at < reuse {
		return k, false
	}
	k = &knock{done: make(chan struct{}), at: now}
	p.knocks[id] = k
	return k, true
}

func (p *Prober) knock(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, answerWait.Duration())
	defer cancel()
	err := p.dial(ctx, u.Addr())
	switch {
	case err == nil:
		u.Listens(p.clock.Now())
	case spanrill.NothingListens(err):
		u.NotListening()
	}
}

// dial opens a connection and closes it.
func dial(ctx context.Context, addr string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Option changes a default of New.
type Option func(*Prober)

// WithDial sets how a connection is opened and closed again.
func WithDial(dial func(ctx context.Context, addr string) error) Option {
	return func(p *Prober) { p.dial = dial }
}

// WithHeard sets where it is read when anything last came from any engine.
func WithHeard(heard func() spanrill.Millis) Option {
	return func(p *Prober) { p.heard = heard }
}

// New returns a prober.
func New(engines spanrill.LayerEngines, clock spanrill.Clock, log logrus.FieldLogger, opts ...Option) *Prober {
	p := &Prober{engines: engines, clock: clock, log: log, asked: map[string]*question{}, knocks: map[string]*knock{}, heard: clock.Now, dial: dial}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Check asks all of the engines at once and notes which are dead. It returns
// the reports of those that answered, by id.
func (p *Prober) Check(ctx context.Context, upstreams []*fleet.Upstream) map[string]spanrill.EngineReport {
	questions := make([]*question, len(upstreams))
	for i, u := range upstreams {
		questions[i] = p.ask(ctx, u)
	}
	reports := make(map[string]spanrill.EngineReport, len(upstreams))
	for i, q := range questions {
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

func (p *Prober) ask(ctx context.Context, u *fleet.Upstream) *question {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if q := p.asked[u.ID()]; q != nil && now-q.at < reuse {
		return q
	}
	q := &question{done: make(chan struct{}), at: now}
	p.asked[u.ID()] = q
	go p.answer(context.WithoutCancel(ctx), u, q)
	return q
}

func (p *Prober) answer(ctx context.Context, u *fleet.Upstream, q *question) {
	defer close(q.done)
	for range tries {
		sent := p.clock.Now()
		p.try(ctx, u, q)
		if q.err == nil || refused(q.err) || p.tells(sent) {
			break
		}
	}
	p.note(u, q)
}

// tells reports whether the silence of an engine since sent says something of
// the engine.
func (p *Prober) tells(sent spanrill.Millis) bool {
	now := p.clock.Now()
	return now-sent < answerWait+lateBy && p.heard() > sent
}

// try asks an engine once, and once more meanwhile if it says nothing.
func (p *Prober) try(ctx context.Context, u *fleet.Upstream, q *question) {
	ctx, cancel := context.WithTimeout(ctx, answerWait.Duration())
	answers := make(chan answer, 2)
	var open sync.WaitGroup
	// A question that is overtaken runs on to its end, so that its time-out shows
	// a silent connection.
	defer func() {
		go func() {
			open.Wait()
			cancel()
		}()
	}()
	once := func(ctx context.Context) {
		open.Add(1)
		go func() {
			defer open.Done()
			answers <- p.once(ctx, u.Addr())
		}()
	}
	once(ctx)
	asked, hedge := 1, p.clock.After(hedgeAfter)
	for got := 0; got < asked; {
		select {
		case <-hedge:
			asked, hedge = asked+1, nil
			once(httpcall.Anew(ctx))
		case a := <-answers:
			got++
			q.report, q.err = a.report, a.err
			if a.err == nil || refused(a.err) {
				got = asked
			}
		}
	}
}

// answer is what one question brought.
type answer struct {
	report spanrill.EngineReport
	err    error
}

func (p *Prober) once(ctx context.Context, addr string) answer {
	report, err := p.engines.Report(ctx, addr)
	return answer{report: report, err: err}
}

// refused reports whether the other end said itself that nothing listens.
func refused(err error) bool {
	var call *spanrill.CallError
	return errors.As(err, &call) && call.Phase == spanrill.PhaseDial && !errors.Is(err, context.DeadlineExceeded) && !spanrill.OwnLack(err)
}

func (p *Prober) note(u *fleet.Upstream, q *question) {
	if spanrill.OwnLack(q.err) {
		events.ConnectionsLacking.Log(p.log, logrus.Fields{"upstream": u.ID(), "addr": u.Addr(), "error": q.err})
		return // a daemon that has no descriptors left would take all engines for dead
	}
	dead := q.err != nil
	if spanrill.NothingListens(q.err) {
		u.NotListening()
	}
	if !dead {
		u.SetPace(q.report.Pace)
		u.Heard(p.clock.Now())
	}
	if !u.SetDead(dead) {
		return
	}
	event, fields := events.UpstreamBack, logrus.Fields{"upstream": u.ID(), "addr": u.Addr()}
	if dead {
		event = events.UpstreamEjected
		fields["why"], fields["error"] = "did not answer a probe", q.err
	}
	event.Log(p.log, fields)
}

// Recheck asks the dead among the upstreams again, and forgets engines that
// are gone. It is called a few times a second.
func (p *Prober) Recheck(ctx context.Context, table *fleet.Table) {
	now, v := p.clock.Now(), table.View()
	table.EachActive(func(u *fleet.Upstream) {
		if u.Dead() && p.age(u.ID(), now) >= againAfter {
			p.ask(ctx, u)
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.asked {
		if v.ByID(id) == nil {
			delete(p.asked, id)
		}
	}
	for id := range p.knocks {
		if v.ByID(id) == nil {
			delete(p.knocks, id)
		}
	}
}

func (p *Prober) age(id string, now spanrill.Millis) spanrill.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.asked[id]
	if q == nil {
		return againAfter
	}
	return now - q.at
}
