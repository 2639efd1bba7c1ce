package routes

import (
	"sync"
	"sync/atomic"

	"spanrill"
)

// Current holds the newest version that this process has received, and when it was last confirmed
// to be the newest. A version is never replaced by an older one.
//
// A version is confirmed by a read of the store, by this process or by a peer. The time of a
// confirmation is that before the read was sent, on the monotonic clock.
type Current struct {
	clock spanrill.Clock

	mu          sync.Mutex
	table       atomic.Pointer[Table]
	revision    atomic.Uint64
	ignored     atomic.Uint64 // highest revision that Update has ignored
	raw         atomic.Pointer[[]byte]
	confirmedAt atomic.Int64
	ready       chan struct{}
}

// NewCurrent returns a Current without a version.
func NewCurrent(clock spanrill.Clock) *Current {
	return &Current{clock: clock, ready: make(chan struct{})}
}

// Table returns the newest version, or nil.
func (c *Current) Table() *Table { return c.table.Load() }

// Revision returns the store's revision of the newest version, or 0.
func (c *Current) Revision() uint64 { return c.revision.Load() }

// Handled reports whether Update has already accepted or ignored this or a later revision.
func (c *Current) Handled(revision uint64) bool {
	return revision <= max(c.revision.Load(), c.ignored.Load())
}

// Raw returns the newest version as encoded in the store, for peers. It is nil before the first.
func (c *Current) Raw() []byte {
	if raw := c.raw.Load(); raw != nil {
		return *raw
	}
	return nil
}

// Ready returns a channel that is closed once there is a version.
func (c *Current) Ready() <-chan struct{} { return c.ready }

// Update replaces the version if the given one is newer, and reports whether it did.
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

// ConfirmUnchanged records that the newest version in the store had the revision at that time. It
// has no effect if this is not the revision held, or if a later confirmation is known.
func (c *Current) ConfirmUnchanged(revision uint64, at spanrill.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Load() == nil || revision != c.revision.Load() {
		return
	}
	if int64(at) > c.confirmedAt.Load() {
		c.confirmedAt.Store(int64(at))
	}
}

// ConfirmedAt returns the time of the latest confirmation, on this process's clock.
func (c *Current) ConfirmedAt() spanrill.Millis { return spanrill.Millis(c.confirmedAt.Load()) }

// Age returns the time since the latest confirmation.
func (c *Current) Age() spanrill.Millis { return c.clock.Now() - c.ConfirmedAt() }
