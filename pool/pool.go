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

import (
	"container/list"
	"sync"
)

// Pool keeps idle values. It is safe for concurrent use.
type Pool[K comparable, V any] struct {
	mu       sync.Mutex
	idle     map[K][]kept[V]
	inOrder  *list.List // of the keys of all idle values, as they were put
	maxIdle  func(K) int
	maxTotal int // 0: no limit
	discard  func(V)
	closed   bool
}

// kept is an idle value and its place in the order of all.
type kept[V any] struct {
	value V
	place *list.Element
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

// WithMaxTotal sets how many values are kept over all keys. Those that have lain longest are
// discarded.
func WithMaxTotal[K comparable, V any](n int) Option[K, V] {
	return func(p *Pool[K, V]) { p.maxTotal = n }
}

// WithDiscard sets what is done with a value that is not kept.
func WithDiscard[K comparable, V any](f func(V)) Option[K, V] {
	return func(p *Pool[K, V]) { p.discard = f }
}

const defaultMaxIdle = 64

// New returns an empty pool.
func New[K comparable, V any](opts ...Option[K, V]) *Pool[K, V] {
	p := &Pool[K, V]{idle: map[K][]kept[V]{}, inOrder: list.New(), maxIdle: func(K) int { return defaultMaxIdle }, discard: func(V) {}}
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
	v = stack[last].value
	p.inOrder.Remove(stack[last].place)
	stack[last] = kept[V]{}
	p.set(key, stack[:last])
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
		return append(p.take(key, len(p.idle[key])), v)
	}
	p.idle[key] = append(p.idle[key], kept[V]{value: v, place: p.inOrder.PushBack(key)})
	over = p.take(key, max(0, len(p.idle[key])-most))
	for p.maxTotal > 0 && p.inOrder.Len() > p.maxTotal {
		over = append(over, p.take(p.inOrder.Front().Value.(K), 1)...)
	}
	return over
}

// take removes and returns the first n values of a key. The caller holds the lock.
func (p *Pool[K, V]) take(key K, n int) []V {
	stack := p.idle[key]
	taken := make([]V, n)
	for i := range taken {
		taken[i] = stack[i].value
		p.inOrder.Remove(stack[i].place)
	}
	p.set(key, stack[n:])
	return taken
}

// set replaces the values of a key. The caller holds the lock.
func (p *Pool[K, V]) set(key K, stack []kept[V]) {
	if len(stack) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = stack
}

// Drop discards the idle values of a key and returns how many there were.
func (p *Pool[K, V]) Drop(key K) int {
	p.mu.Lock()
	taken := p.take(key, len(p.idle[key]))
	p.mu.Unlock()
	for _, v := range taken {
		p.discard(v)
	}
	return len(taken)
}

// Close discards all values and keeps none from now on.
func (p *Pool[K, V]) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[K][]kept[V]{}, true
	p.inOrder.Init()
	p.mu.Unlock()
	for _, stack := range idle {
		for _, k := range stack {
			p.discard(k.value)
		}
	}
}
