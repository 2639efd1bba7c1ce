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

// Follower keeps a daemon's snapshot at the newest accepted edit.
type Follower struct {
	store    spanrill.ObjectStore
	clock    spanrill.Clock
	log      logrus.FieldLogger
	watches  func() bool
	jitter   func(spanrill.Millis) spanrill.Millis
	onChange func(*Snapshot)

	current atomic.Pointer[state]
	mu      sync.Mutex // one update at a time
	ready   chan struct{}
	once    sync.Once
	lost    bool
}

// state is what is in force, replaced as a whole.
type state struct {
	head     *Head
	snapshot *Snapshot
	parts    map[string][]byte // by hash
}

// FollowerOption changes a default of NewFollower.
type FollowerOption func(*Follower)

// WithClock sets the clock of the follower's pauses.
func WithClock(c spanrill.Clock) FollowerOption {
	return func(f *Follower) { f.clock = c }
}

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// WithWatches sets whether this daemon watches the platform's head. The
// others learn of edits from their peers and look themselves once in a while.
func WithWatches(watches func() bool) FollowerOption {
	return func(f *Follower) { f.watches = watches }
}

// WithJitter sets how pauses are spread.
func WithJitter(j func(spanrill.Millis) spanrill.Millis) FollowerOption {
	return func(f *Follower) { f.jitter = j }
}

// WithOnChange sets what is called, in order, with each new snapshot.
func WithOnChange(f func(*Snapshot)) FollowerOption {
	return func(fo *Follower) { fo.onChange = f }
}

// The follower's pauses.
const (
	watchWait   = 10 * spanrill.Second // longest wait of one watch
	lookPause   = 30 * spanrill.Second // between looks of a daemon that does not watch
	minBackoff  = 500 * spanrill.Millis(1)
	maxBackoff  = 5 * spanrill.Second
	offerWindow = 5 * spanrill.Second // bound on taking one head
)

// NewFollower returns a follower with nothing in force.
func NewFollower(store spanrill.ObjectStore, opts ...FollowerOption) *Follower {
	f := &Follower{
		store: store, clock: clock.NewSystem(), log: logrus.StandardLogger(),
		watches:  func() bool { return true },
		jitter:   func(d spanrill.Millis) spanrill.Millis { return d },
		onChange: func(*Snapshot) {},
		ready:    make(chan struct{}),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Ready returns a channel that is closed once a configuration is in force.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Current returns what is in force, or nil before the first configuration.
func (f *Follower) Current() *Snapshot {
	s := f.current.Load()
	if s == nil {
		return nil
	}
	return s.snapshot
}

// Revision returns the revision in force, or 0.
func (f *Follower) Revision() uint64 {
	s := f.current.Load()
	if s == nil {
		return 0
	}
	return s.head.Revision
}

// Head returns the head in force, or nil.
func (f *Follower) Head() *Head {
	s := f.current.Load()
	if s == nil {
		return nil
	}
	return s.head
}

// Part returns a part that is in force, which makes a follower a PartSource
// for its peers.
func (f *Follower) Part(_ context.Context, hash string) ([]byte, error) {
	s := f.current.Load()
	if s == nil || s.parts[hash] == nil {
		return nil, spanrill.ErrNotFound
	}
	return s.parts[hash], nil
}

// Run follows the platform until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	var known spanrill.Version
	for ctx.Err() == nil {
		version, err := f.look(ctx, known)
		if err != nil {
			f.notePlatform(ctx, err)
			f.sleep(ctx, f.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		f.notePlatform(ctx, nil)
		backoff, known = minBackoff, version
		if !f.watches() {
			f.sleep(ctx, f.jitter(lookPause))
			known = ""
		}
	}
	return ctx.Err()
}

// look waits for a change of the head if this daemon watches, and takes it.
// A watch that ends without news is followed by a plain read, because a watch
// that has silently died looks the same.
func (f *Follower) look(ctx context.Context, known spanrill.Version) (spanrill.Version, error) {
	if known != "" {
		obj, err := f.store.Watch(ctx, HeadKey, known, watchWait)
		if err != nil {
			return "", fmt.Errorf("watch head: %w", err)
		}
		if obj.Version != known {
			return f.take(ctx, obj)
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
	return f.take(ctx, obj)
}

func (f *Follower) take(ctx context.Context, obj spanrill.Object) (spanrill.Version, error) {
	head, err := decodeHead(obj.Value)
	if err != nil {
		return "", fmt.Errorf("take head: %w", err)
	}
	if f.lostEdits(head) {
		return f.heal(ctx, head, obj.Version)
	}
	if err := f.Offer(ctx, head); err != nil {
		return "", err
	}
	return obj.Version, nil
}

// Offer puts a head into force if it is newer than what is. Parts come from
// the sources given, then from the platform.
func (f *Follower) Offer(ctx context.Context, head *Head, sources ...PartSource) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if head.Revision <= f.Revision() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, offerWindow.Duration())
	defer cancel()
	next, err := f.load(ctx, head, append(sources, storeSource{f.store}))
	if err != nil {
		return fmt.Errorf("load revision %d: %w", head.Revision, err)
	}
	f.force(next)
	return nil
}

// load fetches what is missing and builds the snapshot.
func (f *Follower) load(ctx context.Context, head *Head, sources []PartSource) (*state, error) {
	next := &state{head: head, parts: make(map[string][]byte, len(head.Parts))}
	docs := Documents{}
	for part, hash := range head.Parts {
		value, err := fetch(ctx, hash, append([]PartSource{f}, sources...)...)
		if err != nil {
			return nil, err
		}
		if err := join(docs, part, value); err != nil {
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

func (f *Follower) force(next *state) {
	f.current.Store(next)
	f.onChange(next.snapshot)
	f.once.Do(func() { close(f.ready) })
	events.ConfigInForce.Log(f.log, logrus.Fields{"revision": next.head.Revision, "edit": next.head.EditID})
}

func (f *Follower) sleep(ctx context.Context, d spanrill.Millis) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// notePlatform logs when the platform is lost and found.
func (f *Follower) notePlatform(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == f.lost {
		return
	}
	f.lost = err != nil
	if f.lost {
		events.PlatformLost.Log(f.log, logrus.Fields{"error": err})
		return
	}
	events.PlatformFound.Log(f.log, nil)
}
