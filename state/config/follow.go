package config

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/events"
)

// Follower keeps a daemon's snapshot up to date with the newest accepted edit.
type Follower struct {
	store       spanrill.ObjectStore
	clock       spanrill.Clock
	log         logrus.FieldLogger
	watchesHead func() bool
	jitter      func(spanrill.Millis) spanrill.Millis
	onChange    func(*Snapshot)

	current      atomic.Pointer[activeConfig]
	mu           sync.Mutex // serializes updates
	ready        chan struct{}
	readyOnce    sync.Once
	platformLost bool
}

// activeConfig is the configuration in force. It is replaced as a whole and never changed.
type activeConfig struct {
	head     *Head
	snapshot *Snapshot
	parts    map[string][]byte // by hash
}

// FollowerOption changes a default of NewFollower.
type FollowerOption func(*Follower)

// WithClock sets the clock for pauses between reads and for the time of edits that are written
// back.
func WithClock(c spanrill.Clock) FollowerOption {
	return func(f *Follower) { f.clock = c }
}

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// WithWatchesHead sets a function that reports whether this daemon watches the platform's head. One
// that does not watch it learns of edits from its peers, and polls the head every 30 s.
func WithWatchesHead(watches func() bool) FollowerOption {
	return func(f *Follower) { f.watchesHead = watches }
}

// WithJitter sets a function that randomizes pauses, so that daemons do not call the
// platform at the same time.
func WithJitter(j func(spanrill.Millis) spanrill.Millis) FollowerOption {
	return func(f *Follower) { f.jitter = j }
}

// WithOnChange sets a function that is called with each new snapshot, in order of revision.
func WithOnChange(onChange func(*Snapshot)) FollowerOption {
	return func(f *Follower) { f.onChange = onChange }
}

// Timing of the follower.
const (
	watchWait    = 10 * spanrill.Second     // longest time that one watch waits for a change
	pollInterval = 30 * spanrill.Second     // between reads of a daemon that does not watch
	minBackoff   = 500 * spanrill.Millis(1) // after a failed call, doubled up to maxBackoff
	maxBackoff   = 5 * spanrill.Second
	offerTimeout = 5 * spanrill.Second // limit for loading one revision
)

// NewFollower returns a follower without a configuration.
func NewFollower(store spanrill.ObjectStore, opts ...FollowerOption) *Follower {
	f := &Follower{
		store: store, clock: clock.NewSystem(), log: logrus.StandardLogger(),
		watchesHead: func() bool { return true },
		jitter:      func(d spanrill.Millis) spanrill.Millis { return d },
		onChange:    func(*Snapshot) {},
		ready:       make(chan struct{}),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Ready returns a channel that is closed once a configuration is in force.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Current returns the snapshot in force, or nil before the first configuration.
func (f *Follower) Current() *Snapshot {
	active := f.current.Load()
	if active == nil {
		return nil
	}
	return active.snapshot
}

// Revision returns the revision in force, or 0.
func (f *Follower) Revision() uint64 {
	active := f.current.Load()
	if active == nil {
		return 0
	}
	return active.head.Revision
}

// Head returns the head in force, or nil.
func (f *Follower) Head() *Head {
	active := f.current.Load()
	if active == nil {
		return nil
	}
	return active.head
}

// Part returns a part of the configuration in force, so that the follower can be a PartSource for
// peers.
func (f *Follower) Part(_ context.Context, hash string) ([]byte, error) {
	active := f.current.Load()
	if active == nil || active.parts[hash] == nil {
		return nil, spanrill.ErrNotFound
	}
	return active.parts[hash], nil
}

// Run follows the platform until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	var known spanrill.Version
	for ctx.Err() == nil {
		version, err := f.checkHead(ctx, known)
		if err != nil {
			f.logPlatformState(ctx, err)
			f.sleep(ctx, f.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		f.logPlatformState(ctx, nil)
		backoff, known = minBackoff, version
		if !f.watchesHead() {
			f.sleep(ctx, f.jitter(pollInterval))
			known = ""
		}
	}
	return ctx.Err()
}

// checkHead watches the head for a change from the known version, or reads it if known is empty,
// and handles the result. If the watch ends without a change it reads the head as well, because a
// watch whose connection has silently died reports no change either.
func (f *Follower) checkHead(ctx context.Context, known spanrill.Version) (spanrill.Version, error) {
	if known != "" {
		obj, err := f.store.Watch(ctx, HeadKey, known, watchWait)
		if err != nil {
			return "", fmt.Errorf("watch head: %w", err)
		}
		if obj.Version != known {
			return f.handleHead(ctx, obj)
		}
	}
	obj, err := f.store.Get(ctx, HeadKey)
	if errors.Is(err, spanrill.ErrNotFound) {
		f.sleep(ctx, minBackoff)
		return "", nil
	}
	if err != nil {
		return "", fmt.Errorf("read head: %w", err)
	}
	return f.handleHead(ctx, obj)
}

// handleHead puts the platform's head into force, or writes back the edits that it lacks. It
// returns the version to watch from, or "" if the head is to be read again.
func (f *Follower) handleHead(ctx context.Context, obj spanrill.Object) (spanrill.Version, error) {
	head, err := decodeHead(obj.Value)
	if err != nil {
		return "", fmt.Errorf("handle head: %w", err)
	}
	if f.lacksLocalEdits(head) {
		return f.writeBack(ctx, head, obj.Version)
	}
	if err := f.Offer(ctx, head); err != nil {
		return "", err
	}
	return obj.Version, nil
}

// Offer puts a head into force if it is newer than the current one. Missing parts are read from the
// given sources first, then from the platform.
func (f *Follower) Offer(ctx context.Context, head *Head, sources ...PartSource) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if head.Revision <= f.Revision() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()
	next, err := f.load(ctx, head, append(sources, storeSource{f.store}))
	if err != nil {
		return fmt.Errorf("load revision %d: %w", head.Revision, err)
	}
	f.activate(next)
	return nil
}

// load fetches the parts that this daemon lacks and builds the snapshot.
func (f *Follower) load(ctx context.Context, head *Head, sources []PartSource) (*activeConfig, error) {
	next := &activeConfig{head: head, parts: make(map[string][]byte, len(head.Parts))}
	docs := Documents{}
	for part, hash := range head.Parts {
		value, err := fetch(ctx, hash, append([]PartSource{f}, sources...)...)
		if err != nil {
			return nil, err
		}
		if err := addPart(docs, part, value); err != nil {
			return nil, err
		}
		next.parts[hash] = value
	}
	snapshot, err := Build(head.Revision, head.EditID, docs)
	if err != nil {
		events.ConfigRejected.Log(f.log, logrus.Fields{"revision": head.Revision, "edit": head.EditID, "error": err})
		return nil, fmt.Errorf("build snapshot: %w", err)
	}
	next.snapshot = snapshot
	return next, nil
}

// activate puts a configuration into force. The caller holds the lock.
func (f *Follower) activate(next *activeConfig) {
	f.current.Store(next)
	f.onChange(next.snapshot)
	f.readyOnce.Do(func() { close(f.ready) })
	events.ConfigActivated.Log(f.log, logrus.Fields{"revision": next.head.Revision, "edit": next.head.EditID})
}

func (f *Follower) sleep(ctx context.Context, d spanrill.Millis) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// logPlatformState logs an event when the platform stops or resumes answering.
func (f *Follower) logPlatformState(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == f.platformLost {
		return
	}
	f.platformLost = err != nil
	if f.platformLost {
		events.PlatformLost.Log(f.log, logrus.Fields{"error": err})
		return
	}
	events.PlatformRecovered.Log(f.log, nil)
}
