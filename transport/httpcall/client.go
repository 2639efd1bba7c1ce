// Package httpcall makes single HTTP calls and says how far each one got.
//
// A call is attempted once. There is no retry of any kind in this package, so
// that the layers above decide alone; DoTwice is asked for by them. A failed call returns a
// *spanrill.CallError, whose phase and count of written bytes tell whether the
// upstream can have seen the request.
//
// Requests and answers are encoded by fasthttp. The package does not use
// fasthttp's clients, because those hide how many bytes were written, and
// because they cannot be told to stop reading a stream.
//
// # Usage
//
//	c := httpcall.New(httpcall.WithDialTimeout(500 * spanrill.Millis(1)))
//	answer, err := c.Do(ctx, "10.0.0.7:8000", req, httpcall.Fresh)
//	if err != nil {
//		return fmt.Errorf("post reading: %w", err)
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

// Reuse says whether a call may use a connection that was used before.
type Reuse bool

const (
	// Reused takes an idle connection that was just proved open, or a new one.
	Reused Reuse = true
	// Fresh always makes a new connection. A call that may not be repeated
	// uses it, since an old connection can close under the request.
	Fresh Reuse = false
)

// Client makes calls and keeps idle connections.
type Client struct {
	dialTimeout spanrill.Millis
	unacked     spanrill.Millis
	idle        *pool.Pool[string, *conn]
	doubted     sync.Map // addresses whose last call on a reused connection timed out
	dialer      net.Dialer
	log         logrus.FieldLogger
	meters      *meter.Meters
	onHead      OnHead
	maxIdle     func(addr string) int
	maxTotal    int
}

// OnHead is told of the head of an answer and how long ago its call began.
type OnHead func(addr string, h *fasthttp.ResponseHeader, took spanrill.Millis)

// Option changes a default of New.
type Option func(*Client)

// WithDialTimeout bounds how long a connection may take to be made.
func WithDialTimeout(d spanrill.Millis) Option {
	return func(c *Client) { c.dialTimeout = d }
}

// WithUnacked bounds how long sent bytes may stay without acknowledgement.
func WithUnacked(d spanrill.Millis) Option {
	return func(c *Client) { c.unacked = d }
}

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) Option {
	return func(c *Client) { c.log = log }
}

// WithMeters sets the counters.
func WithMeters(m *meter.Meters) Option {
	return func(c *Client) { c.meters = m }
}

// WithMaxIdle sets how many idle connections are kept to an address, as it says when one
// becomes idle.
func WithMaxIdle(f func(addr string) int) Option {
	return func(c *Client) { c.maxIdle = f }
}

// WithMaxTotal sets how many idle connections are kept to all addresses together.
func WithMaxTotal(n int) Option {
	return func(c *Client) { c.maxTotal = n }
}

// WithOnHead sets what is told of the head of each answer, before its caller sees it.
func WithOnHead(f OnHead) Option {
	return func(c *Client) { c.onHead = f }
}

const (
	defaultDialTimeout spanrill.Millis = 1000
	// defaultUnacked is several retransmissions on a link with loss.
	defaultUnacked spanrill.Millis = 5000
)

// New returns a client with no connections.
func New(opts ...Option) *Client {
	c := &Client{dialTimeout: defaultDialTimeout, unacked: defaultUnacked, log: logrus.StandardLogger(), meters: meter.New(), onHead: func(string, *fasthttp.ResponseHeader, spanrill.Millis) {}}
	for _, o := range opts {
		o(c)
	}
	idle := []pool.Option[string, *conn]{
		pool.WithDiscard[string](func(cn *conn) { _ = cn.Close() }), pool.WithMaxTotal[string, *conn](c.maxTotal),
	}
	if c.maxIdle != nil {
		idle = append(idle, pool.WithMaxIdleOf[string, *conn](c.maxIdle))
	}
	c.idle = pool.New(idle...)
	c.dialer.Timeout = c.dialTimeout.Duration()
	c.dialer.Control = c.setUserTimeout
	return c
}

// setUserTimeout lets the operating system give up a connection whose bytes
// nobody has acknowledged for a while: a cut link says nothing.
func (c *Client) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(c.unacked))
	})
	if err == nil {
		err = set
	}
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// Close closes the idle connections.
func (c *Client) Close() { c.idle.Close() }

// Forget closes the idle connections to an address.
func (c *Client) Forget(addr string) { c.idle.Drop(addr) }

// Do sends req to addr and returns as soon as the headers of the answer are
// there. The context ends the call and, later, the reading of its body.
func (c *Client) Do(ctx context.Context, addr string, req *fasthttp.Request, reuse Reuse) (*Answer, error) {
	return c.DoWatched(ctx, addr, req, reuse, nil, nil, nil)
}

// DoWatched is Do with a function that runs whenever nothing has arrived for
// while: every gives the pause before the function runs next, while the head or
// the body of the answer is awaited. It is told for how long nothing has arrived. An error of it ends the
// call. Poke is given a function that makes it run at once, which any goroutine
// may call.
func (c *Client) DoWatched(ctx context.Context, addr string, req *fasthttp.Request, reuse Reuse,
	every func() spanrill.Millis, onSilence func(silent spanrill.Millis) error, poke func(func()),
) (*Answer, error) {
	cn, err := c.connect(ctx, addr, reuse)
	if err != nil {
		return nil, err
	}
	if err := checkBefore(ctx); err != nil {
		c.idle.Put(addr, cn)
		return nil, &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: fmt.Errorf("before sending to %s: %w", addr, err)}
	}
	if !cn.reused && isRequest(ctx) && !cn.proveOpen() {
		_ = cn.Close()
		c.meters.ConnectionsClosedAtOnce.Inc()
		return nil, &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: fmt.Errorf("connect to %s: %w", addr, errClosedAtOnce)}
	}
	if onSilence != nil {
		s := &silence{every: every, do: onSilence}
		cn.silence = s
		cn.watch(s)
		poke(func() { cn.poke(s) })
	}
	return c.exchange(ctx, addr, cn, req)
}

// errClosedAtOnce means that the other side has ended a new connection before anything was
// sent on it, as an upstream does with connections beyond those that it takes. Nothing has
// run then, also where a request may not be repeated.
var errClosedAtOnce = errors.New("closed before anything was sent")

// exchange sends a request and reads the headers of its answer.
func (c *Client) exchange(ctx context.Context, addr string, cn *conn, req *fasthttp.Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, cn.interrupt)
	a := &Answer{client: c, addr: addr, conn: cn, stop: stop, ctx: ctx}
	begun := time.Now()
	cn.heard = begun
	if err := cn.send(req); err != nil {
		a.drop()
		err = c.judge(ctx, addr, cn, err)
		return nil, &spanrill.CallError{Phase: spanrill.PhaseSend, Written: cn.written, Cause: fmt.Errorf("send to %s: %w", addr, err)}
	}
	if err := a.readHeader(); err != nil {
		a.drop()
		if cn.ended != nil {
			err = fmt.Errorf("%w: %w", cn.ended, err)
		}
		err = c.judge(ctx, addr, cn, err)
		return nil, &spanrill.CallError{Phase: spanrill.PhaseAnswer, Written: cn.written, Cause: fmt.Errorf("answer of %s: %w", addr, err)}
	}
	if cn.reused {
		c.doubted.Delete(addr)
	}
	c.onHead(addr, a.Header(), spanrill.MillisOf(time.Since(begun)))
	return a, nil
}

func (c *Client) connect(ctx context.Context, addr string, reuse Reuse) (*conn, error) {
	for reuse.mayReuse(ctx) {
		cn, ok := c.idle.Get(addr)
		if !ok {
			break
		}
		if cn.proveOpen() {
			cn.written, cn.received, cn.reused = 0, false, true
			return cn, nil
		}
		_ = cn.Close()
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &spanrill.CallError{Phase: spanrill.PhaseDial, Cause: fmt.Errorf("connect to %s: dial: %w", addr, err)}
	}
	return newConn(nc), nil
}

// conn is a connection that counts what was written.
type conn struct {
	net.Conn
	r           *bufio.Reader
	w           *bufio.Writer
	written     int
	reused      bool      // by the call under way
	received    bool      // something of its answer
	gaveUp      bool      // the call has given up waiting for the first byte
	heard       time.Time // when bytes came last, at first when the call began
	interrupted atomic.Bool
	silence     *silence // or nil
	ended       error    // of the silence function, which fasthttp hides before the first byte
	pokeMu      sync.Mutex
	watched     *silence // under pokeMu: what a poke may wake
}

// silence is what to do while nothing arrives.
type silence struct {
	every func() spanrill.Millis
	do    func(silent spanrill.Millis) error
}

// poke makes a watched read that waits call its silence function now. A read that is
// just about to begin may miss it. One that comes when its call has ended does nothing:
// the connection may be another call's by then.
func (cn *conn) poke(s *silence) {
	cn.pokeMu.Lock()
	defer cn.pokeMu.Unlock()
	if cn.watched == s {
		_ = cn.SetReadDeadline(past)
	}
}

// watch notes for which call a poke wakes the reader, or nil.
func (cn *conn) watch(s *silence) {
	cn.pokeMu.Lock()
	defer cn.pokeMu.Unlock()
	cn.watched = s
}

// Read waits for bytes. While none arrive, the silence function runs every so
// often. No deadline interrupts a reader above in the middle of a message.
func (cn *conn) Read(b []byte) (n int, err error) {
	defer func() {
		if n > 0 {
			cn.received, cn.heard = true, time.Now()
		}
	}()
	if cn.silence == nil {
		return cn.Conn.Read(b)
	}
	for begun := time.Now(); ; {
		cn.setReadWait(cn.silence.every())
		n, err := cn.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || cn.interrupted.Load() {
			return n, err
		}
		if err := cn.silence.do(spanrill.MillisOf(time.Since(begun))); err != nil {
			cn.ended = err
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

// Write counts the bytes that the operating system took.
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

// past is a deadline that has been reached.
var past = time.Unix(1, 0)

// interrupt makes reads and writes that wait return at once, and all later
// ones too.
func (cn *conn) interrupt() {
	cn.interrupted.Store(true)
	_ = cn.SetDeadline(past)
}

// setReadWait bounds the next reads, unless the connection was interrupted.
func (cn *conn) setReadWait(d spanrill.Millis) {
	_ = cn.SetReadDeadline(time.Now().Add(d.Duration()))
	if cn.interrupted.Load() {
		_ = cn.SetReadDeadline(past)
	}
}
