package gateway

import (
	"net"
	"testing"

	"github.com/pkg/errors"

	"spanrill/clock"
	"spanrill/state/routes"
	"spanrill/transport/callerhttp"
)

// A daemon is ready only while its listener accepts connections.
func TestReadyOnlyWhileAccepting(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	now := clock.NewManual()
	g := &Gateway{clock: now, config: routes.NewCurrent(now), listener: callerhttp.NewAcceptor(ln, now)}
	if err := g.readyError(); !errors.Is(err, callerhttp.ErrNotAccepting) {
		t.Fatalf("before connections are accepted: readiness error is %v, want ErrNotAccepting", err)
	}
	ended := make(chan error, 1)
	go func() {
		c, err := g.listener.Accept()
		if err == nil {
			err = c.Close()
		}
		ended <- err
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if err := g.readyError(); err == nil || err.Error() != "no configuration yet" {
		t.Fatalf("while connections are accepted: readiness error is %v, want only the missing configuration", err)
	}
	_ = g.listener.Close()
	if err := g.readyError(); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("after the listener was closed: readiness error is %v, want net.ErrClosed", err)
	}
}
