// Package pipeline runs a generation over chains of engines until its answer is complete.
//
// The daemon sends the chain to its first engine, and engines pass activations to one another.
// Each token comes back with the layers that ran for it. It is delivered only if it is the next
// token and every layer of the model ran once and in order.
//
// When a stage fails, the generation continues on another chain after the last delivered token,
// with the same seed, so that the caller's text has no gap and no repetition. A budget limits the
// retries.
//
// # Usage
//
//	runner := pipeline.New(engines, table, router, clock, pipeline.WithMeters(m))
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

// Request is a generation that a caller requests.
type Request struct {
	ID        string
	Path      string // the caller's path, which determines the format of Body
	Body      []byte // the caller's body, unchanged
	Key       load.ModelKey
	Layers    int
	Seed      uint64
	Priority  int
	MaxTokens int
}

// Sink receives the tokens of an answer in order.
type Sink interface {
	// Token receives the next token. An error means that the caller has left.
	Token(ev *spanrill.RunEvent) error
}

// Result describes a complete answer.
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

// PromptTokens returns the number of tokens of the prompt.
func (r *Result) PromptTokens() int { return r.promptTokens }

// CachedTokens returns the number of tokens of the prompt that engines had cached.
func (r *Result) CachedTokens() int { return r.cachedTokens }

// Tokens returns the number of generated tokens.
func (r *Result) Tokens() int { return r.tokens }

// Attempts returns how many chains were tried, including the one that completed the answer.
func (r *Result) Attempts() int { return r.attempts }

// Chain returns the chain that completed the answer.
func (r *Result) Chain() []spanrill.StageRef { return r.chain }

// Runner runs generations and retries them on other chains.
type Runner struct {
	engines           spanrill.Engines
	table             *load.Table
	router            *routing.Router
	clock             spanrill.Clock
	log               logrus.FieldLogger
	meters            *meter.Meters
	budget            *retry.Budget
	affinity          *Affinity
	onEjection        func(*load.Upstream)
	firstTokenTimeout spanrill.Millis
	tokenTimeout      spanrill.Millis
	maxAttempts       int
}

// Option changes a default of New.
type Option func(*Runner)

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(r *Runner) { r.log = log }
}

// WithMeters sets the metrics to update.
func WithMeters(m *meter.Meters) Option {
	return func(r *Runner) { r.meters = m }
}

// WithBudget sets the budget that limits retries.
func WithBudget(b *retry.Budget) Option {
	return func(r *Runner) { r.budget = b }
}

// WithOnEjection sets a function to call when an upstream is ejected because it failed a request.
func WithOnEjection(f func(*load.Upstream)) Option {
	return func(r *Runner) { r.onEjection = f }
}

// WithTokenTimeouts sets how long the first and each later token may take.
func WithTokenTimeouts(first, later spanrill.Millis) Option {
	return func(r *Runner) { r.firstTokenTimeout, r.tokenTimeout = first, later }
}

const (
	defaultFirstTokenTimeout = 5 * spanrill.Second
	defaultTokenTimeout      = 2 * spanrill.Second
	defaultMaxAttempts       = 5
)

// New returns a runner.
func New(engines spanrill.Engines, table *load.Table, router *routing.Router, clock spanrill.Clock, opts ...Option) *Runner {
	r := &Runner{
		engines: engines, table: table, router: router, clock: clock,
		log: logrus.StandardLogger(), meters: meter.New(), budget: retry.NewBudget(),
		affinity:          NewAffinity(clock),
		onEjection:        func(*load.Upstream) {},
		firstTokenTimeout: defaultFirstTokenTimeout, tokenTimeout: defaultTokenTimeout, maxAttempts: defaultMaxAttempts,
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run delivers the answer to the sink and returns a description of it, or the refusal if it
// cannot be completed.
func (r *Runner) Run(ctx context.Context, req *Request, sink Sink) (*Result, *spanrill.Refusal) {
	g := &generation{runner: r, req: req, sink: sink, ctx: ctx, result: &Result{}}
	return g.run()
}
