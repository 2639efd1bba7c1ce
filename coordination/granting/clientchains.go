package granting

import (
	"maps"

	"spanrill"
)

const (
	// chainsMaxAge is the age from which the chains of a service are read again.
	chainsMaxAge spanrill.Millis = 100
	// refusalMemory is how long chains with an engine that refused a request are avoided.
	refusalMemory spanrill.Millis = 300
	// maxRefusing is the maximum number of refusing engines that are kept.
	maxRefusing = 1024
)

// chainView is the chains of a service as of a time. It is not changed after it was made.
type chainView struct {
	readAt spanrill.Millis
	chains []spanrill.RoomChain
	firsts map[uint32]bool
	known  bool
}

// chainView returns the chains of a service, which are at most chainsMaxAge old.
func (c *Client) chainView(service string, maxAge spanrill.Millis) *chainView {
	now := c.clock.Now()
	c.mu.Lock()
	s := c.service(service)
	view := s.view
	c.mu.Unlock()
	if view != nil && now-view.readAt <= maxAge {
		return view
	}
	chains, known := c.source.Chains(service)
	view = &chainView{readAt: now, chains: chains, firsts: map[uint32]bool{}, known: known}
	for i := range chains {
		if len(chains[i].Parts) > 0 {
			view.firsts[chains[i].First()] = true
		}
	}
	c.mu.Lock()
	s.view = view
	c.mu.Unlock()
	return view
}

// knowsChain reports whether an engine is the first of a chain. It returns true if this daemon does
// not know the chains.
func (c *Client) knowsChain(service string, first uint32) bool {
	view := c.chainView(service, chainsMaxAge)
	if !view.known || view.firsts[first] {
		return true
	}
	view = c.chainView(service, 0)
	return !view.known || view.firsts[first]
}

// chainsWith returns the first engines of the chains that use any of the engines.
func (c *Client) chainsWith(service string, engines map[uint32]bool) map[uint32]bool {
	if len(engines) == 0 {
		return nil
	}
	firsts := map[uint32]bool{}
	view := c.chainView(service, chainsMaxAge)
	for i := range view.chains {
		if chain := &view.chains[i]; usesAny(chain, engines) {
			firsts[chain.First()] = true
		}
	}
	return firsts
}

// refusingEngines has the times at which engines refused a request last.
type refusingEngines map[uint32]spanrill.Millis

// record records a refusal.
func (e refusingEngines) record(now spanrill.Millis, engine uint32) {
	if len(e) >= maxRefusing {
		maps.DeleteFunc(e, func(_ uint32, at spanrill.Millis) bool { return now-at > refusalMemory })
	}
	if len(e) < maxRefusing {
		e[engine] = now
	}
}

// recordRefusing records that engines refused a request.
func (c *Client) recordRefusing(now spanrill.Millis, engines []uint32) {
	if len(engines) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, engine := range engines {
		c.refusing.record(now, engine)
	}
}

// reportRefusing tells the daemon that grants the room of the request's service which engines
// refused the request.
func (c *Client) reportRefusing(r *spanrill.RoomRequest) {
	if len(r.RefusedBy) == 0 {
		return
	}
	granters := c.granters(r.Service)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service)
	for _, granter := range granters {
		if c.isPassedOver(granter) {
			continue
		}
		box := c.outbox(s, granter)
		for _, engine := range r.RefusedBy {
			box.refuse(engine)
		}
		c.wakeReports()
		return
	}
}

// avoidSet returns the engines that a request may not use, and those that have just refused
// requests.
func (c *Client) avoidSet(now spanrill.Millis, r *spanrill.RoomRequest) map[uint32]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(r.Need.Avoid)+len(c.refusing) == 0 {
		return nil
	}
	avoid := map[uint32]bool{}
	for engine, avoided := range r.Need.Avoid {
		if avoided {
			avoid[engine] = true
		}
	}
	for engine, at := range c.refusing {
		if now-at <= refusalMemory {
			avoid[engine] = true
		} else {
			delete(c.refusing, engine)
		}
	}
	return avoid
}
