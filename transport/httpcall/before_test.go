package httpcall

import (
	"context"
	"net"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
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
