package routes

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"spanrill"
)

// Current holds the newest table that this process has received, and when that table was last
// confirmed to be the newest. A table is never replaced by an older one.
//
// A read of the store, by this process or by a peer, confirms the table. The time of the
// confirmation is when the read was sent, on this process's monotonic clock. It may be before the start
// of the process, and is spanrill.Never before the first confirmation.
type Current struct {
	clock spanrill.Clock

	mu       sync.Mutex
	snapshot atomic.Pointer[Snapshot]
	unusable atomic.Uint64 // highest revision that is known to exist but cannot replace the table
	outdated atomic.Uint64 // highest of these whose version is lower than that of the table
	newer    newerRevision
	ready    chan struct{}
	// confirmed is closed, and replaced, at each confirmation.
	confirmed chan struct{}
}

// newerRevision is a revision that is known to exist while the table has a lower one.
type newerRevision struct {
	revision uint64          // 0 for none
	knownAt  spanrill.Millis // when a higher revision than that of the table was first heard of
}

// Snapshot is a table and its latest confirmation, as they stood at one moment.
type Snapshot struct {
	table       *Table
	raw         []byte
	revision    uint64
	confirmedAt spanrill.Millis
}

// Table returns the table, or nil before the first.
func (s *Snapshot) Table() *Table { return s.table }

// Revision returns the store's revision of the table, or 0 before the first.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Raw returns the configuration as encoded in the store, or nil before the first.
func (s *Snapshot) Raw() []byte { return s.raw }

// ConfirmedAt returns the time of the latest confirmation on this process's clock, or spanrill.Never
// before the first.
func (s *Snapshot) ConfirmedAt() spanrill.Millis { return s.confirmedAt }

// NewCurrent returns a Current without a table.
func NewCurrent(clock spanrill.Clock) *Current {
	c := &Current{clock: clock, ready: make(chan struct{}), confirmed: make(chan struct{})}
	c.snapshot.Store(&Snapshot{confirmedAt: spanrill.Never})
	return c
}

// Snapshot returns the newest table together with its confirmation. Whoever tells others of both, or
// decides by both, must read them in this one step.
func (c *Current) Snapshot() *Snapshot { return c.snapshot.Load() }

// Table returns the newest table, or nil before the first.
func (c *Current) Table() *Table { return c.Snapshot().table }

// Revision returns the store's revision of the newest table, or 0 before the first.
func (c *Current) Revision() uint64 { return c.Snapshot().revision }

// Handled reports whether Update has already accepted or ignored this or a later revision.
func (c *Current) Handled(revision uint64) bool {
	return revision <= max(c.Revision(), c.unusable.Load())
}

// Ready returns a channel that is closed once there is a table.
func (c *Current) Ready() <-chan struct{} { return c.ready }

// Update replaces the table if t is newer, and reports whether it did. A newer one has a higher
// revision, and a version that is not lower. The latest confirmation remains: what was the newest then
// is not newer than t.
func (c *Current) Update(t *Table, raw []byte, revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.Snapshot()
	if old.table != nil && (revision <= old.revision || t.Version() < old.table.Version()) {
		c.recordUnusable(revision)
		if revision > old.revision {
			c.outdated.Store(max(c.outdated.Load(), revision))
		}
		return false
	}
	c.snapshot.Store(&Snapshot{table: t, raw: raw, revision: revision, confirmedAt: old.confirmedAt})
	if c.newer.revision <= revision {
		c.newer = newerRevision{}
	}
	if old.table == nil {
		close(c.ready)
	}
	return true
}

// RecordKnown records that a revision was heard of, before it is read and put in force.
func (c *Current) RecordKnown(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.Revision() {
		return
	}
	if c.newer.revision == 0 {
		c.newer.knownAt = c.clock.Now()
	}
	c.newer.revision = max(c.newer.revision, revision)
}

// NewerKnownFor returns for how long a higher revision than that of the table has been known, or 0 if
// none is.
func (c *Current) NewerKnownFor() spanrill.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newer.revision == 0 {
		return 0
	}
	return c.clock.Now() - c.newer.knownAt
}

// RecordUnusable records that the store has a revision that cannot be put in force. Until Update
// accepts a later one, the table is not the newest version and cannot be confirmed.
func (c *Current) RecordUnusable(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordUnusable(revision)
}

func (c *Current) recordUnusable(revision uint64) {
	c.unusable.Store(max(c.unusable.Load(), revision))
}

// StoreHasOlder reports whether the newest revision that is known to exist has a lower version than the
// table, as after the store was restored from a backup. The table is then not confirmed, but nothing
// replaces it.
func (c *Current) StoreHasOlder() bool {
	outdated := c.outdated.Load()
	return outdated > c.Revision() && outdated == c.unusable.Load()
}

// ConfirmUnchanged records that the newest version in the store had the given revision at
// checkedAt. It has no effect if the table has another revision or was confirmed later, or if a later
// revision is known.
func (c *Current) ConfirmUnchanged(revision uint64, checkedAt spanrill.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.Snapshot()
	if old.table == nil || revision != old.revision || checkedAt <= old.confirmedAt || c.unusable.Load() > revision {
		return
	}
	updated := *old
	updated.confirmedAt = checkedAt
	c.snapshot.Store(&updated)
	close(c.confirmed)
	c.confirmed = make(chan struct{})
}

// AwaitConfirmation waits until the table was confirmed at since or later. It returns an error if the
// context ends before.
func (c *Current) AwaitConfirmation(ctx context.Context, since spanrill.Millis) error {
	for {
		c.mu.Lock()
		confirmed := c.confirmed
		c.mu.Unlock()
		if c.ConfirmedAt() >= since {
			return nil
		}
		select {
		case <-confirmed:
		case <-ctx.Done():
			return fmt.Errorf("await confirmation of the configuration: %w", ctx.Err())
		}
	}
}

// ConfirmedAt returns the time of the latest confirmation on this process's clock, or spanrill.Never
// before the first.
func (c *Current) ConfirmedAt() spanrill.Millis { return c.Snapshot().confirmedAt }

// Age returns the time since the latest confirmation. Before the first it exceeds every bound.
func (c *Current) Age() spanrill.Millis { return c.clock.Now() - c.ConfirmedAt() }
