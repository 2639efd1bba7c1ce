package callerhttp

import (
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"spanrill"
)

// Acceptor is a listener that retries after transient errors, such as a lack of file descriptors,
// and reports whether it accepts new connections.
type Acceptor struct {
	net.Listener
	clock  spanrill.Clock
	closed chan struct{}

	mu        sync.Mutex
	accepting bool            // Accept has been called
	stopped   bool            // the listener is closed or has failed for good
	err       error           // the last failure of Accept, or net.ErrClosed after Close
	failedAt  spanrill.Millis // when Accept last failed with a transient error
	closeOnce sync.Once
}

const (
	// acceptRetryDelay is the pause between a transient error and the next attempt.
	acceptRetryDelay spanrill.Millis = 20
	// acceptRecovery is how long after the last failure Err reports that connections are accepted
	// again. It spans several retries, so that Err is not nil between two that fail.
	acceptRecovery spanrill.Millis = 250
)

// ErrNotAccepting means that Accept has not been called yet.
var ErrNotAccepting = errors.New("not accepting connections yet")

// NewAcceptor returns an Acceptor of the connections of ln.
func NewAcceptor(ln net.Listener, clock spanrill.Clock) *Acceptor {
	return &Acceptor{Listener: ln, clock: clock, closed: make(chan struct{})}
}

// Accept returns the next connection. It retries after transient errors, and returns an error once
// the listener is closed or has failed for good.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		a.markAccepting()
		c, err := a.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if !isTransient(err) {
			a.stop(err)
			return nil, err
		}
		a.recordFailure(err)
		select {
		case <-a.closed:
			return nil, net.ErrClosed
		case <-a.clock.After(acceptRetryDelay):
		}
	}
}

// isTransient reports whether Accept may succeed again after err. These are the errors that
// accept(2) of Linux lists for exhausted resources of the process or the system, and for a
// connection that has failed before it was accepted.
func isTransient(err error) bool {
	for _, transient := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
		syscall.EAGAIN, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
		syscall.ENETUNREACH, syscall.ENONET, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

func (a *Acceptor) markAccepting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accepting = true
}

func (a *Acceptor) recordFailure(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err, a.failedAt = err, a.clock.Now()
}

// stop records that no connection is accepted any more, and why.
func (a *Acceptor) stop(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.err = err
}

// Err returns why new connections are not accepted now, or nil if they are.
func (a *Acceptor) Err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !a.accepting:
		return ErrNotAccepting
	case a.stopped, a.err != nil && a.clock.Now()-a.failedAt < acceptRecovery:
		return fmt.Errorf("accept: %w", a.err)
	}
	return nil
}

// Close closes the listener. A waiting Accept returns.
func (a *Acceptor) Close() error {
	a.stop(net.ErrClosed)
	a.closeOnce.Do(func() { close(a.closed) })
	return a.Listener.Close()
}
