// Package retry bounds how much load retries may add.
//
// # Usage
//
//	b := retry.NewBudget()
//	b.Success()
//	if b.Take() {
//		// retry
//	}
package retry

import "sync/atomic"

// Budget lets retries be a fraction of successes, with a small reserve so that
// a quiet daemon can retry at all. It counts in thousandths.
type Budget struct {
	ratio   int64
	reserve int64
	balance atomic.Int64
}

// Option changes a default of NewBudget.
type Option func(*Budget)

// WithRatio sets the retries that a thousand successes pay for.
func WithRatio(perThousand int64) Option {
	return func(b *Budget) { b.ratio = perThousand }
}

// WithReserve sets how many retries can be saved up.
func WithReserve(n int64) Option {
	return func(b *Budget) { b.reserve = n * unit }
}

const (
	unit           = 1000
	defaultRatio   = 100
	defaultReserve = 50 * unit
)

// NewBudget returns a budget whose reserve is full.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{ratio: defaultRatio, reserve: defaultReserve}
	for _, o := range opts {
		o(b)
	}
	b.balance.Store(b.reserve)
	return b
}

// Success pays for a fraction of a retry.
func (b *Budget) Success() {
	for {
		old := b.balance.Load()
		if old >= b.reserve || b.balance.CompareAndSwap(old, min(old+b.ratio, b.reserve)) {
			return
		}
	}
}

// Take spends one retry and reports whether there was one to spend.
func (b *Budget) Take() bool {
	for {
		old := b.balance.Load()
		if old < unit {
			return false
		}
		if b.balance.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// Left returns how many retries can be spent now.
func (b *Budget) Left() int64 { return b.balance.Load() / unit }
