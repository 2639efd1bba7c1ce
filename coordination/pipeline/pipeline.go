// Package pipeline runs a generation over chains of engines until its answer
// is whole.
//
// The daemon gives the first engine the whole chain, and engines pass
// activations to one another. Each token comes back with the layers that ran
// for it, and is delivered only if they are all layers of the model, once and
// in order, and if the token is the next one.
//
// When a stage fails, the generation goes on on another chain from the last
// token that was delivered, with the same seed, so that the caller's text has
// no gap and no repeat. Retries draw on a budget.
//
// # Usage
//
//	runner := pipeline.New(engines, table, router, pipeline.WithMeters(m))
//	result, refusal := runner.Run(ctx, &pipeline.Request{...}, sink)
package pipeline

import (
	"context"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/coordination/routing"
	"spanrill/meter"
	"spanrill/state/load"
)

// Request is a generation that a caller asked for.
type Request struct {
	ID        string
	Path      string // the caller's path, which decides the shape of Body
	Body      []byte // the caller's body, untouched
	Key       load.ModelKey
	Layers    int
	Seed      uint64
	Priority  int
	MaxTokens int
}

// Sink receives the tokens of an answer in order.
type Sink interface {
	// Token takes the next token. An error means that the caller has left.
	Token(ev *spanrill.RunEvent) error
}

// Result describes an answer that is whole.
type Result struct {
	finish       spanrill.Finish
	promptTokens int
	cachedTokens int
	tokens       int
	attempts     int
	chain        []spanrill.StageRef
}

// Finish returns why the generation ended.
func (r *Result) Finish() spanrill.Finish { return r.finish }

// PromptTokens returns the tokens of the prompt.
func (r *Result) PromptTokens() int { return r.promptTokens }

// CachedTokens returns the tokens of the prompt that were taken from caches.
func (r *Result) CachedTokens() int { return r.cachedTokens }

// Tokens returns the tokens generated.
func (r *Result) Tokens() int { return r.tokens }

// Attempts returns how many chains the answer took.
func (r *Result) Attempts() int { return r.attempts }

// Chain returns the last chain.
func (r *Result) Chain() []spanrill.StageRef { return r.chain }

// Runner runs generations.
type Runner struct {
	engines    spanrill.Engines
	table      *load.Table
	router     *routing.Router
	clock      spanrill.Clock
	log        logrus.FieldLogger
	meters     *meter.Meters
	budget     *retry.Budget
	affinity   *Affinity
	onFailure  func(*load.Upstream)
	firstWait  spanrill.Millis
	tokenWait  spanrill.Millis
	maxAttempt int
}

// Option changes a default of New.
type Option func(*Runner)

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) Option {
	return func(r *Runner) { r.log = log }
}

// WithMeters sets the counters.
func WithMeters(m *meter.Meters) Option {
	return func(r *Runner) { r.meters = m }
}

// WithBudget sets what retries draw on.
func WithBudget(b *retry.Budget) Option {
	return func(r *Runner) { r.budget = b }
}

// WithOnFailure sets what is called when an upstream has failed a request.
func WithOnFailure(f func(*load.Upstream)) Option {
	return func(r *Runner) { r.onFailure = f }
}

// WithWaits sets how long the first and each later token may take.
func WithWaits(first, later spanrill.Millis) Option {
	return func(r *Runner) { r.firstWait, r.tokenWait = first, later }
}

const (
	defaultFirstWait   = 5 * spanrill.Second
	defaultTokenWait   = 2 * spanrill.Second
	defaultMaxAttempts = 5
)

// New returns a runner.
func New(engines spanrill.Engines, table *load.Table, router *routing.Router, clock spanrill.Clock, opts ...Option) *Runner {
	r := &Runner{
		engines: engines, table: table, router: router, clock: clock,
		log: logrus.StandardLogger(), meters: meter.New(), budget: retry.NewBudget(),
		affinity:  NewAffinity(clock),
		onFailure: func(*load.Upstream) {},
		firstWait: defaultFirstWait, tokenWait: defaultTokenWait, maxAttempt: defaultMaxAttempts,
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run delivers a whole answer to the sink, or returns why it cannot.
func (r *Runner) Run(ctx context.Context, req *Request, sink Sink) (*Result, *spanrill.Refusal) {
	g := &generation{runner: r, req: req, sink: sink, ctx: ctx, result: &Result{}}
	return g.run()
}
