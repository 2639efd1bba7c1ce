package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/clock"
	"spanrill/coordination/probe"
	"spanrill/coordination/suspect"
	"spanrill/meter"
	"spanrill/state/fleet"
	"spanrill/state/routes"
	"spanrill/transport/httpcall"
)

// A caller that left before its request was read is noticed at once, and one that
// leaves later at the next look. The time counts from the last look that found it
// there to the end of all work.
func TestCallerIsLookedAt(t *testing.T) {
	for _, c := range []struct {
		name        string
		early, late bool   // it leaves before its request is read, or while it runs
		want        string // sum of the histogram
	}{
		{"left before its request was read", true, false, "0.14"},
		{"left while it ran", false, true, "0.08"},
		{"is there", false, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := tcpPair(t)
			leave := func(leaves bool) {
				if leaves {
					_ = far.Close()
					awaitState(t, near, httpcall.PeerGone)
				}
			}
			now, meters := clock.NewManual(), meter.New()
			all := newCallers(now, meters)
			ctx, cancel := context.WithCancelCause(context.Background())
			leave(c.early)
			forget := all.add(near, spanrill.Minute, cancel)
			if gone := ctx.Err() != nil; gone != c.early {
				t.Fatalf("cancelled as its request was read: %v, want %v", gone, c.early)
			}
			now.Advance(60)
			all.look()
			leave(c.late)
			now.Advance(40)
			all.look()
			if gone := errors.Is(context.Cause(ctx), errCallerGone); gone != (c.early || c.late) {
				t.Fatalf("cancelled at the look: %v", gone)
			}
			now.Advance(40)
			forget()
			var text bytes.Buffer
			meters.Write(&text)
			_, sum, _ := strings.Cut(text.String(), "\nspanrill_caller_gone_seconds_sum ")
			sum, _, _ = strings.Cut(sum, "\n")
			if sum != c.want {
				t.Fatalf("sum of the histogram %q, want %q", sum, c.want)
			}
		})
	}
}

// awaitState waits until the operating system has delivered what a peer did.
func awaitState(t *testing.T, conn net.Conn, want httpcall.PeerState) {
	t.Helper()
	limit := time.Now().Add(10 * time.Second)
	for httpcall.PeerOpen(conn) != want {
		if time.Now().After(limit) {
			t.Fatalf("state is not %d", want)
		}
		runtime.Gosched()
	}
}

// testRequest returns a request that needs no key.
func testRequest(ctx context.Context) *request {
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := clock.NewManual()
	parts := Dependencies{Clock: now, Meters: meter.New(), Log: log, Config: routes.NewCurrent(now), Fleet: fleet.New(now, nil), StoreUnresponsive: func() bool { return false }, Suspects: suspect.New(now), OnSuspected: func(suspect.Content) {}}
	parts.Prober = probe.New(nil, now, log, probe.WithDial(func(context.Context, string) error { return nil }))
	return &request{relay: New(parts, Options{}), ctx: ctx, try: parts.Suspects.Begin(0), http: &fasthttp.RequestCtx{}, service: &spanrill.ServiceInfo{}}
}

// Nothing is sent for a request whose caller has left.
func TestNothingIsSentForACallerThatLeft(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	q := testRequest(ctx)
	if refusal := q.stillAllowed(); refusal != nil {
		t.Fatalf("refused with %v while its caller is there", refusal)
	}
	cancel(errCallerGone)
	for range 2 {
		if q.stillAllowed() == nil {
			t.Fatal("would be sent although its caller has left")
		}
	}
	if n := q.relay.Meters.CallersLeft.Get(); n != 1 {
		t.Fatalf("%d callers left, want 1", n)
	}
}

// A request whose time was over while the machine was suspended is sent to nobody, and
// what runs for it is cancelled at the next look, although its context goes on.
func TestTimeThatPassesUnseen(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	q := testRequest(ctx)
	manual := clock.NewManual()
	q.relay.Clock, q.until = manual, spanrill.Second
	near, far := tcpPair(t)
	defer func() { _ = far.Close() }()
	all := newCallers(manual, q.relay.Meters)
	defer all.add(near, q.until, cancel)()
	for _, c := range []struct {
		after spanrill.Millis
		over  bool
	}{{spanrill.Second - 1, false}, {1, true}} {
		manual.Advance(c.after)
		if refusal := q.stillAllowed(); (refusal != nil) != c.over {
			t.Errorf("at %d ms: refused with %v", manual.Now(), refusal)
		}
		all.look()
		if (ctx.Err() != nil) != c.over {
			t.Errorf("at %d ms: cancelled %t", manual.Now(), ctx.Err() != nil)
		}
	}
	if n := q.relay.Meters.CallersLeft.Get(); n != 0 {
		t.Errorf("%d callers left, want none", n)
	}
}

func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if far, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if near, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}
