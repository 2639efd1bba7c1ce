package httpcall

import (
	"context"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/meter"
)

// A check that fails once the connection stands ends the call with nothing written, and the
// connection serves the next call.
func TestBefore(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan string, 10)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { served <- ctx.RemoteAddr().String() }}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	client := New()
	t.Cleanup(client.Close)
	call := func(check error) error {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		req.SetRequestURI("http://" + listener.Addr().String() + "/")
		answer, err := client.Do(Before(context.Background(), func() error { return check }), listener.Addr().String(), req, Reused)
		if err == nil {
			_, err = answer.ReadAll(100)
		}
		return err
	}
	held := errors.New("held back")
	for range 3 {
		err := call(held)
		var failed *spanrill.CallError
		if !errors.Is(err, held) || !errors.As(err, &failed) || failed.Outcome() != spanrill.OutcomeNotRun {
			t.Fatalf("error %v, want one of a call that did not run", err)
		}
	}
	if len(served) > 0 {
		t.Fatal("a call that was held back has reached the server")
	}
	if err := call(nil); err != nil {
		t.Fatal(err)
	}
	if n := client.idle.Drop(listener.Addr().String()); n != 1 {
		t.Errorf("%d connections were made, want the one that stood", n)
	}
}

// Which connections that an upstream resets can be called not-run: those on which nothing was
// sent, and no others.
func TestResetConnections(t *testing.T) {
	for _, c := range []struct {
		name  string
		reads int  // bytes before the reset
		first bool // the reset has arrived before the request is sent
		want  spanrill.Outcome
	}{
		{"at accept", 0, true, spanrill.OutcomeNotRun},
		{"after accept, with the request on its way", 0, false, spanrill.OutcomeUnknown},
		{"after the first byte", 1, false, spanrill.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			stands, reset, sent := make(chan struct{}), make(chan struct{}), make(chan struct{})
			addr := serve(t, func(conn net.Conn) {
				if c.first {
					<-stands // one that is reset while it is made is a failed dial of its own
				} else {
					<-sent
				}
				_, _ = io.ReadFull(conn, make([]byte, c.reads))
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				close(reset)
			})
			client := New(WithMeters(meter.New()))
			defer client.Close()
			var raw syscall.RawConn
			client.dialer.Control = func(_, _ string, conn syscall.RawConn) error {
				raw = conn
				return nil
			}
			ctx := Before(context.Background(), func() error {
				close(stands)
				if c.first {
					<-reset
					awaitGone(raw)
				}
				return nil
			})
			req := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(req)
			req.SetRequestURI("http://" + addr + "/")
			req.SetBodyStream(&telling{sent: sent}, -1)
			_, err := client.Do(ctx, addr, req, Fresh)
			var call *spanrill.CallError
			if !errors.As(err, &call) || call.Outcome() != c.want {
				t.Fatalf("error %v, want one with outcome %v", err, c.want)
			}
			if n := client.meters.ConnectionsClosedAtOnce.Get(); (n == 1) != c.first {
				t.Errorf("%d connections are counted as closed at once", n)
			}
		})
	}
}

// awaitGone waits until the reset of a connection has arrived: it takes a moment also on a
// machine's own addresses.
func awaitGone(raw syscall.RawConn) {
	for state := PeerSilent; state != PeerGone; {
		_ = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
		runtime.Gosched()
	}
}

// telling is a body of two parts that tells when the second one is read: the head and the
// first part are with the operating system by then, which each part is written out for. When
// the first part is read nothing has been written, and a reset that comes then rightly gives
// a call that did not run.
type telling struct {
	sent  chan struct{}
	parts int
}

func (b *telling) Read(p []byte) (int, error) {
	b.parts++
	if b.parts > 2 {
		return 0, io.EOF
	}
	if b.parts == 2 {
		close(b.sent)
	}
	return copy(p, "body"), nil
}
