package relay

import (
	"context"
	"net"
	"sync"

	"spanrill"
	"spanrill/meter"
	"spanrill/transport/httpcall"
)

// callerConns holds the connections of running requests. It checks them at intervals, because
// fasthttp does not notify a handler when its caller disconnects.
type callerConns struct {
	clock  spanrill.Clock
	meters *meter.Meters
	mu     sync.Mutex
	conns  map[uint64]*callerConn
	nextID uint64
	ended  bool // endAll was called
}

// callerConn is the connection of one caller.
type callerConn struct {
	conn     net.Conn
	deadline spanrill.Millis // of the request
	cancel   context.CancelCauseFunc
	lastSeen spanrill.Millis // when the connection was last known to be open
	left     bool            // the caller has closed the connection
}

func newCallerConns(clock spanrill.Clock, meters *meter.Meters) *callerConns {
	return &callerConns{clock: clock, meters: meters, conns: map[uint64]*callerConn{}}
}

// add registers a caller and returns a function that removes it, to be called when all work for the
// caller has ended. It also checks the connection, because the caller may have closed it before its
// request was read.
func (c *callerConns) add(conn net.Conn, deadline spanrill.Millis, cancel context.CancelCauseFunc) func() {
	caller := &callerConn{conn: conn, deadline: deadline, cancel: cancel, lastSeen: c.clock.Now()}
	caller.check(c.clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		cancel(errStopping)
	}
	c.nextID++
	id := c.nextID
	c.conns[id] = caller
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.conns, id)
		if caller.left {
			c.meters.CallerGoneDelay.Update(float64(c.clock.Now()-caller.lastSeen) / float64(spanrill.Second))
		}
	}
}

// endAll cancels all requests, and those that are added later, with errStopping.
func (c *callerConns) endAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, caller := range c.conns {
		caller.cancel(errStopping)
	}
}

// check cancels the requests of callers that have closed their connections.
func (c *callerConns) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, caller := range c.conns {
		caller.check(now)
	}
}

// check cancels the request if the caller has closed the connection or the deadline has passed. The
// deadline is checked here because contexts do not count time in which the machine is suspended.
func (c *callerConn) check(now spanrill.Millis) {
	switch {
	case c.left:
	case now >= c.deadline:
		c.cancel(context.DeadlineExceeded)
	case httpcall.ProbeConn(c.conn) == httpcall.ConnClosed:
		c.left = true
		c.cancel(errCallerLeft)
	default:
		c.lastSeen = now
	}
}

// callerCheckInterval is how often connections are checked. Work for a caller that has disconnected
// must be cancelled within 500 ms.
const callerCheckInterval spanrill.Millis = 150

// Run checks at intervals for callers that have disconnected, for requests on engines that are to
// give up layers, and for upstreams that have crashed while they ran a request. It returns when the
// context ends.
func (r *Relay) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.callers.check()
		r.generations.checkVacatedPaths()
		r.reportCrashes()
		select {
		case <-ctx.Done():
		case <-r.Clock.After(callerCheckInterval):
		}
	}
	return ctx.Err()
}
