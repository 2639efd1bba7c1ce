package claim

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/state/record"
)

// slotKeeper writes a slot. Its goroutine owns all fields except queue.
type slotKeeper struct {
	keeper        *Keeper
	key           string
	queue         chan request
	slot          *record.Slot // as last read or written, or nil if unknown
	version       spanrill.Version
	writtenAt     spanrill.Millis // when the slot was last written
	failFastUntil spanrill.Millis // time until which claims fail without a write
	outcomes      []request       // outcomes of calls not written yet

	lastWritten *record.Slot // as last written or found up to date, also after a reload, or nil
	recovered   bool         // whether slot contains recovered records not written yet
}

// enqueue queues a request and reports whether the queue had room.
func (s *slotKeeper) enqueue(r request) bool {
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
			s.processBatch(ctx, s.collectBatch(ctx, r))
		case <-s.retryTimer():
			s.processBatch(ctx, nil)
		}
	}
}

// retryTimer fires when outcomes are to be written again after a failure.
func (s *slotKeeper) retryTimer() <-chan spanrill.Millis {
	if len(s.outcomes) == 0 {
		return nil
	}
	return s.keeper.clock.After(s.keeper.writeInterval)
}

// collectBatch waits until the slot may be written again, and returns the first request together
// with those queued by then. If the slot was not written recently, it does not wait.
func (s *slotKeeper) collectBatch(ctx context.Context, first request) []request {
	batch := []request{first}
	if wait := s.writtenAt + s.keeper.writeInterval - s.keeper.clock.Now(); s.writtenAt > 0 && wait > 0 {
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

// processBatch writes a batch and answers its claims.
func (s *slotKeeper) processBatch(ctx context.Context, batch []request) {
	claims := batch[:0:0]
	for _, r := range batch {
		if r.isOutcome {
			s.outcomes = append(s.outcomes, r)
			continue
		}
		claims = append(claims, r)
	}
	now := s.keeper.clock.Now()
	if now < s.failFastUntil {
		answerAll(claims, result{err: spanrill.ErrUnavailable})
		return
	}
	if err := s.write(ctx, claims); err != nil {
		s.slot = nil
		s.failFastUntil = s.keeper.clock.Now() + failFastDuration
		answerAll(claims, result{err: err})
	}
}

func answerAll(claims []request, res result) {
	for _, c := range claims {
		c.answer <- res
	}
}

// write adds the claims and outcomes to the slot and then answers the claims. If it returns an
// error, no claim was answered.
func (s *slotKeeper) write(ctx context.Context, claims []request) error {
	for ctx.Err() == nil {
		if err := s.load(ctx); err != nil {
			return err
		}
		next, changed := s.applyRequests(claims)
		value, err := next.Encode()
		if err != nil {
			return err
		}
		if len(value) > maxSlotBytes {
			return ErrFull
		}
		if changed {
			err = s.putValue(ctx, value)
		}
		if errors.Is(err, spanrill.ErrConflict) {
			s.slot = nil
			continue
		}
		if err != nil {
			return fmt.Errorf("write slot: %w", err)
		}
		s.commit(next, claims, changed)
		return nil
	}
	return ctx.Err()
}

func (s *slotKeeper) commit(next *record.Slot, claims []request, changed bool) {
	s.slot, s.lastWritten, s.outcomes, s.recovered = next, next, nil, false
	if changed {
		s.writtenAt = s.keeper.clock.Now()
	}
	for _, c := range claims {
		first, _ := next.Find(c.record.Key)
		c.answer <- result{granted: first.Attempt == c.record.Attempt, record: first}
	}
}

// load reads the slot unless its content is known.
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

// applyRequests returns the slot with the outcomes and claims applied, and whether it has
// changed. A claimed key stays with the attempt that claimed it first.
func (s *slotKeeper) applyRequests(claims []request) (next *record.Slot, changed bool) {
	next, changed = s.slot.Clone(), s.recovered
	next.Expire(s.keeper.clock.Unix())
	for _, r := range s.outcomes {
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

// putValue writes the slot's value. A write whose effect is unknown is repeated; because it is
// conditional, it takes effect at most once. After a conflict the caller reads the slot again, and
// finds there whether its attempts were written.
func (s *slotKeeper) putValue(ctx context.Context, value []byte) error {
	for try := 1; ; try++ {
		version, err := s.keeper.store.Put(ctx, s.key, value, s.version)
		if err == nil {
			s.version = version
			return nil
		}
		if !errors.Is(err, spanrill.ErrUncertain) || try == maxWriteAttempts {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-s.keeper.clock.After(writeRetryDelay):
		}
	}
}
