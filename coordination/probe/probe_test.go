package probe

import (
	"context"
	"io"
	"sync"
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

// An engine is dead when its silence says something: others were heard
// meanwhile, or nothing is heard of it however often it is asked.
func TestSilenceIsJudged(t *testing.T) {
	const perTry = 2 // a question and its repetition
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
			log := logrus.New()
			log.SetOutput(io.Discard)
			system := clock.NewSystem()
			table := fleet.New(system, func(spanrill.Item) (spanrill.EngineEntry, error) {
				return spanrill.EngineEntry{ID: "e", Service: "s", Addr: "1:1"}, nil
			}, fleet.WithLogger(log))
			table.Listed([]spanrill.Item{{Name: "e"}}, 1, 0)
			heard := func() spanrill.Millis { return -1 }
			if c.heard {
				heard = func() spanrill.Millis { return system.Now() + 1 }
			}
			p := New(c.mute, system, log, WithHeard(heard))
			u := table.View().ByID("e")
			p.Check(context.Background(), []*fleet.Upstream{u})
			if u.Dead() != c.dead {
				t.Errorf("dead %t, want %t", u.Dead(), c.dead)
			}
			if c.mute.asked > c.asked {
				t.Errorf("asked %d times, at most %d are needed", c.mute.asked, c.asked)
			}
		})
	}
}
