package relay

import (
	"context"
	"net"
	"sync"

	"spanrill"
	"spanrill/transport/httpcall"
)

// callers are the connections of requests that run. A handler does not see
// that its caller has left, so that the connections are looked at instead.
type callers struct {
	mu   sync.Mutex
	all  map[uint64]caller
	next uint64
}

type caller struct {
	conn   net.Conn
	cancel context.CancelCauseFunc
}

func newCallers() *callers { return &callers{all: map[uint64]caller{}} }

// add notes a caller and returns the function that forgets it.
func (c *callers) add(conn net.Conn, cancel context.CancelCauseFunc) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	id := c.next
	c.all[id] = caller{conn: conn, cancel: cancel}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.all, id)
	}
}

// look cancels the requests of callers that have closed their connections.
func (c *callers) look() {
	c.mu.Lock()
	all := make([]caller, 0, len(c.all))
	for _, one := range c.all {
		all = append(all, one)
	}
	c.mu.Unlock()
	for _, one := range all {
		if httpcall.PeerOpen(one.conn) == httpcall.PeerGone {
			one.cancel(errCallerGone)
		}
	}
}

// lookGap is how often connections are looked at. The users ask that work for
// a caller that left is cancelled within half a second.
const lookGap spanrill.Millis = 150

// Run looks for callers that left, and for requests that run where layers are given
// up, until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.running.look()
		r.streams.pokeGivenUp()
		select {
		case <-ctx.Done():
		case <-r.Clock.After(lookGap):
		}
	}
	return ctx.Err()
}
