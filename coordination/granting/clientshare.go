package granting

import (
	"math"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// enterByShare decides on a request without a granting daemon: it starts within this daemon's share
// of the room, or is refused at once.
func (c *Client) enterByShare(r *spanrill.RoomRequest) (spanrill.RoomGrant, *spanrill.Refusal) {
	now := c.clock.Now()
	view := c.chainView(r.Service, chainsMaxAge)
	meanSize := meanSizeOf(r)
	rooms := chainRooms(view.chains, meanSize)
	avoid := c.avoidSet(now, r)
	draw := c.random()
	c.noteSharing(r.Service, true)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service)
	daemons := c.fleet.largest(now)
	if !view.known || daemons == 0 {
		return c.enterSlowly(now, s, r)
	}
	decision := share{rooms: rooms, meanSize: meanSize, daemons: daemons, rounding: c.rounding}
	first, ok := decision.start(shareRequest{
		class: r.Need.Class, size: sizeOf(r), running: s.runningSize(), avoid: avoid, draw: draw,
	})
	if !ok {
		c.counts.shareRefused.Add(1)
		return nil, c.refuse(r, c.spreadRetry(r, maxShareRetry),
			"no granting daemon answers, and this daemon's share of the room has none for the request (one of %d shares, %d chains, %d requests running)",
			daemons, len(rooms), len(s.running))
	}
	c.counts.shared.Add(1)
	return c.newGrant(s, 0, nil, first, sizeOf(r)), nil
}

// enterSlowly decides on a request while neither fleet nor load is known. The caller must hold c.mu.
func (c *Client) enterSlowly(now spanrill.Millis, s *clientService, r *spanrill.RoomRequest) (spanrill.RoomGrant, *spanrill.Refusal) {
	if !s.slow.start(now) {
		c.counts.shareRefused.Add(1)
		return nil, c.refuse(r, c.spreadRetry(r, maxSlowRetry), "this daemon has just started, and does not know yet how much room there is")
	}
	c.counts.passed.Add(1)
	return c.newGrant(s, 0, nil, 0, sizeOf(r)), nil
}

// slowAfter records the engines that refused a request.
func (c *Client) slowAfter(now spanrill.Millis, r *spanrill.RoomRequest) {
	if len(r.RefusedBy) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(r.Service).slow.recordRefusal(now)
}

// runningSize returns the size of the running requests in tokens. The caller must hold c.mu.
func (s *clientService) runningSize() float64 {
	size := 0.0
	for g := range s.running {
		size += g.size
	}
	return size
}

// meanSizeOf returns the mean size of requests in tokens, or the size of the request itself if the
// model doesn't tell.
func meanSizeOf(r *spanrill.RoomRequest) float64 {
	if r.Model == nil {
		return sizeOf(r)
	}
	mean := r.Model.MeanPromptTokens + r.Model.MeanAnswerTokens
	if !(mean >= 1) || math.IsInf(mean, 0) {
		return sizeOf(r)
	}
	return mean
}

// sharing is whether requests of a service start without a granting daemon, as it was logged last.
type sharing struct {
	logged bool
	limit  logLimit
}

// noteSharing logs that requests of a service begin or cease to start without a granting daemon.
func (c *Client) noteSharing(service string, active bool) {
	now := c.clock.Now()
	c.mu.Lock()
	s := &c.service(service).sharing
	isLogged := s.logged != active && s.limit.allow(now)
	if isLogged {
		s.logged = active
	}
	daemons := c.fleet.largest(now)
	c.mu.Unlock()
	if !isLogged {
		return
	}
	event := events.RoomGranterReached
	if active {
		event = events.RoomOwnShare
	}
	event.Log(c.log, logrus.Fields{"service": service, "daemons": daemons})
}
