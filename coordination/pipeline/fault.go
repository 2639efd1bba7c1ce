package pipeline

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/state/load"
	"spanrill/task"
)

// fault is a failed attempt.
type fault struct {
	cause  error
	reason meter.Retry
	at     *load.Upstream // the stage at fault
	chain  []*load.Upstream
}

// lastReason is the reason of a refusal after the last attempt.
func (f *fault) lastReason() spanrill.Reason {
	if f.reason == meter.RetryRefused {
		return spanrill.ReasonUpstreamRefused
	}
	return spanrill.ReasonUpstreamFailed
}

// blame keeps the stage at fault out of further attempts.
func (g *generation) blame(f *fault) {
	if f.reason == meter.RetryStalled {
		g.blameStalled(f)
		return
	}
	if f.at == nil {
		return
	}
	g.failed = append(g.failed, f.at)
	var refusal *spanrill.RunError
	if errors.As(f.cause, &refusal) && refusal.Code == spanrill.CodeLeaving {
		g.runner.table.Refused(f.at.Name())
		return
	}
	if f.reason == meter.RetryRefused {
		return
	}
	g.eject(f.at, f.cause)
}

func (g *generation) eject(u *load.Upstream, cause error) {
	if u.Fail(g.runner.clock.Now()) {
		g.runner.onFailure(u)
		events.UpstreamEjected.Log(g.runner.log, logrus.Fields{"upstream": u.Name(), "cause": cause})
	}
}

// probeLimit bounds how long a stage of a stalled chain may take to answer.
const probeLimit = 250 * spanrill.Millis(1)

// blameStalled asks the stages of a stalled chain for their reports. One that
// does not answer is at fault. If all answer, it may be a link between them,
// and the next chain avoids them all where it can.
func (g *generation) blameStalled(f *fault) {
	var tasks task.Group
	silent := make([]bool, len(f.chain))
	ctx, cancel := context.WithTimeout(g.ctx, probeLimit.Duration())
	defer cancel()
	for i, u := range f.chain {
		tasks.Start(ctx, "probe", func(ctx context.Context) error {
			_, err := g.runner.engines.Status(ctx, u.Addr())
			silent[i] = err != nil
			return nil
		})
	}
	_ = tasks.Wait()
	found := false
	for i, u := range f.chain {
		if silent[i] {
			found = true
			g.failed = append(g.failed, u)
			g.eject(u, f.cause)
		}
	}
	if !found {
		g.suspects = append(g.suspects, f.chain...)
	}
}

// startFault explains why a run did not start.
func (g *generation) startFault(chain []*load.Upstream, err error) *fault {
	f := &fault{cause: err, reason: meter.RetryStageLost, at: chain[0]}
	var call *spanrill.CallError
	if !errors.As(err, &call) {
		g.worked = true
		return f
	}
	switch call.Phase {
	case spanrill.PhaseDial:
		f.reason = meter.RetryDial
	case spanrill.PhaseRefused:
		g.refusedBy(f, chain)
	}
	if call.Outcome() != spanrill.OutcomeNotRun {
		g.worked = true
	}
	return f
}

// refusedBy finds the stage that refused or could not be reached.
func (g *generation) refusedBy(f *fault, chain []*load.Upstream) {
	var refusal *spanrill.RunError
	if !errors.As(f.cause, &refusal) {
		return
	}
	if u := stageNamed(chain, refusal.Engine); u != nil {
		f.at = u
	}
	f.reason = meter.RetryRefused
	if refusal.Code == spanrill.CodeStageLost {
		f.reason = meter.RetryStageLost
	}
}

func stageNamed(chain []*load.Upstream, name string) *load.Upstream {
	for _, u := range chain {
		if u.Name() == name {
			return u
		}
	}
	return nil
}

func (g *generation) streamFault(chain []*load.Upstream, err error) *fault {
	switch {
	case errors.Is(err, io.EOF):
		return &fault{cause: errCut, reason: meter.RetryCut, at: chain[0]}
	case errors.Is(err, spanrill.ErrStalled):
		return &fault{cause: err, reason: meter.RetryStalled, chain: chain}
	}
	return &fault{cause: fmt.Errorf("read stream: %w", err), reason: meter.RetryStageLost, at: chain[0]}
}

func (g *generation) reportedFault(chain []*load.Upstream, reported *spanrill.RunError) *fault {
	f := &fault{cause: reported, reason: meter.RetryStageLost, at: stageNamed(chain, reported.Engine)}
	if reported.Code == spanrill.CodeBusy || reported.Code == spanrill.CodeLeaving {
		f.reason = meter.RetryRefused
	}
	return f
}

// liar returns the stage whose proof does not match the chain, or the first.
func liar(ran []spanrill.RanRange, chain []*load.Upstream) *load.Upstream {
	for i, r := range ran {
		if i < len(chain) && (r.Engine != chain[i].Name() || r.Layers != chain[i].Layers()) {
			return chain[i]
		}
	}
	return chain[0]
}
