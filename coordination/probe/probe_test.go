package probe

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/state/fleet"
)

// fakeEngine is an engine that can fail to answer in several ways.
type fakeEngine struct {
	spanrill.LayerEngines
	mu                 sync.Mutex
	unanswered         int  // number of queries, from the first on, that get no answer
	refusesConnections bool // nothing listens at its address
	lacksDescriptors   bool // this machine has no file descriptor left for a connection
	queries            int
}

func (e *fakeEngine) Report(ctx context.Context, _ string) (spanrill.EngineReport, error) {
	e.mu.Lock()
	e.queries++
	silent := e.queries <= e.unanswered
	e.mu.Unlock()
	if e.refusesConnections {
		return spanrill.EngineReport{}, &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: errors.New("connection refused")}
	}
	if e.lacksDescriptors {
		return spanrill.EngineReport{}, &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: errors.WithStack(syscall.EMFILE)}
	}
	if silent {
		<-ctx.Done()
		return spanrill.EngineReport{}, ctx.Err()
	}
	return spanrill.EngineReport{Pace: 1}, nil
}

// frozenClock is a clock on which no time passes during a query. On a real clock, a busy machine
// delays queries and the prober rightly queries again, so that the number of queries would not
// depend on the tested case alone.
type frozenClock struct{ spanrill.Clock }

func (frozenClock) Now() spanrill.Millis { return spanrill.Second }

// jumpingClock is a clock that advances between two readings by more than a query may take, as
// when the process is paused.
type jumpingClock struct {
	spanrill.Clock
	now atomic.Int64
}

func (j *jumpingClock) Now() spanrill.Millis {
	return spanrill.Millis(j.now.Add(int64(answerTimeout + 2*maxTimerDelay)))
}

// queriesPerTry is how often an engine is queried in one try: a query and its hedge.
const queriesPerTry = 2

// probeEngine lets a prober check one engine and returns its upstream. LastHeard returns when
// anything last came from any engine, given the current time.
func probeEngine(engine spanrill.LayerEngines, clk spanrill.Clock, lastHeard func(now spanrill.Millis) spanrill.Millis) *fleet.Upstream {
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := fleet.New(clk, func(spanrill.Item) (spanrill.EngineEntry, error) {
		return spanrill.EngineEntry{ID: "e", Service: "s", Addr: "1:1"}, nil
	}, fleet.WithLogger(log))
	table.HandleList([]spanrill.Item{{Name: "e"}}, 1, 0)
	p := New(engine, clk, log, WithLastHeard(func() spanrill.Millis { return lastHeard(clk.Now()) }))
	u := table.View().ByID("e")
	p.Check(context.Background(), []*fleet.Upstream{u})
	return u
}

// If the process was paused while an engine was silent, the engine is queried again.
func TestSilenceDuringPauseIsInconclusive(t *testing.T) {
	engine := &fakeEngine{unanswered: 100}
	u := probeEngine(engine, &jumpingClock{Clock: clock.NewSystem()}, func(now spanrill.Millis) spanrill.Millis { return now })
	if engine.queries <= queriesPerTry || !u.Dead() {
		t.Errorf("%d queries, dead %t; want more than %d queries, and dead in the end", engine.queries, u.Dead(), queriesPerTry)
	}
}

// An engine is dead if its silence is conclusive, because others were heard meanwhile, or if it
// stays silent in all tries.
func TestDeadAfterConclusiveSilence(t *testing.T) {
	for _, c := range []struct {
		name        string
		engine      *fakeEngine
		othersHeard bool // something comes from other engines meanwhile
		wantDead    bool
		maxQueries  int
	}{
		{"the engine answers", &fakeEngine{}, true, false, queriesPerTry},
		{"the engine is silent while others are heard", &fakeEngine{unanswered: 100}, true, true, queriesPerTry},
		{"no engine is heard during the first try", &fakeEngine{unanswered: queriesPerTry}, false, false, 2 * queriesPerTry},
		{"no engine is heard in any try", &fakeEngine{unanswered: 100}, false, true, maxTries * queriesPerTry},
		{"the connection is refused", &fakeEngine{refusesConnections: true}, false, true, queriesPerTry},
		{"this daemon has no descriptors for a connection", &fakeEngine{lacksDescriptors: true}, true, false, maxTries * queriesPerTry},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := probeEngine(c.engine, frozenClock{clock.NewSystem()}, func(now spanrill.Millis) spanrill.Millis {
				if c.othersHeard {
					return now + 1
				}
				return -1
			})
			if u.Dead() != c.wantDead {
				t.Errorf("dead %t, want %t", u.Dead(), c.wantDead)
			}
			if c.engine.queries > c.maxQueries {
				t.Errorf("%d queries, want at most %d", c.engine.queries, c.maxQueries)
			}
		})
	}
}

// Guards against engines that stay dead because of queries over a network path that was lost, and
// against engines that come alive although they were found dead before.
func TestForgetVerdictsOverLostPath(t *testing.T) {
	for name, c := range map[string]struct {
		since spanrill.Millis // when the path was lost; the query began at one second
		dead  bool
	}{
		"the path was lost before the query": {since: 900, dead: false},
		"the path was lost with the query":   {since: spanrill.Second, dead: false},
		"the path was lost later":            {since: 2 * spanrill.Second, dead: true},
	} {
		t.Run(name, func(t *testing.T) {
			clk := frozenClock{clock.NewSystem()}
			log := logrus.New()
			log.SetOutput(io.Discard)
			table := fleet.New(clk, func(spanrill.Item) (spanrill.EngineEntry, error) {
				return spanrill.EngineEntry{ID: "e", Service: "advice", Addr: "10.0.0.1:1"}, nil
			}, fleet.WithLogger(log))
			table.HandleList([]spanrill.Item{{Name: "e"}}, 1, 0)
			u := table.View().ByID("e")
			p := New(&fakeEngine{refusesConnections: true}, clk, log)
			p.Check(context.Background(), []*fleet.Upstream{u})
			if !u.Dead() {
				t.Fatal("an engine that refuses connections is not dead")
			}
			p.Forget([]*fleet.Upstream{u}, c.since)
			if u.Dead() != c.dead {
				t.Errorf("dead %v, want %v", u.Dead(), c.dead)
			}
		})
	}
}
