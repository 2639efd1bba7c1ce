package peernet

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"spanrill/events"
	"spanrill/standin/faultproxy"
)

// startBehindProxy starts a peer behind a fault proxy. It returns the proxy with its address, and a
// channel with the messages of kind otherKind that the peer receives.
func startBehindProxy(t *testing.T, name string) (p *faultproxy.Proxy, addr string, received <-chan string) {
	t.Helper()
	got := make(chan string, 16)
	_, peer := start(t, name, "secret-of-the-fleet", func(from string, kind Kind, payload []byte) []byte {
		if kind == otherKind {
			got <- string(payload)
		}
		return echo(from, kind, payload)
	})
	p = faultproxy.New(peer)
	addr, err := p.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, addr, got
}

const (
	// otherKind is a kind that the handlers of these tests treat differently from testKind.
	otherKind Kind = 10
	// requestTimeout is how long the requests of these tests wait for their replies.
	requestTimeout = 150 * time.Millisecond
)

// ask sends one request with a short timeout.
func ask(n *Net, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	_, err := n.Request(ctx, addr, testKind, nil)
	return err
}

// startWithLogHook starts a Net and returns it with a hook that keeps its log entries.
func startWithLogHook(t *testing.T) (*Net, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	n, _ := start(t, "a", "secret-of-the-fleet", echo, WithLogger(log))
	return n, hook
}

// wantSilences checks how many silent connections were counted and logged. Links that are closed
// together with a silent one are not counted.
func wantSilences(t *testing.T, n *Net, hook *logtest.Hook, want int) {
	t.Helper()
	if got := n.meters.SilentConnections.Get(); got != uint64(want) {
		t.Errorf("%d silent connections were counted, want %d", got, want)
	}
	lines := 0
	for _, e := range hook.AllEntries() {
		if e.Data["event"] == events.ConnectionSilent.Number() {
			lines++
		}
	}
	if lines != want {
		t.Errorf("%d silent connections were logged, want %d", lines, want)
	}
}

// A link that goes silent is replaced after silentTimeouts requests. A working link keeps its one
// connection.
func TestSilentLinkIsReplaced(t *testing.T) {
	proxy, addr, _ := startBehindProxy(t, "b")
	a, hook := startWithLogHook(t)
	for range 20 {
		if err := ask(a, addr); err != nil {
			t.Fatal(err)
		}
	}
	if proxy.Accepted() != 1 {
		t.Fatalf("%d connections were made for a working link, want 1", proxy.Accepted())
	}
	wantSilences(t, a, hook, 0)
	proxy.SetFaults(faultproxy.Faults{Silence: true})
	for range silentTimeouts {
		if err := ask(a, addr); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("request on a silent link: %v, want a timeout", err)
		}
	}
	if err := ask(a, addr); err != nil {
		t.Fatalf("request after %d timeouts: %v, want a reply on a new link", silentTimeouts, err)
	}
	wantSilences(t, a, hook, 1)
}

// A link stays in use if some replies time out while others arrive.
func TestSlowReplyKeepsLink(t *testing.T) {
	release := make(chan struct{})
	_, addr := start(t, "b", "secret-of-the-fleet", func(_ string, kind Kind, _ []byte) []byte {
		if kind == otherKind {
			<-release
		}
		return nil
	})
	defer close(release)
	a, hook := startWithLogHook(t)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	slow := make(chan error, 2*silentTimeouts)
	for range cap(slow) {
		go func() {
			_, err := a.Request(ctx, addr, otherKind, nil)
			slow <- err
		}()
	}
	for ctx.Err() == nil {
		if err := ask(a, addr); err != nil {
			t.Fatal(err)
		}
	}
	for range cap(slow) {
		if err := <-slow; !errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
	}
	wantSilences(t, a, hook, 0)
}

// When several links go silent at once, a quiet link that carries no requests is replaced too.
func TestCommonSilenceReplacesLinksWithoutRequests(t *testing.T) {
	a, hook := startWithLogHook(t)
	proxies := make([]*faultproxy.Proxy, 3)
	addrs := make([]string, 3)
	var received <-chan string
	for i, name := range []string{"b", "c", "d"} {
		proxies[i], addrs[i], received = startBehindProxy(t, name)
		if err := ask(a, addrs[i]); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Send(addrs[2], otherKind, []byte("before")); err != nil {
		t.Fatal(err)
	}
	<-received
	for _, p := range proxies {
		p.SetFaults(faultproxy.Faults{Silence: true})
	}
	for range silentTimeouts {
		_, _ = ask(a, addrs[0]), ask(a, addrs[1])
	}
	if err := a.Send(addrs[2], otherKind, []byte("after")); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-received:
		if got != "after" {
			t.Fatalf("got message %q, want \"after\"", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the message on the link without requests was lost")
	}
	wantSilences(t, a, hook, 1)
}

// A connection that was idle for longer than the limit, such as one whose close never arrived, is
// closed when another one is accepted.
func TestIdleConnectionsOfPeersAreClosed(t *testing.T) {
	_, addr := start(t, "b", "secret-of-the-fleet", echo, WithIdleLimit(time.Millisecond))
	idle, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, idle)
	}()
	for deadline := time.After(5 * time.Second); ; {
		other, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadFull(other, make([]byte, 1)) // part of its hello, so the peer has accepted it
		_ = other.Close()
		select {
		case <-ended:
			return
		case <-deadline:
			t.Fatal("the idle connection is still open")
		default:
		}
	}
}
