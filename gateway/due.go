package gateway

import (
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/follow"
)

// mayPlace reports whether this daemon may order engines: it holds the lease,
// or no daemon can reach the store and this one held the lease last, or is the
// first in rank when nobody did.
func (g *Gateway) mayPlace() (term uint64, ok bool) {
	now := g.clock.Now()
	if term, ok = g.lease.Held(); ok {
		g.heldAt.Store(int64(now))
		return term, true
	}
	if g.draining.Load() || g.exchange.PlacementHeld() {
		return 0, false
	}
	_, _, age := g.fleet.Proof()
	heldLast := now-spanrill.Millis(g.heldAt.Load()) < heldMemory
	return 0, age > storeAway && heldLast || age > storeLong && g.peers.rank("placement") == 0
}

const (
	// storeAway is the age of what all daemons know together after which nobody
	// can reach the store: several daemons have asked by then.
	storeAway spanrill.Millis = 1200
	// storeLong is the same for a daemon that did not hold the lease: longer
	// than the lease holds.
	storeLong = leaseTime + 500
	// heldMemory is how long a daemon goes on that held the lease before the
	// store went away: the store's outages last seconds.
	heldMemory = 30 * spanrill.Second
)

func (g *Gateway) holdsLease() bool {
	_, ok := g.mayPlace()
	return ok
}

// contends reports whether this daemon should try to take the lease: it is not
// stopping, knows what to place, and no peer says that it has the lease.
//
// Only the first in rank try at once; the others when nobody has held the lease
// for so long that the first ones must be cut off or gone.
func (g *Gateway) contends() bool {
	now := int64(g.clock.Now())
	if g.exchange.PlacementHeld() || g.freeSince.Load() < 0 {
		g.freeSince.Store(now)
	}
	if g.draining.Load() || g.config.Table() == nil || g.exchange.PlacementHeld() {
		return false
	}
	return g.peers.rank("placement") < ranks || now-g.freeSince.Load() > int64(othersContend)
}

// othersContend is how long the lease is free before daemons without a rank try
// to take it: longer than one of the first takes to find it lapsed.
const othersContend = 2 * leaseTime

// proofDue returns when to look again whether the configuration has to be
// proved, or 0 if it has to be now.
func (g *Gateway) proofDue() spanrill.Millis {
	return g.due(g.config.Age(), proofGoal)
}

// upstreamsDue is the same for the entries of upstreams.
func (g *Gateway) upstreamsDue() spanrill.Millis {
	_, _, age := g.fleet.Proof()
	return g.due(age, upstreamsGoal)
}

// due compares the age of knowledge with the age at which a daemon of this rank
// asks the store.
func (g *Gateway) due(age, goal spanrill.Millis) spanrill.Millis {
	if age < goal {
		return proofPoll
	}
	if rank := g.peers.rank(askStore); rank > 0 {
		goal += g.exchange.SpreadTime() - newsRound + rankDelay + rankStep*spanrill.Millis(rank-1) + spanrill.Millis(g.random.Float64()*float64(rankStep))
	}
	if age >= goal {
		return 0
	}
	return proofPoll
}

// retryPause is the longest pause between failed calls of the store. In a fleet
// where news goes through several daemons those without a rank leave it to the
// others to find a store that has come back.
func (g *Gateway) retryPause() spanrill.Millis {
	if g.exchange.Rounds() > 1 && g.peers.rank(askStore) >= ranks {
		return unrankedPause
	}
	return follow.LongestPause
}

// unrankedPause is a third of the time that a proof of the configuration lasts.
const unrankedPause spanrill.Millis = 1600

// storeCalled notes calls of the store that failed.
func (g *Gateway) storeCalled(_ string, err error) {
	if err != nil {
		g.fleet.NoteOutage()
	}
}

// noteDropped logs how many log lines were dropped, once some can be written
// again.
func (g *Gateway) noteDropped() {
	n := g.dropped()
	if n == g.toldDrop {
		return
	}
	events.LogsDropped.Log(g.log, logrus.Fields{"dropped": n - g.toldDrop, "in_all": n})
	g.toldDrop = n
}
