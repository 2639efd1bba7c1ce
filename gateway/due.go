package gateway

import (
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/membership"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/state/follow"
)

// mayPlace reports whether this daemon may order engines to load layers, and returns the term of
// its lease, or 0. The holder of the placement lease may. While no daemon can reach the store, the
// last holder continues, and once the outage outlasts the lease, the first in rank may as well.
func (g *Gateway) mayPlace() (term uint64, ok bool) {
	now := g.clock.Now()
	if term, ok = g.lease.Held(); ok {
		g.leaseHeldAt.Store(int64(now))
		return term, true
	}
	if g.draining.Load() || g.exchange.PeerHoldsPlacement() {
		return 0, false
	}
	if !g.storeAnswersNobody() {
		return 0, false
	}
	silent := g.running.Since(max(g.startedAt, g.fleet.StoreAnsweredAt())) // before its start it could not hear of a holder
	wasLastHolder := now-spanrill.Millis(g.leaseHeldAt.Load()) < holderGrace
	return 0, wasLastHolder || silent > takeoverAge && g.peers.rank("placement") == 0
}

const (
	// takeoverAge is the time without an answer of the store to any daemon after which the first in
	// rank places without having held the lease. It is longer than the lease is valid.
	takeoverAge = leaseTime + 500
	// holderGrace is how long a daemon that held the lease continues to place in an outage of
	// the store. Outages last seconds.
	holderGrace = 30 * spanrill.Second
)

func (g *Gateway) holdsPlacement() bool {
	_, ok := g.mayPlace()
	return ok
}

// isLeaseCandidate reports whether this daemon should try to take the placement lease. It must not
// be stopping, must have a configuration and a path to the engines, and no peer may report that it
// holds the lease.
//
// Daemons with a rank try at once, except those that have just started and are no seeds. All others
// try after unrankedContendDelay, when the ranked ones must be unreachable.
func (g *Gateway) isLeaseCandidate() bool {
	now := int64(g.clock.Now())
	if g.exchange.PeerHoldsPlacement() || g.leaseFreeSince.Load() < 0 {
		g.leaseFreeSince.Store(now)
	}
	if g.draining.Load() || g.config.Table() == nil || g.exchange.PeerHoldsPlacement() || !g.mayPlaceByPath() {
		return false
	}
	if g.peers.rank("placement") < rankedDaemons && (!g.isStarting() || g.isSeed()) {
		return true
	}
	contends := now-g.leaseFreeSince.Load() > int64(unrankedContendDelay)
	if contends {
		g.lateContentionAt.Store(now)
	}
	return contends
}

// shouldYieldLease reports whether this daemon, as the holder of the placement lease, hands it to a
// daemon with a larger CPU share, or to one that reaches the engines while this one does not. When
// all daemons start, a seed takes the lease whatever its share. Running orders continue, and the next
// holder reads from the engines which layers they hold.
func (g *Gateway) shouldYieldLease() bool {
	if !g.mayPlaceByPath() {
		return true
	}
	contendedLate := g.clock.Now()-spanrill.Millis(g.lateContentionAt.Load()) < holderGrace
	if contendedLate || g.isStarting() || !g.exchange.FleetSizeKnown() {
		return false // the first in rank did not take the free lease, or ranks are not reliable yet
	}
	first := g.peers.list.Ranked("placement")[0]
	return membership.CPUClass(first) > membership.CPUClass(peermsg.Member{MilliCores: g.settings.MilliCores()})
}

// unrankedContendDelay is how long the lease is free before daemons without a rank try to take
// it: longer than a daemon with a rank takes to find it expired.
const unrankedContendDelay = 2 * leaseTime

// isSeed reports whether the settings of other daemons list this one as a peer.
func (g *Gateway) isSeed() bool {
	return len(g.settings.Peers) == 0 || slices.Contains(g.settings.Peers, g.settings.PeerListen)
}

// seeds returns the configured peer addresses without this daemon's own.
func (g *Gateway) seeds() []string {
	return slices.DeleteFunc(slices.Clone(g.settings.Peers), func(addr string) bool { return addr == g.settings.PeerListen })
}

// listDelay returns how long to wait before checking again whether a starting daemon has to list
// the store, or 0 if it has to list it now. A peer may supply the contents meanwhile. If callers
// wait, the store is listed sooner.
func (g *Gateway) listDelay() spanrill.Millis {
	listAt := g.askStoreAt
	if since, waiting := g.callersWaitingSince(); waiting {
		listAt = min(listAt, since+g.maxCallerWait)
	}
	remaining := listAt - g.clock.Now()
	if remaining <= 0 {
		return 0
	}
	return min(remaining, startPoll)
}

// randomCallerWait returns how long callers wait at a starting daemon before it asks the store
// itself, for a random draw from 0 to 1. A running seed answers within that time. 73 daemons
// that start within 430 ms make 17 to 88 store calls in two seconds, depending on when the first
// of three seeds starts (TestStartUnderLoad).
func randomCallerWait(draw float64) spanrill.Millis {
	return minCallerWait + spanrill.Millis(draw*float64(minCallerWait))
}

const (
	// minCallerWait is a tenth of the time within which callers of streams expect a first
	// event, and ten times what a daemon takes to answer at low load.
	minCallerWait spanrill.Millis = 50
	// startPoll is how often a starting daemon checks whether it has to ask the store.
	startPoll spanrill.Millis = 20
	// silentAtStartAfter is how long store calls have failed or hung when a starting daemon
	// begins to refuse new callers at once: 25 times the usual answer time of 4 ms.
	silentAtStartAfter spanrill.Millis = 100
)

// storeSilentAtStart reports whether the store has not answered this daemon for silentAtStartAfter.
func (g *Gateway) storeSilentAtStart() bool {
	return max(g.configFollower.StoreSilentFor(), g.upstreamFollower.StoreSilentFor()) > silentAtStartAfter
}

// firstAskDelay returns how long after its start a daemon lists the store, unless a peer has
// supplied its contents. Seeds ask at once and pass the contents on. If no seed can be reached, a
// few daemons ask first and the others learn from them, whatever their number: with uniform draws
// from 0 to 1 the number of daemons that have asked doubles every 0.24 s. Of 295 that start
// together 4 ask within the first second, and a single one waits for 2.5 s at most.
func firstAskDelay(isSeed bool, draw float64) spanrill.Millis {
	if isSeed {
		return 0
	}
	return max(0, latestFirstAsk+spanrill.Millis(float64(firstAskGrowthTime)*math.Log(max(draw, minDraw))))
}

const (
	// latestFirstAsk is when a daemon without peers asks the store at the latest.
	latestFirstAsk spanrill.Millis = 2500
	// firstAskGrowthTime is the time in which the number of daemons that have asked grows by
	// a factor of e: about as long as others take to fetch a peer's answer.
	firstAskGrowthTime spanrill.Millis = 350
	// minDraw bounds the logarithm of a draw.
	minDraw = 1e-9
)

// configPollDelay returns how long to wait before checking again whether the configuration has to be
// confirmed by the store, or 0 if it has to be confirmed now.
func (g *Gateway) configPollDelay() spanrill.Millis {
	return g.askDelay(g.config.Age(), configRefreshAge, g.maxChangeAge(), configAskAge)
}

// upstreamsPollDelay is like configPollDelay, for the entries of upstreams.
func (g *Gateway) upstreamsPollDelay() spanrill.Millis {
	_, _, age := g.fleet.Freshness()
	refreshAge := g.entriesRefreshAge()
	overdue := age - refreshAge - newsRound
	if overdue < 0 || !g.exchange.AnyPeerStoreSilent() {
		return g.askDelay(age, refreshAge, g.settings.Bounds.Drain, askAge)
	}
	if g.random.Float64() < askForOthersChance(overdue, len(g.peers.list.Live()), g.exchange.BroadcastTime()) {
		return 0
	}
	return min(refreshPoll, g.askDelay(age, refreshAge, g.settings.Bounds.Drain, askAge)) // the chance applies to each check
}

// entriesRefreshAge returns the age of the entries at which the first daemon in rank asks the store
// for them.
func (g *Gateway) entriesRefreshAge() spanrill.Millis {
	return g.settings.Bounds.Drain / entriesRefreshDivisor
}

// lateRounds returns how many exchange rounds ago newer entries, read by the first in rank, should
// have arrived.
func (g *Gateway) lateRounds() int {
	_, _, age := g.fleet.Freshness()
	due := g.entriesRefreshAge() + g.exchange.BroadcastTime()
	return int(max(0, age-due) / newsRound)
}

// askForOthersChance returns the probability that a daemon asks the store for entries at one
// check, whatever its rank. It is used while the store does not answer some daemons, which then
// depend on the others for entries. Overdue is the time since news should have arrived. At first
// askersForOthers daemons ask during one broadcast time, whatever the size of the fleet; if no
// news follows, all ask within allAskAfter.
func askForOthersChance(overdue spanrill.Millis, daemons int, broadcastTime spanrill.Millis) float64 {
	checksPerBroadcast := float64(max(broadcastTime, newsRound)) / float64(refreshPoll)
	first := askersForOthers / (checksPerBroadcast * float64(max(1, daemons)))
	return min(1, first+math.Pow(float64(overdue)/float64(allAskAfter), askChanceExponent))
}

const (
	// askersForOthers is enough for the news of one of them to reach most daemons where the
	// store does not answer a third of them.
	askersForOthers = 24.0
	// allAskAfter is three exchange rounds, in which one answer reaches the daemons that the
	// others poll.
	allAskAfter = 3 * newsRound
	// askChanceExponent makes half of the daemons ask in the last third of allAskAfter.
	askChanceExponent = 3.0
)

const (
	// entriesRefreshDivisor divides the drain bound, after which a leaving upstream must get
	// no more requests. At that age the first daemon in rank asks for entries.
	entriesRefreshDivisor = 5
	// latestAskDivisor divides a bound. At that age every daemon without news asks, provided
	// that news normally arrives before it.
	latestAskDivisor = 2
	// askMargin is how long before the bound a daemon asks at the latest. It covers one
	// check, the random delay within a rank, the call and a request on a new connection.
	askMargin = refreshPoll + rankStep + maxStoreLatency + dialTimeout
	// maxStoreLatency is what a store call takes at most without faults: a dozen times its
	// usual answer time of 4 ms.
	maxStoreLatency spanrill.Millis = 50
)

// upstreamsCallTimeout returns how long a first call for the entries may take, so that a second
// one, after a pause, and a request on a new connection are still in time.
func (g *Gateway) upstreamsCallTimeout() spanrill.Millis {
	_, _, age := g.fleet.Freshness()
	return callTimeout(age, g.settings.Bounds.Drain)
}

// configCallTimeout is like upstreamsCallTimeout, for the configuration.
func (g *Gateway) configCallTimeout() spanrill.Millis {
	return callTimeout(g.config.Age(), g.maxChangeAge())
}

func callTimeout(age, bound spanrill.Millis) spanrill.Millis {
	return max(minCallTimeout, bound-age-secondCallTime-dialTimeout)
}

const (
	// secondCallTime is what a second store call takes without faults: the pause before it, a
	// new connection, and the answer.
	secondCallTime = follow.InitialRetryDelay + 2*maxStoreLatency
	// minCallTimeout is what a store call may take in any case: 60 times its usual answer
	// time of 4 ms.
	minCallTimeout spanrill.Millis = 250
)

// isStarting reports whether this daemon has just started and does not know the fleet yet, so that
// it ranks itself too high among the few peers that it knows. A daemon that has run for
// maxStartTime relies on its rank even while others join, because the seeds may be gone.
func (g *Gateway) isStarting() bool {
	return len(g.settings.Peers) > 0 && !g.exchange.FleetSizeKnown() && g.clock.Now()-g.startedAt < maxStartTime
}

// maxStartTime is how long a daemon takes at most to know a fleet that starts with it: 300
// daemons know each other after 20 rounds of gossip.
const maxStartTime = 20 * memberRound

// waitsForSeeds reports whether this daemon relies on the seeds to ask the store.
func (g *Gateway) waitsForSeeds() bool { return g.isStarting() && !g.isSeed() && !g.isEarlyRoot() }

// askRank returns this daemon's rank for asking the store. Daemons that have reported that the store
// does not answer them are not counted, so that those after them do not wait for them each time. A
// daemon that has just started counts only the seeds.
func (g *Gateway) askRank() int {
	if g.isStarting() && !g.isEarlyRoot() {
		return g.peers.rankAmong(askStore, func(m peermsg.Member) bool {
			return slices.Contains(g.settings.Peers, m.PeerAddr) && !g.exchange.PeerStoreSilent(m.Name)
		})
	}
	return g.peers.rankAmong(askStore, func(m peermsg.Member) bool { return !g.exchange.PeerStoreSilent(m.Name) })
}

// isEarlyRoot reports whether this daemon is first in rank among the daemons that it knows, and has
// run long enough to know most of the fleet. In a large fleet daemons finish starting one after
// another, over several seconds. Seeds that have finished leave asking the store to the first in
// rank, the root of the trees that carry its news. If that daemon still waited for the seeds, all
// others would ask the store themselves.
func (g *Gateway) isEarlyRoot() bool {
	return g.clock.Now()-g.startedAt >= earlyRootDelay && g.peers.rank(askStore) == 0
}

// earlyRootDelay is how long after its start a daemon knows most of those that started with it:
// five rounds of gossip, in each of which it sends 40 members to three daemons.
const earlyRootDelay = 5 * memberRound

// storeSilent reports whether store calls of this daemon have failed or hung for more than
// storeSilentAfter.
func (g *Gateway) storeSilent() bool {
	return max(g.configFollower.StoreSilentFor(), g.upstreamFollower.StoreSilentFor()) > storeSilentAfter
}

// storeSilentAfter is how long store calls fail or hang before this daemon reports to others that the
// store does not answer it: 75 times the usual answer time of 4 ms, so that a store that is 60 times
// slower than usual does not count as silent.
const storeSilentAfter spanrill.Millis = 300

// maxRetryPause returns the longest pause between failed store calls. In a fleet where news
// crosses several daemons, those without a rank retry less often, because the others find out that
// the store is available again.
func (g *Gateway) maxRetryPause() spanrill.Millis {
	if g.exchange.AggregationRounds() > 1 && g.askRank() >= rankedDaemons {
		return maxUnrankedPause
	}
	return follow.MaxRetryDelay
}

// maxUnrankedPause is a third of the time for which a confirmation of the configuration is valid.
const maxUnrankedPause spanrill.Millis = 1600

// recordStoreCall records a store call if it failed.
func (g *Gateway) recordStoreCall(_ string, err error) {
	if err != nil {
		g.fleet.RecordStoreFailure()
	}
}

// logDroppedLines logs how many log lines were dropped since the last such event.
func (g *Gateway) logDroppedLines() {
	n := g.droppedLines()
	if n == g.loggedDrops {
		return
	}
	events.LogsDropped.Log(g.log, logrus.Fields{"dropped": n - g.loggedDrops, "in_all": n})
	g.loggedDrops = n
}
