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

// A failed pre-send check ends the call with nothing written, and its connection serves the next
// call.
func TestPresendCheckFailureKeepsConnection(t *testing.T) {
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
		answer, err := client.Do(WithPresendCheck(context.Background(), func() error { return check }), listener.Addr().String(), req, ReuseAllowed)
		if err == nil {
			_, err = answer.ReadAll(100)
		}
		return err
	}
	errCheck := errors.New("check failed")
	for range 3 {
		err := call(errCheck)
		var failed *spanrill.CallError
		if !errors.Is(err, errCheck) || !errors.As(err, &failed) || failed.Outcome() != spanrill.OutcomeNotRun {
			t.Fatalf("error %v, want the error of the check with outcome not-run", err)
		}
	}
	if len(served) > 0 {
		t.Fatal("a call whose check failed has reached the server")
	}
	if err := call(nil); err != nil {
		t.Fatal(err)
	}
	if n := client.idle.Drop(listener.Addr().String()); n != 1 {
		t.Errorf("%d idle connections, want 1, which all calls used", n)
	}
}

// singleUseConn is a connection that serves one call.
type singleUseConn struct{ net.Conn }

func (singleUseConn) SingleUse() bool { return true }

// A connection that serves one call is closed with it, also if a pre-send check fails.
func TestSingleUseConnectionIsClosed(t *testing.T) {
	for name, check := range map[string]error{"complete answer": nil, "failed check": errors.New("check failed")} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			addr := serve(t, func(conn net.Conn) {
				if check == nil {
					_, _ = conn.Read(make([]byte, 4096))
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
				_, _ = io.Copy(io.Discard, conn)
				close(closed)
			})
			client := New(WithDial(func(direct DialFunc) DialFunc {
				return func(ctx context.Context, network, addr string) (net.Conn, error) {
					conn, err := direct(ctx, network, addr)
					return singleUseConn{conn}, err
				}
			}))
			t.Cleanup(client.Close)
			req := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(req)
			req.SetRequestURI("http://" + addr + "/")
			answer, err := client.Do(WithPresendCheck(context.Background(), func() error { return check }), addr, req, ReuseAllowed)
			if err == nil {
				_, err = answer.ReadAll(100)
			}
			if !errors.Is(err, check) {
				t.Fatalf("error %v, want %v", err, check)
			}
			<-closed
		})
	}
}

// A call on a connection that the upstream resets has the outcome not-run only if nothing was sent
// on it.
func TestOutcomeOfResetConnection(t *testing.T) {
	for _, c := range []struct {
		name       string
		readBytes  int  // read by the server before the reset
		resetFirst bool // the reset arrives before the request is sent
		want       spanrill.Outcome
	}{
		{"at accept", 0, true, spanrill.OutcomeNotRun},
		{"after accept, with the request on its way", 0, false, spanrill.OutcomeUnknown},
		{"after the first byte", 1, false, spanrill.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			connected, reset, sent := make(chan struct{}), make(chan struct{}), make(chan struct{})
			addr := serve(t, func(conn net.Conn) {
				if c.resetFirst {
					<-connected // a reset during the handshake would fail the dial instead
				} else {
					<-sent
				}
				_, _ = io.ReadFull(conn, make([]byte, c.readBytes))
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
			ctx := WithPresendCheck(context.Background(), func() error {
				close(connected)
				if c.resetFirst {
					<-reset
					awaitClosed(raw)
				}
				return nil
			})
			req := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(req)
			req.SetRequestURI("http://" + addr + "/")
			req.SetBodyStream(&signalingBody{secondRead: sent}, -1)
			_, err := client.Do(ctx, addr, req, ReuseNever)
			var call *spanrill.CallError
			if !errors.As(err, &call) || call.Outcome() != c.want {
				t.Fatalf("error %v, want one with outcome %v", err, c.want)
			}
			if n := client.meters.ConnectionsClosedAtOnce.Get(); (n == 1) != c.resetFirst {
				t.Errorf("%d connections were counted as closed at once, want 1 if the reset came before the request, else 0", n)
			}
		})
	}
}

// awaitClosed waits until the reset of a connection has arrived, which takes a moment even on
// loopback addresses.
func awaitClosed(raw syscall.RawConn) {
	for state := ConnIdle; state != ConnClosed; {
		_ = raw.Control(func(fd uintptr) { state = peekState(int(fd)) })
		runtime.Gosched()
	}
}

// signalingBody is a body of two parts that closes secondRead when the second one is read. Each
// part is flushed, so that the headers and the first part have been written by then. While the
// first part is read nothing has been written, and a reset then rightly gives the outcome not-run.
type signalingBody struct {
	secondRead chan struct{}
	readCalls  int
}

func (b *signalingBody) Read(p []byte) (int, error) {
	b.readCalls++
	if b.readCalls > 2 {
		return 0, io.EOF
	}
	if b.readCalls == 2 {
		close(b.secondRead)
	}
	return copy(p, "body"), nil
}
