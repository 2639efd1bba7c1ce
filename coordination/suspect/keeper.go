package suspect

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// Keeper keeps the contents that are withheld or proved in the store, so that they survive a restart
// of all daemons. Callers repeat their requests afterwards, which would crash more engines otherwise.
// One daemon at a time is active. It makes one call to the store when it becomes active, and further
// ones only when marks change.
type Keeper struct {
	ledger   *Ledger
	store    spanrill.ObjectStore
	clock    spanrill.Clock
	log      logrus.FieldLogger
	isActive func() bool // reports whether this daemon is the one that stores them
	era      func() uint64

	loaded        bool
	version       spanrill.Version
	writtenDigest uint64          // digest of the marks in the store
	retryAt       spanrill.Millis // no call before this time, after one that failed
	loadedEra     uint64          // era of the store when the marks were loaded
}

// KeeperOption changes a default of NewKeeper.
type KeeperOption func(*Keeper)

// WithEra sets the source of the store's era, which increases each time the store is restored
// from an older copy. The keeper then loads the marks again and writes what the store lacks.
func WithEra(era func() uint64) KeeperOption {
	return func(k *Keeper) { k.era = era }
}

const (
	// storeKey is the key of the marks in the store.
	storeKey = "suspects/kept"
	// syncInterval is the pause between two calls of Sync, and so the longest delay of new marks.
	syncInterval spanrill.Millis = 500
	// errorBackoff is the pause after a failed call to the store.
	errorBackoff = 2 * spanrill.Second
)

// storedMark is a loss in the store. Its time is wall-clock time, because a daemon's own clock does
// not outlast the daemon.
type storedMark struct {
	Content  string          `json:"content"`
	Upstream uint32          `json:"upstream"`
	At       spanrill.Millis `json:"at_unix_ms"`
	Fresh    bool            `json:"fresh"`
}

type storedMarks struct {
	Marks []storedMark `json:"marks"`
}

// NewKeeper returns a keeper that is active while isActive returns true.
func NewKeeper(ledger *Ledger, store spanrill.ObjectStore, clock spanrill.Clock, log logrus.FieldLogger, isActive func() bool, opts ...KeeperOption) *Keeper {
	k := &Keeper{ledger: ledger, store: store, clock: clock, log: log, isActive: isActive, era: func() uint64 { return 0 }}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Run calls Sync periodically until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		k.Sync(ctx)
		select {
		case <-ctx.Done():
		case <-k.clock.After(syncInterval):
		}
	}
	return ctx.Err()
}

// Sync loads the stored marks into the ledger when the keeper becomes active, and writes the ledger's
// marks to the store when they have changed. It does nothing while the keeper is not active.
func (k *Keeper) Sync(ctx context.Context) {
	if !k.isActive() {
		k.loaded = false
		return
	}
	if k.clock.Now() < k.retryAt {
		return
	}
	k.loaded = k.loaded && k.era() == k.loadedEra
	if err := k.writeIfChanged(ctx); err != nil {
		k.retryAt = k.clock.Now() + errorBackoff
		events.SuspectsStoreFailed.Log(k.log, logrus.Fields{"error": err})
	}
}

func (k *Keeper) writeIfChanged(ctx context.Context) error {
	if !k.loaded {
		if err := k.load(ctx); err != nil {
			return err
		}
		k.loadedEra = k.era()
	}
	digest := k.ledger.Digest()
	if digest == k.writtenDigest {
		return nil
	}
	marks := k.ledger.BlockedMarks()
	value, err := json.Marshal(k.encode(marks))
	if err != nil {
		return fmt.Errorf("encode marks: %w", err)
	}
	version, err := k.store.Put(ctx, storeKey, value, k.version)
	if err != nil {
		k.loaded = false // another daemon has written, or this write may have taken effect
		return fmt.Errorf("write marks: %w", err)
	}
	k.version, k.writtenDigest = version, digest
	events.SuspectsStored.Log(k.log, logrus.Fields{"marks": len(marks)})
	return nil
}

func (k *Keeper) load(ctx context.Context) error {
	object, err := k.store.Get(ctx, storeKey)
	if errors.Is(err, spanrill.ErrNotFound) {
		k.loaded, k.version, k.writtenDigest = true, "", 0
		return nil
	}
	if err != nil {
		return fmt.Errorf("read marks: %w", err)
	}
	var stored storedMarks
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		events.SuspectsStoreFailed.Log(k.log, logrus.Fields{"error": fmt.Errorf("decode marks: %w", err)}) // the next write replaces the value
	}
	marks := k.decode(stored)
	added := k.ledger.Merge(marks)
	k.loaded, k.version, k.writtenDigest = true, object.Version, k.digestOf(marks)
	events.SuspectsLoaded.Log(k.log, logrus.Fields{"marks": len(stored.Marks), "news": added})
	return nil
}

// digestOf returns the digest of the given marks alone. That of the ledger may cover more.
func (k *Keeper) digestOf(marks []Mark) uint64 {
	scratch := New(k.clock)
	scratch.Merge(marks)
	return scratch.Digest()
}

func (k *Keeper) encode(marks []Mark) storedMarks {
	stored := storedMarks{Marks: make([]storedMark, len(marks))}
	for i, m := range marks {
		stored.Marks[i] = storedMark{Content: m.Content.String(), Upstream: m.Upstream, At: k.clock.Unix() - m.Age, Fresh: m.Fresh}
	}
	return stored
}

// decode returns the stored marks without those that cannot be parsed. A mark from the future, as
// after the wall clock was set back, gets age 0.
func (k *Keeper) decode(stored storedMarks) []Mark {
	marks := make([]Mark, 0, len(stored.Marks))
	for _, m := range stored.Marks {
		content, err := strconv.ParseUint(m.Content, 16, 64)
		if err != nil {
			continue
		}
		marks = append(marks, Mark{Content: Content(content), Upstream: m.Upstream, Age: max(0, k.clock.Unix()-m.At), Fresh: m.Fresh})
	}
	return marks
}
