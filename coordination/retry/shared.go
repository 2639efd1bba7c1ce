package retry

import (
	"context"
	"sync"

	"spanrill"
)

// SharedBudget is the retry budget of a service over all daemons of a fleet.
//
// In any window the retries of all daemons together are limited to a ratio of the requests plus
// a slack. The daemons exchange their counts in rounds. In each round a daemon may spend an equal
// share of the unspent budget; a daemon that needs more borrows from others (loan.go). A daemon
// whose counts are unknown is assumed to have spent its whole share.
type SharedBudget struct {
	mu     sync.Mutex
	clock  spanrill.Clock
	limits Limits

	own             window
	others          Count // of the other daemons whose counts are known, in the window
	fleet           Fleet
	unspentFraction float64 // fraction of the budget that no daemon has spent, from 0 to 1
	remaining       float64 // of this daemon's share, until the next round

	borrower     Borrower
	borrowToken  chan struct{}   // holds a token while a goroutine borrows
	nextBorrowAt spanrill.Millis // no borrowing before this time
	borrowed     []loan          // from other daemons
	unreported   []loan          // spent or lent from this daemon's share, and not yet known to all others
}

// Fleet describes the daemons of the fleet as known in a round.
type Fleet struct {
	Known    int // daemons whose counts are known, including this one
	Daemons  int
	Rounds   int  // until the counts of every daemon have arrived once
	Complete bool // whether Daemons is known to include all daemons
}

// Limits is the size of a retry budget.
type Limits struct {
	Ratio  float64 // retries per request
	Slack  float64 // additional retries per window
	Window spanrill.Millis
}

// Count is the requests and retries in a window.
type Count struct {
	Requests int64
	Retries  int64
	Recent   int64 // requests in the last recentBuckets complete buckets
}

// maxCount bounds the counts accepted from other daemons: many times those of the largest supported
// fleet.
const maxCount = 1e9

// clamped returns the count limited to possible values, because invalid ones would change what this
// daemon may spend.
func (c Count) clamped() Count {
	return Count{
		Requests: min(max(0, c.Requests), maxCount), Retries: min(max(0, c.Retries), maxCount),
		Recent: min(max(0, c.Recent), maxCount),
	}
}

// margin is the fraction of the budget that is used. The rest is needed because the windows of the
// daemons do not start at the same time, and because the counts of a daemon are lost when it dies.
// In random fleets with delayed and lost messages, at most 0.998 of the budget was spent in
// a window: 1,200 fleets of 1 to 100 daemons with bursts of retries, and 120 of up to 400 with
// constant demand, in a third of which one daemon in fifty was replaced in each window. With a
// margin of 0.97 and buckets of twice the length it was 1.063.
const margin = 0.95

// ownEarnings returns what this daemon may spend while the number of daemons is unknown: the ratio
// of its own requests, and an equal share of the slack in a large fleet.
func (s *SharedBudget) ownEarnings(own Count) float64 {
	return margin*(s.limits.Ratio*float64(own.Requests)+s.limits.Slack/assumedDaemons) - float64(own.Retries)
}

// assumedDaemons is the number of daemons assumed until it is known: more than the 350 of the
// largest supported fleet.
const assumedDaemons = 400

// SharedBudgetOption changes a default of NewSharedBudget.
type SharedBudgetOption func(*SharedBudget)

// WithBorrower sets the function that borrows retries from other daemons.
func WithBorrower(b Borrower) SharedBudgetOption {
	return func(s *SharedBudget) { s.borrower = b }
}

// NewSharedBudget returns a budget for a fleet of that many daemons.
func NewSharedBudget(clock spanrill.Clock, limits Limits, daemons int, opts ...SharedBudgetOption) *SharedBudget {
	s := &SharedBudget{
		clock: clock, limits: limits, fleet: Fleet{Known: 1, Daemons: max(1, daemons), Rounds: 1}, unspentFraction: 1,
		borrower: func(context.Context, float64) float64 { return 0 }, borrowToken: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(s)
	}
	s.own.width = limits.Window / buckets
	s.remaining = s.ownEarnings(Count{})
	return s
}

// share returns the part of the unspent budget that this daemon may spend, and the unspent fraction
// of the whole budget, from 0 to 1.
func (s *SharedBudget) share(own Count) (share, unspentFraction float64) {
	requests := float64(own.Requests + s.others.Requests)
	total := margin * (s.limits.Ratio*requests + s.limits.Slack)
	unknown := max(0, s.fleet.Daemons-s.fleet.Known)
	spent := float64(own.Retries+s.others.Retries) + float64(unknown)*total/float64(s.fleet.Daemons)
	unspent := max(0, total-spent)
	return unspent / float64(s.fleet.Daemons), unspent / max(1, total)
}

// StartRound sets the counts of the other daemons and starts a new round.
//
// What other daemons have spent since their counts were sent is unknown. Therefore, what a daemon
// spends or lends counts against its share until all others must have received its counts.
// A daemon that does not know the number of daemons, because the fleet has just started, may spend
// only what its own requests allow, which is safe for any number, and lends nothing.
func (s *SharedBudget) StartRound(others Count, fleet Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fleet.Daemons, fleet.Rounds = max(1, fleet.Daemons), max(1, fleet.Rounds)
	s.others, s.fleet = others.clamped(), fleet
	now := s.clock.Now()
	own := s.own.count(now)
	if !fleet.Complete {
		s.remaining = max(0, s.ownEarnings(own))
		return
	}
	var share, unreportedAmount float64
	share, s.unspentFraction = s.share(own)
	s.unreported, unreportedAmount = unexpired(s.unreported, now)
	s.remaining = max(0, share-unreportedAmount)
}

// OwnCount returns the counts of this daemon in the window.
func (s *SharedBudget) OwnCount() Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.count(s.clock.Now())
}

// RecordRequest counts a request.
func (s *SharedBudget) RecordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.bucketAt(s.clock.Now()).Requests++
}

// Take consumes a retry and reports whether one was available here.
func (s *SharedBudget) Take(priority Priority) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !priority.allowedAt(s.unspentFraction) || !s.spend() {
		return false
	}
	s.own.bucketAt(s.clock.Now()).Retries++
	return true
}

// Remaining returns how many retries are available until the next round, without borrowing more.
func (s *SharedBudget) Remaining() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remaining + s.borrowedAmount()
}

// buckets is the number of buckets in a window. The shorter the buckets, the fewer requests of
// the window are omitted, and the fewer retries before it are counted. A tenth of the daemons of
// a large fleet got 0.839 of the budget with 40 buckets and 0.827 with 20, as the mean of 120
// random fleets.
const buckets = 40

// recentBuckets is the number of buckets over which the current request rate is computed: few
// enough to show a burst of some seconds, and enough for an error below a twentieth at 300 requests
// per second.
const recentBuckets = 8

// window is a sliding window of counts. It counts requests over at most its length, and retries
// over at least its length. Counting the requests of one more bucket would allow too many retries:
// a single daemon spent 1.037 of its budget when it used all available retries at once.
type window struct {
	width         spanrill.Millis
	counts        [buckets + 1]Count           // including a partial one
	bucketNumbers [buckets + 1]spanrill.Millis // time of each bucket, in units of width
}

func (w *window) bucketAt(now spanrill.Millis) *Count {
	n := now / max(1, w.width)
	i := n % (buckets + 1)
	if w.bucketNumbers[i] != n {
		w.bucketNumbers[i], w.counts[i] = n, Count{}
	}
	return &w.counts[i]
}

func (w *window) count(now spanrill.Millis) Count {
	n := now / max(1, w.width)
	var c Count
	for i, number := range w.bucketNumbers {
		if n-number < buckets {
			c.Requests += w.counts[i].Requests
		}
		if n-number <= buckets {
			c.Retries += w.counts[i].Retries
		}
		if age := n - number; age >= 1 && age <= recentBuckets {
			c.Recent += w.counts[i].Requests
		}
	}
	return c
}

// Budgets holds the retry budgets of all services.
type Budgets struct {
	mu       sync.Mutex
	clock    spanrill.Clock
	limits   Limits
	daemons  int
	borrow   func(ctx context.Context, service string, want float64) float64
	fleet    Fleet            // in the last round
	others   map[string]Count // by service, in the last round
	services map[string]*SharedBudget
}

// BudgetsOption changes a default of NewBudgets.
type BudgetsOption func(*Budgets)

// WithBorrow sets the function that borrows retries of a service from other daemons.
func WithBorrow(borrow func(ctx context.Context, service string, want float64) float64) BudgetsOption {
	return func(b *Budgets) { b.borrow = borrow }
}

// NewBudgets returns budgets for a fleet of that many daemons.
func NewBudgets(clock spanrill.Clock, limits Limits, daemons int, opts ...BudgetsOption) *Budgets {
	b := &Budgets{
		clock: clock, limits: limits, daemons: daemons, services: map[string]*SharedBudget{},
		borrow: func(context.Context, string, float64) float64 { return 0 },
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *SharedBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		s = NewSharedBudget(b.clock, b.limits, b.daemons, WithBorrower(func(ctx context.Context, want float64) float64 {
			return b.borrow(ctx, service, want)
		}))
		if b.fleet.Complete {
			s.StartRound(b.others[service], b.fleet)
		}
		b.services[service] = s
	}
	return s
}

// Lend gives retries of a service to another daemon, and returns how many. They are deducted from
// this daemon's share.
func (b *Budgets) Lend(service string, want float64) float64 {
	b.mu.Lock()
	s := b.services[service]
	b.mu.Unlock()
	if s == nil {
		return 0 // no budget for this service exists here
	}
	return s.Lend(want)
}

// Demand returns the requests per second of all daemons whose counts are known, by service.
func (b *Budgets) Demand() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	demand := make(map[string]float64, len(b.services))
	for name, s := range b.services {
		demand[name] = s.requestRate()
	}
	return demand
}

// requestRate returns the requests per second of all daemons whose counts are known.
func (s *SharedBudget) requestRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.own.count(s.clock.Now()).Recent + s.others.Recent
	return float64(recent) / (recentBuckets * float64(s.own.width) / float64(spanrill.Second))
}

// OwnCounts returns the counts of this daemon, by service.
func (b *Budgets) OwnCounts() map[string]Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[string]Count, len(b.services))
	for name, s := range b.services {
		own[name] = s.OwnCount()
	}
	return own
}

// StartRound sets the counts of the other daemons, by service, and starts a new round.
func (b *Budgets) StartRound(others map[string]Count, fleet Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons, b.fleet, b.others = fleet.Daemons, fleet, others
	for name, s := range b.services {
		s.StartRound(others[name], fleet)
	}
}
