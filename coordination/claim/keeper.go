package claim

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/state/record"
	"spanrill/task"
)

// Errors of a claim that was not written. The call has not run.
var (
	// ErrBusy means that the queue of claims for the slot is full.
	ErrBusy = errors.New("too many claims are waiting")
	// ErrFull means that the records of the slot have reached the maximum size.
	ErrFull = errors.New("slot is full")
)

// Keeper writes the records of slots in batches. Every daemon has one, and any of them may write
// any slot: each write is conditional on the object's version, so that neither two keepers of a
// slot nor one that was frozen can grant a key twice. Using the same keeper for a slot only saves
// writes.
type Keeper struct {
	store         spanrill.ObjectStore
	clock         spanrill.Clock
	writeInterval spanrill.Millis

	mu    sync.Mutex
	slots map[int]*slotKeeper
	tasks task.Group
	ctx   context.Context
}

// KeeperOption changes a default of NewKeeper.
type KeeperOption func(*Keeper)

// WithWriteInterval sets the minimum interval between writes of a slot.
func WithWriteInterval(d spanrill.Millis) KeeperOption {
	return func(k *Keeper) { k.writeInterval = d }
}

const (
	// defaultWriteInterval limits the fleet to 40 writes a second over all record.Slots slots.
	defaultWriteInterval = 400 * spanrill.Millis(1)
	maxWaiting           = 4096 // claims and outcomes queued for a slot
	maxBatch             = 1024 // claims and outcomes in one write
	// maxSlotBytes is below the maximum size of a value in the platform.
	maxSlotBytes = 1<<20 - 1<<12
	// failFastDuration is how long claims fail without a write after a write has failed.
	failFastDuration = 300 * spanrill.Millis(1)
	writeRetryDelay  = 100 * spanrill.Millis(1)
	maxWriteAttempts = 3 // of a write whose effect is unknown
)

// NewKeeper returns a keeper that writes until ctx ends.
func NewKeeper(ctx context.Context, store spanrill.ObjectStore, clock spanrill.Clock, opts ...KeeperOption) *Keeper {
	k := &Keeper{store: store, clock: clock, writeInterval: defaultWriteInterval, slots: map[int]*slotKeeper{}, ctx: ctx}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Wait waits for the keeper's goroutines to end.
func (k *Keeper) Wait() error { return k.tasks.Wait() }

// request is a claim, or the outcome of a claimed call, to be written.
type request struct {
	record    record.Record
	isOutcome bool
	answer    chan result
}

// result is the result of a claim.
type result struct {
	granted bool
	record  record.Record
	err     error
}

// Claim claims the record's key for its attempt. It reports whether the key was granted, and
// returns the record that holds the key.
func (k *Keeper) Claim(ctx context.Context, slot int, r record.Record) (bool, record.Record, error) {
	req := request{record: r, answer: make(chan result, 1)}
	if !k.slot(slot).enqueue(req) {
		return false, record.Record{}, ErrBusy
	}
	select {
	case res := <-req.answer:
		return res.granted, res.record, res.err
	case <-ctx.Done():
		return false, record.Record{}, errors.Wrap(spanrill.ErrUncertain, "claim not answered in time")
	}
}

// RecordOutcome queues the outcome of a claimed call to be written, and reports whether the queue
// had room. The record of a call that did not run is removed, so that its key can be claimed again.
func (k *Keeper) RecordOutcome(slot int, r record.Record) bool {
	return k.slot(slot).enqueue(request{record: r, isOutcome: true, answer: make(chan result, 1)})
}

func (k *Keeper) slot(number int) *slotKeeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.slots[number]
	if s == nil {
		s = &slotKeeper{keeper: k, key: record.ObjectKey(number), queue: make(chan request, maxWaiting)}
		k.slots[number] = s
		k.tasks.Start(k.ctx, "slot keeper", s.run)
	}
	return s
}
