package claim

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/state/record"
	"spanrill/task"
)

// Errors of a claim. None of them means that the call ran.
var (
	// ErrBusy means that too many claims wait.
	ErrBusy = errors.New("too many claims wait")
	// ErrFull means that the slot holds as many records as fit.
	ErrFull = errors.New("slot is full")
)

// Keeper writes the records of slots, many at a time. Every daemon has one.
// Which daemon's keeper is asked is a matter of cost alone: each write is
// conditional on the object's version, so that two keepers of one slot, or one
// that was frozen, cannot grant a key twice.
type Keeper struct {
	store spanrill.ObjectStore
	clock spanrill.Clock
	gap   spanrill.Millis

	mu    sync.Mutex
	slots map[int]*slotKeeper
	tasks task.Group
	ctx   context.Context
}

// KeeperOption changes a default of NewKeeper.
type KeeperOption func(*Keeper)

// WithGap sets the pause between two writes of one slot.
func WithGap(d spanrill.Millis) KeeperOption {
	return func(k *Keeper) { k.gap = d }
}

const (
	// defaultGap times record.Slots keeps the fleet at 40 writes a second.
	defaultGap = 400 * spanrill.Millis(1)
	maxWaiting = 4096 // claims that wait for one slot
	maxBatch   = 1024 // claims in one write
	// maxSlot leaves room below the platform's largest value.
	maxSlot = 1<<20 - 1<<12
	// failFast is how long claims fail at once after the platform failed.
	failFast  = 300 * spanrill.Millis(1)
	settleGap = 100 * spanrill.Millis(1)
	maxTries  = 3 // of one write whose effect is unknown
)

// NewKeeper returns a keeper that works until ctx ends.
func NewKeeper(ctx context.Context, store spanrill.ObjectStore, clock spanrill.Clock, opts ...KeeperOption) *Keeper {
	k := &Keeper{store: store, clock: clock, gap: defaultGap, slots: map[int]*slotKeeper{}, ctx: ctx}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Wait returns when the keeper's goroutines have ended.
func (k *Keeper) Wait() error { return k.tasks.Wait() }

// request is a claim or a settlement that waits for a write.
type request struct {
	record record.Record
	settle bool
	answer chan result
}

// result answers a claim.
type result struct {
	granted bool
	record  record.Record
	err     error
}

// Claim grants the record's attempt, or returns the record that was first.
func (k *Keeper) Claim(ctx context.Context, slot int, r record.Record) (bool, record.Record, error) {
	req := request{record: r, answer: make(chan result, 1)}
	if !k.slot(slot).put(req) {
		return false, record.Record{}, ErrBusy
	}
	select {
	case res := <-req.answer:
		return res.granted, res.record, res.err
	case <-ctx.Done():
		return false, record.Record{}, errors.Wrap(spanrill.ErrUncertain, "claim not answered in time")
	}
}

// Settle writes down how a claimed call ended. A record of a call that did not
// run is removed, so that the key can be claimed again.
func (k *Keeper) Settle(slot int, r record.Record) bool {
	return k.slot(slot).put(request{record: r, settle: true, answer: make(chan result, 1)})
}

func (k *Keeper) slot(n int) *slotKeeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.slots[n]
	if s == nil {
		s = &slotKeeper{keeper: k, key: record.ObjectKey(n), queue: make(chan request, maxWaiting)}
		k.slots[n] = s
		k.tasks.Start(k.ctx, "slot keeper", s.run)
	}
	return s
}
