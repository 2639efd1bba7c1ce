package pool

import "testing"

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
