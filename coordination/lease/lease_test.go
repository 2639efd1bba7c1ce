package lease

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/protocol/engineapi"
	"spanrill/protocol/objectapi"
	"spanrill/standin/engine"
	"spanrill/standin/platform"
	"spanrill/standin/platform/platformtest"
	"spanrill/transport/httpcall"
)

const testTime = 15 * spanrill.Second

// daemons are leases on one platform, each with a clock of its own.
type world struct {
	t        *testing.T
	platform *platform.Platform
	addr     string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	p, addr := platformtest.Start(t)
	return &world{t: t, platform: p, addr: addr}
}

func (w *world) lease(name string, c spanrill.Clock) *Lease {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := objectapi.New(w.addr, httpcall.New())
	return New(store, c, "placement/quebec", name, WithTime(testTime), WithLogger(log))
}

func held(t *testing.T, l *Lease, want bool) uint64 {
	t.Helper()
	term, ok := l.Held()
	if ok != want {
		t.Fatalf("%s holds the lease: %v, want %v", l.holder, ok, want)
	}
	return term
}

func TestOneHolderAtATime(t *testing.T) {
	w, c, ctx := newWorld(t), clock.NewManual(), context.Background()
	a, b := w.lease("a", c), w.lease("b", c)
	a.Step(ctx)
	b.Step(ctx)
	held(t, a, true)
	held(t, b, false)
	for range 10 {
		c.Advance(testTime / renewals)
		a.Step(ctx)
		b.Step(ctx)
		held(t, a, true)
		held(t, b, false)
	}
}

// A holder that is frozen past the end of its lease holds nothing when it is
// thawed, and the term of the next holder is higher.
func TestFrozenHolderHoldsNothing(t *testing.T) {
	w, c, ctx := newWorld(t), clock.NewManual(), context.Background()
	a, b := w.lease("a", c), w.lease("b", c)
	a.Step(ctx)
	old := held(t, a, true)
	b.Step(ctx)
	for range 6 { // a is frozen
		c.Advance(testTime / renewals)
		b.Step(ctx)
		if _, both := b.Held(); both {
			held(t, a, false)
		}
	}
	if term := held(t, b, true); term <= old {
		t.Fatalf("the term went from %d to %d", old, term)
	}
	held(t, a, false)
	a.Step(ctx)
	held(t, a, false)
}

// The holder counts from before its write was sent: a slow platform shortens
// the lease and never makes two holders.
func TestSlowWriteDoesNotLengthenTheLease(t *testing.T) {
	w, c, ctx := newWorld(t), clock.NewManual(), context.Background()
	a := w.lease("a", c)
	slow := &slowStore{ObjectStore: a.store, clock: c, delay: testTime}
	a.store = slow
	a.Step(ctx)
	held(t, a, false)
}

// slowStore answers a write only after some time.
type slowStore struct {
	spanrill.ObjectStore
	clock *clock.Manual
	delay spanrill.Millis
}

// Put writes and then lets time pass.
func (s *slowStore) Put(ctx context.Context, key string, value []byte, expect spanrill.Version) (spanrill.Version, error) {
	v, err := s.ObjectStore.Put(ctx, key, value, expect)
	s.clock.Advance(s.delay)
	return v, err
}

func TestLostAnswerIsSettledByReading(t *testing.T) {
	w, c, ctx := newWorld(t), clock.NewManual(), context.Background()
	a, b := w.lease("a", c), w.lease("b", c)
	w.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	a.Step(ctx)
	held(t, a, true)
	w.platform.SetFaults(platform.Faults{LoseRequests: 1})
	c.Advance(testTime / renewals)
	a.Step(ctx)
	b.Step(ctx)
	held(t, a, true) // by its first write
	held(t, b, false)
}

func TestLeaseLapsesDuringAnOutage(t *testing.T) {
	w, c, ctx := newWorld(t), clock.NewManual(), context.Background()
	a := w.lease("a", c)
	a.Step(ctx)
	w.platform.SetFaults(platform.Faults{Down: true})
	for range renewals + 1 {
		c.Advance(testTime / renewals)
		a.Step(ctx)
	}
	held(t, a, false)
	w.platform.SetFaults(platform.Faults{})
	for range renewals + 2 {
		c.Advance(testTime / renewals)
		a.Step(ctx)
	}
	held(t, a, true)
}

func TestHandedBackLeaseIsTakenAtOnce(t *testing.T) {
	w, c, ctx := newWorld(t), clock.NewManual(), context.Background()
	a, b := w.lease("a", c), w.lease("b", c)
	a.Step(ctx)
	a.handBack()
	held(t, a, false)
	b.Step(ctx)
	held(t, b, true)
}

// A daemon that was frozen between its look and its act sends an order of an
// old term. An engine that checks fences refuses it; one that does not takes
// it, which is why a new holder waits and reads back.
func TestFenceRefusesTheOrderOfAFrozenHolder(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		e := engine.New("e1")
		addr, err := e.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		e.SetFaults(engine.Faults{IgnoreFences: ignores})
		engines := engineapi.New(httpcall.New())
		order := func(term uint64, to int) error {
			return engines.Order(context.Background(), addr, spanrill.Order{
				Kind: spanrill.OrderLoad, Duty: "placement/quebec", Term: term,
				Model: "advice", Version: "1", Layers: spanrill.LayerRange{To: to}, LayerNum: 24,
			})
		}
		if err := order(2, 8); err != nil {
			t.Fatal(err)
		}
		if err := order(1, 4); (err == nil) != ignores {
			t.Errorf("ignores fences %v: the old order got %v", ignores, err)
		}
	}
}

func TestSettledWaitsOutEarlierOrders(t *testing.T) {
	w, c := newWorld(t), clock.NewManual()
	a := w.lease("a", c)
	a.Step(context.Background())
	if a.Settled(3 * spanrill.Second) {
		t.Fatal("settled at once")
	}
	c.Advance(3 * spanrill.Second)
	if !a.Settled(3 * spanrill.Second) {
		t.Fatal("not settled after the longest order")
	}
}

// A daemon that has heard from the holder for how long its lease holds takes it
// when that time is over, without watching it for the whole time first, and not
// before.
func TestHeardLeaseIsTakenWhenItLapses(t *testing.T) {
	w, c, ctx := newWorld(t), clock.NewManual(), context.Background()
	a, b := w.lease("a", c), w.lease("b", c)
	a.Step(ctx)
	c.Advance(testTime / 2)
	v, left := a.Left()
	b.Heard(v, left)
	b.Step(ctx)
	held(t, b, false)
	c.Advance(left)
	held(t, a, false)
	b.Step(ctx)
	held(t, b, false) // the margin is not over
	c.Advance(left/margin + 1)
	b.Step(ctx)
	held(t, b, true)
}

// A lease that was renewed since it was heard of is not taken.
func TestRenewedLeaseIsNotTaken(t *testing.T) {
	w, c, ctx := newWorld(t), clock.NewManual(), context.Background()
	a, b := w.lease("a", c), w.lease("b", c)
	a.Step(ctx)
	v, left := a.Left()
	b.Heard(v, left)
	c.Advance(testTime - 1)
	a.Step(ctx)
	c.Advance(testTime/margin + 2)
	b.Step(ctx)
	held(t, b, false)
	held(t, a, true)
}
