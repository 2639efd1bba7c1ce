// Package lease gives a duty to one daemon at a time, without a service of our
// own: a lease is an object of the platform.
//
// The object names the holder and a term that only rises. A daemon takes a
// lease by a conditional update, and counts its time from before that write was
// sent, by its own monotonic clock. Another daemon may take it over once it has
// seen the object unchanged for the whole time of the lease and some more, by
// its own clock, so that no two clocks are ever compared.
//
// A holder that is frozen finds its lease lapsed when it is thawed, if it looks
// before it acts. It can be frozen between the look and the act; therefore each
// order carries the term, and an upstream that checks fences refuses a lower
// one. For an upstream that does not, see Settled.
//
// # Usage
//
//	l := lease.New(store, clock, "placement/quebec", "entry-1")
//	err := l.Run(ctx)
//	if term, ok := l.Held(); ok { ... }
package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// record is a lease as the platform stores it.
type record struct {
	Holder string          `json:"holder"` // empty: handed back
	Term   uint64          `json:"term"`
	Time   spanrill.Millis `json:"time"`  // how long it holds from each write
	Beat   uint64          `json:"beat"`  // rises with each renewal
	Write  string          `json:"write"` // id of the last write
}

// Lease is one daemon's view of one lease.
type Lease struct {
	store    spanrill.ObjectStore
	clock    spanrill.Clock
	log      logrus.FieldLogger
	duty     string
	holder   string
	time     spanrill.Millis
	contends func() bool
	yields   func() bool
	era      func() uint64

	mu      sync.Mutex
	term    uint64          // the term held, or 0
	since   spanrill.Millis // when the term began
	until   spanrill.Millis // when the lease lapses
	seen    spanrill.Version
	seenAt  spanrill.Millis // when the object was first seen at that version
	current record
	writes  uint64
	heard   spanrill.Version // what the holder has said of its lease
	lapses  spanrill.Millis  // when that lease lapses at the latest
	restore restoreState
}

// Option changes a default of New.
type Option func(*Lease)

// WithTime sets how long the lease holds from each write.
func WithTime(d spanrill.Millis) Option {
	return func(l *Lease) { l.time = d }
}

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) Option {
	return func(l *Lease) { l.log = log }
}

// WithContends sets whether this daemon tries to take the lease. In a large
// fleet only a few do, to spare the platform's reads.
func WithContends(contends func() bool) Option {
	return func(l *Lease) { l.contends = contends }
}

// WithYields sets whether this daemon hands the lease back to others that are fitter.
func WithYields(yields func() bool) Option {
	return func(l *Lease) { l.yields = yields }
}

// WithEra sets the source of the store's era, which increases each time the store is restored
// from an older copy.
func WithEra(era func() uint64) Option {
	return func(l *Lease) { l.era = era }
}

const (
	defaultTime = 15 * spanrill.Second
	// renewals is how often a lease is renewed within its time.
	renewals = 3
	// margin is the part of the time by which a contender waits longer than
	// the holder counts.
	margin = 4
	// handBackLimit bounds the write that hands a lease back.
	handBackLimit = 2 * spanrill.Second
)

// New returns a lease that is not held.
func New(store spanrill.ObjectStore, clock spanrill.Clock, duty, holder string, opts ...Option) *Lease {
	l := &Lease{
		store: store, clock: clock, log: logrus.StandardLogger(), duty: duty, holder: holder,
		time: defaultTime, contends: func() bool { return true },
		yields: func() bool { return false }, era: func() uint64 { return 0 },
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Duty returns the lease's name.
func (l *Lease) Duty() string { return l.duty }

func (l *Lease) key() string { return "leases/" + l.duty }

// Held returns the term if the lease is held now. Its caller looks before each
// act.
func (l *Lease) Held() (term uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 || l.clock.Now() >= l.until {
		return 0, false
	}
	return l.term, true
}

// Left returns the version of a lease that is held, and how long it holds from
// now, for other daemons.
func (l *Lease) Left() (v spanrill.Version, left spanrill.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left = l.until - l.clock.Now()
	if l.term == 0 || left <= 0 {
		return "", 0
	}
	return l.seen, left
}

// Heard takes a holder's own word for how long its lease holds. When it has
// lapsed and was not renewed since, this daemon need not watch it for its whole
// time first.
func (l *Lease) Heard(v spanrill.Version, left spanrill.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard, l.lapses = v, l.clock.Now()+left+left/margin
}

// Settled reports whether the lease has been held for longer than an order of
// the holder before can take. Orders to an upstream that does not check fences
// wait for it.
func (l *Lease) Settled(longest spanrill.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return l.term != 0 && now < l.until && now >= l.since+longest
}

// Run takes and renews the lease until the context ends, then hands it back.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		switch {
		case l.holds() && l.yields():
			l.handBack()
		case l.contends() || l.holds():
			l.Step(ctx)
		}
		select {
		case <-ctx.Done():
		case <-l.clock.After(l.time / renewals):
		}
	}
	l.handBack()
	return ctx.Err()
}

func (l *Lease) holds() bool {
	_, ok := l.Held()
	return ok
}

// Step renews the lease, or takes it if it is free. An error of the platform
// changes nothing: a lease that cannot be renewed lapses.
func (l *Lease) Step(ctx context.Context) {
	if l.renew(ctx) {
		return
	}
	obj, err := l.store.Get(ctx, l.key())
	if errors.Is(err, spanrill.ErrNotFound) {
		obj, err = spanrill.Object{}, nil
	}
	if err != nil {
		l.noteLapse()
		return
	}
	var r record
	if obj.Version != "" && json.Unmarshal(obj.Value, &r) != nil {
		return
	}
	l.noteLapse()
	if !l.mayWrite(r, obj.Version) {
		return
	}
	l.write(ctx, r, obj.Version)
}

// renew writes a lease that is held without reading it first, and reports
// whether that has worked.
func (l *Lease) renew(ctx context.Context) bool {
	l.mu.Lock()
	held := l.term != 0 && l.clock.Now() < l.until && l.current.Holder == l.holder && l.current.Term == l.term
	r, v := l.current, l.seen
	l.mu.Unlock()
	if !held {
		return false
	}
	until := l.untilNow()
	l.write(ctx, r, v)
	return l.untilNow() > until
}

func (l *Lease) untilNow() spanrill.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until
}

// mayWrite reports whether the lease is this daemon's to renew or to take.
func (l *Lease) mayWrite(r record, v spanrill.Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.noteRestore(r, v, now)
	if v != l.seen {
		l.seen, l.seenAt = v, now
	}
	l.current = r
	if l.term != 0 && l.term == r.Term && r.Holder == l.holder {
		return true
	}
	if l.restore.noticedAt > 0 && now-l.restore.noticedAt <= l.time+l.time/margin {
		return l.term != 0 && now < l.until // another daemon may hold a lease that the store has lost
	}
	if v == "" || r.Holder == "" {
		return true
	}
	if v == l.heard && now > l.lapses {
		return true
	}
	return now-l.seenAt > r.Time+r.Time/margin
}

func (l *Lease) write(ctx context.Context, r record, v spanrill.Version) {
	sent := l.clock.Now()
	next := l.next(r)
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	version, err := l.store.Put(ctx, l.key(), value, v)
	if errors.Is(err, spanrill.ErrUncertain) {
		version, err = l.settle(ctx, next)
	}
	if err != nil {
		return
	}
	l.take(next, version, sent)
}

// next returns the record of a renewal, or of a new term.
func (l *Lease) next(r record) record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes++
	n := record{Holder: l.holder, Term: r.Term, Time: l.time, Beat: r.Beat + 1}
	n.Write = fmt.Sprintf("%s/%d/%d", l.holder, l.clock.Unix(), l.writes)
	if l.term == 0 || l.term != r.Term || r.Holder != l.holder {
		n.Term = l.nextTerm(r.Term)
	}
	return n
}

// settle finds out whether a write whose answer was lost took effect.
func (l *Lease) settle(ctx context.Context, wrote record) (spanrill.Version, error) {
	obj, err := l.store.Get(ctx, l.key())
	if err != nil {
		return "", fmt.Errorf("settle lease: %w", err)
	}
	var r record
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return "", fmt.Errorf("settle lease: %w", err)
	}
	if r.Write != wrote.Write {
		return "", spanrill.ErrConflict
	}
	return obj.Version, nil
}

// take notes a write that took effect. The lease holds from before it was sent.
func (l *Lease) take(r record, v spanrill.Version, sent spanrill.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != r.Term {
		l.since = l.clock.Now()
		events.LeaseTaken.Log(l.log, logrus.Fields{"duty": l.duty, "term": r.Term})
	}
	l.term, l.until = r.Term, sent+r.Time
	l.restore.highestTerm = max(l.restore.highestTerm, r.Term)
	l.seen, l.seenAt, l.current = v, sent, r
}

// noteLapse gives up a term whose time is over.
func (l *Lease) noteLapse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != 0 && l.clock.Now() >= l.until {
		events.LeaseLost.Log(l.log, logrus.Fields{"duty": l.duty, "term": l.term})
		l.term = 0
	}
}

// GiveUp drops the lease after an upstream has shown that a newer term exists.
func (l *Lease) GiveUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = l.clock.Now()
}

// handBack lets another daemon take the lease at once.
func (l *Lease) handBack() {
	term, ok := l.Held()
	if !ok {
		return
	}
	l.mu.Lock()
	free, v := l.current, l.seen
	l.term = 0
	l.mu.Unlock()
	free.Holder = ""
	value, err := json.Marshal(free)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handBackLimit.Duration())
	defer cancel()
	if _, err := l.store.Put(ctx, l.key(), value, v); err == nil {
		events.LeaseHanded.Log(l.log, logrus.Fields{"duty": l.duty, "term": term})
	}
}
