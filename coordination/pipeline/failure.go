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

// failure describes a failed attempt.
type failure struct {
	cause  error
	reason meter.RetryReason
	stage  *load.Upstream // the stage that failed, or nil if it is not known
	chain  []*load.Upstream
}

// refusalReason returns the reason of the refusal if this is the last attempt.
func (f *failure) refusalReason() spanrill.Reason {
	if f.reason == meter.RetryRefused {
		return spanrill.ReasonUpstreamRefused
	}
	return spanrill.ReasonUpstreamFailed
}

// excludeFailed excludes the stage that failed from further attempts, and ejects it unless it only
// refused the request. A stage that refused because it leaves is marked as leaving.
func (g *generation) excludeFailed(f *failure) {
	if f.reason == meter.RetryStalled {
		g.excludeStalled(f)
		return
	}
	if f.stage == nil {
		return
	}
	g.failed = append(g.failed, f.stage)
	var refusal *spanrill.RunError
	if errors.As(f.cause, &refusal) && refusal.Code == spanrill.CodeLeaving {
		g.runner.table.MarkLeaving(f.stage.Name())
		return
	}
	if f.reason == meter.RetryRefused {
		return
	}
	g.eject(f.stage, f.cause)
}

func (g *generation) eject(u *load.Upstream, cause error) {
	if errors.Is(cause, spanrill.ErrNoPath) {
		return // it tells of this daemon's own path only
	}
	if u.RecordFailure(g.runner.clock.Now()) {
		g.runner.onEjection(u)
		events.UpstreamEjected.Log(g.runner.log, logrus.Fields{"upstream": u.Name(), "cause": cause})
	}
}

// probeTimeout is how long a stage of a stalled chain may take to answer a status request.
const probeTimeout = 250 * spanrill.Millis(1)

// excludeStalled requests the status of each stage of a stalled chain, and excludes and ejects those
// that do not answer. If all answer, the fault may be a link between them, and further attempts
// avoid them all if they can.
func (g *generation) excludeStalled(f *failure) {
	var probes task.Group
	silent := make([]bool, len(f.chain))
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout.Duration())
	defer cancel()
	for i, u := range f.chain {
		probes.Start(ctx, "probe", func(ctx context.Context) error {
			_, err := g.runner.engines.Status(ctx, u.Addr())
			silent[i] = err != nil
			return nil
		})
	}
	_ = probes.Wait()
	anySilent := false
	for i, u := range f.chain {
		if silent[i] {
			anySilent = true
			g.failed = append(g.failed, u)
			g.eject(u, f.cause)
		}
	}
	if !anySilent {
		g.avoid = append(g.avoid, f.chain...)
	}
}

// startFailure returns the failure of a run that did not start, and records whether an engine may
// have run it.
func (g *generation) startFailure(chain []*load.Upstream, err error) *failure {
	f := &failure{cause: err, reason: meter.RetryStageLost, stage: chain[0]}
	var call *spanrill.CallError
	if !errors.As(err, &call) {
		g.mayHaveRun = true
		return f
	}
	switch call.Phase {
	case spanrill.PhaseDial:
		f.reason = meter.RetryDial
	case spanrill.PhaseRefused:
		g.attributeRefusal(f, chain)
	}
	if call.Outcome() != spanrill.OutcomeNotRun {
		g.mayHaveRun = true
	}
	return f
}

// attributeRefusal sets the reason of a refused run, and the stage that refused it or could not be
// reached.
func (g *generation) attributeRefusal(f *failure, chain []*load.Upstream) {
	var refusal *spanrill.RunError
	if !errors.As(f.cause, &refusal) {
		return
	}
	if u := findStage(chain, refusal.Engine); u != nil {
		f.stage = u
	}
	f.reason = meter.RetryRefused
	if refusal.Code == spanrill.CodeStageLost {
		f.reason = meter.RetryStageLost
	}
}

func findStage(chain []*load.Upstream, name string) *load.Upstream {
	for _, u := range chain {
		if u.Name() == name {
			return u
		}
	}
	return nil
}

// streamFailure returns the failure of a stream that could not be read to its end.
func (g *generation) streamFailure(chain []*load.Upstream, err error) *failure {
	switch {
	case errors.Is(err, io.EOF):
		return &failure{cause: errStreamEnded, reason: meter.RetryCut, stage: chain[0]}
	case errors.Is(err, spanrill.ErrStalled):
		return &failure{cause: err, reason: meter.RetryStalled, chain: chain}
	}
	return &failure{cause: fmt.Errorf("read stream: %w", err), reason: meter.RetryStageLost, stage: chain[0]}
}

// reportedFailure returns the failure that an engine has reported in the stream.
func (g *generation) reportedFailure(chain []*load.Upstream, reported *spanrill.RunError) *failure {
	f := &failure{cause: reported, reason: meter.RetryStageLost, stage: findStage(chain, reported.Engine)}
	if reported.Code == spanrill.CodeBusy || reported.Code == spanrill.CodeLeaving {
		f.reason = meter.RetryRefused
	}
	return f
}

// mismatchedStage returns the first stage whose reported engine or layers differ from the chain,
// or the first stage of the chain if none does.
func mismatchedStage(runs []spanrill.StageRun, chain []*load.Upstream) *load.Upstream {
	for i, r := range runs {
		if i < len(chain) && (r.Engine != chain[i].Name() || r.Layers != chain[i].Layers()) {
			return chain[i]
		}
	}
	return chain[0]
}
