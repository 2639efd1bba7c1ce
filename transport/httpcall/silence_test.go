package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"spanrill/events"
	"spanrill/meter"
	"spanrill/standin/faultproxy"
)

const (
	okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	// shortTimeout is for calls that are expected to time out.
	shortTimeout = 100 * time.Millisecond
	// longTimeout is for calls that are expected to be answered.
	longTimeout = 5 * time.Second
)

// newReusedClient returns a client with idle connections to a server behind a fault proxy, the
// proxy with its address, and a hook that keeps the client's log entries.
func newReusedClient(t *testing.T, idle int) (c *Client, p *faultproxy.Proxy, addr string, log *logtest.Hook) {
	t.Helper()
	p = faultproxy.New(serve(t, answerEach(okAnswer)))
	addr, err := p.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	logger, log := logtest.NewNullLogger()
	c = New(WithLogger(logger), WithMeters(meter.New()))
	t.Cleanup(c.Close)
	open := make([]*Answer, idle)
	for i := range open {
		if open[i], err = c.Do(context.Background(), addr, request(addr), ReuseAllowed); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range open {
		if _, err := a.ReadAll(10); err != nil {
			t.Fatal(err)
		}
	}
	return c, p, addr, log
}

func request(addr string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + addr + "/")
	return req
}

// call makes one call with a timeout, by do if that is not nil, and reads the whole answer.
func call(c *Client, addr string, timeout time.Duration, do func(context.Context) (*Answer, error)) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if do == nil {
		do = func(ctx context.Context) (*Answer, error) { return c.Do(ctx, addr, request(addr), ReuseAllowed) }
	}
	a, err := do(ctx)
	if err != nil {
		return err
	}
	_, err = a.ReadAll(10)
	return err
}

func wantSilences(t *testing.T, c *Client, log *logtest.Hook, alsoClosed ...int) {
	t.Helper()
	if got := c.meters.SilentConnections.Get(); got != uint64(len(alsoClosed)) {
		t.Errorf("%d silent connections were counted, want %d", got, len(alsoClosed))
	}
	entries := log.AllEntries()
	if len(entries) != len(alsoClosed) {
		t.Fatalf("%d lines were logged, want %d", len(entries), len(alsoClosed))
	}
	for i, e := range entries {
		if e.Data["event"] != events.ConnectionSilent.Number() || e.Data["also_closed"] != alsoClosed[i] {
			t.Errorf("line %v, want %d connections closed with it", e.Data, alsoClosed[i])
		}
	}
}

// One timeout of a call with a prompt answer, or two in a row of other calls, closes the idle
// connections: the next calls use none of the silent ones.
func TestSilentConnectionClosesIdleConnections(t *testing.T) {
	for _, prompt := range []bool{true, false} {
		c, p, addr, log := newReusedClient(t, 4)
		timeouts, do := 2, func(ctx context.Context) (*Answer, error) { return c.Do(ctx, addr, request(addr), ReuseAllowed) }
		if prompt {
			timeouts, do = 1, func(ctx context.Context) (*Answer, error) {
				return c.Do(WithPromptAnswer(ctx), addr, request(addr), ReuseAllowed)
			}
		}
		p.SetFaults(faultproxy.Faults{Silence: true})
		for range timeouts {
			if err := call(c, addr, shortTimeout, do); !errors.Is(err, ErrSilent) {
				t.Fatalf("call on a silent connection: %v, want ErrSilent", err)
			}
		}
		for range 3 {
			if err := call(c, addr, longTimeout, do); err != nil {
				t.Fatal(err)
			}
		}
		if got := p.Accepted(); got != 5 {
			t.Errorf("%d connections were made, want the 4 silent ones and 1 new one", got)
		}
		wantSilences(t, c, log, 4-timeouts)
	}
}

// Calls that time out because their work takes long, with an answered call in between, close only
// their own connections.
func TestSlowWorkKeepsIdleConnections(t *testing.T) {
	c, p, addr, log := newReusedClient(t, 4)
	for range 2 {
		p.SetFaults(faultproxy.Faults{Freeze: true})
		if err := call(c, addr, shortTimeout, nil); !errors.Is(err, ErrSilent) {
			t.Fatal(err)
		}
		p.SetFaults(faultproxy.Faults{})
		if err := call(c, addr, longTimeout, nil); err != nil {
			t.Fatal(err)
		}
	}
	if got := p.Accepted(); got != 4 {
		t.Errorf("%d connections were made, want no more than 4", got)
	}
	wantSilences(t, c, log)
}

// Failures that do not show a silent reused connection keep the idle connections: a canceled call
// and a timeout on a new connection.
func TestOtherFailuresKeepIdleConnections(t *testing.T) {
	c, p, addr, log := newReusedClient(t, 3)
	p.SetFaults(faultproxy.Faults{Freeze: true})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(shortTimeout, cancel)
	if _, err := c.Do(ctx, addr, request(addr), ReuseAllowed); err == nil || errors.Is(err, ErrSilent) {
		t.Fatalf("canceled call: %v, want an error other than ErrSilent", err)
	}
	onNewConn := func(ctx context.Context) (*Answer, error) {
		return c.Do(WithNewConn(ctx), addr, request(addr), ReuseAllowed)
	}
	if err := call(c, addr, shortTimeout, onNewConn); err == nil || errors.Is(err, ErrSilent) {
		t.Fatalf("timeout on a new connection: %v, want an error other than ErrSilent", err)
	}
	p.SetFaults(faultproxy.Faults{})
	if err := call(c, addr, longTimeout, nil); err != nil {
		t.Fatal(err)
	}
	if got := p.Accepted(); got != 4 {
		t.Errorf("%d connections were made, want 4", got)
	}
	wantSilences(t, c, log)
}

// DoWithRetry gets an answer within the call's timeout although its connection is silent, and does
// not send the request again on a working connection.
func TestDoWithRetry(t *testing.T) {
	c, p, addr, log := newReusedClient(t, 2)
	withRetry := func(ctx context.Context) (*Answer, error) { return c.DoWithRetry(ctx, addr, request(addr), 50) }
	if err := call(c, addr, longTimeout, withRetry); err != nil || p.Accepted() != 2 {
		t.Fatalf("%d connections, error %v, want 2 and no error", p.Accepted(), err)
	}
	p.SetFaults(faultproxy.Faults{Silence: true})
	if err := call(c, addr, longTimeout, withRetry); err != nil {
		t.Fatal(err)
	}
	if got := p.Accepted(); got != 3 {
		t.Errorf("%d connections were made, want 3", got)
	}
	wantSilences(t, c, log, 1)
}

// DoWithRetry waits for an answer that has started: only the first byte has a timeout of its own.
func TestStartedAnswerIsNotRequestedAgain(t *testing.T) {
	const firstByteTimeout = 50 // milliseconds
	requests := make(chan struct{}, 8)
	addr := serve(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
			requests <- struct{}{}
			_, _ = io.WriteString(c, okAnswer[:9])
			if n > 0 {
				<-time.After(3 * firstByteTimeout * time.Millisecond) // a slow answer
			}
			_, _ = io.WriteString(c, okAnswer[9:])
		}
	})
	c := New(WithMeters(meter.New()))
	defer c.Close()
	withRetry := func(ctx context.Context) (*Answer, error) {
		return c.DoWithRetry(ctx, addr, request(addr), firstByteTimeout)
	}
	for range 2 {
		if err := call(c, addr, longTimeout, withRetry); err != nil {
			t.Fatal(err)
		}
	}
	if len(requests) != 2 || c.meters.SilentConnections.Get() != 0 {
		t.Fatalf("%d requests, want 2; %d silent connections, want 0", len(requests), c.meters.SilentConnections.Get())
	}
}
