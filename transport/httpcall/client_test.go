package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
)

// serve accepts connections on a free port and runs f with each. It returns the address.
func serve(t *testing.T, f func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	return ln.Addr().String()
}

// answerEach answers each request of a connection with text, a raw HTTP response.
func answerEach(text string) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// do posts body to addr and reads the whole answer.
func do(c *Client, addr string, body []byte) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var req fasthttp.Request
	req.SetRequestURI("http://" + addr + "/")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	a, err := c.Do(ctx, addr, &req, ReuseAllowed)
	if err != nil {
		return nil, err
	}
	if _, err := a.ReadAll(1 << 20); err != nil {
		return nil, err
	}
	return a, nil
}

func TestPhasesOfFailedCalls(t *testing.T) {
	large := make([]byte, 32<<20)
	for _, c := range []struct {
		name string
		addr string
		body []byte
		want spanrill.Outcome
	}{
		{"no listener", "127.0.0.1:1", nil, spanrill.OutcomeNotRun},
		{"closed within the request", serve(t, func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 100))
			_ = c.Close()
		}), large, spanrill.OutcomeUnknown},
		{"closed after the request", serve(t, func(c net.Conn) {
			var req fasthttp.Request
			_ = req.Read(bufio.NewReader(c))
			_ = c.Close()
		}), nil, spanrill.OutcomeUnknown},
		{"malformed answer", serve(t, answerEach("what?\r\n\r\n")), nil, spanrill.OutcomeUnknown},
		{"truncated answer", serve(t, func(c net.Conn) {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			_ = c.Close()
		}), nil, spanrill.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := New()
			defer client.Close()
			_, err := do(client, c.addr, c.body)
			var call *spanrill.CallError
			if !errors.As(err, &call) {
				t.Fatalf("got %v, want a CallError", err)
			}
			if call.Outcome() != c.want {
				t.Fatalf("the outcome is %v (%v), want %v", call.Outcome(), err, c.want)
			}
		})
	}
}

// A truncated stream must not look like one that has ended.
func TestTruncatedStreamIsError(t *testing.T) {
	addr := serve(t, func(c net.Conn) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		_ = c.Close()
	})
	if _, err := do(New(), addr, nil); err == nil {
		t.Fatal("the truncated stream was read without an error")
	}
}

// An idle connection that the upstream has closed is not used again.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 8)
	addr := serve(t, func(c net.Conn) {
		var req fasthttp.Request
		if req.Read(bufio.NewReader(c)) == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		_ = c.Close()
		closed <- struct{}{}
	})
	client := New()
	defer client.Close()
	for i := range 4 {
		if _, err := do(client, addr, nil); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		<-closed
	}
}
