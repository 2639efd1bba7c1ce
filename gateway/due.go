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

// mayPlace reports whether this daemon may order engines to load layers: it holds the lease, or
// no daemon can reach the store and this one held the lease last, or is first in rank if the
// outage outlasts the lease.
func (g *Gateway) mayPlace() (term uint64, ok bool) {
	now := g.clock.Now()
	if term, ok = g.lease.Held(); ok {
		g.leaseHeldAt.Store(int64(now))
		return term, true
	}
	if g.draining.Load() || g.exchange.PeerHoldsPlacement() {
		return 0, false
	}
	_, _, age := g.fleet.Freshness()
	wasLastHolder := now-spanrill.Millis(g.leaseHeldAt.Load()) < holderGrace
	return 0, age > outageAge && wasLastHolder || age > takeoverAge && g.peers.rank("placement") == 0
}

const (
	// outageAge is the age of the newest entries in the fleet after which the store is
	// considered unreachable for all daemons: several have asked by then.
	outageAge spanrill.Millis = 1200
	// takeoverAge is the same for a daemon that did not hold the lease: longer than the
	// lease is valid.
	takeoverAge = leaseTime + 500
	// holderGrace is how long a daemon that held the lease continues to place in an outage of
	// the store. Outages last seconds.
	holderGrace = 30 * spanrill.Second
)

func (g *Gateway) holdsPlacement() bool {
	_, ok := g.mayPlace()
	return ok
}

// isLeaseCandidate reports whether this daemon should try to take the lease: it is not stopping,
// has a configuration, and no peer reports that it holds the lease.
//
// Only the first in rank try at once, and of daemons that have just started only the seeds. The
// others try when the lease has been free for so long that the first ones must be unreachable.
func (g *Gateway) isLeaseCandidate() bool {
	now := int64(g.clock.Now())
	if g.exchange.PeerHoldsPlacement() || g.leaseFreeSince.Load() < 0 {
		g.leaseFreeSince.Store(now)
	}
	if g.draining.Load() || g.config.Table() == nil || g.exchange.PeerHoldsPlacement() {
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
// daemon with a larger CPU share. When all daemons start, a seed takes the lease whatever its
// share. Running orders continue, and the next holder reads from the engines which layers they
// hold.
func (g *Gateway) shouldYieldLease() bool {
	contendedLate := g.clock.Now()-spanrill.Millis(g.lateContentionAt.Load()) < holderGrace
	if contendedLate || g.isStarting() || !g.exchange.FleetSizeKnown() {
		return false // those first in rank did not take the lease when it was free
	}
	first := g.peers.list.Ranked("placement")[0]
	return membership.PowerClass(first) > membership.PowerClass(peermsg.Member{MilliCores: g.settings.MilliCores()})
}

// unrankedContendDelay is how long the lease is free before daemons without a rank try to take
// it: longer than one of the first needs to find it expired.
const unrankedContendDelay = 2 * leaseTime

// isSeed reports whether the settings of other daemons list this one as a peer.
func (g *Gateway) isSeed() bool {
	return len(g.settings.Peers) == 0 || slices.Contains(g.settings.Peers, g.settings.PeerListen)
}

// seeds returns the configured peer addresses without this daemon's own.
func (g *Gateway) seeds() []string {
	return slices.DeleteFunc(slices.Clone(g.settings.Peers), func(addr string) bool { return addr == g.settings.PeerListen })
}

// firstListDue returns how long to wait before listing the store. A peer may supply its contents
// meanwhile. If callers wait, the daemon asks sooner.
func (g *Gateway) firstListDue() spanrill.Millis {
	at := g.askStoreAt
	if since, waiting := g.callersWaitingSince(); waiting {
		at = min(at, since+g.maxCallerWait)
	}
	left := at - g.clock.Now()
	if left <= 0 {
		return 0
	}
	return min(left, startPoll)
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
	// unresponsiveAfter is how long store calls have failed or hung when a starting daemon
	// begins to refuse new callers at once: 25 times the usual answer time of 4 ms.
	unresponsiveAfter spanrill.Millis = 100
)

// storeUnresponsive reports whether the store has not answered this daemon for unresponsiveAfter.
func (g *Gateway) storeUnresponsive() bool {
	return max(g.configs.UnresponsiveFor(), g.upstreams.UnresponsiveFor()) > unresponsiveAfter
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

// configDue returns how long to wait before checking again whether the configuration has to be
// confirmed by the store, or 0 if it has to be confirmed now.
func (g *Gateway) configDue() spanrill.Millis {
	return g.askDue(g.config.Age(), configRefreshAge, g.settings.Bounds.Revoke-freshnessMargin)
}

// upstreamsDue is the same for the entries of upstreams.
func (g *Gateway) upstreamsDue() spanrill.Millis {
	_, _, age := g.fleet.Freshness()
	refreshAge := g.entriesRefreshAge()
	late := age - refreshAge - newsRound
	if late < 0 || !g.exchange.AnyPeerStoreSilent() {
		return g.askDue(age, refreshAge, g.settings.Bounds.Drain)
	}
	if g.random.Float64() < askForOthersChance(late, len(g.peers.list.Live()), g.exchange.BroadcastTime()) {
		return 0
	}
	return min(refreshPoll, g.askDue(age, refreshAge, g.settings.Bounds.Drain)) // the chance applies to each check
}

// entriesRefreshAge is the age of the entries at which the first daemon in rank asks the store for
// them.
func (g *Gateway) entriesRefreshAge() spanrill.Millis {
	return g.settings.Bounds.Drain / entriesRefreshDivisor
}

// entriesLate returns by how many exchange rounds the entries that the first in rank has read are
// late.
func (g *Gateway) entriesLate() int {
	_, _, age := g.fleet.Freshness()
	due := g.entriesRefreshAge() + g.exchange.BroadcastTime()
	return int(max(0, age-due) / newsRound)
}

// askForOthersChance returns the probability that a daemon asks the store for entries at one
// check, whatever its rank, because the store does not answer some daemons, which depend on the
// others for entries. Late is for how long news has been overdue. During one broadcast time
// askersForOthers daemons ask at first, however many there are; if no news follows, all ask
// within allAskAfter.
func askForOthersChance(late spanrill.Millis, daemons int, spread spanrill.Millis) float64 {
	checksPerBroadcast := float64(max(spread, newsRound)) / float64(refreshPoll)
	first := askersForOthers / (checksPerBroadcast * float64(max(1, daemons)))
	return min(1, first+math.Pow(float64(late)/float64(allAskAfter), askChanceExponent))
}

const (
	// askersForOthers is enough for the news of one of them to reach most daemons where the
	// store does not answer a third of them.
	askersForOthers = 24.0
	// allAskAfter is three exchange rounds, in which one answer reaches the daemons that the
	// others poll.
	allAskAfter = 3 * newsRound
	// askChanceExponent makes half of the daemons ask in the last third of that time.
	askChanceExponent = 3.0
)

const (
	// entriesRefreshDivisor divides the drain bound, after which a leaving upstream must get
	// no more requests. At that age the first daemon in rank asks for entries.
	entriesRefreshDivisor = 5
	// latestAskDivisor divides a bound. At that age every daemon without news asks, provided
	// that news normally arrives before it.
	latestAskDivisor = 2
	// askMargin is the time left of a bound when a daemon asks at the last moment: one
	// check, the random spread of ranks, the call and a request on a new connection.
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

// askDue returns how long to wait before checking again whether this daemon has to ask the store,
// or 0 if it has to ask now. Age is the age of its data, refreshAge the age at which the first in
// rank asks, and bound the age that must not be exceeded.
func (g *Gateway) askDue(age, refreshAge, bound spanrill.Millis) spanrill.Millis {
	if age < refreshAge {
		return untilAge(age, refreshAge)
	}
	askAgeAt := func(draw float64) spanrill.Millis { return lateAskAge(refreshAge, bound, 1-draw) }
	if !g.waitsForSeeds() {
		rank, spread := g.askRank(), g.exchange.BroadcastTime()
		askAgeAt = func(draw float64) spanrill.Millis { return askAge(refreshAge, bound, rank, spread, draw) }
	}
	if age >= askAgeAt(g.random.Float64()) {
		return 0
	}
	return untilAge(age, askAgeAt(0))
}

// untilAge returns how long to wait until data of the given age may be old enough to ask the
// store. Ranks change, so the wait is one exchange round at most.
func untilAge(age, askAt spanrill.Millis) spanrill.Millis {
	return min(newsRound, max(refreshPoll, askAt-age))
}

// isStarting reports whether this daemon has just started and does not know the fleet yet. Its
// rank among the few peers that it knows is too high then. A daemon that has run for a
// while uses its rank even while others join, because the seeds may be gone.
func (g *Gateway) isStarting() bool {
	return len(g.settings.Peers) > 0 && !g.exchange.FleetSizeKnown() && g.clock.Now()-g.startedAt < maxStartTime
}

// maxStartTime is how long a daemon takes at most to know a fleet that starts with it: 300
// daemons know each other after 20 rounds of gossip.
const maxStartTime = 20 * memberRound

// waitsForSeeds reports whether this daemon relies on the seeds to ask the store.
func (g *Gateway) waitsForSeeds() bool { return g.isStarting() && !g.isSeed() && !g.isEarlyRoot() }

// lateAskAge returns the age of its data at which a daemon that relies on others asks the store
// itself: in the last second that the bound allows. Before the trees are complete, news takes 1
// to 2 s to reach a fleet of 300.
func lateAskAge(refreshAge, bound spanrill.Millis, draw float64) spanrill.Millis {
	last := bound - askMargin
	return max(refreshAge, last-spanrill.Millis(draw*float64(min(spanrill.Second, last/latestAskDivisor))))
}

// askAge returns the age of its data at which a daemon asks the store: the first in rank at
// refreshAge, the others later, when news of the first one's answer should have arrived, and all of
// them in time for the bound. Draw, from 0 to 1, spreads daemons of the same rank.
func askAge(refreshAge, bound spanrill.Millis, rank int, spread spanrill.Millis, draw float64) spanrill.Millis {
	if rank == 0 {
		return refreshAge
	}
	latest := min(max(bound/latestAskDivisor, refreshAge+spread+newsRound), bound-askMargin)
	later := refreshAge + spread - newsRound + rankDelay + rankStep*spanrill.Millis(rank-1)
	return min(later, latest) + spanrill.Millis(draw*float64(rankStep))
}

// askRank returns this daemon's rank among those that ask the store. Daemons that have reported
// that the store does not answer them are not counted, so that the next in rank need not wait for
// them each time.
//
// A daemon that has just started counts only the seeds.
func (g *Gateway) askRank() int {
	if g.isStarting() && !g.isEarlyRoot() {
		return g.peers.rankAmong(askStore, func(m peermsg.Member) bool {
			return slices.Contains(g.settings.Peers, m.PeerAddr) && !g.exchange.PeerStoreSilent(m.Name)
		})
	}
	return g.peers.rankAmong(askStore, func(m peermsg.Member) bool { return !g.exchange.PeerStoreSilent(m.Name) })
}

// isEarlyRoot reports whether this daemon is first in rank among the daemons that it knows, at a
// time when most know most others. In a large fleet daemons settle one after another, over
// several seconds. Settled seeds leave the store to the first in rank, whose news the trees
// carry; if that daemon still waited for the seeds, all others would ask the store themselves.
func (g *Gateway) isEarlyRoot() bool {
	return g.clock.Now()-g.startedAt >= earlyRootDelay && g.peers.rank(askStore) == 0
}

// earlyRootDelay is how long after its start a daemon knows most of those that started with it:
// five rounds of gossip, in each of which it sends 40 members to three daemons.
const earlyRootDelay = 5 * memberRound

// storeSilent reports whether store calls of this daemon have failed or hung for storeSilence.
func (g *Gateway) storeSilent() bool {
	return max(g.configs.UnresponsiveFor(), g.upstreams.UnresponsiveFor()) > storeSilence
}

// storeSilence is how long store calls fail or hang before this daemon reports it to others: 75
// times the usual answer time of 4 ms, and more than an answer takes from a store that is 60 times
// slower.
const storeSilence spanrill.Millis = 300

// maxRetryPause returns the longest pause between failed store calls. In a fleet where news
// crosses several daemons, those without a rank rely on the others to find that the store is
// available again.
func (g *Gateway) maxRetryPause() spanrill.Millis {
	if g.exchange.AggregationRounds() > 1 && g.askRank() >= rankedDaemons {
		return maxUnrankedPause
	}
	return follow.MaxRetryDelay
}

// maxUnrankedPause is a third of the time for which a confirmation of the configuration is valid.
const maxUnrankedPause spanrill.Millis = 1600

// recordStoreCall records failed store calls.
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
