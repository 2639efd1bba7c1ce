// Package ring provides a ring buffer that keeps the newest values of a sequence.
//
// # Usage
//
//	r := ring.New[string](256)
//	r.Add("x")
//	newestFirst := r.Values()
package ring

import "sync"

// Ring keeps the newest of the values that were added. It is safe for concurrent use.
type Ring[V any] struct {
	mu     sync.Mutex
	values []V
	next   int // index of the next write
	full   bool
}

// New returns a ring that keeps the newest n values. It must hold at least one.
func New[V any](n int) *Ring[V] {
	return &Ring[V]{values: make([]V, n)}
}

// Add adds a value. It replaces the oldest one if the ring is full.
func (r *Ring[V]) Add(v V) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[r.next] = v
	r.next = (r.next + 1) % len(r.values)
	r.full = r.full || r.next == 0
}

// Values returns the values, newest first.
func (r *Ring[V]) Values() []V {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.next
	if r.full {
		n = len(r.values)
	}
	newestFirst := make([]V, 0, n)
	for i := 1; i <= n; i++ {
		newestFirst = append(newestFirst, r.values[(r.next-i+len(r.values))%len(r.values)])
	}
	return newestFirst
}
