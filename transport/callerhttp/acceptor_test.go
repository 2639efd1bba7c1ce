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

// scriptedListener is a listener whose Accept returns the results that a test sends.
type scriptedListener struct {
	net.Listener
	results chan error // nil: a connection
}

func (s scriptedListener) Accept() (net.Conn, error) {
	if err := <-s.results; err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	near, _ := net.Pipe()
	return near, nil
}

func (s scriptedListener) Close() error { return nil }

// Transient errors end neither the accept loop nor the server. While they last, and before and
// after the loop, Err reports that no connections are accepted.
func TestAcceptorSurvivesTransientErrors(t *testing.T) {
	for _, transient := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS} {
		t.Run(transient.Error(), func(t *testing.T) {
			manual, ln := clock.NewManual(), scriptedListener{results: make(chan error)}
			a := NewAcceptor(ln, manual)
			if err := a.Err(); !errors.Is(err, ErrNotAccepting) {
				t.Fatalf("Err before the accept loop: %v, want ErrNotAccepting", err)
			}
			served := make(chan error, 1)
			s := New(func(*fasthttp.RequestCtx) {}, func() spanrill.CallerLimits { return spanrill.CallerLimits{} })
			go func() { served <- s.Serve(a) }()
			feed := func(result error) {
				t.Helper()
				select {
				case ln.results <- result:
				case err := <-served:
					t.Fatalf("the accept loop ended with %v, want it to go on", err)
				}
			}
			feed(nil)
			if err := a.Err(); err != nil {
				t.Fatalf("Err in the accept loop: %v, want nil", err)
			}
			for range 20 {
				feed(transient)
				awaitRetryTimer(t, manual, served)
				if err := a.Err(); !errors.Is(err, transient) {
					t.Fatalf("Err while accept fails with %v: %v, want that error", transient, err)
				}
				manual.Advance(acceptRetryDelay)
			}
			feed(nil)
			manual.Advance(acceptRecovery)
			if err := a.Err(); err != nil {
				t.Fatalf("Err after the recovery time: %v, want nil", err)
			}
			feed(syscall.EINVAL)
			if err := <-served; !errors.Is(err, syscall.EINVAL) {
				t.Fatalf("the accept loop ended with %v, want EINVAL", err)
			}
			if err := a.Err(); !errors.Is(err, syscall.EINVAL) {
				t.Fatalf("Err after the accept loop: %v, want EINVAL", err)
			}
		})
	}
}

// awaitRetryTimer waits until the accept loop pauses before a retry.
func awaitRetryTimer(t *testing.T, manual *clock.Manual, served <-chan error) {
	t.Helper()
	waiting := make(chan struct{})
	go func() {
		manual.AwaitTimers(1)
		close(waiting)
	}()
	select {
	case <-waiting:
	case err := <-served:
		t.Fatalf("the accept loop ended with %v, want it to go on", err)
	}
}

// Close makes Accept return, also while it pauses before a retry.
func TestAcceptStopsWhenClosed(t *testing.T) {
	manual, ln := clock.NewManual(), scriptedListener{results: make(chan error)}
	a := NewAcceptor(ln, manual)
	ended := make(chan error, 1)
	go func() {
		_, err := a.Accept()
		ended <- err
	}()
	ln.results <- syscall.EMFILE
	manual.AwaitTimers(1)
	_ = a.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Fatalf("Accept returned %v, want net.ErrClosed", err)
	}
	if a.Err() == nil {
		t.Fatal("Err of a closed acceptor is nil, want an error")
	}
}
