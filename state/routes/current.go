package routes

import (
	"sync"
	"sync/atomic"

	"spanrill"
)

// Current holds the newest table that this process has received, and when that table was last
// confirmed to be the newest. A table is never replaced by an older one.
//
// A read of the store, by this process or by a peer, confirms the table. The time of the
// confirmation is when the read was sent, on this process's monotonic clock.
type Current struct {
	clock spanrill.Clock

	mu          sync.Mutex
	table       atomic.Pointer[Table]
	revision    atomic.Uint64
	ignored     atomic.Uint64 // highest revision that Update has ignored
	raw         atomic.Pointer[[]byte]
	confirmedAt atomic.Int64 // spanrill.Millis
	ready       chan struct{}
}

// NewCurrent returns a Current without a table.
func NewCurrent(clock spanrill.Clock) *Current {
	return &Current{clock: clock, ready: make(chan struct{})}
}

// Table returns the newest table, or nil before the first.
func (c *Current) Table() *Table { return c.table.Load() }

// Revision returns the store's revision of the newest table, or 0 before the first.
func (c *Current) Revision() uint64 { return c.revision.Load() }

// Handled reports whether Update has already accepted or ignored this or a later revision.
func (c *Current) Handled(revision uint64) bool {
	return revision <= max(c.revision.Load(), c.ignored.Load())
}

// Raw returns the newest configuration as encoded in the store, for peers. It is nil before the
// first.
func (c *Current) Raw() []byte {
	if raw := c.raw.Load(); raw != nil {
		return *raw
	}
	return nil
}

// Ready returns a channel that is closed once there is a table.
func (c *Current) Ready() <-chan struct{} { return c.ready }

// Update replaces the table if t is newer, and reports whether it did. A newer one has a higher
// revision, and a version that is not lower.
func (c *Current) Update(t *Table, raw []byte, revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.table.Load()
	if old != nil && (revision <= c.revision.Load() || t.Version() < old.Version()) {
		c.ignored.Store(max(c.ignored.Load(), revision))
		return false
	}
	c.table.Store(t)
	c.raw.Store(&raw)
	c.revision.Store(revision)
	if old == nil {
		close(c.ready)
	}
	return true
}

// ConfirmUnchanged records that the newest version in the store had the given revision at
// checkedAt. It has no effect if the table has another revision or was confirmed later.
func (c *Current) ConfirmUnchanged(revision uint64, checkedAt spanrill.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Load() == nil || revision != c.revision.Load() {
		return
	}
	if int64(checkedAt) > c.confirmedAt.Load() {
		c.confirmedAt.Store(int64(checkedAt))
	}
}

// ConfirmedAt returns the time of the latest confirmation on this process's clock, or 0 before the
// first.
func (c *Current) ConfirmedAt() spanrill.Millis { return spanrill.Millis(c.confirmedAt.Load()) }

// Age returns the time since the latest confirmation.
func (c *Current) Age() spanrill.Millis { return c.clock.Now() - c.ConfirmedAt() }
