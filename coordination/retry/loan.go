package retry

import (
	"context"
	"math"

	"spanrill"
)

// Borrower asks other daemons for retries and returns how many they lent, at most as many as are
// wanted.
type Borrower func(ctx context.Context, want float64) float64

// Priority decides which retries are still allowed when little of the budget is unspent.
type Priority uint8

// Priorities of retries, the highest first. They depend on what is lost without the retry.
const (
	// PriorityRunning is for a stream that its caller is reading. Without a retry all of it is lost.
	PriorityRunning Priority = iota
	// PriorityWaiting is for a request that an upstream may have run and whose caller has received
	// nothing. Without a retry it fails, and its caller may repeat it only if it is idempotent.
	PriorityWaiting
	// PriorityRefusable is for a request that has not run. It can be refused with that outcome, and
	// its caller may repeat it.
	PriorityRefusable
)

// Fractions of the fleet's budget reserved for higher priorities. A tenth of a budget of 0.2 retries
// per request is one retry for 50 requests: after the loss of one engine in twenty, about that many
// streams of the fleet need another path.
const (
	reservedForRunning = 0.10
	reservedForWaiting = 0.15 // in addition to reservedForRunning
)

// allowedAt reports whether a retry of this priority is allowed when the given fraction of the
// budget is unspent.
func (p Priority) allowedAt(unspentFraction float64) bool {
	switch p {
	case PriorityRunning:
		return true
	case PriorityWaiting:
		return unspentFraction >= reservedForRunning
	}
	return unspentFraction >= reservedForRunning+reservedForWaiting
}

// loan is an amount of retries that expires: borrowed, or deducted and not yet known to all others.
type loan struct {
	amount    float64
	expiresAt spanrill.Millis
}

const (
	// loanSize is the number of retries to borrow: the one that is needed, and one for the next
	// stream of this daemon, because the loss of an engine often affects several.
	loanSize = 2.0
	// loanLifetime is how long a loan can be spent. It is shorter than a round, so that a loan is
	// spent, and appears in this daemon's counts, in the following round at the latest.
	loanLifetime spanrill.Millis = 200
	// borrowRetryDelay is how long this daemon does not borrow again after the others lent less than
	// one retry. Their shares are renewed in each round.
	borrowRetryDelay spanrill.Millis = 100
	// extraRounds is how many rounds a retry may take to reach all daemons in addition to
	// Fleet.Rounds: a borrowed retry may be spent in the next round, and one message may be lost.
	extraRounds = 2
	// extraRoundsDirect is the same for fleets in which all daemons poll each other directly. With 0,
	// random fleets of 1 to 9 daemons with bursts of retries used up to 1.119 of the budget in
	// a window; with 1 they used up to 0.998.
	extraRoundsDirect = 1
	// roundInterval is the interval between rounds.
	roundInterval spanrill.Millis = 250
)

// TakeOrBorrow is like Take, but borrows from other daemons if no retry is available here. In
// a large fleet the share of a daemon is smaller than the number of streams that it loses with one
// engine, while other daemons may have lost none.
func (s *SharedBudget) TakeOrBorrow(ctx context.Context, priority Priority) bool {
	if s.Take(priority) {
		return true
	}
	if !s.allows(priority) {
		return false
	}
	select {
	case s.borrowToken <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.borrowToken }()
	if s.Take(priority) { // the previous caller may have borrowed enough
		return true
	}
	s.borrow(ctx)
	return s.Take(priority)
}

// Available reports whether a retry is available, here or from other daemons.
func (s *SharedBudget) Available(ctx context.Context, priority Priority) bool {
	if !s.allows(priority) {
		return false
	}
	if s.Remaining() < 1 {
		s.borrow(ctx)
	}
	return s.Remaining() >= 1
}

// borrow borrows retries from other daemons, unless they had too few to lend within
// borrowRetryDelay.
func (s *SharedBudget) borrow(ctx context.Context) {
	if s.borrowPaused() {
		return
	}
	n := s.borrower(ctx, loanSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if n < 1 {
		s.nextBorrowAt = now + borrowRetryDelay
	}
	if n > 0 {
		s.borrowed = append(s.borrowed, loan{amount: min(n, loanSize), expiresAt: now + loanLifetime})
	}
}

func (s *SharedBudget) borrowPaused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() < s.nextBorrowAt
}

func (s *SharedBudget) allows(priority Priority) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return priority.allowedAt(s.unspentFraction)
}

// Lend gives retries of this daemon's share to another daemon, and returns how many. For an invalid
// amount it returns 0.
func (s *SharedBudget) Lend(want float64) float64 {
	if math.IsNaN(want) || want <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(want, loanSize, s.remaining)
	if n <= 0 || !s.fleet.Complete {
		return 0
	}
	s.deduct(n)
	return n
}

// deduct subtracts retries from this daemon's share. They count against it until all other daemons
// have received this daemon's counts. The caller holds the lock.
func (s *SharedBudget) deduct(n float64) {
	s.remaining = max(0, s.remaining-n)
	extra := extraRounds
	if s.fleet.Rounds == 1 {
		extra = extraRoundsDirect
	}
	delay := roundInterval * spanrill.Millis(s.fleet.Rounds+extra)
	s.unreported = append(s.unreported, loan{amount: n, expiresAt: s.clock.Now() + delay})
}

// spend takes one retry from the borrowed ones, then from this daemon's share, and reports whether
// one was available. The caller holds the lock.
func (s *SharedBudget) spend() bool {
	if s.remaining+s.borrowedAmount() < 1 {
		return false
	}
	owed := 1.0
	for i := range s.borrowed {
		n := min(owed, s.borrowed[i].amount)
		s.borrowed[i].amount -= n
		owed -= n
	}
	s.deduct(owed)
	return true
}

// borrowedAmount returns the amount of unexpired loans. The caller holds the lock.
func (s *SharedBudget) borrowedAmount() (n float64) {
	s.borrowed, n = unexpired(s.borrowed, s.clock.Now())
	return n
}

// unexpired returns the loans that have not expired, and their sum.
func unexpired(loans []loan, now spanrill.Millis) (kept []loan, sum float64) {
	kept = loans[:0]
	for _, l := range loans {
		if now < l.expiresAt {
			kept = append(kept, l)
			sum += l.amount
		}
	}
	return kept, sum
}
