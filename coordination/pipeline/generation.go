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
		return g.refuse(f.lastReason(), "%d chains failed, the last with: %v", g.result.attempts, f.cause)
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
