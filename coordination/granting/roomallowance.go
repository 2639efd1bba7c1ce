package granting

import (
	"math"
	"slices"

	"spanrill"
)

const (
	// standbyShare is the fraction of the free room that a standby daemon gives while the preferred
	// daemon may still give all of it.
	standbyShare = 0.3
	// cautiousTime is how long a daemon that begins to grant gives a part of the free room, since it
	// does not know yet what another daemon has given last. In this time engines tell.
	cautiousTime spanrill.Millis = 500
)

// granterAllowance is the fraction of the free room that a daemon may give. It rises from standbyShare to
// 1 after the daemon has begun to grant.
type granterAllowance struct {
	standby bool
	since   spanrill.Millis // when it began to grant
}

func (a granterAllowance) at(now spanrill.Millis) float64 {
	if a.standby {
		return standbyShare
	}
	elapsed := float64(now-a.since) / float64(cautiousTime)
	return standbyShare + (1-standbyShare)*min(1, max(0, elapsed))
}

// SetStandby tells whether another daemon is preferred for giving the room and may still do so.
func (r *Room) SetStandby(now spanrill.Millis, standby bool) {
	now = max(r.now, now)
	if r.standby == standby {
		return
	}
	r.standby = standby
	if r.allowance.standby == standby {
		return // it has taken over already
	}
	r.allowance = granterAllowance{standby: standby, since: now}
	r.applyAllowance(now)
}

// SetChains replaces the chains.
func (r *Room) SetChains(now spanrill.Millis, chains []spanrill.RoomChain) {
	r.chains, r.known, r.applied = chains, true, 0
	clear(r.engines)
	for i := range chains {
		for _, p := range chains[i].Parts {
			r.engines[p.Engine] = true
		}
	}
	r.applyAllowance(max(r.now, now))
}

// SetTold tells what the requests of all daemons held as of an earlier time.
func (r *Room) SetTold(now, asOf spanrill.Millis, uses map[uint32]spanrill.RoomUse) {
	now = max(r.now, now)
	r.told, r.toldAsOf = uses, min(asOf, now)
	if r.allowance.at(now) < 1 {
		r.applied = 0
	}
	r.applyAllowance(now) // before the ledger is told, which counts at most the capacity of an engine
	r.ledger.SetTold(now, r.toldAsOf, uses)
}

// applyAllowance sets the chains of the ledger if they or the allowance have changed.
func (r *Room) applyAllowance(now spanrill.Millis) {
	share := r.allowance.at(now)
	if share == r.applied || !r.known {
		return
	}
	r.applied = share
	r.ledger.SetChains(now, allowedChains(r.chains, r.told, share))
}

// allowedChains returns the chains with a fraction of their free room. Free is what the requests
// of all daemons do not hold by the last sums.
func allowedChains(chains []spanrill.RoomChain, told map[uint32]spanrill.RoomUse, share float64) []spanrill.RoomChain {
	if share >= 1 {
		return chains
	}
	allowed := slices.Clone(chains)
	for i := range allowed {
		c := &allowed[i]
		c.Parts = slices.Clone(c.Parts)
		for j := range c.Parts {
			p := &c.Parts[j]
			p.Capacity = allowedOf(p.Capacity, float64(told[p.Engine].Tokens), share)
		}
		if c.Slots > 0 {
			calls := float64(told[c.First()].Calls)
			c.Slots = max(1, int(math.Ceil(allowedOf(float64(c.Slots), calls, share))))
		}
	}
	return allowed
}

// allowedOf returns the used part of a capacity and a fraction of the rest.
func allowedOf(capacity, used, share float64) float64 {
	used = min(max(0, used), capacity)
	return used + (capacity-used)*share
}
