// Package lease gives a named lease to at most one daemon at a time. A lease is an object in the
// platform's store, so that no separate lock service is needed.
//
// The object contains the holder and a term that only increases. A daemon acquires or renews
// a lease by a conditional update, and counts its duration from before that write was sent, by
// its own monotonic clock. Another daemon may acquire it once it has seen the object unchanged
// for the duration of the lease plus a margin, by its own clock. Clocks of different daemons are
// never compared.
//
// A holder must call Held before each action, so that it notices when its lease expired while it
// was frozen. It can also be frozen between that call and the action. Therefore each order carries
// the term as a fencing token, and an upstream that checks these tokens refuses a lower term. For
// an upstream that does not check them, see HeldFor.
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

// record is a lease as stored in the platform.
type record struct {
	Holder   string          `json:"holder"` // empty if handed back
	Term     uint64          `json:"term"`
	Duration spanrill.Millis `json:"time"` // validity from each write
	// Beat increases with each write that takes or renews the lease, but not when it is handed back.
	Beat  uint64 `json:"beat"`
	Write string `json:"write"` // id of the last write
}

// Lease is a daemon's view of a lease.
type Lease struct {
	store       spanrill.ObjectStore
	clock       spanrill.Clock
	log         logrus.FieldLogger
	name        string
	holder      string
	duration    spanrill.Millis
	isCandidate func() bool
	shouldYield func() bool
	era         func() uint64

	mu              sync.Mutex
	term            uint64          // term held, or 0
	acquiredAt      spanrill.Millis // when the term began
	expiresAt       spanrill.Millis // when the held lease expires
	seenVersion     spanrill.Version
	seenAt          spanrill.Millis // when that version was first seen
	current         record
	writes          uint64
	reportedVersion spanrill.Version // version that RecordExpiry was called with
	reportedExpiry  spanrill.Millis  // latest expiry of that version, with the margin
	restore         restoreState
}

// Option changes a default of New.
type Option func(*Lease)

// WithDuration sets how long the lease is valid from each write.
func WithDuration(d spanrill.Millis) Option {
	return func(l *Lease) { l.duration = d }
}

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(l *Lease) { l.log = log }
}

// WithCandidate sets the function that reports whether this daemon tries to acquire the lease. In
// a large fleet only a few daemons do, to limit reads of the platform's store.
func WithCandidate(isCandidate func() bool) Option {
	return func(l *Lease) { l.isCandidate = isCandidate }
}

// WithYield sets the function that reports whether this daemon hands the lease back because other
// daemons are better suited.
func WithYield(shouldYield func() bool) Option {
	return func(l *Lease) { l.shouldYield = shouldYield }
}

// WithEra sets the source of the store's era, which increases each time the store is restored
// from an older copy.
func WithEra(era func() uint64) Option {
	return func(l *Lease) { l.era = era }
}

const (
	defaultDuration = 15 * spanrill.Second
	// renewalsPerDuration is how often a lease is renewed within its duration.
	renewalsPerDuration = 3
	// marginDivisor sets the margin: other daemons wait longer than the holder by the duration
	// divided by marginDivisor.
	marginDivisor = 4
	// handBackTimeout is the timeout of the write that hands a lease back.
	handBackTimeout = 2 * spanrill.Second
)

// New returns a lease that is not held.
func New(store spanrill.ObjectStore, clock spanrill.Clock, name, holder string, opts ...Option) *Lease {
	l := &Lease{
		store: store, clock: clock, log: logrus.StandardLogger(), name: name, holder: holder,
		duration: defaultDuration, isCandidate: func() bool { return true },
		shouldYield: func() bool { return false }, era: func() uint64 { return 0 },
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Name returns the name of the lease, which orders and log events call its duty.
func (l *Lease) Name() string { return l.name }

func (l *Lease) key() string { return "leases/" + l.name }

// Held returns the term if this daemon holds the lease now. Callers must check it before each
// action.
func (l *Lease) Held() (term uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 || l.clock.Now() >= l.expiresAt {
		return 0, false
	}
	return l.term, true
}

// Remaining returns the version of a lease that this daemon holds, and how long it remains valid,
// to be sent to other daemons. If the lease is not held, it returns an empty version.
func (l *Lease) Remaining() (v spanrill.Version, left spanrill.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left = l.expiresAt - l.clock.Now()
	if l.term == 0 || left <= 0 {
		return "", 0
	}
	return l.seenVersion, left
}

// RecordExpiry records how long a lease remains valid according to its holder. Once that time and
// the margin have passed without a new version, this daemon may acquire the lease without seeing
// it unchanged for its whole duration first.
func (l *Lease) RecordExpiry(v spanrill.Version, left spanrill.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedVersion, l.reportedExpiry = v, l.clock.Now()+left+left/marginDivisor
}

// HeldFor reports whether this daemon holds the lease and acquired it at least d ago. Before it
// sends orders to an upstream that does not check fencing tokens, a holder waits for the longest
// time that an order of the previous holder can take.
func (l *Lease) HeldFor(d spanrill.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return l.term != 0 && now < l.expiresAt && now >= l.acquiredAt+d
}

// Run acquires and renews the lease until the context ends, then hands it back.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		switch {
		case l.holds() && l.shouldYield():
			l.handBack()
		case l.isCandidate() || l.holds():
			l.RenewOrAcquire(ctx)
		}
		select {
		case <-ctx.Done():
		case <-l.clock.After(l.duration / renewalsPerDuration):
		}
	}
	l.handBack()
	return ctx.Err()
}

func (l *Lease) holds() bool {
	_, ok := l.Held()
	return ok
}

// RenewOrAcquire renews the lease, or acquires it if it is free. After an error of the platform
// the lease remains as it is, and expires unless a later call succeeds.
func (l *Lease) RenewOrAcquire(ctx context.Context) {
	if l.renew(ctx) {
		return
	}
	obj, err := l.store.Get(ctx, l.key())
	if errors.Is(err, spanrill.ErrNotFound) {
		obj, err = spanrill.Object{}, nil
	}
	if err != nil {
		l.dropIfExpired()
		return
	}
	var r record
	if obj.Version != "" && json.Unmarshal(obj.Value, &r) != nil {
		return
	}
	l.dropIfExpired()
	if !l.mayWrite(r, obj.Version) {
		return
	}
	l.write(ctx, r, obj.Version)
}

// renew renews a lease that is held, without reading it first, and reports whether it succeeded.
func (l *Lease) renew(ctx context.Context) bool {
	l.mu.Lock()
	held := l.term != 0 && l.clock.Now() < l.expiresAt && l.current.Holder == l.holder && l.current.Term == l.term
	r, v := l.current, l.seenVersion
	l.mu.Unlock()
	if !held {
		return false
	}
	oldExpiry := l.expiry()
	l.write(ctx, r, v)
	return l.expiry() > oldExpiry
}

func (l *Lease) expiry() spanrill.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expiresAt
}

// mayWrite reports whether this daemon may renew or acquire the lease.
func (l *Lease) mayWrite(r record, v spanrill.Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.detectRestore(r, v, now)
	if v != l.seenVersion {
		l.seenVersion, l.seenAt = v, now
	}
	l.current = r
	if l.term != 0 && l.term == r.Term && r.Holder == l.holder {
		return true
	}
	if l.restore.detectedAt > 0 && now-l.restore.detectedAt <= l.duration+l.duration/marginDivisor {
		return l.term != 0 && now < l.expiresAt // another daemon may hold a lease that the restored store lacks
	}
	if v == "" || r.Holder == "" {
		return true
	}
	if v == l.reportedVersion && now > l.reportedExpiry {
		return true
	}
	return now-l.seenAt > r.Duration+r.Duration/marginDivisor
}

func (l *Lease) write(ctx context.Context, r record, v spanrill.Version) {
	sentAt := l.clock.Now()
	next := l.nextRecord(r)
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	version, err := l.store.Put(ctx, l.key(), value, v)
	if errors.Is(err, spanrill.ErrUncertain) {
		version, err = l.resolveUncertainWrite(ctx, next)
	}
	if err != nil {
		return
	}
	l.recordWrite(next, version, sentAt)
}

// nextRecord returns the record for a renewal, or for a new term.
func (l *Lease) nextRecord(r record) record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes++
	n := record{Holder: l.holder, Term: r.Term, Duration: l.duration, Beat: r.Beat + 1}
	n.Write = fmt.Sprintf("%s/%d/%d", l.holder, l.clock.Unix(), l.writes)
	if l.term == 0 || l.term != r.Term || r.Holder != l.holder {
		n.Term = l.nextTerm(r.Term)
	}
	return n
}

// resolveUncertainWrite reads the lease to determine whether a write without an answer took
// effect.
func (l *Lease) resolveUncertainWrite(ctx context.Context, written record) (spanrill.Version, error) {
	obj, err := l.store.Get(ctx, l.key())
	if err != nil {
		return "", fmt.Errorf("read lease after uncertain write: %w", err)
	}
	var r record
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return "", fmt.Errorf("decode lease after uncertain write: %w", err)
	}
	if r.Write != written.Write {
		return "", spanrill.ErrConflict
	}
	return obj.Version, nil
}

// recordWrite records a write that took effect. The lease is valid from when the write was sent.
func (l *Lease) recordWrite(r record, v spanrill.Version, sentAt spanrill.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != r.Term {
		l.acquiredAt = l.clock.Now()
		events.LeaseAcquired.Log(l.log, logrus.Fields{"duty": l.name, "term": r.Term})
	}
	l.term, l.expiresAt = r.Term, sentAt+r.Duration
	l.restore.highestTerm = max(l.restore.highestTerm, r.Term)
	l.seenVersion, l.seenAt, l.current = v, sentAt, r
}

// dropIfExpired clears the term and logs the loss if the held lease has expired.
func (l *Lease) dropIfExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != 0 && l.clock.Now() >= l.expiresAt {
		events.LeaseLost.Log(l.log, logrus.Fields{"duty": l.name, "term": l.term})
		l.term = 0
	}
}

// Invalidate makes the lease expire now. It is called when an upstream reports a newer term.
func (l *Lease) Invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiresAt = l.clock.Now()
}

// handBack clears the holder in the store, so that another daemon can acquire the lease at once.
func (l *Lease) handBack() {
	term, ok := l.Held()
	if !ok {
		return
	}
	l.mu.Lock()
	handedBack, v := l.current, l.seenVersion
	l.term = 0
	l.mu.Unlock()
	handedBack.Holder = ""
	value, err := json.Marshal(handedBack)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handBackTimeout.Duration())
	defer cancel()
	if _, err := l.store.Put(ctx, l.key(), value, v); err == nil {
		events.LeaseHandedBack.Log(l.log, logrus.Fields{"duty": l.name, "term": term})
	}
}
