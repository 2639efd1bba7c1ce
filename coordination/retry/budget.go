// Package retry limits the load that retries add. Budget limits the retries of a single daemon.
// SharedBudget limits those of all daemons of a fleet together, and Budgets holds one for each
// service.
//
// # Usage
//
//	b := retry.NewBudget()
//	b.RecordSuccess()
//	if b.Take() {
//		// retry
//	}
package retry

import "sync/atomic"

// Budget limits retries to a fraction of successes, plus a small reserve, so that a daemon with few
// requests can retry too. It counts in thousandths of a retry.
type Budget struct {
	ratio   int64
	reserve int64
	balance atomic.Int64
}

// Option changes a default of NewBudget.
type Option func(*Budget)

// WithRatio sets the number of retries allowed per thousand successes.
func WithRatio(perThousand int64) Option {
	return func(b *Budget) { b.ratio = perThousand }
}

// WithReserve sets the maximum number of retries that can accumulate.
func WithReserve(n int64) Option {
	return func(b *Budget) { b.reserve = n * unitsPerRetry }
}

const (
	unitsPerRetry  = 1000
	defaultRatio   = 100
	defaultReserve = 50 * unitsPerRetry
)

// NewBudget returns a budget with a full reserve.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{ratio: defaultRatio, reserve: defaultReserve}
	for _, o := range opts {
		o(b)
	}
	b.balance.Store(b.reserve)
	return b
}

// RecordSuccess adds the fraction of a retry that a success allows.
func (b *Budget) RecordSuccess() {
	for {
		old := b.balance.Load()
		if old >= b.reserve || b.balance.CompareAndSwap(old, min(old+b.ratio, b.reserve)) {
			return
		}
	}
}

// Take consumes a retry and reports whether one was available.
func (b *Budget) Take() bool {
	for {
		old := b.balance.Load()
		if old < unitsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(old, old-unitsPerRetry) {
			return true
		}
	}
}

// Remaining returns how many retries are available now.
func (b *Budget) Remaining() int64 { return b.balance.Load() / unitsPerRetry }
