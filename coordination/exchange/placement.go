package exchange

import (
	"math"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// placement is the last report of the holder of the placement lease, with its time.
type placement struct {
	holder       string           // name of the daemon, or "" if unknown
	reportedAt   spanrill.Millis  // from its age: too early by the delay of an answer, too late by that of a request
	leaseVersion spanrill.Version // version of the lease, or "" if the holder acts without one
	leaseLeft    spanrill.Millis  // remaining time of the lease at the report
	slow         []peermsg.Slowdown
	orders       orders
}

const (
	// placementTTL is how long a report of the holder is valid in a small fleet, whose daemons ask
	// all others in every round: a few rounds.
	placementTTL = spanrill.Second
	// ownRefreshInterval is the shortest time between two updates of the holder's own report,
	// however many peers ask: a fifth of a round.
	ownRefreshInterval spanrill.Millis = roundInterval / 5
)

// isFresh reports whether a report of the holder is recent enough to be used. In a large fleet it may
// be older than placementTTL by the additional rounds that it takes up and down the trees.
func (e *Exchange) isFresh(p *placement) bool {
	return p.holder != "" && e.clock.Now()-p.reportedAt < placementTTL+2*(e.BroadcastTime()-roundInterval)
}

// PeerHoldsPlacement reports whether another daemon recently reported that it holds the placement
// lease.
func (e *Exchange) PeerHoldsPlacement() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isFresh(&e.placement)
}

// mergePlacement merges a report of the lease holder, received from the holder itself or from
// another daemon. From a new holder it accepts only a full report that is newer. sentAt is when the
// report was requested, or when it arrived with a request.
func (e *Exchange) mergePlacement(report *peermsg.Placement, sentAt spanrill.Millis) {
	if report == nil || report.Holder == e.state.Name {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p, reportedAt := &e.placement, sentAt-report.Age
	switch {
	case report.Holder == p.holder:
		p.orders.applyChanges(report)
	case reportedAt <= p.reportedAt || report.Since > 0:
		return // the next request states which orders are known here
	default:
		p.orders = orders{}
		p.orders.applyChanges(report)
	}
	if reportedAt <= p.reportedAt {
		return
	}
	p.holder, p.reportedAt, p.leaseVersion, p.leaseLeft, p.slow = report.Holder, reportedAt, report.LeaseVersion, report.LeaseLeft, report.Slow
	if report.LeaseLeft > report.Age {
		e.state.Lease.RecordExpiry(report.LeaseVersion, report.LeaseLeft-report.Age)
	}
}

// clearPlacement clears the known lease holder if it is the named peer, which no longer reports that
// it holds the lease. sentAt is when that peer was asked.
func (e *Exchange) clearPlacement(name string, sentAt spanrill.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.placement.holder == name {
		e.placement = placement{reportedAt: sentAt}
	}
}

// knownOrdersFor returns the orders that a request to a peer states as known here, so that the peer
// sends only later ones. In a large fleet only the first recipient is asked for order changes while
// the holder's report is fresh.
func (e *Exchange) knownOrdersFor(to recipient) knownOrders {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := knownOrders{holder: e.placement.holder, sequence: e.placement.orders.sequence}
	if to.skipOrders && e.isFresh(&e.placement) {
		known.sequence = skipOrdersSequence
	}
	return known
}

// skipOrdersSequence is the sequence in a request that asks for no orders.
const skipOrdersSequence = math.MaxUint64

// ordersKnownBy returns which orders a peer knew when it last answered.
func (e *Exchange) ordersKnownBy(peer string) knownOrders {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerOrders[peer]
}

func (e *Exchange) recordPeerOrders(peer string, report *peermsg.Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if report == nil {
		delete(e.peerOrders, peer)
		return
	}
	e.peerOrders[peer] = knownOrders{holder: report.Holder, sequence: report.Sequence}
}

// placementNews returns the placement report for a daemon that knows the given orders: this
// daemon's own report if it holds the lease, otherwise the holder's last one, or nil if that is not
// fresh.
func (e *Exchange) placementNews(known knownOrders) *peermsg.Placement {
	isHolder := e.state.HoldsPlacement()
	if isHolder {
		e.refreshOwnPlacement()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.placement
	if isHolder {
		p = &e.ownPlacement
	}
	if !isHolder && !e.isFresh(p) {
		return nil
	}
	report := &peermsg.Placement{Holder: p.holder, Age: e.clock.Now() - p.reportedAt, LeaseVersion: p.leaseVersion, LeaseLeft: p.leaseLeft, Slow: p.slow}
	if known.holder != p.holder {
		known.sequence = 0
	}
	p.orders.writeChanges(report, known.sequence)
	return report
}

// refreshOwnPlacement updates what this daemon reports as the lease holder.
func (e *Exchange) refreshOwnPlacement() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, p := e.clock.Now(), &e.ownPlacement
	if p.holder != "" && now-p.reportedAt < ownRefreshInterval {
		return
	}
	p.holder, p.reportedAt = e.state.Name, now
	p.leaseVersion, p.leaseLeft = e.state.Lease.Remaining()
	p.slow = nil
	e.state.Fleet.EachActive(func(u *fleet.Upstream) {
		if u.Slow() {
			p.slow = append(p.slow, peermsg.Slowdown{Upstream: u.Key(), Factor: u.Pace()})
		}
	})
	targets := map[uint32]fleet.Target{}
	for id, t := range e.state.Targets() {
		targets[fleet.KeyOf(id)] = t
	}
	p.orders.set(targets)
}

// applyPaces sets the pace of the engines that the lease holder reports as slow, and clears that of
// the others. The holder asks all engines from time to time. The caller must hold e.mu.
func (e *Exchange) applyPaces() {
	if !e.isFresh(&e.placement) {
		return
	}
	paces := map[uint32]float64{}
	for _, p := range e.placement.slow {
		paces[p.Upstream] = p.Factor
	}
	changed := false
	setPace := func(u *fleet.Upstream, pace float64) {
		before := u.Slow()
		u.SetPace(pace)
		changed = changed || u.Slow() != before
	}
	e.state.Fleet.EachActive(func(u *fleet.Upstream) {
		if _, slow := paces[u.Key()]; !slow {
			setPace(u, 0)
		}
	})
	view := e.state.Fleet.View()
	for key, pace := range paces {
		if u := view.ByKey(key); u != nil {
			setPace(u, pace)
		}
	}
	if changed {
		e.state.Fleet.RefreshView()
	}
}
