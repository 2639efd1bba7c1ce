package exchange

import (
	"math"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// placement is what the holder of the lease of placement has said, and when.
type placement struct {
	holder  string           // name, or "" if none is known
	at      spanrill.Millis  // no later than it was said
	version spanrill.Version // of its lease, or "" if it acts without
	left    spanrill.Millis  // time for which the lease held then
	slow    []peermsg.Pace
	orders  orders
}

const (
	// placementFresh is how long the holder's word is believed in a fleet that asks
	// all others in every round: a few rounds.
	placementFresh = spanrill.Second
	// ownEvery is how often the holder looks at what it has to say, however many ask: a
	// fifth of a round.
	ownEvery spanrill.Millis = gap / 5
)

// fresh reports whether the holder was heard of lately.
func (e *Exchange) fresh(p *placement) bool {
	return p.holder != "" && e.clock.Now()-p.at < placementFresh+2*(e.SpreadTime()-gap)
}

// PlacementHeld reports whether another daemon has said lately that it holds the
// lease of placement.
func (e *Exchange) PlacementHeld() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fresh(&e.placement)
}

// takePlacement takes what the holder of the lease said, from itself or from
// another daemon.
func (e *Exchange) takePlacement(said *peermsg.Placement, sent spanrill.Millis) {
	if said == nil || said.Holder == e.state.Name {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p, at := &e.placement, sent-said.Age
	switch {
	case said.Holder == p.holder:
		p.orders.take(said)
	case at <= p.at || said.After > 0:
		return // the next question says what is known here
	default:
		p.orders = orders{}
		p.orders.take(said)
	}
	if at <= p.at {
		return
	}
	p.holder, p.at, p.version, p.left, p.slow = said.Holder, at, said.Version, said.Left, said.Slow
	if said.Left > said.Age {
		e.state.Lease.Heard(said.Version, said.Left-said.Age)
	}
}

// forgetPlacement notes that a daemon which held the lease no longer says so.
func (e *Exchange) forgetPlacement(name string, sent spanrill.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.placement.holder == name {
		e.placement = placement{at: sent}
	}
}

// knownOrders returns what this daemon knows of the orders, for one that it asks for news. In
// a large fleet it is told of changes by its first parent alone while the holder is heard of.
func (e *Exchange) knownOrders(t target) knownOrders {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := knownOrders{holder: e.placement.holder, sequence: e.placement.orders.sequence}
	if t.noOrders && e.fresh(&e.placement) {
		known.sequence = allOrders
	}
	return known
}

// allOrders is the sequence of a daemon that asks for no orders.
const allOrders = math.MaxUint64

// ordersKnownBy returns what a peer knew of the orders when it answered last.
func (e *Exchange) ordersKnownBy(peer string) knownOrders {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerKnows[peer]
}

func (e *Exchange) notePeerKnows(peer string, said *peermsg.Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if said == nil {
		delete(e.peerKnows, peer)
		return
	}
	e.peerKnows[peer] = knownOrders{holder: said.Holder, sequence: said.Sequence}
}

// placementNews returns what this daemon says as the holder of the lease, or hands on of
// what the holder said, to a daemon that knows some of it.
func (e *Exchange) placementNews(known knownOrders) *peermsg.Placement {
	holds := e.state.Placement()
	if holds {
		e.lookAtOwn()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.placement
	if holds {
		p = &e.own
	}
	if !holds && !e.fresh(p) {
		return nil
	}
	said := &peermsg.Placement{Holder: p.holder, Age: e.clock.Now() - p.at, Version: p.version, Left: p.left, Slow: p.slow}
	if known.holder != p.holder {
		known.sequence = 0
	}
	p.orders.tell(said, known.sequence)
	return said
}

// lookAtOwn notes what this daemon has to say as the holder of the lease.
func (e *Exchange) lookAtOwn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, p := e.clock.Now(), &e.own
	if p.holder != "" && now-p.at < ownEvery {
		return
	}
	p.holder, p.at = e.state.Name, now
	p.version, p.left = e.state.Lease.Left()
	p.slow = nil
	e.state.Fleet.EachActive(func(u *fleet.Upstream) {
		if u.Slow() {
			p.slow = append(p.slow, peermsg.Pace{Upstream: u.Key(), Times: u.Pace()})
		}
	})
	targets := map[uint32]fleet.Target{}
	for id, t := range e.state.Targets() {
		targets[fleet.KeyOf(id)] = t
	}
	p.orders.set(targets)
}

// applyPaces takes from the holder of the lease, which asks all engines now and
// then, which of them are slow. The caller holds the lock.
func (e *Exchange) applyPaces() {
	if !e.fresh(&e.placement) {
		return
	}
	paces := map[uint32]float64{}
	for _, p := range e.placement.slow {
		paces[p.Upstream] = p.Times
	}
	changed := false
	set := func(u *fleet.Upstream, pace float64) {
		before := u.Slow()
		u.SetPace(pace)
		changed = changed || u.Slow() != before
	}
	e.state.Fleet.EachActive(func(u *fleet.Upstream) {
		if _, slow := paces[u.Key()]; !slow {
			set(u, 0)
		}
	})
	view := e.state.Fleet.View()
	for key, pace := range paces {
		if u := view.ByKey(key); u != nil {
			set(u, pace)
		}
	}
	if changed {
		e.state.Fleet.Touch()
	}
}
