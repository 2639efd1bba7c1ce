package suspect

import (
	"context"
	"io"
	"strconv"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
)

// cell is a store of one object.
type cell struct {
	spanrill.ObjectStore
	object spanrill.Object
	calls  int
	down   bool
}

func (c *cell) Get(context.Context, string) (spanrill.Object, error) {
	c.calls++
	switch {
	case c.down:
		return spanrill.Object{}, spanrill.ErrUnavailable
	case c.object.Version == "":
		return spanrill.Object{}, spanrill.ErrNotFound
	}
	return c.object, nil
}

func (c *cell) Put(_ context.Context, _ string, value []byte, expect spanrill.Version) (spanrill.Version, error) {
	c.calls++
	switch {
	case c.down:
		return "", spanrill.ErrUnavailable
	case c.object.Version != expect:
		return "", spanrill.ErrConflict
	}
	c.object = spanrill.Object{Value: value, Version: spanrill.Version(strconv.Itoa(c.calls))}
	return c.object.Version, nil
}

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// prove lets three upstreams end under a content.
func prove(l *Ledger, c Content, at spanrill.Millis) {
	for u := range uint32(provedAfter) {
		l.Lost(c, Loss{Upstream: u, At: at, Fresh: true})
	}
}

// What one daemon has kept is known to one that starts when no daemon lives any more, and a
// calm fleet makes one call.
func TestKeptBeyondAllDaemons(t *testing.T) {
	c, store, ctx := clock.NewManual(), &cell{}, context.Background()
	always := func() bool { return true }
	first := New(c)
	keeper := NewKeeper(first, store, c, quiet(), always)
	for range 20 {
		c.Advance(keepGap)
		keeper.Look(ctx)
	}
	if store.calls != 1 {
		t.Errorf("%d calls in calm, want 1", store.calls)
	}
	prove(first, 7, c.Now())
	keeper.Look(ctx)
	next := New(c)
	NewKeeper(next, store, c, quiet(), always).Look(ctx)
	if !next.Begin(7).Judge().Proved() {
		t.Fatal("a daemon that starts does not know what was kept")
	}
}

// Two daemons that both take the duty for theirs, a store that is away for a while, and bytes
// that cannot be read lose nothing.
func TestKeepersMeet(t *testing.T) {
	c, store, ctx := clock.NewManual(), &cell{}, context.Background()
	ledgers := []*Ledger{New(c), New(c)}
	var keepers []*Keeper
	for _, l := range ledgers {
		keepers = append(keepers, NewKeeper(l, store, c, quiet(), func() bool { return true }))
	}
	look := func() {
		for range 4 {
			c.Advance(keepPause)
			for _, k := range keepers {
				k.Look(ctx)
			}
		}
	}
	look()
	prove(ledgers[0], 1, c.Now())
	prove(ledgers[1], 2, c.Now())
	store.down = true
	look()
	store.down = false
	look()
	next := New(c)
	k := NewKeeper(next, store, c, quiet(), func() bool { return true })
	k.Look(ctx)
	if !next.Begin(1).Judge().Proved() || !next.Begin(2).Judge().Proved() {
		t.Error("the store does not hold what both have found")
	}
	store.object.Value = []byte(`{"marks": "none"}`)
	next = New(c)
	k = NewKeeper(next, store, c, quiet(), func() bool { return true })
	k.Look(ctx)
	prove(next, 3, c.Now())
	k.Look(ctx)
	after := New(c)
	NewKeeper(after, store, c, quiet(), func() bool { return true }).Look(ctx)
	if !after.Begin(3).Judge().Proved() {
		t.Error("nothing is kept behind bytes that cannot be read")
	}
}

// Guards against the loss of marks when the store is restored from an older copy.
func TestMarksKeptAfterRestore(t *testing.T) {
	c, store, era := clock.NewManual(), &cell{}, uint64(1)
	first := New(c)
	keeper := NewKeeper(first, store, c, quiet(), func() bool { return true }, WithEra(func() uint64 { return era }))
	keeper.Look(context.Background())
	older := store.object
	prove(first, 7, c.Now())
	keeper.Look(context.Background())
	store.object, era = older, 2
	for range 3 {
		c.Advance(keepPause)
		keeper.Look(context.Background())
	}
	next := New(c)
	NewKeeper(next, store, c, quiet(), func() bool { return true }).Look(context.Background())
	if !next.Begin(7).Judge().Proved() {
		t.Error("the restored store lacks a mark that was written before the restore")
	}
}
