package exchange

import (
	"maps"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// apply updates the upstreams and the retry budgets from what peers have reported.
func (e *Exchange) apply() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for name, last := range e.newsByPeer {
		if now-last.askedAt > newsTTL {
			e.logLostPaths(name, last.news.LostPaths, nil)
			delete(e.newsByPeer, name)
		}
	}
	others, known := e.peerSum(now)
	e.sumsAsOf.Store(int64(e.sumsTime(now)))
	e.lostByOthers = lostByOthers{counts: others.lost, daemons: known - 1}
	e.state.Budgets.StartRound(others.retries, retry.Fleet{
		Known: known, Daemons: max(known, 1+int(e.otherCount.Load())), Rounds: e.AggregationRounds(), Complete: e.FleetSizeKnown(),
	})
	e.dropReportedTargets()
	e.applyPaces()
	e.applyRefusals(now)
	if others.unnamed == nil {
		e.applyUnnamed(nil) // before applyUses, which sets the upstreams that the sums name now
	}
	e.applyUses(others.uses)
	if others.unnamed != nil {
		e.applyUnnamed(others.unnamed)
	}
	if e.applyTargets(e.currentTargets(now)) {
		e.state.Fleet.RefreshView()
	}
}

// appliedState records which upstreams, by key, were last updated from peers' reports. A round
// visits those and the newly reported ones instead of the whole fleet.
type appliedState struct {
	uses    map[uint32]use
	targets map[uint32]knownTarget

	zoneShares  map[zoneService]use // shares of upstreams in other availability zones
	viewVersion uint64              // version of the view to which zoneShares were applied
}

// applyUses sets what the requests of other daemons hold at each upstream. The caller must hold
// e.mu.
func (e *Exchange) applyUses(uses map[uint32]use) {
	view := e.state.Fleet.View()
	for key := range e.applied.uses {
		if _, still := uses[key]; still {
			continue
		}
		if u := view.ByKey(key); u != nil {
			u.SetPeerLoad(0, 0)
		}
	}
	for key, s := range uses {
		if u := view.ByKey(key); u != nil {
			u.SetPeerLoad(max(0, s.tokens), max(0, s.calls))
		}
	}
	e.applied.uses = uses
}

// applyTargets sets the layers that engines are being ordered to hold, and reports whether any
// changed. The caller must hold e.mu.
func (e *Exchange) applyTargets(targets map[uint32]knownTarget) (changed bool) {
	view := e.state.Fleet.View()
	for key := range e.applied.targets {
		if _, still := targets[key]; still {
			continue
		}
		if u := view.ByKey(key); u != nil {
			changed = u.SetTarget(nil) || changed
		}
	}
	for key, t := range targets {
		u := view.ByKey(key)
		if u == nil {
			continue
		}
		var target *fleet.Target
		if t.reportedAt >= u.RestartedAt() {
			target = &t.target
		}
		changed = u.SetTarget(target) || changed
	}
	e.applied.targets = targets
	return changed
}

// peerSum returns the sum over all other daemons, and how many daemons are known, this one
// included. The caller must hold e.mu.
func (e *Exchange) peerSum(now spanrill.Millis) (others sum, daemons int) {
	if e.AggregationRounds() > 1 {
		return e.peerSumFromTrees(now)
	}
	others, daemons = newSum(), 1
	for _, last := range e.newsByPeer {
		s := sumFromMessage(&peermsg.Sum{Uses: last.news.Uses, Retries: last.news.Retries})
		if now-last.askedAt > retryCountTTL {
			s.retries = nil // its counts are treated as unknown
		} else {
			s.lost = countLost(last.news.LostPaths)
			daemons++
		}
		others.add(s, 1)
	}
	return others, daemons
}

// retryCountTTL is how old the retry counts of a daemon may be to be used: a few rounds.
const retryCountTTL spanrill.Millis = 900

// applyRefusals marks the upstreams that refuse the requests of other daemons, so that this daemon
// need not send them a request to find out. The caller must hold e.mu.
func (e *Exchange) applyRefusals(now spanrill.Millis) {
	refusing := map[uint32]bool{}
	for _, last := range e.newsByPeer {
		if now-last.askedAt > refusalTTL {
			continue
		}
		for _, key := range last.news.Refusing {
			refusing[key] = true
		}
	}
	view := e.state.Fleet.View()
	for key := range refusing {
		if u := view.ByKey(key); u != nil {
			u.RecordReportedRefusal(now)
		}
	}
}

// refusalTTL is how old reported refusals may be to be used: two rounds.
const refusalTTL spanrill.Millis = 500

// currentTargets returns the layers that engines are being ordered to hold, by this daemon or by
// a lease holder. A holder's targets stay valid for a while after its last report: engines still
// carry out its orders, and their entries show the new layers late, or not at all while the store
// is unavailable. The caller must hold e.mu.
func (e *Exchange) currentTargets(now spanrill.Millis) map[uint32]knownTarget {
	if e.isFresh(&e.placement) {
		for key, t := range e.placement.orders.targets {
			e.recordTarget(key, t.target, e.placement.reportedAt)
		}
	}
	for id, target := range e.state.Targets() {
		e.recordTarget(fleet.KeyOf(id), target, now)
	}
	targets := make(map[uint32]knownTarget, len(e.knownTargets))
	for key, t := range e.knownTargets {
		if now >= t.expiresAt {
			delete(e.knownTargets, key)
			continue
		}
		targets[key] = t
	}
	return targets
}

// knownTarget is an engine's target with the time of its report and its expiry. It is ignored if
// the engine has restarted since the report.
type knownTarget struct {
	target     fleet.Target
	reportedAt spanrill.Millis
	expiresAt  spanrill.Millis
}

const (
	// pendingTargetTTL is how long an order counts as in progress after its last report: about as
	// long as it takes to order a load, to load the layers and to report them.
	pendingTargetTTL spanrill.Millis = 2500
	// doneTargetTTL is how long the layers that an engine has confirmed take precedence over those
	// in its entry, which follows within a heartbeat once the store is available.
	doneTargetTTL = 15 * spanrill.Second
)

// recordTarget stores an engine's target as reported at a time. The caller must hold e.mu.
func (e *Exchange) recordTarget(key uint32, target fleet.Target, reportedAt spanrill.Millis) {
	expiresAt := reportedAt + pendingTargetTTL
	if target.Done {
		expiresAt = reportedAt + doneTargetTTL
	}
	e.knownTargets[key] = knownTarget{target: target, reportedAt: reportedAt, expiresAt: expiresAt}
}

// dropReportedTargets drops completed targets that the engines' entries show by now. The caller
// must hold e.mu.
func (e *Exchange) dropReportedTargets() {
	view := e.state.Fleet.View()
	maps.DeleteFunc(e.knownTargets, func(key uint32, t knownTarget) bool {
		u := view.ByKey(key)
		return u != nil && t.target.Done && u.Entry().Layers == t.target.Layers
	})
}
