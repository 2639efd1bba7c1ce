package callerhttp

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/clock"
)

// scripted is a listener whose accepts end as a test says.
type scripted struct {
	net.Listener
	results chan error // nil: a connection
}

func (s scripted) Accept() (net.Conn, error) {
	if err := <-s.results; err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	near, _ := net.Pipe()
	return near, nil
}

func (s scripted) Close() error { return nil }

// Errors that pass end neither the loop nor the server, and while they last, and
// before and after the loop, the acceptor says that it takes nothing.
func TestAcceptorOutlastsErrorsThatPass(t *testing.T) {
	for _, passing := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS} {
		t.Run(passing.Error(), func(t *testing.T) {
			now, ln := clock.NewManual(), scripted{results: make(chan error)}
			a := NewAcceptor(ln, now)
			if err := a.Err(); !errors.Is(err, ErrNotAccepting) {
				t.Fatalf("before the loop: %v", err)
			}
			served := make(chan error, 1)
			s := New(func(*fasthttp.RequestCtx) {}, func() spanrill.CallerLimits { return spanrill.CallerLimits{} })
			go func() { served <- s.Serve(a) }()
			give := func(result error) {
				t.Helper()
				select {
				case ln.results <- result:
				case err := <-served:
					t.Fatalf("the loop ended with %v", err)
				}
			}
			give(nil)
			if err := a.Err(); err != nil {
				t.Fatalf("in the loop: %v", err)
			}
			for range 20 {
				give(passing)
				awaitAlarm(t, now, served)
				if err := a.Err(); !errors.Is(err, passing) {
					t.Fatalf("while %v lasts: %v", passing, err)
				}
				now.Advance(acceptRetry)
			}
			give(nil)
			now.Advance(acceptTrust)
			if err := a.Err(); err != nil {
				t.Fatalf("afterwards: %v", err)
			}
			give(syscall.EINVAL)
			if err := <-served; !errors.Is(err, syscall.EINVAL) {
				t.Fatalf("the loop ended with %v", err)
			}
			if err := a.Err(); !errors.Is(err, syscall.EINVAL) {
				t.Fatalf("after the end of the loop: %v", err)
			}
		})
	}
}

// awaitAlarm waits until the loop waits for an error to pass.
func awaitAlarm(t *testing.T, now *clock.Manual, served <-chan error) {
	t.Helper()
	waiting := make(chan struct{})
	go func() {
		now.AwaitAlarms(1)
		close(waiting)
	}()
	select {
	case <-waiting:
	case err := <-served:
		t.Fatalf("the loop ended with %v", err)
	}
}

// A closed acceptor ends its loop, also while it waits for an error to pass.
func TestAcceptorEndsWhenItIsClosed(t *testing.T) {
	now, ln := clock.NewManual(), scripted{results: make(chan error)}
	a := NewAcceptor(ln, now)
	ended := make(chan error, 1)
	go func() {
		_, err := a.Accept()
		ended <- err
	}()
	ln.results <- syscall.EMFILE
	now.AwaitAlarms(1)
	_ = a.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Fatalf("ended with %v", err)
	}
	if a.Err() == nil {
		t.Fatal("says that it takes connections")
	}
}
