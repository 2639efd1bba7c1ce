package granting

import (
	"sync/atomic"

	"spanrill"
)

// clientGrant is room that a request of this daemon has. It implements spanrill.RoomGrant.
type clientGrant struct {
	client   *Client
	service  *clientService
	id       uint64
	box      *outbox // of the daemon that gave it, or nil
	first    uint32
	size     float64 // tokens
	released atomic.Bool
}

// First returns the first engine of the chain, or 0 if the daemon is to choose the chain itself.
func (g *clientGrant) First() uint32 { return g.first }

// Release gives the room back with the next report. Further calls do nothing.
func (g *clientGrant) Release() {
	if g.released.Swap(true) {
		return
	}
	c := g.client
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(g.service.running, g)
	if g.box == nil {
		return
	}
	g.box.end(g.id)
	c.wakeReports()
}

// newGrant adds a running request. The caller must hold c.mu.
func (c *Client) newGrant(s *clientService, id uint64, box *outbox, first uint32, size float64) *clientGrant {
	g := &clientGrant{client: c, service: s, id: id, box: box, first: first, size: size}
	s.running[g] = true
	return g
}

// startWaiter turns a request that was granted room into a running one.
func (c *Client) startWaiter(q *question, w *clientWaiter, first uint32) *clientGrant {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, w.id)
	return c.newGrant(c.service(q.request.Service), w.id, w.box, first, sizeOf(q.request))
}

// sizeOf returns the size of a request in tokens.
func sizeOf(r *spanrill.RoomRequest) float64 {
	return max(1, float64(r.Need.Prompt)+float64(r.Need.Answer))
}
