package reach

import (
	"context"
	"maps"
	"slices"
	"sync"

	"spanrill"
)

// helpBudget limits how often helpers are asked beside the direct path. Without a limit, upstreams that
// fail or are too busy to accept connections would get several times as many attempts.
type helpBudget struct {
	mu     sync.Mutex
	clock  spanrill.Clock
	tokens float64
	asOf   spanrill.Millis
}

const (
	// maxHelpTokens is the number of comparisons with a helper that may be made at once. Finding out
	// that a path is lost takes a few.
	maxHelpTokens = 10
	// helpTokensPerSecond and helpTokensPerConnection refill the budget with time and with direct
	// connections.
	helpTokensPerSecond     = 2
	helpTokensPerConnection = 0.1
)

func newHelpBudget(clock spanrill.Clock) *helpBudget {
	return &helpBudget{clock: clock, tokens: maxHelpTokens, asOf: clock.Now()}
}

// recordConnection adds what a direct connection earns.
func (b *helpBudget) recordConnection() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxHelpTokens, b.tokens+helpTokensPerConnection)
}

// take takes a token and reports whether there was one.
func (b *helpBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.tokens = min(maxHelpTokens, b.tokens+helpTokensPerSecond*float64(now-b.asOf)/float64(spanrill.Second))
	b.asOf = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// comparisons holds the comparisons that are running for each service.
type comparisons struct {
	mu      sync.Mutex
	running map[string]map[chan struct{}]bool // channels that are closed at the end, by service
}

func newComparisons() *comparisons {
	return &comparisons{running: map[string]map[chan struct{}]bool{}}
}

// begin records that a comparison begins, and returns the function that records its end.
func (c *comparisons) begin(service string) (finish func()) {
	done := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[service] == nil {
		c.running[service] = map[chan struct{}]bool{}
	}
	c.running[service][done] = true
	return func() {
		close(done)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.running[service], done)
	}
}

// await waits until the comparisons that are running for a service have ended, or the context has.
func (c *comparisons) await(ctx context.Context, service string) {
	c.mu.Lock()
	running := slices.Collect(maps.Keys(c.running[service]))
	c.mu.Unlock()
	for _, done := range running {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}
