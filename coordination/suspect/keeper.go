package suspect

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/quarantine"
	"spanrill/events"
)

// Keeper keeps in the store the contents that are withheld or proved and the parts that are withheld,
// so that they survive a restart of all daemons. Callers repeat their requests afterwards, which would
// crash more engines otherwise. One daemon at a time is active. It makes one call to the store when it
// becomes active, and further ones only when marks change. The others read the store once after their
// start, unless a peer that knows its contents tells them before.
type Keeper struct {
	ledger   *Ledger
	parts    *quarantine.Ledger
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

	startDelay func() spanrill.Millis // time until this daemon reads the store after its start
	known      chan struct{}          // closed when this daemon knows what the store holds
	knownOnce  sync.Once
}

// KeeperOption changes a default of NewKeeper.
type KeeperOption func(*Keeper)

// WithEra sets the source of the store's era, which increases each time the store is restored
// from an older copy. The keeper then loads the marks again and writes what the store lacks.
func WithEra(era func() uint64) KeeperOption {
	return func(k *Keeper) { k.era = era }
}

// WithStartDelay sets the source of the time until this daemon reads the store after its start.
func WithStartDelay(delay func() spanrill.Millis) KeeperOption {
	return func(k *Keeper) { k.startDelay = delay }
}

// Known is closed when this daemon knows what the store held at its start or later.
func (k *Keeper) Known() <-chan struct{} { return k.known }

// IsKnown reports whether Known is closed.
func (k *Keeper) IsKnown() bool {
	select {
	case <-k.known:
		return true
	default:
		return false
	}
}

// SetKnown records that a peer has told what the store holds.
func (k *Keeper) SetKnown() { k.knownOnce.Do(func() { close(k.known) }) }

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
	Marks []storedMark            `json:"marks"`
	Parts []quarantine.StoredMark `json:"parts,omitempty"`
}

// NewKeeper returns a keeper of two ledgers that is active while isActive returns true.
func NewKeeper(ledger *Ledger, parts *quarantine.Ledger, store spanrill.ObjectStore, clock spanrill.Clock, log logrus.FieldLogger, isActive func() bool, opts ...KeeperOption) *Keeper {
	k := &Keeper{
		ledger: ledger, parts: parts, store: store, clock: clock, log: log, isActive: isActive, era: func() uint64 { return 0 },
		startDelay: func() spanrill.Millis { return 0 }, known: make(chan struct{}),
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Run calls Sync periodically until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.awaitStart(ctx)
	for ctx.Err() == nil {
		k.parts.Maintain()
		k.Sync(ctx)
		select {
		case <-ctx.Done():
		case <-k.clock.After(syncInterval):
		}
	}
	return ctx.Err()
}

// startPoll is how often a starting daemon checks whether it has to read the store.
const startPoll spanrill.Millis = 20

// awaitStart waits until a peer has told what the store holds, or it is time to read it.
func (k *Keeper) awaitStart(ctx context.Context) {
	for ctx.Err() == nil && !k.IsKnown() {
		wait := k.startDelay()
		if wait <= 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-k.known:
		case <-k.clock.After(min(wait, startPoll)):
		}
	}
}

// Sync loads the stored marks into the ledgers when the keeper becomes active, and writes the ledgers'
// marks to the store when they have changed. While the keeper is not active, it only loads them if this
// daemon does not know them.
func (k *Keeper) Sync(ctx context.Context) {
	active := k.isActive()
	if !active {
		k.loaded = false
	}
	if !active && k.IsKnown() || k.clock.Now() < k.retryAt {
		return
	}
	k.loaded = k.loaded && k.era() == k.loadedEra
	err := k.loadIfNeeded(ctx)
	if err == nil && active {
		err = k.writeIfChanged(ctx)
	}
	if err != nil {
		k.retryAt = k.clock.Now() + errorBackoff
		events.SuspectsStoreFailed.Log(k.log, logrus.Fields{"error": err})
	}
}

func (k *Keeper) loadIfNeeded(ctx context.Context) error {
	if k.loaded {
		return nil
	}
	if err := k.load(ctx); err != nil {
		return err
	}
	k.loadedEra = k.era()
	k.SetKnown()
	return nil
}

func (k *Keeper) writeIfChanged(ctx context.Context) error {
	digest := digestOf(k.ledger, k.parts)
	if digest == k.writtenDigest {
		return nil
	}
	marks, parts := k.ledger.BlockedMarks(), k.parts.WithheldMarks()
	value, err := json.Marshal(k.encode(marks, parts))
	if err != nil {
		return fmt.Errorf("encode marks: %w", err)
	}
	version, err := k.store.Put(ctx, storeKey, value, k.version)
	if err != nil {
		k.loaded = false // another daemon has written, or this write may have taken effect
		return fmt.Errorf("write marks: %w", err)
	}
	k.version, k.writtenDigest = version, digest
	events.SuspectsStored.Log(k.log, logrus.Fields{"marks": len(marks), "part_marks": len(parts)})
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
	marks, parts := k.decode(stored), quarantine.DecodeStored(k.clock, stored.Parts)
	added := k.ledger.Merge(marks) + k.parts.Merge(parts)
	k.loaded, k.version, k.writtenDigest = true, object.Version, k.digestOf(marks, parts)
	events.SuspectsLoaded.Log(k.log, logrus.Fields{"marks": len(stored.Marks), "part_marks": len(stored.Parts), "news": added})
	return nil
}

// digestOf returns the digest of the given marks alone. Those of the ledgers may cover more.
func (k *Keeper) digestOf(marks []Mark, parts []quarantine.Mark) uint64 {
	scratch, scratchParts := New(k.clock), quarantine.New(k.clock)
	scratch.Merge(marks)
	scratchParts.Merge(parts)
	return digestOf(scratch, scratchParts)
}

// digestOf returns a digest of two ledgers. It is 0 if both are empty.
func digestOf(ledger *Ledger, parts *quarantine.Ledger) uint64 {
	return ledger.Digest() + partsDigestFactor*parts.Digest()
}

// partsDigestFactor makes the sum of the two digests depend on which ledger holds what.
const partsDigestFactor = 31

func (k *Keeper) encode(marks []Mark, parts []quarantine.Mark) storedMarks {
	stored := storedMarks{Marks: make([]storedMark, len(marks)), Parts: quarantine.EncodeStored(k.clock, parts)}
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
