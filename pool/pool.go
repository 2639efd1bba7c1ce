// Package pool keeps idle values, such as connections, for reuse. Each key has its own stack, so
// that the value used last is reused first.
//
// # Usage
//
//	conns := pool.New[string, net.Conn](pool.WithMaxIdle[string, net.Conn](32))
//	if c, ok := conns.Get("10.0.0.1:80"); ok {
//		...
//	}
//	conns.Put("10.0.0.1:80", c)
package pool

import (
	"container/list"
	"sync"
)

// Pool keeps idle values. It is safe for concurrent use.
type Pool[K comparable, V any] struct {
	mu       sync.Mutex
	idle     map[K][]idleValue[V] // oldest first
	byAge    *list.List           // one key for each idle value, oldest first
	maxIdle  func(K) int
	maxTotal int // over all keys; 0 for no limit
	discard  func(V)
	closed   bool
}

// idleValue is an idle value and its element in Pool.byAge.
type idleValue[V any] struct {
	value   V
	element *list.Element
}

// Option changes a default of New.
type Option[K comparable, V any] func(*Pool[K, V])

// WithMaxIdle sets how many values are kept for each key.
func WithMaxIdle[K comparable, V any](n int) Option[K, V] {
	return func(p *Pool[K, V]) { p.maxIdle = func(K) int { return n } }
}

// WithMaxIdleFunc sets a function that returns how many values are kept for a key. Each Put calls
// it.
func WithMaxIdleFunc[K comparable, V any](maxIdle func(K) int) Option[K, V] {
	return func(p *Pool[K, V]) { p.maxIdle = maxIdle }
}

// WithMaxTotal sets how many values are kept over all keys. Beyond that, the oldest are
// discarded.
func WithMaxTotal[K comparable, V any](n int) Option[K, V] {
	return func(p *Pool[K, V]) { p.maxTotal = n }
}

// WithDiscard sets the function that is called with each value that is not kept.
func WithDiscard[K comparable, V any](f func(V)) Option[K, V] {
	return func(p *Pool[K, V]) { p.discard = f }
}

const defaultMaxIdle = 64 // values for each key

// New returns an empty pool.
func New[K comparable, V any](opts ...Option[K, V]) *Pool[K, V] {
	p := &Pool[K, V]{idle: map[K][]idleValue[V]{}, byAge: list.New(), maxIdle: func(K) int { return defaultMaxIdle }, discard: func(V) {}}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Get removes and returns the newest value of the key.
func (p *Pool[K, V]) Get(key K) (v V, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stack := p.idle[key]
	if len(stack) == 0 {
		return v, false
	}
	last := len(stack) - 1
	v = stack[last].value
	p.byAge.Remove(stack[last].element)
	stack[last] = idleValue[V]{}
	p.setStack(key, stack[:last])
	return v, true
}

// Put keeps a value for a later Get. If this exceeds a limit, the oldest values are discarded,
// which may include v.
func (p *Pool[K, V]) Put(key K, v V) {
	for _, evicted := range p.add(key, v, p.maxIdle(key)) {
		p.discard(evicted)
	}
}

// add keeps a value and returns those that exceed a limit, which may include v itself.
func (p *Pool[K, V]) add(key K, v V, limit int) (evicted []V) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || limit <= 0 {
		return append(p.removeOldest(key, len(p.idle[key])), v)
	}
	p.idle[key] = append(p.idle[key], idleValue[V]{value: v, element: p.byAge.PushBack(key)})
	evicted = p.removeOldest(key, max(0, len(p.idle[key])-limit))
	for p.maxTotal > 0 && p.byAge.Len() > p.maxTotal {
		evicted = append(evicted, p.removeOldest(p.byAge.Front().Value.(K), 1)...)
	}
	return evicted
}

// removeOldest removes and returns the n oldest values of a key. The caller holds the lock.
func (p *Pool[K, V]) removeOldest(key K, n int) []V {
	stack := p.idle[key]
	removed := make([]V, n)
	for i := range removed {
		removed[i] = stack[i].value
		p.byAge.Remove(stack[i].element)
	}
	p.setStack(key, stack[n:])
	return removed
}

// setStack replaces the idle values of a key, and removes the key if there are none. The caller
// holds the lock.
func (p *Pool[K, V]) setStack(key K, stack []idleValue[V]) {
	if len(stack) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = stack
}

// Drop discards the idle values of a key and returns how many there were.
func (p *Pool[K, V]) Drop(key K) int {
	p.mu.Lock()
	removed := p.removeOldest(key, len(p.idle[key]))
	p.mu.Unlock()
	for _, v := range removed {
		p.discard(v)
	}
	return len(removed)
}

// Close discards all idle values. A value that is put later is discarded, too.
func (p *Pool[K, V]) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[K][]idleValue[V]{}, true
	p.byAge.Init()
	p.mu.Unlock()
	for _, stack := range idle {
		for _, entry := range stack {
			p.discard(entry.value)
		}
	}
}
