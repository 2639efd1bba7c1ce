package peernet

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill/meter"
	"spanrill/transport/frame"
)

const testKind Kind = 9

// start runs a Net on a free port and returns it with its address.
func start(t *testing.T, name, secret string, h Handler, opts ...Option) (*Net, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := New(addr, name, secret, h, append([]Option{WithLogger(log), WithMeters(meter.New())}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	<-n.Listening()
	return n, addr
}

// echo is a handler that replies with its arguments.
func echo(from string, kind Kind, payload []byte) []byte {
	return fmt.Appendf(nil, "%s %d %s", from, kind, payload)
}

func TestRequestIsAnswered(t *testing.T) {
	_, addr := start(t, "b", "secret-of-the-fleet", echo)
	a, _ := start(t, "a", "secret-of-the-fleet", echo)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for i := range 200 {
		reply, err := a.Request(ctx, addr, testKind, fmt.Appendf(nil, "%d", i))
		if err != nil {
			t.Fatal(err)
		}
		if want := fmt.Sprintf("a 9 %d", i); string(reply) != want {
			t.Fatalf("got %q, want %q", reply, want)
		}
	}
}

func TestOtherSecretIsRefused(t *testing.T) {
	b, addr := start(t, "b", "secret-of-the-fleet", echo)
	a, _ := start(t, "a", "some-other-secret", echo)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if reply, err := a.Request(ctx, addr, testKind, nil); err == nil {
		t.Fatalf("a peer with another secret got the reply %q, want an error", reply)
	}
	if a.meters.FramesRefused.Get()+b.meters.FramesRefused.Get() == 0 {
		t.Fatal("no frame was counted as refused, want at least 1")
	}
}

// A connection that carries malformed frames is closed, and other peers are still served.
func TestBadBytesCloseOnlyTheirConnection(t *testing.T) {
	hello := frame.NewWriter(frame.DeriveKey([]byte("secret-of-the-fleet"), []byte("hello"))).Append(nil, 0, 0, []byte("x"))
	oversized := append([]byte(nil), hello...)
	oversized[20] = 0xff
	otherVersion := append([]byte(nil), hello...)
	otherVersion[2] = 77
	b, addr := start(t, "b", "secret-of-the-fleet", echo)
	a, _ := start(t, "a", "secret-of-the-fleet", echo)
	for i, sent := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), oversized, otherVersion, hello} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(sent); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil && isTimeout(err) {
			t.Fatalf("connection %d was not closed", i)
		}
		_ = c.Close()
	}
	if got := b.meters.FramesRefused.Get(); got != 4 {
		t.Fatalf("%d frames were counted as refused, want 4", got)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := a.Request(ctx, addr, testKind, nil); err != nil {
		t.Fatal(err)
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// Guards against a deadlock between connections that close and connections that are made: a new
// connection waits for the event loop, which handles the close.
func TestConnectionsCloseWhileOthersOpen(t *testing.T) {
	a, _ := start(t, "a", "secret-of-the-fleet", echo)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	for _, name := range []string{"b", "c", "d", "e"} {
		proxy, addr, _ := startBehindProxy(t, name)
		callers.Add(1)
		go func() {
			defer callers.Done()
			for range 100 {
				if _, err := a.Request(ctx, addr, testKind, nil); errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("request to %s: %v", addr, err)
					return
				}
				proxy.CloseConnections()
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("the requests have not ended after 30 s")
	}
}
