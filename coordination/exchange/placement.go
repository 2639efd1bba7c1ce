package exchange

import (
	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// placement is what the holder of the lease of placement has said, and when.
type placement struct {
	said *peermsg.Placement
	at   spanrill.Millis // no later than it was said
}

// placementFresh is how long the holder's word is believed in a fleet that asks
// all others in every round: a few rounds.
const placementFresh = spanrill.Second

// fresh reports whether the holder was heard of lately.
func (e *Exchange) fresh(p placement) bool {
	return p.said != nil && e.clock.Now()-p.at < placementFresh+2*(e.SpreadTime()-gap)
}

// PlacementHeld reports whether another daemon has said lately that it holds the
// lease of placement.
func (e *Exchange) PlacementHeld() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fresh(e.placement)
}

// takePlacement takes what the holder of the lease said, from itself or from
// another daemon.
func (e *Exchange) takePlacement(said *peermsg.Placement, sent spanrill.Millis) {
	if said == nil || said.Holder == e.state.Name {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	at := sent - said.Age
	if at <= e.placement.at {
		return
	}
	e.placement = placement{said: said, at: at}
	if said.Left > said.Age {
		e.state.Lease.Heard(said.Version, said.Left-said.Age)
	}
}

// forgetPlacement notes that a daemon which held the lease no longer says so.
func (e *Exchange) forgetPlacement(name string, sent spanrill.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.placement.said != nil && e.placement.said.Holder == name {
		e.placement = placement{at: sent}
	}
}

// placementNews returns what this daemon says as the holder of the lease, or
// hands on what the holder said.
func (e *Exchange) placementNews() *peermsg.Placement {
	if !e.state.Placement() {
		return e.handOn()
	}
	p := &peermsg.Placement{Holder: e.state.Name}
	p.Version, p.Left = e.state.Lease.Left()
	e.state.Fleet.EachActive(func(u *fleet.Upstream) {
		if u.Slow() {
			p.Slow = append(p.Slow, peermsg.Pace{Upstream: u.Key(), Times: u.Pace()})
		}
	})
	for id, t := range e.state.Targets() {
		p.Targets = append(p.Targets, peermsg.Target{Upstream: fleet.KeyOf(id), From: t.Layers.From, To: t.Layers.To, Done: t.Done})
	}
	return p
}

func (e *Exchange) handOn() *peermsg.Placement {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fresh(e.placement) {
		return nil
	}
	p := *e.placement.said
	p.Age = e.clock.Now() - e.placement.at
	return &p
}

// applyPaces takes from the holder of the lease, which asks all engines now and
// then, which of them are slow. The caller holds the lock.
func (e *Exchange) applyPaces() {
	if !e.fresh(e.placement) {
		return
	}
	paces := map[uint32]float64{}
	for _, p := range e.placement.said.Slow {
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
