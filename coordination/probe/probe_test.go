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

// mute is an engine that leaves questions without an answer.
type mute struct {
	spanrill.LayerEngines
	mu      sync.Mutex
	silent  int  // the first n questions get no answer
	refuses bool // nothing listens
	lacks   bool // this machine has no descriptor left for a connection
	asked   int
}

func (m *mute) Report(ctx context.Context, _ string) (spanrill.EngineReport, error) {
	m.mu.Lock()
	m.asked++
	silent := m.asked <= m.silent
	m.mu.Unlock()
	if m.refuses {
		return spanrill.EngineReport{}, &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: errors.New("connection refused")}
	}
	if m.lacks {
		return spanrill.EngineReport{}, &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: errors.WithStack(syscall.EMFILE)}
	}
	if silent {
		<-ctx.Done()
		return spanrill.EngineReport{}, ctx.Err()
	}
	return spanrill.EngineReport{Pace: 1}, nil
}

// steady is a clock on which no time passes between a question and its end. A machine that is
// busy delays questions, and a prober that sees this asks again, as it should; how often it asks
// would then say nothing of what is tested.
type steady struct{ spanrill.Clock }

func (steady) Now() spanrill.Millis { return spanrill.Second }

// jumping is a clock on which more time passes between two looks than an answer may take, as
// when this process stands still.
type jumping struct {
	spanrill.Clock
	now atomic.Int64
}

func (j *jumping) Now() spanrill.Millis {
	return spanrill.Millis(j.now.Add(int64(answerWait + 2*lateBy)))
}

// perTry is how often an engine is asked in one try: a question and its repetition.
const perTry = 2

// probed has a prober ask one engine and returns that. Heard says when something came from any
// engine.
func probed(engine spanrill.LayerEngines, now spanrill.Clock, heard func(now spanrill.Millis) spanrill.Millis) *fleet.Upstream {
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := fleet.New(now, func(spanrill.Item) (spanrill.EngineEntry, error) {
		return spanrill.EngineEntry{ID: "e", Service: "s", Addr: "1:1"}, nil
	}, fleet.WithLogger(log))
	table.Listed([]spanrill.Item{{Name: "e"}}, 1, 0)
	p := New(engine, now, log, WithHeard(func() spanrill.Millis { return heard(now.Now()) }))
	u := table.View().ByID("e")
	p.Check(context.Background(), []*fleet.Upstream{u})
	return u
}

// A silence in which this process stood still says nothing: the engine is asked again.
func TestSilenceWhileStandingStill(t *testing.T) {
	m := &mute{silent: 100}
	u := probed(m, &jumping{Clock: clock.NewSystem()}, func(now spanrill.Millis) spanrill.Millis { return now })
	if m.asked <= perTry || !u.Dead() {
		t.Errorf("asked %d times, dead %t, want more than %d and true in the end", m.asked, u.Dead(), perTry)
	}
}

// An engine is dead when its silence says something: others were heard
// meanwhile, or nothing is heard of it however often it is asked.
func TestSilenceIsJudged(t *testing.T) {
	for _, c := range []struct {
		name  string
		mute  *mute
		heard bool // something comes from other engines
		dead  bool
		asked int // at most
	}{
		{"it answers", &mute{}, true, false, perTry},
		{"it is silent while others are heard", &mute{silent: 100}, true, true, perTry},
		{"nothing at all is heard for a moment", &mute{silent: perTry}, false, false, 2 * perTry},
		{"nothing is ever heard again", &mute{silent: 100}, false, true, tries * perTry},
		{"it refuses the connection", &mute{refuses: true}, false, true, perTry},
		{"it cannot be asked for want of descriptors", &mute{lacks: true}, true, false, tries * perTry},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := probed(c.mute, steady{clock.NewSystem()}, func(now spanrill.Millis) spanrill.Millis {
				if c.heard {
					return now + 1
				}
				return -1
			})
			if u.Dead() != c.dead {
				t.Errorf("dead %t, want %t", u.Dead(), c.dead)
			}
			if c.mute.asked > c.asked {
				t.Errorf("asked %d times, at most %d are needed", c.mute.asked, c.asked)
			}
		})
	}
}
