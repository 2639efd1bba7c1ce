// Package pool keeps idle values for reuse, a stack for each key.
//
// # Usage
//
//	conns := pool.New[string, net.Conn](pool.WithMaxIdle[string, net.Conn](32))
//	if c, ok := conns.Get("10.0.0.1:80"); ok {
//		...
//	}
//	conns.Put("10.0.0.1:80", c)
package pool

import "sync"

// Pool keeps idle values. It is safe for concurrent use.
type Pool[K comparable, V any] struct {
	mu      sync.Mutex
	idle    map[K][]V
	maxIdle func(K) int
	discard func(V)
	closed  bool
}

// Option changes a default of New.
type Option[K comparable, V any] func(*Pool[K, V])

// WithMaxIdle sets how many values are kept for each key.
func WithMaxIdle[K comparable, V any](n int) Option[K, V] {
	return func(p *Pool[K, V]) { p.maxIdle = func(K) int { return n } }
}

// WithMaxIdleOf sets how many values are kept for each key by what it says whenever one is
// put.
func WithMaxIdleOf[K comparable, V any](n func(K) int) Option[K, V] {
	return func(p *Pool[K, V]) { p.maxIdle = n }
}

// WithDiscard sets what is done with a value that is not kept.
func WithDiscard[K comparable, V any](f func(V)) Option[K, V] {
	return func(p *Pool[K, V]) { p.discard = f }
}

const defaultMaxIdle = 64

// New returns an empty pool.
func New[K comparable, V any](opts ...Option[K, V]) *Pool[K, V] {
	p := &Pool[K, V]{idle: map[K][]V{}, maxIdle: func(K) int { return defaultMaxIdle }, discard: func(V) {}}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Get removes and returns the value that was put last for the key.
func (p *Pool[K, V]) Get(key K) (v V, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stack := p.idle[key]
	if len(stack) == 0 {
		return v, false
	}
	last := len(stack) - 1
	v = stack[last]
	var zero V
	stack[last] = zero
	if last == 0 {
		delete(p.idle, key)
		return v, true
	}
	p.idle[key] = stack[:last]
	return v, true
}

// Put keeps a value for the next Get. When there are enough, those that have lain there
// longest are discarded.
func (p *Pool[K, V]) Put(key K, v V) {
	for _, old := range p.keep(key, v, p.maxIdle(key)) {
		p.discard(old)
	}
}

// keep keeps a value and returns those that are too many.
func (p *Pool[K, V]) keep(key K, v V, most int) (over []V) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || most <= 0 {
		return append(p.take(key), v)
	}
	stack := append(p.idle[key], v)
	n := max(0, len(stack)-most)
	p.idle[key] = stack[n:]
	return stack[:n:n]
}

// take removes and returns all values of a key. The caller holds the lock.
func (p *Pool[K, V]) take(key K) []V {
	stack := p.idle[key]
	delete(p.idle, key)
	return stack
}

// Drop discards the idle values of a key and returns how many there were.
func (p *Pool[K, V]) Drop(key K) int {
	p.mu.Lock()
	stack := p.take(key)
	p.mu.Unlock()
	for _, v := range stack {
		p.discard(v)
	}
	return len(stack)
}

// Close discards all values and keeps none from now on.
func (p *Pool[K, V]) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[K][]V{}, true
	p.mu.Unlock()
	for _, stack := range idle {
		for _, v := range stack {
			p.discard(v)
		}
	}
}
