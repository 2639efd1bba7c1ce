package reach

import (
	"context"
	"maps"
	"slices"
	"sync"

	"spanrill"
)

// budget is a token bucket.
type budget struct {
	mu        sync.Mutex
	clock     spanrill.Clock
	max       float64
	perSecond float64
	tokens    float64
	asOf      spanrill.Millis
}

const (
	// maxCompareTokens is the number of comparisons with a helper that may be made at once. Finding out
	// that a path is lost takes a few. Without a limit, upstreams that fail or are too busy to accept
	// connections would get several times as many attempts.
	maxCompareTokens = 10
	// compareTokensPerSecond and compareTokensPerConnection refill that budget with time and with direct
	// connections.
	compareTokensPerSecond     = 2
	compareTokensPerConnection = 0.1
	// maxAskTokens is the number of daemons that may be asked at once without knowing whether they can
	// help: two searches. If hardly any daemon can, all others ask each other.
	maxAskTokens       = 2 * maxAsked
	askTokensPerSecond = maxAsked / 2
	// searchReserve is the number of tokens that are kept for searches while a helper is known.
	searchReserve = maxAsked
)

// newBudget returns a full budget.
func newBudget(clock spanrill.Clock, limit, perSecond float64) *budget {
	return &budget{clock: clock, max: limit, perSecond: perSecond, tokens: limit, asOf: clock.Now()}
}

// add adds tokens.
func (b *budget) add(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.max, b.tokens+tokens)
}

// take takes a token and reports whether there was one.
func (b *budget) take() bool { return b.takeAbove(0) }

// takeAbove is like take, but leaves a number of tokens.
func (b *budget) takeAbove(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refill(); b.tokens < reserve+1 {
		return false
	}
	b.tokens--
	return true
}

// has reports whether there is a token.
func (b *budget) has() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.tokens >= 1
}

// refill adds the tokens of the time that has passed. The caller holds the lock.
func (b *budget) refill() {
	now := b.clock.Now()
	b.tokens = min(b.max, b.tokens+b.perSecond*float64(now-b.asOf)/float64(spanrill.Second))
	b.asOf = now
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
