package exchange

import (
	"maps"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// apply notes what the requests of other daemons hold at each upstream, and what
// these daemons have said.
func (e *Exchange) apply() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for name, h := range e.heard {
		if now-h.at > keep {
			delete(e.heard, name)
		}
	}
	others, heard := e.held(now)
	e.state.Budgets.Round(others.retries, retry.Fleet{
		Heard: heard, Daemons: max(heard, 1+int(e.others.Load())), Rounds: e.Rounds(), Settled: e.Settled(),
	})
	e.forgetShown()
	e.applyPaces()
	e.applyRefusals(now)
	if others.rest == nil {
		e.applyRest(nil) // before those that are named again
	}
	e.applyUses(others.uses)
	if others.rest != nil {
		e.applyRest(others.rest)
	}
	if e.applyTargets(e.targetsNow(now)) {
		e.state.Fleet.Touch()
	}
}

// shown is the upstreams, by key, that have something of other daemons' words: in each
// round those alone are gone over, and not all.
type shown struct {
	used     map[uint32]use
	targeted map[uint32]told

	parts map[zoneService]use // of upstreams of other availability zones
	view  uint64              // version of the view in which these were applied
}

// applyUses notes what the requests of other daemons hold. The caller holds the lock.
func (e *Exchange) applyUses(uses map[uint32]use) {
	view := e.state.Fleet.View()
	for key := range e.shown.used {
		if _, still := uses[key]; still {
			continue
		}
		if u := view.ByKey(key); u != nil {
			u.SetPeers(0, 0)
		}
	}
	for key, s := range uses {
		if u := view.ByKey(key); u != nil {
			u.SetPeers(max(0, s.tokens), max(0, s.calls))
		}
	}
	e.shown.used = uses
}

// applyTargets notes what engines are being ordered to hold, and reports whether that is
// news. The caller holds the lock.
func (e *Exchange) applyTargets(targets map[uint32]told) (changed bool) {
	view := e.state.Fleet.View()
	for key := range e.shown.targeted {
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
		if t.said >= u.RestartedAt() {
			target = &t.target
		}
		changed = u.SetTarget(target) || changed
	}
	e.shown.targeted = targets
	return changed
}

// held is the sum over all other daemons, and of how many daemons something is
// known, this one included. The caller holds the lock.
func (e *Exchange) held(now spanrill.Millis) (others sum, daemons int) {
	if e.Rounds() > 1 {
		return e.othersSum(now)
	}
	others, daemons = newSum(), 1
	for _, h := range e.heard {
		s := sumOf(&peermsg.Sum{Uses: h.news.Uses, Retries: h.news.Retries})
		if now-h.at > budgetFresh {
			s.retries = nil // counts that are this old are taken as unknown
		} else {
			daemons++
		}
		others.add(s, 1)
	}
	return others, daemons
}

// budgetFresh is how old the counts of a daemon may be: a few rounds.
const budgetFresh spanrill.Millis = 900

// applyRefusals takes from other daemons which upstreams refuse their requests,
// so that not every daemon finds out by requests of its own. The caller holds
// the lock.
func (e *Exchange) applyRefusals(now spanrill.Millis) {
	refusing := map[uint32]bool{}
	for _, h := range e.heard {
		if now-h.at > refusalFresh {
			continue
		}
		for _, id := range h.news.Refusing {
			refusing[id] = true
		}
	}
	view := e.state.Fleet.View()
	for key := range refusing {
		if u := view.ByKey(key); u != nil {
			u.Told(now)
		}
	}
}

// refusalFresh is how old such news may be: two rounds.
const refusalFresh spanrill.Millis = 500

// targetsNow returns what engines are being ordered to hold, as this daemon
// does it or a holder of the lease has said. What a holder has said is believed
// for a while after it is no longer heard of: its orders are carried out, and
// entries follow them late, or not at all while the store is away. The caller
// holds the lock.
func (e *Exchange) targetsNow(now spanrill.Millis) map[uint32]told {
	if e.fresh(&e.placement) {
		for key, t := range e.placement.orders.targets {
			e.remember(key, t.target, e.placement.at)
		}
	}
	for id, target := range e.state.Targets() {
		e.remember(fleet.KeyOf(id), target, now)
	}
	targets := make(map[uint32]told, len(e.told))
	for id, t := range e.told {
		if now >= t.until {
			delete(e.told, id)
			continue
		}
		targets[id] = t
	}
	return targets
}

// told is a target, when it was said, and until when it is believed. It says nothing of an
// engine that has started again since.
type told struct {
	target fleet.Target
	said   spanrill.Millis
	until  spanrill.Millis
}

const (
	// pendingTime is how long an order is believed to be on its way after it was
	// last heard of: an order, a load and a report take about as long.
	pendingTime spanrill.Millis = 2500
	// doneTime is how long an engine's own answer goes before its entry, which
	// follows within a heartbeat once the store is back.
	doneTime = 15 * spanrill.Second
)

func (e *Exchange) remember(id uint32, target fleet.Target, at spanrill.Millis) {
	until := at + pendingTime
	if target.Done {
		until = at + doneTime
	}
	e.told[id] = told{target: target, said: at, until: until}
}

// forgetShown forgets targets that the entries show.
func (e *Exchange) forgetShown() {
	view := e.state.Fleet.View()
	maps.DeleteFunc(e.told, func(key uint32, t told) bool {
		u := view.ByKey(key)
		return u != nil && t.target.Done && u.Entry().Layers == t.target.Layers
	})
}
