package callerhttp

import (
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"spanrill"
)

// Acceptor is a listener that outlasts errors that pass, such as a lack of
// descriptors, and says whether it takes new connections.
type Acceptor struct {
	net.Listener
	clock  spanrill.Clock
	closed chan struct{}

	mu       sync.Mutex
	begun    bool  // somebody waits for connections
	ended    bool  // nobody will any more
	err      error // of the last failure
	failedAt spanrill.Millis
	once     sync.Once
}

const (
	// acceptRetry is how long after a failure a connection is waited for again.
	acceptRetry spanrill.Millis = 20
	// acceptTrust is how long no failure must have come before connections are
	// taken for sure again: several retries.
	acceptTrust spanrill.Millis = 250
)

// ErrNotAccepting means that nobody waits for connections.
var ErrNotAccepting = errors.New("nobody waits for connections")

// NewAcceptor returns an acceptor of a listener's connections.
func NewAcceptor(ln net.Listener, clock spanrill.Clock) *Acceptor {
	return &Acceptor{Listener: ln, clock: clock, closed: make(chan struct{})}
}

// Accept returns the next connection. It waits while none can be taken, and
// fails once the listener is closed or cannot be used again.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		a.begin()
		c, err := a.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if !passes(err) {
			a.end(err)
			return nil, err
		}
		a.fail(err)
		select {
		case <-a.closed:
			return nil, net.ErrClosed
		case <-a.clock.After(acceptRetry):
		}
	}
}

// passes reports whether an error of an accept goes away by itself: those that
// accept(2) of Linux names as of the process's or the system's means, or of a
// connection that is gone already.
func passes(err error) bool {
	for _, passing := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
		syscall.EAGAIN, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
		syscall.ENETUNREACH, syscall.ENONET, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

func (a *Acceptor) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = true
}

func (a *Acceptor) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err, a.failedAt = err, a.clock.Now()
}

func (a *Acceptor) end(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.err = err
}

// Err returns why new connections are not taken now, or nil if they are.
func (a *Acceptor) Err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !a.begun:
		return ErrNotAccepting
	case a.ended, a.err != nil && a.clock.Now()-a.failedAt < acceptTrust:
		return fmt.Errorf("accept: %w", a.err)
	}
	return nil
}

// Close closes the listener. Nothing is accepted any more.
func (a *Acceptor) Close() error {
	a.end(net.ErrClosed)
	a.once.Do(func() { close(a.closed) })
	return a.Listener.Close()
}
