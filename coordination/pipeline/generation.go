package pipeline

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/routing"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/state/load"
	"spanrill/task"
)

// generation is one request on its way over one or more chains.
type generation struct {
	runner    *Runner
	req       *Request
	sink      Sink
	ctx       context.Context
	result    *Result
	generated []uint32         // tokens delivered
	failed    []*load.Upstream // upstreams that failed this request
	suspects  []*load.Upstream // upstreams of which one stalled, nobody knows which
	started   spanrill.Millis
	worked    bool // whether any engine may have worked for the request
}

// Errors that end a generation at once.
var (
	errCallerLeft = errors.New("caller left")
	errCut        = errors.New("stream ended before the answer was whole")
)

// fault is a failed attempt.
type fault struct {
	cause  error
	reason meter.Retry
	at     *load.Upstream // the stage at fault
	chain  []*load.Upstream
}

func (g *generation) run() (*Result, *spanrill.Refusal) {
	g.started = g.runner.clock.Now()
	for {
		chain, ok := g.choose()
		if !ok {
			return nil, g.refuse(spanrill.ReasonNoChain, "no chain of engines covers all layers of %s", g.req.Key.Model)
		}
		g.result.attempts++
		f := g.attempt(chain)
		if f == nil {
			g.runner.budget.Success()
			return g.result, nil
		}
		if refusal := g.after(f); refusal != nil {
			return nil, refusal
		}
	}
}

// maxStages bounds the stages that fit without allocation.
const maxStages = 8

func (g *generation) choose() ([]*load.Upstream, bool) {
	q := &routing.Query{Layers: g.req.Layers, Exclude: g.failed, Avoid: g.suspects}
	q.Prefer, q.Saved = g.runner.affinity.Lookup(g.req.Body)
	index := g.runner.table.View().Model(g.req.Key)
	return g.runner.router.Choose(index, q, make([]*load.Upstream, 0, maxStages))
}

// after decides what follows a failed attempt: nil means another attempt.
func (g *generation) after(f *fault) *spanrill.Refusal {
	if errors.Is(f.cause, errCallerLeft) || g.ctx.Err() != nil {
		g.runner.meters.CallersLeft.Inc()
		return g.refuse(spanrill.ReasonUpstreamFailed, "caller left")
	}
	g.blame(f)
	switch {
	case g.result.attempts >= g.runner.maxAttempt:
		return g.refuse(spanrill.ReasonUpstreamFailed, "%d chains failed, the last with: %v", g.result.attempts, f.cause)
	case !g.runner.budget.Take():
		return g.refuse(spanrill.ReasonRetryBudget, "the chain failed and the retry budget is spent: %v", f.cause)
	}
	g.runner.meters.Retried(f.reason)
	if len(g.generated) > 0 {
		g.runner.meters.Resumed.Inc()
		events.StreamResumed.Log(g.runner.log, logrus.Fields{
			"request": g.req.ID, "after_token": len(g.generated), "cause": f.cause,
		})
	}
	return nil
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

// refuse ends the request. It did not run only if no engine can have worked.
func (g *generation) refuse(reason spanrill.Reason, format string, args ...any) *spanrill.Refusal {
	refusal := spanrill.NewRefusal(reason, format, args...).WithRetryAfter(spanrill.Second)
	if g.worked {
		return refusal.WithOutcome(spanrill.OutcomeUnknown)
	}
	return refusal
}

func (g *generation) attempt(chain []*load.Upstream) *fault {
	for _, u := range chain {
		u.Begin()
		defer u.End()
	}
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	run := g.runRequest(chain)
	stalled := time.AfterFunc(g.runner.firstWait.Duration(), cancel)
	stream, err := g.runner.engines.Run(ctx, run)
	inTime := stalled.Stop()
	if err != nil && !inTime {
		g.worked = true
		return &fault{cause: spanrill.ErrStalled, reason: meter.RetryStalled, chain: chain}
	}
	if err != nil {
		return g.startFault(chain, err)
	}
	defer func() { _ = stream.Close() }()
	g.worked = true
	g.result.chain = run.Chain
	return g.read(stream, run, chain)
}

func (g *generation) runRequest(chain []*load.Upstream) *spanrill.RunRequest {
	stages := make([]spanrill.StageRef, len(chain))
	for i, u := range chain {
		stages[i] = u.Stage()
	}
	return &spanrill.RunRequest{
		ID: g.req.ID + "/" + strconv.Itoa(g.result.attempts), Path: g.req.Path, Body: g.req.Body,
		Model: g.req.Key.Model, Version: g.req.Key.Version, LayerNum: g.req.Layers,
		Seed: g.req.Seed, Priority: g.req.Priority, MaxTokens: g.req.MaxTokens,
		Generated: g.generated, Chain: stages,
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

// read delivers the stream's tokens until the answer is whole.
func (g *generation) read(stream spanrill.RunStream, run *spanrill.RunRequest, chain []*load.Upstream) *fault {
	v := &verifier{layers: run.LayerNum, chain: run.Chain, next: len(g.generated)}
	wait := g.runner.firstWait
	last := g.runner.clock.Now()
	for {
		ev, err := stream.Next(wait)
		if err != nil {
			return g.streamFault(chain, err)
		}
		if ev.Error != nil {
			return g.reportedFault(chain, ev.Error)
		}
		if ev.Finish != spanrill.FinishNone {
			return g.finish(&ev, v, chain)
		}
		deliver, err := v.check(&ev)
		if err != nil {
			events.TokenRejected.Log(g.runner.log, logrus.Fields{"request": g.req.ID, "error": err})
			return &fault{cause: err, reason: meter.RetryBadToken, at: liar(ev.Ran, chain)}
		}
		if !deliver {
			continue
		}
		wait = g.runner.tokenWait
		if err := g.deliver(&ev, chain, &last); err != nil {
			return &fault{cause: fmt.Errorf("%w: %v", errCallerLeft, err)}
		}
	}
}

// finish checks that the end comes right behind the last token.
func (g *generation) finish(ev *spanrill.RunEvent, v *verifier, chain []*load.Upstream) *fault {
	if ev.Index != v.next {
		err := errors.Wrapf(ErrGap, "the end is at index %d, expected %d", ev.Index, v.next)
		return &fault{cause: err, reason: meter.RetryBadToken, at: chain[0]}
	}
	g.result.finish = ev.Finish
	g.result.tokens = len(g.generated)
	if ev.PromptTokens > 0 {
		g.result.promptTokens = ev.PromptTokens
	}
	now := g.runner.clock.Now()
	for _, u := range chain {
		u.Succeed(now)
	}
	g.runner.affinity.Learn(g.req.Body, chain)
	return nil
}

func (g *generation) deliver(ev *spanrill.RunEvent, chain []*load.Upstream, last *spanrill.Millis) error {
	now := g.runner.clock.Now()
	if len(g.generated) == 0 {
		g.runner.meters.FirstToken.Update((now - g.started).Duration().Seconds())
		g.result.cachedTokens = ev.CachedTokens
	} else {
		g.runner.meters.BetweenTokens.Update((now - *last).Duration().Seconds())
	}
	*last = now
	g.result.promptTokens = ev.PromptTokens
	g.observe(ev.Ran, chain, now)
	g.generated = append(g.generated, ev.Token)
	g.runner.meters.Tokens.Inc()
	return g.sink.Token(ev)
}

// observe learns from the times of the stages. The first token's time includes
// the prompt, so it says nothing of a step.
func (g *generation) observe(ran []spanrill.RanRange, chain []*load.Upstream, now spanrill.Millis) {
	if len(g.generated) == 0 {
		return
	}
	for i, r := range ran {
		chain[i].Observe(now, r.Micros)
		chain[i].ObserveLink(r.Link)
	}
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
