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

// A caller that disconnects before its request is read is detected immediately, and one that
// disconnects later is detected by the next check. The metric is the time from the last check that
// found the connection open to the end of all work.
func TestCallerDisconnectIsDetected(t *testing.T) {
	for _, c := range []struct {
		name        string
		early, late bool   // the caller disconnects before its request is read, or while it runs
		wantSum     string // sum of the histogram
	}{
		{"disconnected before its request was read", true, false, "0.14"},
		{"disconnected while it ran", false, true, "0.08"},
		{"connected", false, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, client := tcpPair(t)
			disconnectIf := func(disconnects bool) {
				if disconnects {
					_ = client.Close()
					awaitPeerState(t, server, httpcall.ConnClosed)
				}
			}
			now, meters := clock.NewManual(), meter.New()
			conns := newCallerConns(now, meters)
			ctx, cancel := context.WithCancelCause(context.Background())
			disconnectIf(c.early)
			unregister := conns.add(server, spanrill.Minute, cancel)
			if gone := ctx.Err() != nil; gone != c.early {
				t.Fatalf("cancelled when the request was read: %v, want %v", gone, c.early)
			}
			now.Advance(60)
			conns.check()
			disconnectIf(c.late)
			now.Advance(40)
			conns.check()
			if gone := errors.Is(context.Cause(ctx), errCallerLeft); gone != (c.early || c.late) {
				t.Fatalf("cancelled by the check: %v, want the opposite", gone)
			}
			now.Advance(40)
			unregister()
			var text bytes.Buffer
			meters.Write(&text)
			_, sum, _ := strings.Cut(text.String(), "\nspanrill_caller_gone_seconds_sum ")
			sum, _, _ = strings.Cut(sum, "\n")
			if sum != c.wantSum {
				t.Fatalf("sum of spanrill_caller_gone_seconds is %q, want %q", sum, c.wantSum)
			}
		})
	}
}

// awaitPeerState waits until the operating system reports the wanted state of a connection's peer.
func awaitPeerState(t *testing.T, conn net.Conn, want httpcall.ConnState) {
	t.Helper()
	limit := time.Now().Add(10 * time.Second)
	for httpcall.ProbeConn(conn) != want {
		if time.Now().After(limit) {
			t.Fatalf("peer state is not %d after 10 s", want)
		}
		runtime.Gosched()
	}
}

// testRequest returns a request of a route that needs no key.
func testRequest(ctx context.Context) *request {
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := clock.NewManual()
	deps := Dependencies{Clock: now, Meters: meter.New(), Log: log, Config: routes.NewCurrent(now), Fleet: fleet.New(now, nil), StoreSilentAtStart: func() bool { return false }, Suspects: suspect.New(now), OnSuspected: func(suspect.Content) {}}
	deps.Prober = probe.New(nil, now, log, probe.WithDial(func(context.Context, string) error { return nil }))
	return &request{relay: New(deps, Options{}), ctx: ctx, guard: deps.Suspects.Begin(0), http: &fasthttp.RequestCtx{}, service: &spanrill.ServiceInfo{}}
}

// Guards against sending a request whose caller has disconnected.
func TestNoSendAfterCallerLeft(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	q := testRequest(ctx)
	if refusal := q.checkCallerAndKey(); refusal != nil {
		t.Fatalf("refused with %v although the caller is connected", refusal)
	}
	cancel(errCallerLeft)
	for range 2 {
		if q.checkCallerAndKey() == nil {
			t.Fatal("not refused although the caller has disconnected")
		}
	}
	if n := q.relay.Meters.CallersLeft.Get(); n != 1 {
		t.Fatalf("%d callers counted as disconnected, want 1", n)
	}
}

// Guards against work for a request whose deadline has passed while the machine was suspended,
// which its context does not notice. The request must not be sent any more, and the next check must
// cancel running work.
func TestDeadlineDuringSuspend(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	q := testRequest(ctx)
	manual := clock.NewManual()
	q.relay.Clock, q.deadline = manual, spanrill.Second
	near, far := tcpPair(t)
	defer func() { _ = far.Close() }()
	conns := newCallerConns(manual, q.relay.Meters)
	defer conns.add(near, q.deadline, cancel)()
	for _, c := range []struct {
		after spanrill.Millis
		ended bool // the request is refused and cancelled
	}{{spanrill.Second - 1, false}, {1, true}} {
		manual.Advance(c.after)
		if refusal := q.checkCallerAndKey(); (refusal != nil) != c.ended {
			t.Errorf("at %d ms: refusal %v, want one only from the deadline on", manual.Now(), refusal)
		}
		conns.check()
		if (ctx.Err() != nil) != c.ended {
			t.Errorf("at %d ms: cancelled %t, want true only from the deadline on", manual.Now(), ctx.Err() != nil)
		}
	}
	if n := q.relay.Meters.CallersLeft.Get(); n != 0 {
		t.Errorf("%d callers counted as disconnected, want none", n)
	}
}

func tcpPair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	return server, client
}
