package routes

import (
	"sync"
	"sync/atomic"

	"spanrill"
)

// Current holds the newest version that this process has seen, and how fresh
// that knowledge is. A version is never replaced by an older one.
//
// Knowledge is proved by a read of the store, made by this process or by a
// peer. A proof counts from before its read was sent, on the steady clock.
type Current struct {
	clock spanrill.Clock

	mu       sync.Mutex
	table    atomic.Pointer[Table]
	revision atomic.Uint64
	ignored  atomic.Uint64 // highest revision that Take has ignored
	raw      atomic.Pointer[[]byte]
	provedAt atomic.Int64
	ready    chan struct{}
}

// NewCurrent returns a Current that knows nothing.
func NewCurrent(clock spanrill.Clock) *Current {
	return &Current{clock: clock, ready: make(chan struct{})}
}

// Table returns the newest version, or nil.
func (c *Current) Table() *Table { return c.table.Load() }

// Revision returns the store's revision of the newest version, or 0.
func (c *Current) Revision() uint64 { return c.revision.Load() }

// Seen reports whether Take has already put in force or ignored this or a later revision.
func (c *Current) Seen(revision uint64) bool {
	return revision <= max(c.revision.Load(), c.ignored.Load())
}

// Raw returns the newest version as it lies in the store, for peers.
func (c *Current) Raw() []byte {
	if raw := c.raw.Load(); raw != nil {
		return *raw
	}
	return nil
}

// Ready returns a channel that is closed once a version is known.
func (c *Current) Ready() <-chan struct{} { return c.ready }

// Take puts a version in force if it is newer than the one held, and reports
// whether it did.
func (c *Current) Take(t *Table, raw []byte, revision uint64) bool {
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

// Prove notes that at the time given the newest version had that revision. A
// proof of another revision than the one held proves nothing.
func (c *Current) Prove(revision uint64, at spanrill.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Load() == nil || revision != c.revision.Load() {
		return
	}
	if int64(at) > c.provedAt.Load() {
		c.provedAt.Store(int64(at))
	}
}

// ProvedAt returns the time of the newest proof, on this process's clock.
func (c *Current) ProvedAt() spanrill.Millis { return spanrill.Millis(c.provedAt.Load()) }

// Age returns how old the newest proof is.
func (c *Current) Age() spanrill.Millis { return c.clock.Now() - c.ProvedAt() }
