// Package follow tracks the changes of a collection in the platform's store.
//
// A Follower lists the collection, then watches it. If the store no longer has the history that the
// watch needs, it lists again. It passes each answer to a Sink with the time at which the call was
// sent, which bounds the age of the data.
//
// # Usage
//
//	f := follow.New(store.Collection("config"), clock, sink, follow.WithWatchTimeout(spanrill.Second))
//	err := f.Run(ctx)
package follow

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// Sink receives the data that a follower reads. Its methods are called from one goroutine.
type Sink interface {
	// HandleList applies the whole collection as of a revision of the store.
	HandleList(items []spanrill.Item, revision uint64, sentAt spanrill.Millis)
	// HandleChanges applies the changes up to a revision of the store. There may be none.
	HandleChanges(changes []spanrill.Change, revision uint64, sentAt spanrill.Millis)
}

// Follower tracks the changes of one collection.
type Follower struct {
	source           spanrill.Collection
	clock            spanrill.Clock
	sink             Sink
	log              logrus.FieldLogger
	name             string
	running          spanrill.RunningTime
	watchTimeout     spanrill.Millis
	batchDelay       spanrill.Millis
	pollDelay        func() spanrill.Millis
	jitter           func() float64
	knownRevision    func() uint64
	maxRetryDelay    func() spanrill.Millis // longest pause between failed calls
	firstCallTimeout func() spanrill.Millis // of a watch that follows a successful call, or nil
	listDelay        func() spanrill.Millis // 0 once the collection may be listed
	wake             chan struct{}          // ends the pause between two calls
	primary          *Follower              // finds the store again after an outage, or nil

	revision     uint64
	listed       bool
	relisting    bool // the store no longer had the history to watch
	outageLogged bool
	failures     int             // failed calls since the last success
	watchedAt    spanrill.Millis // when the last watch was sent, or spanrill.Never

	failing         atomic.Bool  // the last call failed
	unansweredSince atomic.Int64 // when the first call since the last answer was sent, or answered
}

// answered is the value of unansweredSince if the store has answered the last call.
const answered = -1

// StoreSilentFor returns the time since the first call that the store has not answered, without stalls of
// this process, or 0 if it has answered the last one. It is safe for concurrent use.
func (f *Follower) StoreSilentFor() spanrill.Millis {
	since := f.unansweredSince.Load()
	if since == answered {
		return 0
	}
	return f.running.Since(spanrill.Millis(since))
}

// Option changes a default of New.
type Option func(*Follower)

// WithWatchTimeout sets how long a watch waits for changes.
func WithWatchTimeout(d spanrill.Millis) Option {
	return func(f *Follower) { f.watchTimeout = d }
}

// WithBatchDelay sets a pause after each call that returned changes, so that changes in quick
// succession are fetched by one call.
func WithBatchDelay(d spanrill.Millis) Option {
	return func(f *Follower) { f.batchDelay = d }
}

// WithPollDelay makes the follower poll for changes, instead of waiting for them, each time that
// delay returns 0. Otherwise the follower pauses for that time and calls delay again.
func WithPollDelay(delay func() spanrill.Millis) Option {
	return func(f *Follower) { f.pollDelay, f.watchTimeout = delay, 0 }
}

// WithKnownRevision sets a function that returns the revision up to which the sink has all data
// from another source, so that the follower does not request it again.
func WithKnownRevision(revision func() uint64) Option {
	return func(f *Follower) { f.knownRevision = revision }
}

// WithListDelay makes the follower list the collection for the first time only once delay returns
// 0, and not at all if the sink has it from another source by then. Otherwise the follower pauses
// for that time and calls delay again.
func WithListDelay(delay func() spanrill.Millis) Option {
	return func(f *Follower) { f.listDelay = delay }
}

// WithPrimary sets another follower of the same store as this one's primary. In an outage only the
// primary calls the store: a follower whose last call failed makes no call as long as those of the
// primary fail too.
//
// In an outage of 8 s a daemon makes 19 to 22 calls if both followers call, and 10 to 13 with a
// primary; the second collection is then read at most 40 ms after the first one
// (TestPrimaryReducesCallsInOutage).
func WithPrimary(primary *Follower) Option {
	return func(f *Follower) { f.primary = primary }
}

// WithMaxRetryDelay sets a function that returns the longest pause between failed calls. In a large
// fleet it may be long, since not every daemon has to notice at once that the store answers again.
func WithMaxRetryDelay(delay func() spanrill.Millis) Option {
	return func(f *Follower) { f.maxRetryDelay = delay }
}

// WithFirstCallTimeout sets a function that returns the timeout of a watch that follows a
// successful call. Its connection may have gone silent, and the timeout leaves time for a second
// call. A watch after a failed call has only the source's own timeout, since the source may just be
// slow.
func WithFirstCallTimeout(timeout func() spanrill.Millis) Option {
	return func(f *Follower) { f.firstCallTimeout = timeout }
}

// WithRunningTime sets what tells for how long this process has run, so that an answer that it has not
// read yet does not count as missing.
func WithRunningTime(r spanrill.RunningTime) Option {
	return func(f *Follower) { f.running = r }
}

// WithLogger sets the logger for events, and the name of the collection in them.
func WithLogger(log logrus.FieldLogger, name string) Option {
	return func(f *Follower) { f.log, f.name = log, name }
}

// WithJitter sets a source of numbers from 0 to 1 that randomizes the pauses between retries.
func WithJitter(jitter func() float64) Option {
	return func(f *Follower) { f.jitter = jitter }
}

const (
	// defaultWatchTimeout is the longest watch that the store allows.
	defaultWatchTimeout = 30 * spanrill.Second
	// maxRetryDoublings bounds how often the pause between failed calls doubles.
	maxRetryDoublings = 4
	// InitialRetryDelay is the pause after the first failed call: 25 times the store's usual
	// response time, so that a store that answers again is found at once.
	InitialRetryDelay spanrill.Millis = 100
	// primaryCheckInterval is the pause between checks whether the primary's calls still fail.
	primaryCheckInterval spanrill.Millis = 20
	// minPollInterval is the least time between two polls, for a sink that an answer does not satisfy.
	minPollInterval spanrill.Millis = 250
	// MaxRetryDelay bounds the pause between failed calls. It is a fraction of the age that the
	// configuration may have for requests with a key.
	MaxRetryDelay spanrill.Millis = 400
)

// New returns a follower that has not read anything yet.
func New(source spanrill.Collection, clock spanrill.Clock, sink Sink, opts ...Option) *Follower {
	f := &Follower{
		source: source, clock: clock, sink: sink, log: logrus.StandardLogger(),
		watchTimeout: defaultWatchTimeout, jitter: func() float64 { return 0 }, knownRevision: func() uint64 { return 0 },
		maxRetryDelay: func() spanrill.Millis { return MaxRetryDelay },
		listDelay:     func() spanrill.Millis { return 0 },
		wake:          make(chan struct{}, 1), watchedAt: spanrill.Never, running: spanrill.NeverStalled{Clock: clock},
	}
	f.unansweredSince.Store(answered)
	for _, o := range opts {
		o(f)
	}
	return f
}

// Run follows the collection until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := f.Step(ctx)
		if pause <= 0 {
			continue
		}
		f.pause(ctx, pause)
	}
	return ctx.Err()
}

// pause waits for d. After a successful call, Wake ends it.
func (f *Follower) pause(ctx context.Context, d spanrill.Millis) {
	wake := f.wake
	if f.failures > 0 {
		wake = nil
	}
	select {
	case <-ctx.Done():
	case <-wake:
	case <-f.clock.After(d):
	}
}

// Wake makes the follower check at once whether a call is due. It has no effect on the pause after a
// failed call, and it is safe for concurrent use.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default: // it is already awake
	}
}

// Step makes one call and returns how long to pause before the next.
func (f *Follower) Step(ctx context.Context) spanrill.Millis {
	if !f.listed && f.failures == 0 && !f.relisting {
		if pause := f.initialDelay(); pause > 0 {
			return pause
		}
	}
	if f.pollDelay != nil && f.listed {
		pause := f.pollDelay()
		if f.failures == 0 {
			pause = max(pause, f.watchedAt+minPollInterval-f.clock.Now())
		}
		if pause > 0 {
			return pause
		}
	}
	if f.failures > 0 && f.primary != nil && f.primary.failing.Load() {
		return primaryCheckInterval
	}
	sentAt := f.clock.Now()
	f.unansweredSince.CompareAndSwap(answered, int64(sentAt))
	changed, err := f.makeCall(ctx, sentAt)
	if errors.Is(err, spanrill.ErrHistoryGone) {
		f.unansweredSince.Store(answered) // this error is an answer of the store
		events.HistoryGone.Log(f.log, logrus.Fields{"collection": f.name, "after": f.revision})
		f.listed, f.relisting = false, true
		return 0
	}
	if err != nil {
		return f.recordFailure(ctx, err)
	}
	f.unansweredSince.Store(answered)
	if f.outageLogged {
		f.outageLogged = false
		events.PlatformRecovered.Log(f.log, logrus.Fields{"collection": f.name, "tries": f.failures})
	}
	f.failures = 0
	f.failing.Store(false)
	if changed {
		return f.batchDelay
	}
	return 0
}

// initialDelay returns how long to wait before the first list. If the sink has the collection from
// another source, the follower skips the list and watches from that revision.
func (f *Follower) initialDelay() spanrill.Millis {
	if revision := f.knownRevision(); revision > 0 {
		f.revision, f.listed = revision, true
		return 0
	}
	return f.listDelay()
}

// makeCall lists or watches once. A watch that follows a successful call has the timeout
// firstCallTimeout.
func (f *Follower) makeCall(ctx context.Context, sentAt spanrill.Millis) (changed bool, err error) {
	if !f.listed {
		return false, f.list(ctx, sentAt)
	}
	if f.firstCallTimeout != nil && f.failures == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.firstCallTimeout().Duration())
		defer cancel()
	}
	return f.watch(ctx, sentAt)
}

func (f *Follower) list(ctx context.Context, sentAt spanrill.Millis) error {
	known := f.knownRevision()
	items, revision, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	if err := checkNotBehind(revision, known); err != nil {
		return fmt.Errorf("list %s: %w", f.name, err)
	}
	f.revision, f.listed = revision, true
	f.sink.HandleList(items, revision, sentAt)
	return nil
}

func (f *Follower) watch(ctx context.Context, sentAt spanrill.Millis) (changed bool, err error) {
	f.revision, f.watchedAt = max(f.revision, f.knownRevision()), sentAt
	changes, revision, err := f.source.Watch(ctx, f.revision, f.watchTimeout)
	if err != nil {
		return false, err
	}
	if err := checkNotBehind(revision, f.revision); err != nil {
		return false, fmt.Errorf("watch %s: %w", f.name, err)
	}
	f.revision = max(f.revision, revision)
	f.sink.HandleChanges(changes, revision, sentAt)
	return len(changes) > 0, nil
}

// errBehind means that an answer is older than what was known when it was requested.
var errBehind = errors.New("answer of the store is out of date")

// checkNotBehind returns an error if an answer of the store as of a revision is older than a revision of
// the same era that was known before.
func checkNotBehind(revision, known uint64) error {
	if revision < known && spanrill.EraOf(revision) == spanrill.EraOf(known) {
		return fmt.Errorf("revision %d, %d is known: %w", revision, known, errBehind)
	}
	return nil
}

// recordFailure counts and logs a failed call, and returns the pause before the next one. A call
// that failed because ctx ended does not count.
func (f *Follower) recordFailure(ctx context.Context, err error) spanrill.Millis {
	if ctx.Err() != nil {
		return 0
	}
	f.failures++
	f.failing.Store(true)
	if !f.outageLogged {
		f.outageLogged = true
		events.PlatformLost.Log(f.log, logrus.Fields{"collection": f.name, "error": err})
	}
	pause := min(f.maxRetryDelay(), InitialRetryDelay<<min(f.failures-1, maxRetryDoublings))
	return pause/2 + spanrill.Millis(float64(pause)*f.jitter()/2)
}
