// Package turn lets the goroutines of requests run in small batches.
//
// The Go scheduler has no priorities: a goroutine that becomes ready to run waits for all that became
// ready before it. When thousands of requests become ready at once, each step of the work that keeps a
// daemon up to date would wait for seconds. Requests therefore pass a Gate before work that takes
// processor time. It lets through a batch of them, then waits until all goroutines that are ready to run
// have run, and lets through the next batch. While there is processor time for all, nobody waits.
//
// # Usage
//
//	g := turn.New()
//	go g.Run(ctx)
//	g.Pass() // by the goroutine of a request
package turn

import (
	"context"
	"runtime"
	"sync"
)

// Gate lets goroutines pass in batches. It is safe for concurrent use.
type Gate struct {
	yield func()
	wake  chan struct{} // a batch is full
	done  chan struct{}

	mu      sync.Mutex
	open    bool            // Run does not run: nobody waits
	left    int             // how many more may pass in this batch
	waiting []chan struct{} // in the order of their arrival
}

// Option changes a default of New.
type Option func(*Gate)

// WithYield sets the function that returns once the goroutines that were ready to run before have run.
func WithYield(yield func()) Option {
	return func(g *Gate) { g.yield = yield }
}

// batchSize is how many goroutines pass before all others that are ready have run.
const batchSize = 32

// New returns a Gate at which nobody waits until Run is called.
func New(opts ...Option) *Gate {
	g := &Gate{yield: runtime.Gosched, wake: make(chan struct{}, 1), done: make(chan struct{}), open: true}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Run lets through one batch after another until the context ends, then all that wait.
func (g *Gate) Run(ctx context.Context) error {
	defer close(g.done)
	g.setOpen(false)
	defer g.setOpen(true)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.wake:
		}
		for more := true; more; {
			g.yield()
			more = g.beginBatch()
		}
	}
}

// Done returns a channel that is closed when Run has ended.
func (g *Gate) Done() <-chan struct{} { return g.done }

// Pass returns when the goroutine that calls it may go on with work that takes processor time.
func (g *Gate) Pass() {
	g.mu.Lock()
	if g.open || g.left > 0 {
		g.take()
		g.mu.Unlock()
		return
	}
	turn := make(chan struct{})
	g.waiting = append(g.waiting, turn)
	g.mu.Unlock()
	<-turn
}

// Waiting returns how many goroutines wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// take counts one that passes, and has the next batch begun after the last of this one. The caller holds
// the lock.
func (g *Gate) take() {
	if g.left--; g.left == 0 {
		select {
		case g.wake <- struct{}{}:
		default: // Run is awake
		}
	}
}

// beginBatch lets the first of those that wait pass. It reports false if nobody has waited, so that the
// batch goes to whoever comes.
func (g *Gate) beginBatch() (waited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	passing := min(batchSize, len(g.waiting))
	for _, turn := range g.waiting[:passing] {
		close(turn)
	}
	g.waiting = g.waiting[passing:]
	if len(g.waiting) == 0 {
		g.waiting = nil
	}
	g.left = batchSize - passing
	return passing > 0
}

// setOpen begins or ends the batches. Whoever waits at the end passes.
func (g *Gate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open, g.left = open, batchSize
	if !open {
		return
	}
	for _, turn := range g.waiting {
		close(turn)
	}
	g.waiting = nil
}
