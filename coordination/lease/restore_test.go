package lease

import (
	"context"
	"testing"

	"spanrill"
	"spanrill/clock"
)

// fakeStore holds a single object and can be restored from an older copy.
type fakeStore struct {
	object spanrill.Object
	era    uint64
	writes uint64
}

func (s *fakeStore) Get(context.Context, string) (spanrill.Object, error) {
	if s.object.Version == "" {
		return s.object, spanrill.ErrNotFound
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, _ string, value []byte, expect spanrill.Version) (spanrill.Version, error) {
	if expect != s.object.Version {
		return "", spanrill.ErrConflict
	}
	s.writes++
	s.object = spanrill.Object{Value: value, Version: spanrill.Version(rune('a' + s.writes))}
	return s.object.Version, nil
}

func (s *fakeStore) Watch(ctx context.Context, key string, _ spanrill.Version, _ spanrill.Millis) (spanrill.Object, error) {
	return s.Get(ctx, key)
}

// restore replaces the object with an older one and begins a new era.
func (s *fakeStore) restore(o spanrill.Object) {
	s.object = o
	s.era++
}

// Guards against two concurrent holders, a decreasing term, and a lease that is never acquired
// after the store was restored from an older copy.
func TestTakeoverAfterRestore(t *testing.T) {
	for _, test := range []struct {
		name       string
		restored   func(first, handedBack spanrill.Object) spanrill.Object
		reportsEra bool
	}{
		{"the lease is missing", func(_, _ spanrill.Object) spanrill.Object { return spanrill.Object{} }, true},
		{"the lease is missing, era not reported", func(_, _ spanrill.Object) spanrill.Object { return spanrill.Object{} }, false},
		{"the lease is free", func(_, handedBack spanrill.Object) spanrill.Object { return handedBack }, true},
		{"the lease is free, era not reported", func(_, handedBack spanrill.Object) spanrill.Object { return handedBack }, false},
		{"the lease names its first holder", func(first, _ spanrill.Object) spanrill.Object { return first }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			store, c, ctx := &fakeStore{era: 1}, clock.NewManual(), context.Background()
			c.Advance(1000)
			lease := func(name string) *Lease {
				era := func() uint64 { return store.era }
				if !test.reportsEra {
					era = func() uint64 { return 0 }
				}
				return New(store, c, "placement", name, WithDuration(testDuration), WithEra(era))
			}
			first, a, b := lease("first"), lease("a"), lease("b")
			first.RenewOrAcquire(ctx)
			firstRecord := store.object
			first.handBack()
			free := store.object
			a.RenewOrAcquire(ctx)
			b.RenewOrAcquire(ctx)
			before := checkHeld(t, a, true)
			store.restore(test.restored(firstRecord, free))
			for range 3 * renewalsPerDuration {
				b.RenewOrAcquire(ctx) // a has no connection to the store
				_, other := b.Held()
				if _, both := a.Held(); both && other {
					t.Fatal("two daemons hold the lease")
				}
				c.Advance(testDuration / renewalsPerDuration)
			}
			if term := checkHeld(t, b, true); term <= before {
				t.Errorf("term changed from %d to %d, want a higher one", before, term)
			}
		})
	}
}

// Guards against a holder that loses its lease because the store was restored.
func TestHolderKeepsLeaseAfterRestore(t *testing.T) {
	store, c, ctx := &fakeStore{era: 1}, clock.NewManual(), context.Background()
	c.Advance(1000)
	a := New(store, c, "placement", "a", WithDuration(testDuration), WithEra(func() uint64 { return store.era }))
	a.RenewOrAcquire(ctx)
	before := checkHeld(t, a, true)
	store.restore(spanrill.Object{})
	for range 2 * renewalsPerDuration {
		c.Advance(testDuration / renewalsPerDuration)
		a.RenewOrAcquire(ctx)
		if term := checkHeld(t, a, true); term < before {
			t.Errorf("term decreased from %d to %d", before, term)
		}
	}
}
