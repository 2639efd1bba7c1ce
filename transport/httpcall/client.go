// Package httpcall makes single HTTP calls and reports how far each one got.
//
// A call is attempted once; the layers above decide on retries. The one exception, DoWithRetry,
// is chosen by them explicitly. A failed call returns a *spanrill.CallError, whose phase and count
// of written bytes tell whether the upstream can have seen the request.
//
// Requests and answers are encoded by fasthttp. The package does not use fasthttp's clients,
// because those hide how many bytes were written and cannot be told to stop reading a stream.
//
// # Usage
//
//	c := httpcall.New(httpcall.WithDialTimeout(500 * spanrill.Millis(1)))
//	answer, err := c.Do(ctx, "10.0.0.7:8000", req, httpcall.ReuseNever)
//	if err != nil {
//		return fmt.Errorf("call upstream: %w", err)
//	}
//	defer answer.Close()
package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/meter"
	"spanrill/pool"
)

// Reuse tells whether a call may use an idle connection of an earlier call.
type Reuse bool

const (
	// ReuseAllowed takes an idle connection that was just checked to be open, or makes one.
	ReuseAllowed Reuse = true
	// ReuseNever always makes a new connection. Calls that must not be repeated use it, since
	// the upstream may close an idle connection just as the request is sent.
	ReuseNever Reuse = false
)

// Client makes calls and keeps idle connections.
type Client struct {
	dialTimeout  spanrill.Millis
	ackTimeout   spanrill.Millis
	idle         *pool.Pool[string, *conn]
	timedOutOnce sync.Map // addresses whose last call on a reused connection timed out
	dialer       net.Dialer
	dial         DialFunc
	log          logrus.FieldLogger
	meters       *meter.Meters
	onHeaders    OnHeaders
	resetOnClose func(addr string) bool
	maxIdle      func(addr string) int
	maxTotal     int
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// OnHeaders is called with the headers of an answer, the time since its call began, and the connection
// of the call.
type OnHeaders func(addr string, h *fasthttp.ResponseHeader, took spanrill.Millis, conn net.Conn)

// Option changes a default of New.
type Option func(*Client)

// WithDialTimeout sets how long making a connection may take.
func WithDialTimeout(d spanrill.Millis) Option {
	return func(c *Client) { c.dialTimeout = d }
}

// WithDial wraps the function that opens connections. The function that it is given dials directly,
// with the client's timeouts.
func WithDial(wrap func(direct DialFunc) DialFunc) Option {
	return func(c *Client) { c.dial = wrap(c.dialer.DialContext) }
}

// WithAckTimeout sets how long sent bytes may stay unacknowledged before the connection fails.
func WithAckTimeout(d spanrill.Millis) Option {
	return func(c *Client) { c.ackTimeout = d }
}

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(c *Client) { c.log = log }
}

// WithMeters sets the counters.
func WithMeters(m *meter.Meters) Option {
	return func(c *Client) { c.meters = m }
}

// WithMaxIdle sets the function that returns how many idle connections to an address are kept.
// It is called whenever a connection becomes idle.
func WithMaxIdle(f func(addr string) int) Option {
	return func(c *Client) { c.maxIdle = f }
}

// WithResetOnClose sets a function that tells for an address whether connections that are given up
// during a call are reset. The operating system then drops bytes that it has not delivered yet, so that
// a request given up on a lost path does not arrive when the path is back.
func WithResetOnClose(f func(addr string) bool) Option {
	return func(c *Client) { c.resetOnClose = f }
}

// WithMaxIdleTotal sets how many idle connections are kept in total.
func WithMaxIdleTotal(n int) Option {
	return func(c *Client) { c.maxTotal = n }
}

// WithOnHeaders sets a function that gets the headers of each answer before Do returns it.
func WithOnHeaders(f OnHeaders) Option {
	return func(c *Client) { c.onHeaders = f }
}

const (
	defaultDialTimeout spanrill.Millis = 1000
	// defaultAckTimeout allows for several retransmissions on a link that loses packets.
	defaultAckTimeout spanrill.Millis = 5000
)

// New returns a Client. It makes connections as calls need them.
func New(opts ...Option) *Client {
	c := &Client{dialTimeout: defaultDialTimeout, ackTimeout: defaultAckTimeout, resetOnClose: func(string) bool { return false }, log: logrus.StandardLogger(), meters: meter.New(), onHeaders: func(string, *fasthttp.ResponseHeader, spanrill.Millis, net.Conn) {}}
	for _, o := range opts {
		o(c)
	}
	poolOpts := []pool.Option[string, *conn]{
		pool.WithDiscard[string](func(cn *conn) { _ = cn.Close() }), pool.WithMaxTotal[string, *conn](c.maxTotal),
	}
	if c.maxIdle != nil {
		poolOpts = append(poolOpts, pool.WithMaxIdleFunc[string, *conn](c.maxIdle))
	}
	c.idle = pool.New(poolOpts...)
	c.dialer.Timeout = c.dialTimeout.Duration()
	c.dialer.Control = c.setUserTimeout
	if c.dial == nil {
		c.dial = c.dialer.DialContext
	}
	return c
}

// setUserTimeout makes the operating system close a connection whose bytes stay unacknowledged
// for too long. A cut network link gives no other sign.
func (c *Client) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(c.ackTimeout))
	})
	if err == nil {
		err = setErr
	}
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// Close closes the idle connections.
func (c *Client) Close() { c.idle.Close() }

// CloseIdleTo closes the idle connections to an address.
func (c *Client) CloseIdleTo(addr string) { c.idle.Drop(addr) }

// Do sends req to addr and returns as soon as the headers of the answer have arrived. The context
// bounds the call and, later, the reading of the body.
func (c *Client) Do(ctx context.Context, addr string, req *fasthttp.Request, reuse Reuse) (*Answer, error) {
	return c.DoWatched(ctx, addr, req, reuse, nil, nil, nil)
}

// DoWatched is Do with a function, onSilence, that is called repeatedly while the headers or the
// body of the answer are awaited and nothing arrives. It gets the time for which nothing has
// arrived, and its error ends the call. interval returns the pause before its next run. setWake is
// given a function, safe for use by any goroutine, that makes onSilence run at once.
func (c *Client) DoWatched(ctx context.Context, addr string, req *fasthttp.Request, reuse Reuse,
	interval func() spanrill.Millis, onSilence func(silent spanrill.Millis) error, setWake func(func()),
) (*Answer, error) {
	cn, err := c.connect(ctx, addr, reuse)
	if err != nil {
		return nil, err
	}
	if err := runPresendCheck(ctx); err != nil {
		c.release(addr, cn)
		return nil, &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: fmt.Errorf("before sending to %s: %w", addr, err)}
	}
	if !cn.reused && hasPresendCheck(ctx) && !cn.isOpenAndIdle() {
		_ = cn.Close()
		c.meters.ConnectionsClosedAtOnce.Inc()
		return nil, &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: fmt.Errorf("connect to %s: %w", addr, errClosedAtOnce)}
	}
	if onSilence != nil {
		handler := &silenceHandler{interval: interval, handle: onSilence}
		cn.silence = handler
		cn.setWakeable(handler)
		setWake(func() { cn.wake(handler) })
	}
	return c.exchange(ctx, addr, cn, req)
}

// release keeps a connection without a call for later calls, or closes it if it serves one only.
func (c *Client) release(addr string, cn *conn) {
	if cn.isSingleUse() {
		_ = cn.Close()
		return
	}
	c.idle.Put(addr, cn)
}

// errClosedAtOnce means that the upstream closed a new connection before anything was sent on it,
// as it does with connections beyond its limit. No request can have run, so that even one that
// must not be repeated may be sent elsewhere.
var errClosedAtOnce = errors.New("closed before anything was sent")

// exchange sends a request and reads the headers of its answer. Its errors tell the phase of the
// call and how many bytes were written.
func (c *Client) exchange(ctx context.Context, addr string, cn *conn, req *fasthttp.Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, cn.interrupt)
	a := &Answer{client: c, addr: addr, conn: cn, stopInterrupt: stop, ctx: ctx}
	start := time.Now()
	cn.lastReceived = start
	if err := cn.send(req); err != nil {
		a.abort()
		err = c.handleSilence(ctx, addr, cn, err)
		return nil, &spanrill.CallError{Phase: spanrill.PhaseSend, Written: cn.written, Cause: fmt.Errorf("send to %s: %w", addr, err)}
	}
	if err := a.readHeader(); err != nil {
		a.abort()
		err = c.handleSilence(ctx, addr, cn, err)
		return nil, &spanrill.CallError{Phase: spanrill.PhaseAnswer, Written: cn.written, Cause: fmt.Errorf("answer of %s: %w", addr, err)}
	}
	if cn.reused {
		c.timedOutOnce.Delete(addr)
	}
	c.onHeaders(addr, a.Header(), spanrill.MillisOf(time.Since(start)), cn.Conn)
	return a, nil
}

// connect returns an idle connection that is open, if the call may reuse one, or a new connection.
func (c *Client) connect(ctx context.Context, addr string, reuse Reuse) (*conn, error) {
	for reuse.mayReuse(ctx) {
		cn, ok := c.idle.Get(addr)
		if !ok {
			break
		}
		if cn.isOpenAndIdle() {
			cn.written, cn.received, cn.reused = 0, false, true
			return cn, nil
		}
		_ = cn.Close()
	}
	nc, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: fmt.Errorf("connect to %s: dial: %w", addr, err)}
	}
	return newConn(nc), nil
}

// conn is a connection with the state of the call under way.
type conn struct {
	net.Conn
	r                 *bufio.Reader
	w                 *bufio.Writer
	written           int       // bytes written for the call under way
	reused            bool      // it served a call before the one under way
	received          bool      // bytes of the answer have arrived
	firstByteTimedOut bool      // DoWithRetry has stopped waiting for the first byte
	lastReceived      time.Time // when bytes last arrived, or when the call began
	interrupted       atomic.Bool
	silence           *silenceHandler // called while nothing arrives, or nil
	wakeMu            sync.Mutex
	wakeable          *silenceHandler // guarded by wakeMu: the handler of the call that wake may interrupt
}

// silenceHandler is called at intervals while a read gets no bytes.
type silenceHandler struct {
	interval func() spanrill.Millis
	handle   func(silent spanrill.Millis) error
}

// wake makes a waiting read call its silence handler now. A read that is just about to begin may
// miss it. After the call of handler has ended wake does nothing, since the connection may serve
// another call by then.
func (cn *conn) wake(handler *silenceHandler) {
	cn.wakeMu.Lock()
	defer cn.wakeMu.Unlock()
	if cn.wakeable == handler {
		_ = cn.SetReadDeadline(expired)
	}
}

// setWakeable sets the handler whose call wake may interrupt, or nil for none.
func (cn *conn) setWakeable(handler *silenceHandler) {
	cn.wakeMu.Lock()
	defer cn.wakeMu.Unlock()
	cn.wakeable = handler
}

// Read waits for bytes and calls the silence handler at intervals while none arrive. The deadlines
// set for that are handled here, so that they do not interrupt a reader in the middle of a message.
func (cn *conn) Read(b []byte) (n int, err error) {
	defer func() {
		if n > 0 {
			cn.received, cn.lastReceived = true, time.Now()
		}
	}()
	if cn.silence == nil {
		return cn.Conn.Read(b)
	}
	for start := time.Now(); ; {
		cn.setReadWait(cn.silence.interval())
		n, err := cn.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || cn.interrupted.Load() {
			return n, err
		}
		if err := cn.silence.handle(spanrill.MillisOf(time.Since(start))); err != nil {
			return 0, err
		}
	}
}

func newConn(nc net.Conn) *conn {
	cn := &conn{Conn: nc}
	cn.r = bufio.NewReader(cn)
	cn.w = bufio.NewWriter(cn)
	return cn
}

// Write writes b and counts the bytes that the operating system accepted.
func (cn *conn) Write(b []byte) (int, error) {
	n, err := cn.Conn.Write(b)
	cn.written += n
	return n, err
}

func (cn *conn) send(req *fasthttp.Request) error {
	if err := req.Write(cn.w); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := cn.w.Flush(); err != nil {
		return fmt.Errorf("flush request: %w", err)
	}
	return nil
}

// expired is a deadline in the past. Setting it makes pending reads and writes return at once.
var expired = time.Unix(1, 0)

// interrupt makes pending and later reads and writes return at once.
func (cn *conn) interrupt() {
	cn.interrupted.Store(true)
	_ = cn.SetDeadline(expired)
}

// setReadWait sets the deadline of the next reads, unless the connection was interrupted.
func (cn *conn) setReadWait(d spanrill.Millis) {
	_ = cn.SetReadDeadline(time.Now().Add(d.Duration()))
	if cn.interrupted.Load() {
		_ = cn.SetReadDeadline(expired)
	}
}
