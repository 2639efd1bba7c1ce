// Package follow keeps up with a collection of the platform's store.
//
// A Follower lists the collection, then watches it. Whenever the store has
// forgotten the history it lists again. Each answer is handed on with the time
// at which its call was sent, so that its owner knows how old the knowledge is
// at most.
//
// # Usage
//
//	f := follow.New(store.Collection("config"), clock, sink, follow.WithWait(spanrill.Second))
//	err := f.Run(ctx)
package follow

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// Sink takes what a follower learns. Its functions are called from one
// goroutine.
type Sink interface {
	// Listed takes the whole collection as it stood at a revision of the store.
	Listed(items []spanrill.Item, at uint64, sent spanrill.Millis)
	// Changed takes the changes up to a revision of the store, which may be none.
	Changed(changes []spanrill.Change, at uint64, sent spanrill.Millis)
}

// Follower keeps up with one collection.
type Follower struct {
	source spanrill.Collection
	clock  spanrill.Clock
	sink   Sink
	log    logrus.FieldLogger
	name   string
	wait   spanrill.Millis
	settle spanrill.Millis
	due    func() spanrill.Millis
	jitter func() float64
	known  func() uint64
	pause  func() spanrill.Millis // the longest between failed calls
	limit  func() spanrill.Millis // of a first call
	first  func() spanrill.Millis // until the collection is listed
	ahead  *Follower              // of the same store, or nil

	at      uint64
	listed  bool
	relists bool // the history that followed the list was gone
	lost    bool
	tries   int

	failing atomic.Bool  // the last call has failed
	askedAt atomic.Int64 // when the first call without a good answer was sent, or noCall
}

// noCall stands for a store that has answered the last call.
const noCall = -1

// Unanswered returns for how long the store has given no good answer to calls that
// were made, or 0 if it has answered the last one. Other goroutines may call it.
func (f *Follower) Unanswered() spanrill.Millis {
	since := f.askedAt.Load()
	if since == noCall {
		return 0
	}
	return f.clock.Now() - spanrill.Millis(since)
}

// Option changes a default of New.
type Option func(*Follower)

// WithWait sets how long a watch waits for changes.
func WithWait(d spanrill.Millis) Option {
	return func(f *Follower) { f.wait = d }
}

// WithSettle sets a pause after changes have come, so that changes that come
// in quick succession are fetched by one call.
func WithSettle(d spanrill.Millis) Option {
	return func(f *Follower) { f.settle = d }
}

// WithDue makes the follower ask for changes without waiting for them, each time
// that due returns 0. Until then it is asked again after what it returns.
func WithDue(due func() spanrill.Millis) Option {
	return func(f *Follower) { f.due, f.wait = due, 0 }
}

// WithAt sets where the revision is read up to which the sink knows everything
// from elsewhere, so that it is not asked for again.
func WithAt(at func() uint64) Option {
	return func(f *Follower) { f.known = at }
}

// WithFirst makes the follower list the collection only once first returns 0, and not
// at all if the sink knows it from elsewhere by then. Until then it is asked again after
// what it returns.
func WithFirst(first func() spanrill.Millis) Option {
	return func(f *Follower) { f.first = first }
}

// WithBehind makes a follower whose last call has failed leave it to another one of the
// same store to find it again, as long as that one's calls fail too: one call asks for
// both.
//
// In an outage of 8 s a daemon makes 19 to 22 calls when both ask, and 10 to 13 when one
// does; the second collection is known 40 ms after the first one at most
// (TestOneFollowerFindsTheStore).
func WithBehind(ahead *Follower) Option {
	return func(f *Follower) { f.ahead = ahead }
}

// WithLongestPause sets where the longest pause between failed calls is read: in a
// large fleet not every daemon needs to find a store at once that has come back.
func WithLongestPause(pause func() spanrill.Millis) Option {
	return func(f *Follower) { f.pause = pause }
}

// WithLimit sets where it is read how long a call may take that follows an answer, so
// that a second one is in time: a connection may have gone silent. Calls that follow it
// take as long as the source lets them, since the source may just be slow.
func WithLimit(limit func() spanrill.Millis) Option {
	return func(f *Follower) { f.limit = limit }
}

// WithLogger sets where events go, and the name of the collection in them.
func WithLogger(log logrus.FieldLogger, name string) Option {
	return func(f *Follower) { f.log, f.name = log, name }
}

// WithJitter sets a source of numbers from 0 to 1 that spreads retries.
func WithJitter(jitter func() float64) Option {
	return func(f *Follower) { f.jitter = jitter }
}

const (
	// defaultWait is the longest watch that the store takes.
	defaultWait = 30 * spanrill.Second
	// maxDoublings bounds how often the pause doubles.
	maxDoublings = 4
	// FirstPause follows the first failed call: 25 times the store's usual
	// answer, so that a store that has just come back is found at once.
	FirstPause spanrill.Millis = 100
	// behindPoll is how often a follower looks whether the one ahead has found the store.
	behindPoll spanrill.Millis = 20
	// LongestPause bounds the pause between failed calls. It is a fraction of
	// the freshness that requests with a key need.
	LongestPause spanrill.Millis = 400
)

// New returns a follower that has read nothing.
func New(source spanrill.Collection, clock spanrill.Clock, sink Sink, opts ...Option) *Follower {
	f := &Follower{
		source: source, clock: clock, sink: sink, log: logrus.StandardLogger(),
		wait: defaultWait, jitter: func() float64 { return 0 }, known: func() uint64 { return 0 },
		pause: func() spanrill.Millis { return LongestPause },
		first: func() spanrill.Millis { return 0 },
	}
	f.askedAt.Store(noCall)
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
		select {
		case <-ctx.Done():
		case <-f.clock.After(pause):
		}
	}
	return ctx.Err()
}

// Step makes one call and returns how long to pause before the next.
func (f *Follower) Step(ctx context.Context) spanrill.Millis {
	if !f.listed && f.tries == 0 && !f.relists {
		if pause := f.begin(); pause > 0 {
			return pause
		}
	}
	if f.due != nil && f.listed {
		if pause := f.due(); pause > 0 {
			return pause
		}
	}
	if f.tries > 0 && f.ahead != nil && f.ahead.failing.Load() {
		return behindPoll
	}
	sent := f.clock.Now()
	f.askedAt.CompareAndSwap(noCall, int64(sent))
	changed, err := f.call(ctx, sent)
	if errors.Is(err, spanrill.ErrHistoryGone) {
		f.askedAt.Store(noCall) // that is an answer
		events.HistoryGone.Log(f.log, logrus.Fields{"collection": f.name, "after": f.at})
		f.listed, f.relists = false, true
		return 0
	}
	if err != nil {
		return f.failed(ctx, err)
	}
	f.askedAt.Store(noCall)
	if f.lost {
		f.lost = false
		events.PlatformFound.Log(f.log, logrus.Fields{"collection": f.name, "tries": f.tries})
	}
	f.tries = 0
	f.failing.Store(false)
	if changed {
		return f.settle
	}
	return 0
}

// begin returns how long to wait before the collection is listed for the first time.
// What the sink knows from elsewhere is not listed.
func (f *Follower) begin() spanrill.Millis {
	if at := f.known(); at > 0 {
		f.at, f.listed = at, true
		return 0
	}
	return f.first()
}

// call makes one call, which ends early if a second one would be late otherwise.
func (f *Follower) call(ctx context.Context, sent spanrill.Millis) (changed bool, err error) {
	if !f.listed {
		return false, f.list(ctx, sent)
	}
	if f.limit != nil && f.tries == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.limit().Duration())
		defer cancel()
	}
	return f.watch(ctx, sent)
}

func (f *Follower) list(ctx context.Context, sent spanrill.Millis) error {
	items, at, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.at, f.listed = at, true
	f.sink.Listed(items, at, sent)
	return nil
}

func (f *Follower) watch(ctx context.Context, sent spanrill.Millis) (changed bool, err error) {
	f.at = max(f.at, f.known())
	changes, at, err := f.source.Watch(ctx, f.at, f.wait)
	if err != nil {
		return false, err
	}
	f.at = max(f.at, at)
	f.sink.Changed(changes, at, sent)
	return len(changes) > 0, nil
}

func (f *Follower) failed(ctx context.Context, err error) spanrill.Millis {
	if ctx.Err() != nil {
		return 0
	}
	f.tries++
	f.failing.Store(true)
	if !f.lost {
		f.lost = true
		events.PlatformLost.Log(f.log, logrus.Fields{"collection": f.name, "error": err})
	}
	pause := min(f.pause(), FirstPause<<min(f.tries-1, maxDoublings))
	return pause/2 + spanrill.Millis(float64(pause)*f.jitter()/2)
}
