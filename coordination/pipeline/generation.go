package pipeline

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/routing"
	"spanrill/events"
	"spanrill/meter"
	"spanrill/state/load"
)

// generation is the state of one request over all its attempts.
type generation struct {
	runner     *Runner
	req        *Request
	sink       Sink
	ctx        context.Context
	result     *Result
	generated  []uint32         // tokens delivered to the sink
	failed     []*load.Upstream // upstreams that have failed or refused this request
	avoid      []*load.Upstream // stages of stalled chains whose faulty stage is not known
	started    spanrill.Millis
	mayHaveRun bool // an engine may have run the request
}

// Causes of a failure. After errCallerLeft, there is no further attempt.
var (
	errCallerLeft  = errors.New("caller left")
	errStreamEnded = errors.New("stream ended before the answer was complete")
)

func (g *generation) run() (*Result, *spanrill.Refusal) {
	g.started = g.runner.clock.Now()
	for {
		chain, ok := g.chooseChain()
		if !ok {
			return nil, g.refuse(spanrill.ReasonNoChain, "no chain of engines covers all layers of %s", g.req.Key.Model)
		}
		g.result.attempts++
		f := g.attempt(chain)
		if f == nil {
			g.runner.budget.RecordSuccess()
			return g.result, nil
		}
		if refusal := g.afterFailure(f); refusal != nil {
			return nil, refusal
		}
	}
}

// inlineStages is the number of stages up to which chooseChain allocates only once.
const inlineStages = 8

func (g *generation) chooseChain() ([]*load.Upstream, bool) {
	q := &routing.Query{Layers: g.req.Layers, Exclude: g.failed, Avoid: g.avoid}
	q.Prefer, q.SavedShare = g.runner.affinity.Lookup(g.req.Body)
	index := g.runner.table.View().Model(g.req.Key)
	return g.runner.router.Choose(index, q, make([]*load.Upstream, 0, inlineStages))
}

// afterFailure returns the refusal that ends the request after a failed attempt, or nil if the
// request is to be tried again. A further attempt is taken from the budget.
func (g *generation) afterFailure(f *failure) *spanrill.Refusal {
	if errors.Is(f.cause, errCallerLeft) || g.ctx.Err() != nil {
		g.runner.meters.CallersLeft.Inc()
		return g.refuse(spanrill.ReasonUpstreamFailed, "caller left")
	}
	g.excludeFailed(f)
	switch {
	case g.result.attempts >= g.runner.maxAttempts:
		return g.refuse(f.refusalReason(), "%d chains failed, the last with: %v", g.result.attempts, f.cause)
	case !g.runner.budget.Take():
		return g.refuse(spanrill.ReasonRetryBudget, "the chain failed and the retry budget is spent: %v", f.cause)
	}
	g.runner.meters.CountRetry(f.reason)
	if len(g.generated) > 0 {
		g.runner.meters.StreamsResumed.Inc()
		events.StreamResumed.Log(g.runner.log, logrus.Fields{
			"request": g.req.ID, "after_token": len(g.generated), "cause": f.cause,
		})
	}
	return nil
}

// refuse returns a refusal. Its outcome is unknown if an engine may have run the request.
func (g *generation) refuse(reason spanrill.Reason, format string, args ...any) *spanrill.Refusal {
	refusal := spanrill.NewRefusal(reason, format, args...).WithRetryAfter(spanrill.Second)
	if g.mayHaveRun {
		return refusal.WithOutcome(spanrill.OutcomeUnknown)
	}
	return refusal
}

func (g *generation) attempt(chain []*load.Upstream) *failure {
	for _, u := range chain {
		u.Begin()
		defer u.End()
	}
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	run := g.newRunRequest(chain)
	timer := time.AfterFunc(g.runner.firstTokenTimeout.Duration(), cancel)
	stream, err := g.runner.engines.Run(ctx, run)
	beforeTimeout := timer.Stop()
	if err != nil && !beforeTimeout {
		g.mayHaveRun = true
		return &failure{cause: spanrill.ErrStalled, reason: meter.RetryStalled, chain: chain}
	}
	if err != nil {
		return g.startFailure(chain, err)
	}
	defer func() { _ = stream.Close() }()
	g.mayHaveRun = true
	g.result.chain = run.Chain
	return g.readStream(stream, run, chain)
}

func (g *generation) newRunRequest(chain []*load.Upstream) *spanrill.RunRequest {
	stages := make([]spanrill.StageRef, len(chain))
	for i, u := range chain {
		stages[i] = u.Stage()
	}
	return &spanrill.RunRequest{
		ID: g.req.ID + "/" + strconv.Itoa(g.result.attempts), Path: g.req.Path, Body: g.req.Body,
		Model: g.req.Key.Model, Version: g.req.Key.Version, LayerCount: g.req.Layers,
		Seed: g.req.Seed, Priority: g.req.Priority, MaxTokens: g.req.MaxTokens,
		Generated: g.generated, Chain: stages,
	}
}

// readStream delivers the tokens of a stream until the answer is complete.
func (g *generation) readStream(stream spanrill.RunStream, run *spanrill.RunRequest, chain []*load.Upstream) *failure {
	v := &verifier{layers: run.LayerCount, chain: run.Chain, next: len(g.generated)}
	timeout := g.runner.firstTokenTimeout
	lastToken := g.runner.clock.Now()
	for {
		ev, err := stream.Next(timeout)
		if err != nil {
			return g.streamFailure(chain, err)
		}
		if ev.Error != nil {
			return g.reportedFailure(chain, ev.Error)
		}
		if ev.Finish != spanrill.FinishNone {
			return g.finish(&ev, v, chain)
		}
		deliver, err := v.check(&ev)
		if err != nil {
			events.TokenRejected.Log(g.runner.log, logrus.Fields{"request": g.req.ID, "error": err})
			return &failure{cause: err, reason: meter.RetryBadToken, stage: mismatchedStage(ev.StageRuns, chain)}
		}
		if !deliver {
			continue
		}
		timeout = g.runner.tokenTimeout
		if err := g.deliver(&ev, chain, &lastToken); err != nil {
			return &failure{cause: fmt.Errorf("%w: %v", errCallerLeft, err)}
		}
	}
}

// finish checks that the stream ends directly after the last delivered token, and records the result.
func (g *generation) finish(ev *spanrill.RunEvent, v *verifier, chain []*load.Upstream) *failure {
	if ev.Index != v.next {
		err := errors.Wrapf(ErrGap, "the end is at index %d, expected %d", ev.Index, v.next)
		return &failure{cause: err, reason: meter.RetryBadToken, stage: chain[0]}
	}
	g.result.finish = ev.Finish
	g.result.tokens = len(g.generated)
	if ev.PromptTokens > 0 {
		g.result.promptTokens = ev.PromptTokens
	}
	now := g.runner.clock.Now()
	for _, u := range chain {
		u.RecordSuccess(now)
	}
	g.runner.affinity.Remember(g.req.Body, chain)
	return nil
}

func (g *generation) deliver(ev *spanrill.RunEvent, chain []*load.Upstream, lastToken *spanrill.Millis) error {
	now := g.runner.clock.Now()
	if len(g.generated) == 0 {
		g.runner.meters.TimeToFirstToken.Update((now - g.started).Duration().Seconds())
		g.result.cachedTokens = ev.CachedTokens
	} else {
		g.runner.meters.TimeBetweenTokens.Update((now - *lastToken).Duration().Seconds())
	}
	*lastToken = now
	g.result.promptTokens = ev.PromptTokens
	g.recordStageTimes(ev.StageRuns, chain, now)
	g.generated = append(g.generated, ev.Token)
	g.runner.meters.Tokens.Inc()
	return g.sink.Token(ev)
}

// recordStageTimes records the times of the stages at their upstreams. It skips the first token,
// whose times include the prompt and are not those of a step.
func (g *generation) recordStageTimes(runs []spanrill.StageRun, chain []*load.Upstream, now spanrill.Millis) {
	if len(g.generated) == 0 {
		return
	}
	for i, r := range runs {
		chain[i].RecordStep(now, r.Micros)
		chain[i].RecordLink(r.LinkMicros)
	}
}
