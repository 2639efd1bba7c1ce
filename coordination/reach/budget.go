package reach

import (
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
