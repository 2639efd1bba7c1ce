package httpcall

import (
	"context"
	"net"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
)

// The error of the silence handler is returned to the caller, also before the first byte of the
// answer.
func TestSilenceErrorBeforeHeaders(t *testing.T) {
	addr := serve(t, func(net.Conn) {})
	errHandler := errors.New("error of the silence handler")
	var req fasthttp.Request
	req.SetRequestURI("http://" + addr + "/")
	client := New()
	defer client.Close()
	_, err := client.DoWatched(context.Background(), addr, &req, ReuseNever,
		func() spanrill.Millis { return 20 }, func(spanrill.Millis) error { return errHandler }, func(func()) {})
	if !errors.Is(err, errHandler) {
		t.Fatalf("error %v, want one that wraps the error of the silence handler", err)
	}
}

// Waking a call that has ended does not affect the next call on the same connection.
func TestWakeAfterCallEnded(t *testing.T) {
	addr := serve(t, answerEach("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
	var req fasthttp.Request
	req.SetRequestURI("http://" + addr + "/")
	client := New()
	defer client.Close()
	var wake func()
	a, err := client.DoWatched(context.Background(), addr, &req, ReuseAllowed,
		func() spanrill.Millis { return 20 }, func(spanrill.Millis) error { return nil }, func(f func()) { wake = f })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.ReadAll(1 << 10); err != nil {
		t.Fatal(err)
	}
	wake()
	if _, err := do(client, addr, nil); err != nil {
		t.Fatalf("next call on the connection: %v", err)
	}
}
