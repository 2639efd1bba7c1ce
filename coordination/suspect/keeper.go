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

// Keeper keeps in the store what the ledger keeps back, for the case that all daemons end:
// the requests come again behind it, and each daemon would let the next engines end. One
// daemon at a time does it. In calm it makes one call, when its duty begins.
type Keeper struct {
	ledger *Ledger
	store  spanrill.ObjectStore
	clock  spanrill.Clock
	log    logrus.FieldLogger
	duty   func() bool // whether it is this daemon that does it
	era    func() uint64

	loaded  bool
	version spanrill.Version
	written uint64          // digest of what the store holds
	pauseTo spanrill.Millis // no call before, behind one that has failed
	loadEra uint64          // era of the store when the marks were loaded
}

// KeeperOption changes a default of NewKeeper.
type KeeperOption func(*Keeper)

// WithEra sets the source of the store's era, which increases each time the store is restored
// from an older copy. The keeper then loads the marks again and writes what the store lacks.
func WithEra(era func() uint64) KeeperOption {
	return func(k *Keeper) { k.era = era }
}

const (
	// keptKey is where the marks lie in the store.
	keptKey = "suspects/kept"
	// keepGap is how often the keeper looks: what is new is kept within this time.
	keepGap spanrill.Millis = 500
	// keepPause is the pause behind a call that has failed.
	keepPause = 2 * spanrill.Second
)

// keptMark is a mark in the store. A time of day outlives the daemons' own clocks.
type keptMark struct {
	Content  string          `json:"content"`
	Upstream uint32          `json:"upstream"`
	At       spanrill.Millis `json:"at_unix_ms"`
	Fresh    bool            `json:"fresh"`
}

type keptMarks struct {
	Marks []keptMark `json:"marks"`
}

// NewKeeper returns a keeper that works as long as duty returns true.
func NewKeeper(ledger *Ledger, store spanrill.ObjectStore, clock spanrill.Clock, log logrus.FieldLogger, duty func() bool, opts ...KeeperOption) *Keeper {
	k := &Keeper{ledger: ledger, store: store, clock: clock, log: log, duty: duty, era: func() uint64 { return 0 }}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Run keeps until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		k.Look(ctx)
		select {
		case <-ctx.Done():
		case <-k.clock.After(keepGap):
		}
	}
	return ctx.Err()
}

// Look reads what is kept when the duty begins, and writes it when it has changed.
func (k *Keeper) Look(ctx context.Context) {
	if !k.duty() {
		k.loaded = false
		return
	}
	if k.clock.Now() < k.pauseTo {
		return
	}
	k.loaded = k.loaded && k.era() == k.loadEra
	if err := k.keep(ctx); err != nil {
		k.pauseTo = k.clock.Now() + keepPause
		events.SuspectsNotKept.Log(k.log, logrus.Fields{"error": err})
	}
}

func (k *Keeper) keep(ctx context.Context) error {
	if !k.loaded {
		if err := k.load(ctx); err != nil {
			return err
		}
		k.loadEra = k.era()
	}
	digest := k.ledger.Digest()
	if digest == k.written {
		return nil
	}
	marks := k.ledger.KeepsBack()
	value, err := json.Marshal(k.encode(marks))
	if err != nil {
		return fmt.Errorf("encode marks: %w", err)
	}
	version, err := k.store.Put(ctx, keptKey, value, k.version)
	if err != nil {
		k.loaded = false // another daemon has written it, or this write may have taken effect
		return fmt.Errorf("write marks: %w", err)
	}
	k.version, k.written = version, digest
	events.SuspectsKept.Log(k.log, logrus.Fields{"marks": len(marks)})
	return nil
}

func (k *Keeper) load(ctx context.Context) error {
	object, err := k.store.Get(ctx, keptKey)
	if errors.Is(err, spanrill.ErrNotFound) {
		k.loaded, k.version, k.written = true, "", 0
		return nil
	}
	if err != nil {
		return fmt.Errorf("read marks: %w", err)
	}
	var kept keptMarks
	if err := json.Unmarshal(object.Value, &kept); err != nil {
		events.SuspectsNotKept.Log(k.log, logrus.Fields{"error": fmt.Errorf("decode marks: %w", err)}) // written anew
	}
	marks := k.decode(kept)
	news := k.ledger.Take(marks)
	k.loaded, k.version, k.written = true, object.Version, k.digestOf(marks)
	events.SuspectsRead.Log(k.log, logrus.Fields{"marks": len(kept.Marks), "news": news})
	return nil
}

// digestOf is the digest of marks alone: the ledger may know more than the store holds.
func (k *Keeper) digestOf(marks []Mark) uint64 {
	alone := New(k.clock)
	alone.Take(marks)
	return alone.Digest()
}

func (k *Keeper) encode(marks []Mark) keptMarks {
	kept := keptMarks{Marks: make([]keptMark, len(marks))}
	for i, m := range marks {
		kept.Marks[i] = keptMark{Content: m.Content.String(), Upstream: m.Upstream, At: k.clock.Unix() - m.Age, Fresh: m.Fresh}
	}
	return kept
}

// decode leaves out what cannot be read. A clock that was set back makes no mark older than
// now.
func (k *Keeper) decode(kept keptMarks) []Mark {
	marks := make([]Mark, 0, len(kept.Marks))
	for _, m := range kept.Marks {
		content, err := strconv.ParseUint(m.Content, 16, 64)
		if err != nil {
			continue
		}
		marks = append(marks, Mark{Content: Content(content), Upstream: m.Upstream, Age: max(0, k.clock.Unix()-m.At), Fresh: m.Fresh})
	}
	return marks
}
