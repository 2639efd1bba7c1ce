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

// between returns a proxy in front of a new peer that tells of one-way messages.
func between(t *testing.T, name string) (p *faultproxy.Proxy, addr string, told <-chan string) {
	t.Helper()
	got := make(chan string, 16)
	_, peer := start(t, name, "secret-of-the-fleet", func(from string, kind Kind, payload []byte) []byte {
		if kind == oneWay {
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
	oneWay Kind = 10
	// patience is how long a question of these tests waits for its answer.
	patience = 150 * time.Millisecond
)

// ask asks once, with a short wait.
func ask(n *Net, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := n.Ask(ctx, addr, testKind, nil)
	return err
}

// watched starts a net whose log lines are kept.
func watched(t *testing.T) (*Net, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	n, _ := start(t, "a", "secret-of-the-fleet", echo, WithLogger(log))
	return n, hook
}

func wantFound(t *testing.T, n *Net, hook *logtest.Hook, want int) {
	t.Helper()
	if got := n.meters.SilentConnections.Get(); got != uint64(want) {
		t.Errorf("%d silences were counted, want %d", got, want)
	}
	lines := 0
	for _, e := range hook.AllEntries() {
		if e.Data["event"] == events.ConnectionSilent.Number() {
			lines++
		}
	}
	if lines != want {
		t.Errorf("%d silences were logged, want %d", lines, want)
	}
}

// A link that stays open and says nothing more is replaced after a few questions;
// one that works carries no more connections and bytes than its questions need.
func TestSilentLinkIsReplaced(t *testing.T) {
	proxy, addr, _ := between(t, "b")
	a, hook := watched(t)
	for range 20 {
		if err := ask(a, addr); err != nil {
			t.Fatal(err)
		}
	}
	if proxy.Accepted() != 1 {
		t.Fatalf("%d connections were made for a link that works", proxy.Accepted())
	}
	wantFound(t, a, hook, 0)
	proxy.Set(faultproxy.Faults{Silence: true})
	for range silentMisses {
		if err := ask(a, addr); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("on a silent link: %v", err)
		}
	}
	if err := ask(a, addr); err != nil {
		t.Fatalf("after %d questions without an answer: %v", silentMisses, err)
	}
	wantFound(t, a, hook, 1)
}

// A peer that is slow with one answer keeps its link: something else has come.
func TestSlowAnswerIsNoSilence(t *testing.T) {
	release := make(chan struct{})
	_, addr := start(t, "b", "secret-of-the-fleet", func(_ string, kind Kind, _ []byte) []byte {
		if kind == oneWay {
			<-release
		}
		return nil
	})
	defer close(release)
	a, hook := watched(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	slow := make(chan error, 2*silentMisses)
	for range cap(slow) {
		go func() {
			_, err := a.Ask(ctx, addr, oneWay, nil)
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
	wantFound(t, a, hook, 0)
}

// When several links are silent at once, a link on which nothing is ever asked is
// replaced too.
func TestSilenceOfAllLinksReachesThoseWithoutQuestions(t *testing.T) {
	a, hook := watched(t)
	proxies := make([]*faultproxy.Proxy, 3)
	addrs := make([]string, 3)
	var told <-chan string
	for i, name := range []string{"b", "c", "d"} {
		proxies[i], addrs[i], told = between(t, name)
		if err := ask(a, addrs[i]); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Send(addrs[2], oneWay, []byte("before")); err != nil {
		t.Fatal(err)
	}
	<-told
	for _, p := range proxies {
		p.Set(faultproxy.Faults{Silence: true})
	}
	for range silentMisses {
		_, _ = ask(a, addrs[0]), ask(a, addrs[1])
	}
	if err := a.Send(addrs[2], oneWay, []byte("after")); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-told:
		if got != "after" {
			t.Fatalf("got %q", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("a message on the link without questions is lost")
	}
	wantFound(t, a, hook, 1)
}

// A connection that a peer has replaced without its end being heard here does not
// stay for good.
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
	for limit := time.After(5 * time.Second); ; {
		other, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadFull(other, make([]byte, 1)) // its hello: the peer has taken it
		_ = other.Close()
		select {
		case <-ended:
			return
		case <-limit:
			t.Fatal("the idle connection is still open")
		default:
		}
	}
}
