package exchange

import (
	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/state/fleet"
)

// apply sums up what the peers' requests hold at each upstream.
func (e *Exchange) apply() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	rounds := e.Rounds()
	e.shareBudgets(now, rounds)
	keep := e.keepTime(rounds)
	type sum struct{ tokens, calls int64 }
	sums := map[uint32]sum{}
	for name, h := range e.heard {
		if now-h.at > keep {
			delete(e.heard, name)
			continue
		}
		for _, u := range h.news.Uses {
			s := sums[u.Upstream]
			sums[u.Upstream] = sum{tokens: s.tokens + u.Tokens, calls: s.calls + u.Calls}
		}
	}
	scale := e.unheard(rounds)
	e.state.Fleet.View().Each(e.forgetShown)
	e.applyPaces()
	e.applyRefusals(now)
	targets, changed := e.targetsNow(now), false
	e.state.Fleet.View().Each(func(u *fleet.Upstream) {
		s := sums[hash(u.ID())]
		u.SetPeers(int64(float64(s.tokens)*scale), int64(float64(s.calls)*scale))
		var target *fleet.Target
		if t, ok := targets[hash(u.ID())]; ok {
			target = &t
		}
		changed = u.SetTarget(target) || changed
	})
	if changed {
		e.state.Fleet.Touch()
	}
}

// keepTime is how long the figures of a peer are counted.
func (e *Exchange) keepTime(rounds int) spanrill.Millis {
	return max(keep, gap*spanrill.Millis(rounds)+keepMargin)
}

// keepMargin is how much later than planned a peer may answer: two of its rounds
// and a question that had to be asked again.
const keepMargin = 650

// unheard is by how much the figures of the peers that were heard of are
// multiplied to stand for all, in a fleet where not all are asked in each round.
// The caller holds the lock.
func (e *Exchange) unheard(rounds int) float64 {
	others := len(e.peers.Others())
	if rounds == 1 || len(e.heard) == 0 {
		return 1
	}
	return max(1, float64(others)/float64(len(e.heard)))
}

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
	if len(refusing) == 0 {
		return
	}
	e.state.Fleet.View().Each(func(u *fleet.Upstream) {
		if refusing[hash(u.ID())] {
			u.Told(now)
		}
	})
}

// refusalFresh is how old such news may be: two rounds.
const refusalFresh spanrill.Millis = 500

// shareBudgets hands on what other daemons have counted for the retry budgets.
// The caller holds the lock.
func (e *Exchange) shareBudgets(now spanrill.Millis, rounds int) {
	others := map[string]retry.Count{}
	heard := 1
	for _, h := range e.heard {
		if now-h.at > gap*spanrill.Millis(rounds)+keepMargin {
			continue
		}
		heard++
		for _, c := range h.news.Retries {
			sum := others[c.Service]
			others[c.Service] = retry.Count{Requests: sum.Requests + c.Requests, Retries: sum.Retries + c.Retries}
		}
	}
	e.state.Budgets.Round(others, retry.Fleet{Heard: heard, Daemons: max(heard, 1+len(e.peers.Others())), Rounds: rounds})
}

// targetsNow returns what engines are being ordered to hold, as this daemon
// does it or a holder of the lease has said. What a holder has said is believed
// for a while after it is no longer heard of: its orders are carried out, and
// entries follow them late, or not at all while the store is away. The caller
// holds the lock.
func (e *Exchange) targetsNow(now spanrill.Millis) map[uint32]fleet.Target {
	if e.fresh(e.placement) {
		for _, t := range e.placement.said.Targets {
			e.remember(t.Upstream, fleet.Target{Layers: spanrill.LayerRange{From: t.From, To: t.To}, Done: t.Done}, e.placement.at)
		}
	}
	for id, target := range e.state.Targets() {
		e.remember(hash(id), target, now)
	}
	targets := make(map[uint32]fleet.Target, len(e.told))
	for id, t := range e.told {
		if now >= t.until {
			delete(e.told, id)
			continue
		}
		targets[id] = t.target
	}
	return targets
}

// told is a target and until when it is believed.
type told struct {
	target fleet.Target
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
	e.told[id] = told{target: target, until: until}
}

// forgetShown forgets targets that the entries show.
func (e *Exchange) forgetShown(u *fleet.Upstream) {
	if t, ok := e.told[hash(u.ID())]; ok && t.target.Done && u.Entry().Layers == t.target.Layers {
		delete(e.told, hash(u.ID()))
	}
}
