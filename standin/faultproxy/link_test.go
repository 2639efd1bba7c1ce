package faultproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// A link, also one in another process, carries connections and cuts them in each way.
func TestLinkCuts(t *testing.T) {
	dialers := map[string]func(*Link) func(context.Context, string, string) (net.Conn, error){
		"local": func(l *Link) func(context.Context, string, string) (net.Conn, error) { return l.DialContext },
		"remote": func(l *Link) func(context.Context, string, string) (net.Conn, error) {
			control, err := l.ListenControl("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			return NewRemoteLink(control).DialContext
		},
	}
	for name, dialer := range dialers {
		for cut, want := range map[Cut]struct {
			open    bool  // open connections still answer
			dialing error // what a new connection fails with
		}{
			CutNone: {open: true}, CutSilent: {dialing: context.DeadlineExceeded}, CutReset: {dialing: syscall.ECONNREFUSED},
			CutNewOnly: {open: true, dialing: syscall.ECONNREFUSED}, CutRequests: {dialing: context.DeadlineExceeded}, CutAnswers: {dialing: context.DeadlineExceeded},
		} {
			l, target := NewLink(), startEcho(t)
			t.Cleanup(l.Close)
			dial := dialer(l)
			conn, err := dial(context.Background(), "tcp", target)
			if err != nil || !answers(conn) {
				t.Fatalf("%s, cut %d: no connection before the cut: %v", name, cut, err)
			}
			l.SetCut(cut)
			if got := answers(conn); got != want.open {
				t.Errorf("%s, cut %d: an open connection answers: %v, want %v", name, cut, got, want.open)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			if _, err := dial(ctx, "tcp", target); !errors.Is(err, want.dialing) {
				t.Errorf("%s, cut %d: a new connection failed with %v, want %v", name, cut, err, want.dialing)
			}
			cancel()
			l.SetCut(CutNone)
			if conn, err = dial(context.Background(), "tcp", target); err != nil || !answers(conn) {
				t.Errorf("%s, cut %d: no connection after the cut: %v", name, cut, err)
			}
		}
	}
}

// answers reports whether the other end of a connection sends back a line within 50 ms.
func answers(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := io.WriteString(conn, "line\n"); err != nil {
		return false
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil
}
