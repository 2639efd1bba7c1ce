package retry

import (
	"context"
	"math"

	"spanrill"
)

// Borrower asks other daemons for retries and returns how many they gave up, at most
// as many as are wanted.
type Borrower func(ctx context.Context, want float64) float64

// Use is what a retry is for.
type Use uint8

// Uses of retries, in the order in which they go short: what is saved by one.
const (
	// Running is a stream that its caller reads. Without a retry all of it is lost.
	Running Use = iota
	// Waiting is a request that an upstream may have run and whose caller has seen
	// nothing. It ends in a failure otherwise, and its caller may only repeat it
	// where that does no harm.
	Waiting
	// Refusable is a request that has not run. It can be refused truthfully, and its
	// caller may come back.
	Refusable
)

// The parts of the fleet's budget that are kept for the uses before. A tenth of a
// budget of 0.2 retries a request is one for each of 50 requests: after the loss of
// an engine in twenty about as many streams of a fleet look for another path.
const (
	keptForRunning = 0.10
	keptForWaiting = 0.15 // beside the part for running streams
)

// may reports whether a retry may go to a use while that part of the budget is free.
func (u Use) may(free float64) bool {
	switch u {
	case Running:
		return true
	case Waiting:
		return free >= keptForRunning
	}
	return free >= keptForRunning+keptForWaiting
}

// loan is an amount of retries and when it lapses.
type loan struct {
	n     float64
	until spanrill.Millis
}

const (
	// lot is how many retries are asked for: the one that is needed, and one for the
	// next stream of this daemon, which the same loss often takes.
	lot = 2.0
	// loanTime is how long a loan can be spent. It is shorter than a round of news,
	// so that a loan is spent, and told of, in the round that follows at the latest.
	loanTime spanrill.Millis = 200
	// askPause is how long nobody is asked after others had less than a retry to lend:
	// their parts grow with each round of news.
	askPause spanrill.Millis = 100
	// lateRounds is by how many rounds later than other news all have heard of a retry:
	// one that was borrowed is spent in the next round, and one question may be lost.
	lateRounds = 2
	// lateDirect is the same where daemons ask one another directly. In random fleets of 1 to
	// 9 daemons that want retries in bursts the fullest window held 1.119 of the budget when
	// all were taken to have heard at once, with the counts as they are now, and holds 0.998.
	lateDirect = 1
	// newsRound is the pause between two rounds of news.
	newsRound spanrill.Millis = 250
)

// TakeSoon is Take, and asks other daemons if there is none to spend here. A daemon's
// part of a large fleet's budget is less than the streams that it loses with one
// engine, while others have lost none.
func (s *Shared) TakeSoon(ctx context.Context, use Use) bool {
	if s.Take(use) {
		return true
	}
	if !s.allows(use) {
		return false
	}
	select {
	case s.asking <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.asking }()
	if s.Take(use) { // of what the one before has borrowed
		return true
	}
	s.ask(ctx)
	return s.Take(use)
}

// Reach reports whether a retry can be had, here or from other daemons.
func (s *Shared) Reach(ctx context.Context, use Use) bool {
	if !s.allows(use) {
		return false
	}
	if s.Left() < 1 {
		s.ask(ctx)
	}
	return s.Left() >= 1
}

// ask asks other daemons, unless they had nothing to lend a moment ago.
func (s *Shared) ask(ctx context.Context) {
	if s.pausing() {
		return
	}
	n := s.borrower(ctx, lot)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if n < 1 {
		s.askAt = now + askPause
	}
	if n > 0 {
		s.borrowed = append(s.borrowed, loan{n: min(n, lot), until: now + loanTime})
	}
}

func (s *Shared) pausing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() < s.askAt
}

func (s *Shared) allows(use Use) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return use.may(s.free)
}

// Lend gives up to that many retries of this daemon's part to another one, and returns
// how many. What makes no sense is lent nothing.
func (s *Shared) Lend(want float64) float64 {
	if math.IsNaN(want) || want <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(want, lot, s.left)
	if n <= 0 || !s.fleet.Settled {
		return 0
	}
	s.give(n)
	return n
}

// give takes retries off this daemon's part. The caller holds the lock.
func (s *Shared) give(n float64) {
	s.left = max(0, s.left-n)
	late := lateRounds
	if s.fleet.Rounds == 1 {
		late = lateDirect
	}
	heard := newsRound * spanrill.Millis(s.fleet.Rounds+late)
	s.unheard = append(s.unheard, loan{n: n, until: s.clock.Now() + heard})
}

// spend takes one retry from what is borrowed, then from this daemon's part. The
// caller holds the lock.
func (s *Shared) spend() bool {
	if s.left+s.stillBorrowed() < 1 {
		return false
	}
	need := 1.0
	for i := range s.borrowed {
		n := min(need, s.borrowed[i].n)
		s.borrowed[i].n -= n
		need -= n
	}
	s.give(need)
	return true
}

// stillBorrowed is what can be spent of loans. The caller holds the lock.
func (s *Shared) stillBorrowed() (n float64) {
	s.borrowed, n = current(s.borrowed, s.clock.Now())
	return n
}

// current returns the loans that have not lapsed, and their sum.
func current(loans []loan, now spanrill.Millis) (kept []loan, sum float64) {
	kept = loans[:0]
	for _, l := range loans {
		if now < l.until {
			kept = append(kept, l)
			sum += l.n
		}
	}
	return kept, sum
}
