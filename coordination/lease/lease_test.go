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

const testDuration = 15 * spanrill.Second

// testPlatform is a platform on which several daemons contend for one lease.
type testPlatform struct {
	t        *testing.T
	platform *platform.Platform
	addr     string
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	p, addr := platformtest.Start(t)
	return &testPlatform{t: t, platform: p, addr: addr}
}

func (p *testPlatform) lease(name string, c spanrill.Clock) *Lease {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := objectapi.New(p.addr, httpcall.New())
	return New(store, c, "placement/quebec", name, WithDuration(testDuration), WithLogger(log))
}

func checkHeld(t *testing.T, l *Lease, want bool) uint64 {
	t.Helper()
	term, ok := l.Held()
	if ok != want {
		t.Fatalf("%s holds the lease: %v, want %v", l.holder, ok, want)
	}
	return term
}

func TestOneHolderAtATime(t *testing.T) {
	p, c, ctx := newTestPlatform(t), clock.NewManual(), context.Background()
	a, b := p.lease("a", c), p.lease("b", c)
	a.RenewOrAcquire(ctx)
	b.RenewOrAcquire(ctx)
	checkHeld(t, a, true)
	checkHeld(t, b, false)
	for range 10 {
		c.Advance(testDuration / renewalsPerDuration)
		a.RenewOrAcquire(ctx)
		b.RenewOrAcquire(ctx)
		checkHeld(t, a, true)
		checkHeld(t, b, false)
	}
}

// Guards against a holder that still holds its lease after it was frozen beyond its expiry, and
// against a next holder with the same or a lower term.
func TestFrozenHolderLosesLease(t *testing.T) {
	p, c, ctx := newTestPlatform(t), clock.NewManual(), context.Background()
	a, b := p.lease("a", c), p.lease("b", c)
	a.RenewOrAcquire(ctx)
	old := checkHeld(t, a, true)
	b.RenewOrAcquire(ctx)
	for range 6 { // a is frozen
		c.Advance(testDuration / renewalsPerDuration)
		b.RenewOrAcquire(ctx)
		if _, both := b.Held(); both {
			checkHeld(t, a, false)
		}
	}
	if term := checkHeld(t, b, true); term <= old {
		t.Fatalf("term changed from %d to %d, want a higher one", old, term)
	}
	checkHeld(t, a, false)
	a.RenewOrAcquire(ctx)
	checkHeld(t, a, false)
}

// Guards against two holders because of a slow platform: the duration counts from before the write
// is sent, so that a slow write shortens the lease.
func TestSlowWriteDoesNotExtendTheLease(t *testing.T) {
	p, c, ctx := newTestPlatform(t), clock.NewManual(), context.Background()
	a := p.lease("a", c)
	slow := &slowStore{ObjectStore: a.store, clock: c, delay: testDuration}
	a.store = slow
	a.RenewOrAcquire(ctx)
	checkHeld(t, a, false)
}

// slowStore advances the clock before it answers a write.
type slowStore struct {
	spanrill.ObjectStore
	clock *clock.Manual
	delay spanrill.Millis
}

// Put writes and then advances the clock.
func (s *slowStore) Put(ctx context.Context, key string, value []byte, expect spanrill.Version) (spanrill.Version, error) {
	v, err := s.ObjectStore.Put(ctx, key, value, expect)
	s.clock.Advance(s.delay)
	return v, err
}

func TestLostAnswerIsResolvedByReading(t *testing.T) {
	p, c, ctx := newTestPlatform(t), clock.NewManual(), context.Background()
	a, b := p.lease("a", c), p.lease("b", c)
	p.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	a.RenewOrAcquire(ctx)
	checkHeld(t, a, true)
	p.platform.SetFaults(platform.Faults{LoseRequests: 1})
	c.Advance(testDuration / renewalsPerDuration)
	a.RenewOrAcquire(ctx)
	b.RenewOrAcquire(ctx)
	checkHeld(t, a, true) // its first write is still valid
	checkHeld(t, b, false)
}

func TestLeaseExpiresDuringAnOutage(t *testing.T) {
	p, c, ctx := newTestPlatform(t), clock.NewManual(), context.Background()
	a := p.lease("a", c)
	a.RenewOrAcquire(ctx)
	p.platform.SetFaults(platform.Faults{Down: true})
	for range renewalsPerDuration + 1 {
		c.Advance(testDuration / renewalsPerDuration)
		a.RenewOrAcquire(ctx)
	}
	checkHeld(t, a, false)
	p.platform.SetFaults(platform.Faults{})
	for range renewalsPerDuration + 2 {
		c.Advance(testDuration / renewalsPerDuration)
		a.RenewOrAcquire(ctx)
	}
	checkHeld(t, a, true)
}

func TestHandedBackLeaseIsAvailableAtOnce(t *testing.T) {
	p, c, ctx := newTestPlatform(t), clock.NewManual(), context.Background()
	a, b := p.lease("a", c), p.lease("b", c)
	a.RenewOrAcquire(ctx)
	a.handBack()
	checkHeld(t, a, false)
	b.RenewOrAcquire(ctx)
	checkHeld(t, b, true)
}

// Guards against an engine that checks fencing tokens but accepts an order with an old term. A
// daemon that was frozen after it checked its lease sends such an order. An engine that does not
// check fencing tokens accepts it, which is why a new holder waits and reads back.
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
				Kind: spanrill.OrderLoad, LeaseName: "placement/quebec", Term: term,
				Model: "advice", Version: "1", Layers: spanrill.LayerRange{To: to}, LayerCount: 24,
			})
		}
		if err := order(2, 8); err != nil {
			t.Fatal(err)
		}
		if err := order(1, 4); (err == nil) != ignores {
			t.Errorf("IgnoreFences %v: the order with the old term returned error %v, want an error only if fences are checked", ignores, err)
		}
	}
}

func TestNewHolderWaitsForEarlierOrders(t *testing.T) {
	p, c := newTestPlatform(t), clock.NewManual()
	a := p.lease("a", c)
	a.RenewOrAcquire(context.Background())
	if a.HeldFor(3 * spanrill.Second) {
		t.Fatal("HeldFor(3 s) is true immediately after the lease was acquired")
	}
	c.Advance(3 * spanrill.Second)
	if !a.HeldFor(3 * spanrill.Second) {
		t.Fatal("HeldFor(3 s) is false 3 s after the lease was acquired")
	}
}

// Guards against acquiring a lease before the expiry that its holder reported, and against waiting
// for the whole duration after that expiry.
func TestReportedLeaseIsAcquiredWhenItExpires(t *testing.T) {
	p, c, ctx := newTestPlatform(t), clock.NewManual(), context.Background()
	a, b := p.lease("a", c), p.lease("b", c)
	a.RenewOrAcquire(ctx)
	c.Advance(testDuration / 2)
	v, left := a.Remaining()
	b.RecordExpiry(v, left)
	b.RenewOrAcquire(ctx)
	checkHeld(t, b, false)
	c.Advance(left)
	checkHeld(t, a, false)
	b.RenewOrAcquire(ctx)
	checkHeld(t, b, false) // the margin has not passed
	c.Advance(left/marginDivisor + 1)
	b.RenewOrAcquire(ctx)
	checkHeld(t, b, true)
}

// Guards against acquiring a lease that was renewed after its holder reported the expiry.
func TestRenewedReportedLeaseIsNotAcquired(t *testing.T) {
	p, c, ctx := newTestPlatform(t), clock.NewManual(), context.Background()
	a, b := p.lease("a", c), p.lease("b", c)
	a.RenewOrAcquire(ctx)
	v, left := a.Remaining()
	b.RecordExpiry(v, left)
	c.Advance(testDuration - 1)
	a.RenewOrAcquire(ctx)
	c.Advance(testDuration/marginDivisor + 2)
	b.RenewOrAcquire(ctx)
	checkHeld(t, b, false)
	checkHeld(t, a, true)
}
