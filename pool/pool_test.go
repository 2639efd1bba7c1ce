package pool

import (
	"slices"
	"testing"
)

// Drop discards all values of its key and none of others; Get then finds none.
func TestDrop(t *testing.T) {
	var discarded []int
	p := New(WithDiscard[string](func(v int) { discarded = append(discarded, v) }))
	p.Put("a", 1)
	p.Put("a", 2)
	p.Put("b", 3)
	if n := p.Drop("a"); n != 2 || len(discarded) != 2 {
		t.Fatalf("%d dropped, discarded %v", n, discarded)
	}
	if _, ok := p.Get("a"); ok {
		t.Fatal("a value was kept")
	}
	if v, ok := p.Get("b"); !ok || v != 3 {
		t.Fatalf("got %d, %t", v, ok)
	}
}

// When there are enough values of a key, those that have lain there longest go; a bound that
// falls takes more than one.
func TestMaxIdleOf(t *testing.T) {
	var discarded []int
	most := 2
	p := New(WithMaxIdleOf[string, int](func(string) int { return most }), WithDiscard[string](func(v int) { discarded = append(discarded, v) }))
	for v := range 4 {
		p.Put("a", v)
	}
	most = 1
	p.Put("a", 4)
	if want := []int{0, 1, 2, 3}; !slices.Equal(discarded, want) {
		t.Errorf("discarded %v, want %v", discarded, want)
	}
	most = 0
	p.Put("a", 5)
	if want := []int{0, 1, 2, 3, 4, 5}; !slices.Equal(discarded, want) {
		t.Errorf("discarded %v, want %v", discarded, want)
	}
	if _, ok := p.Get("a"); ok {
		t.Error("a value was kept")
	}
}

// A bound on all values discards those that have lain longest, whatever their key.
func TestMaxTotal(t *testing.T) {
	var discarded []int
	p := New(WithMaxTotal[string, int](3), WithDiscard[string](func(v int) { discarded = append(discarded, v) }))
	p.Put("a", 1)
	p.Put("b", 2)
	p.Put("a", 3)
	p.Put("c", 4) // 1 goes
	if v, ok := p.Get("b"); !ok || v != 2 {
		t.Fatalf("got %d, %t", v, ok)
	}
	p.Put("d", 5)
	p.Put("e", 6) // 3 goes, since 2 is in use
	if want := []int{1, 3}; !slices.Equal(discarded, want) {
		t.Errorf("discarded %v, want %v", discarded, want)
	}
	if n := p.Drop("c"); n != 1 {
		t.Errorf("%d dropped, want 1", n)
	}
	p.Close()
	slices.Sort(discarded)
	if want := []int{1, 3, 4, 5, 6}; !slices.Equal(discarded, want) {
		t.Errorf("discarded %v at the end, want %v", discarded, want)
	}
}
