package pool

import (
	"slices"
	"testing"
)

// Drop discards all values of its key, so that Get finds none, and keeps those of other keys.
func TestDrop(t *testing.T) {
	var discarded []int
	p := New(WithDiscard[string](func(v int) { discarded = append(discarded, v) }))
	p.Put("a", 1)
	p.Put("a", 2)
	p.Put("b", 3)
	if n := p.Drop("a"); n != 2 || len(discarded) != 2 {
		t.Fatalf("Drop returned %d, want 2; discarded %v, want 2 values", n, discarded)
	}
	if _, ok := p.Get("a"); ok {
		t.Fatal("Get found a value after Drop")
	}
	if v, ok := p.Get("b"); !ok || v != 3 {
		t.Fatalf("Get of another key returned %d, %t; want 3, true", v, ok)
	}
}

// At the limit of a key its oldest value is discarded, and several of them after the limit has
// fallen.
func TestMaxIdleFunc(t *testing.T) {
	var discarded []int
	limit := 2
	p := New(WithMaxIdleFunc[string, int](func(string) int { return limit }), WithDiscard[string](func(v int) { discarded = append(discarded, v) }))
	for v := range 4 {
		p.Put("a", v)
	}
	limit = 1
	p.Put("a", 4)
	if want := []int{0, 1, 2, 3}; !slices.Equal(discarded, want) {
		t.Errorf("discarded %v, want %v", discarded, want)
	}
	limit = 0
	p.Put("a", 5)
	if want := []int{0, 1, 2, 3, 4, 5}; !slices.Equal(discarded, want) {
		t.Errorf("discarded %v, want %v", discarded, want)
	}
	if _, ok := p.Get("a"); ok {
		t.Error("Get found a value under a limit of 0")
	}
}

// The limit over all keys discards the oldest value, whatever its key.
func TestMaxTotal(t *testing.T) {
	var discarded []int
	p := New(WithMaxTotal[string, int](3), WithDiscard[string](func(v int) { discarded = append(discarded, v) }))
	p.Put("a", 1)
	p.Put("b", 2)
	p.Put("a", 3)
	p.Put("c", 4) // discards 1
	if v, ok := p.Get("b"); !ok || v != 2 {
		t.Fatalf("Get returned %d, %t; want 2, true", v, ok)
	}
	p.Put("d", 5)
	p.Put("e", 6) // discards 3, since 2 was taken out by Get
	if want := []int{1, 3}; !slices.Equal(discarded, want) {
		t.Errorf("discarded %v, want %v", discarded, want)
	}
	if n := p.Drop("c"); n != 1 {
		t.Errorf("Drop returned %d, want 1", n)
	}
	p.Close()
	slices.Sort(discarded)
	if want := []int{1, 3, 4, 5, 6}; !slices.Equal(discarded, want) {
		t.Errorf("discarded %v after Close, want %v", discarded, want)
	}
}
