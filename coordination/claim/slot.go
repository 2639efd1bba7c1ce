package claim

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/state/record"
)

// slotKeeper writes one slot. Its goroutine owns all fields but the queue.
type slotKeeper struct {
	keeper  *Keeper
	key     string
	queue   chan request
	slot    *record.Slot // as last read or written, or nil
	version spanrill.Version
	written spanrill.Millis // when the slot was written last
	failed  spanrill.Millis // until when claims fail at once
	settled []request       // settlements that still have to be written

	lastWritten *record.Slot // as last written or found up to date, kept across reloads, or nil
	recovered   bool         // slot holds recovered records that are not written yet
}

// put queues a request and reports whether there was room.
func (s *slotKeeper) put(r request) bool {
	select {
	case s.queue <- r:
		return true
	default:
		return false
	}
}

func (s *slotKeeper) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-s.queue:
			s.serve(ctx, s.gather(ctx, r))
		case <-s.retry():
			s.serve(ctx, nil)
		}
	}
}

// retry fires when settlements wait that could not be written before.
func (s *slotKeeper) retry() <-chan spanrill.Millis {
	if len(s.settled) == 0 {
		return nil
	}
	return s.keeper.clock.After(s.keeper.gap)
}

// gather waits until the slot may be written again and takes what has come by
// then. A claim on a quiet slot is written at once.
func (s *slotKeeper) gather(ctx context.Context, first request) []request {
	batch := []request{first}
	if wait := s.written + s.keeper.gap - s.keeper.clock.Now(); s.written > 0 && wait > 0 {
		select {
		case <-ctx.Done():
		case <-s.keeper.clock.After(wait):
		}
	}
	for len(batch) < maxBatch {
		select {
		case r := <-s.queue:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// serve writes a batch and answers it.
func (s *slotKeeper) serve(ctx context.Context, batch []request) {
	claims := batch[:0:0]
	for _, r := range batch {
		if r.settle {
			s.settled = append(s.settled, r)
			continue
		}
		claims = append(claims, r)
	}
	now := s.keeper.clock.Now()
	if now < s.failed {
		answerAll(claims, result{err: spanrill.ErrUnavailable})
		return
	}
	if err := s.write(ctx, claims); err != nil {
		s.slot = nil
		s.failed = s.keeper.clock.Now() + failFast
		answerAll(claims, result{err: err})
	}
}

func answerAll(claims []request, res result) {
	for _, c := range claims {
		c.answer <- res
	}
}

// write makes the slot hold the claims and settlements, and answers the claims
// when it does. On an error nothing was answered.
func (s *slotKeeper) write(ctx context.Context, claims []request) error {
	for ctx.Err() == nil {
		if err := s.load(ctx); err != nil {
			return err
		}
		next, changed := s.next(claims)
		value, err := next.Encode()
		if err != nil {
			return err
		}
		if len(value) > maxSlot {
			return ErrFull
		}
		if changed {
			err = s.store(ctx, value)
		}
		if errors.Is(err, spanrill.ErrConflict) {
			s.slot = nil
			continue
		}
		if err != nil {
			return fmt.Errorf("write slot: %w", err)
		}
		s.done(next, claims, changed)
		return nil
	}
	return ctx.Err()
}

func (s *slotKeeper) done(next *record.Slot, claims []request, changed bool) {
	s.slot, s.lastWritten, s.settled, s.recovered = next, next, nil, false
	if changed {
		s.written = s.keeper.clock.Now()
	}
	for _, c := range claims {
		first, _ := next.Find(c.record.Key)
		c.answer <- result{granted: first.Attempt == c.record.Attempt, record: first}
	}
}

// load reads the slot unless it is known.
func (s *slotKeeper) load(ctx context.Context) error {
	if s.slot != nil {
		return nil
	}
	obj, err := s.keeper.store.Get(ctx, s.key)
	if errors.Is(err, spanrill.ErrNotFound) {
		obj, err = spanrill.Object{}, nil
	}
	if err != nil {
		return fmt.Errorf("read slot: %w", err)
	}
	slot, err := record.Decode(obj.Value)
	if err != nil {
		return err
	}
	s.recovered = s.lastWritten != nil && slot.Recover(s.lastWritten, s.keeper.clock.Unix())
	s.slot, s.version = slot, obj.Version
	return nil
}

// next returns the slot as it is to be. A key that is taken stays with the
// attempt that was first.
func (s *slotKeeper) next(claims []request) (next *record.Slot, changed bool) {
	next, changed = s.slot.Clone(), s.recovered
	next.Expire(s.keeper.clock.Unix())
	for _, r := range s.settled {
		old, ok := next.Find(r.record.Key)
		if !ok && r.record.Outcome != spanrill.OutcomeNotRun {
			// The claim may be missing because an older copy of the slot was
			// restored. Record the outcome anyway to block a repeat.
			old = r.record
			old.Ended = false
		}
		if old.Attempt != r.record.Attempt || old.Ended {
			continue
		}
		changed = true
		if r.record.Outcome == spanrill.OutcomeNotRun {
			next.Remove(old.Key)
			continue
		}
		next.Put(r.record)
	}
	for _, c := range claims {
		if _, taken := next.Find(c.record.Key); !taken {
			next.Put(c.record)
			changed = true
		}
	}
	return next, changed
}

// store writes the slot's value. While the effect of a write is unknown the
// same write is repeated: its condition lets it take effect once. A conflict
// is settled by the caller, who reads the slot and looks for its attempts.
func (s *slotKeeper) store(ctx context.Context, value []byte) error {
	for try := 1; ; try++ {
		version, err := s.keeper.store.Put(ctx, s.key, value, s.version)
		if err == nil {
			s.version = version
			return nil
		}
		if !errors.Is(err, spanrill.ErrUncertain) || try == maxTries {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-s.keeper.clock.After(settleGap):
		}
	}
}
