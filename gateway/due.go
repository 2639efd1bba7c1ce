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
	_, _, age := g.fleet.Freshness()
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
// Only the first in rank try at once, and of daemons that have just started the seeds;
// the others when nobody has held the lease
// for so long that the first ones must be cut off or gone.
func (g *Gateway) contends() bool {
	now := int64(g.clock.Now())
	if g.exchange.PlacementHeld() || g.freeSince.Load() < 0 {
		g.freeSince.Store(now)
	}
	if g.draining.Load() || g.config.Table() == nil || g.exchange.PlacementHeld() {
		return false
	}
	if g.peers.rank("placement") < ranks && (!g.starting() || g.isSeed()) {
		return true
	}
	late := now-g.freeSince.Load() > int64(othersContend)
	if late {
		g.lateAt.Store(now)
	}
	return late
}

// yields reports whether this daemon, as the holder of the lease of placement, leaves it to
// one with more processor. A seed takes it when all start, whatever it has. Orders that are
// under way go on, and the next holder sees from the engines what they hold.
func (g *Gateway) yields() bool {
	late := g.clock.Now()-spanrill.Millis(g.lateAt.Load()) < heldMemory
	if late || g.starting() || !g.exchange.Settled() {
		return false // the first ones did not take it when it was free
	}
	first := g.peers.list.Ranked("placement")[0]
	return membership.PowerClass(first) > membership.PowerClass(peermsg.Member{Power: g.settings.Power()})
}

// othersContend is how long the lease is free before daemons without a rank try
// to take it: longer than one of the first takes to find it lapsed.
const othersContend = 2 * leaseTime

// isSeed reports whether starting daemons are told this one's address.
func (g *Gateway) isSeed() bool {
	return len(g.settings.Peers) == 0 || slices.Contains(g.settings.Peers, g.settings.PeerListen)
}

// seeds returns the peer addresses of other daemons that this one is told of.
func (g *Gateway) seeds() []string {
	return slices.DeleteFunc(slices.Clone(g.settings.Peers), func(addr string) bool { return addr == g.settings.PeerListen })
}

// firstDue returns how long to wait before the store is asked for what it holds. A peer
// may tell meanwhile. Where callers wait, the daemon does not leave it to others for long.
func (g *Gateway) firstDue() spanrill.Millis {
	at := g.firstAt
	if since, wait := g.callersWait(); wait {
		at = min(at, since+g.patience)
	}
	left := at - g.clock.Now()
	if left <= 0 {
		return 0
	}
	return min(left, firstLook)
}

// patienceOf returns how long callers wait at a daemon that starts before it asks the
// store itself, for a draw from 0 to 1: a seed that runs answers within that time. 73
// daemons that start within 430 ms make 17 to 88 calls of the store in two seconds, by how
// late the first of three seeds is (TestStartUnderLoad).
func patienceOf(draw float64) spanrill.Millis {
	return leastPatience + spanrill.Millis(draw*float64(leastPatience))
}

const (
	// leastPatience is a tenth of the time in which callers of streams look for a first
	// event, and ten times what a daemon in calm takes to answer.
	leastPatience spanrill.Millis = 50
	// firstLook is how often a daemon that starts looks whether it has to ask.
	firstLook spanrill.Millis = 20
	// hopelessAfter is how long the store has given no good answer when callers that come
	// to a daemon that starts are refused at once: 25 times its usual answer of 4 ms.
	hopelessAfter spanrill.Millis = 100
)

// hopeless reports whether the store does not answer this daemon.
func (g *Gateway) hopeless() bool {
	return max(g.configs.Unanswered(), g.upstreams.Unanswered()) > hopelessAfter
}

// firstAsk returns how long after its start a daemon asks the store for what it holds,
// if it has heard of no peer that knows. Seeds ask at once, and tell the others. If no
// seed can be reached, the times are such that a few ask first and the others hear of
// it, whatever their number: draws from 0 to 1 give a number of daemons that have asked
// which doubles every 0.24 s. Of 295 that start together 4 ask within the first second,
// and a single one waits for 2.5 s at most.
func firstAsk(seed bool, draw float64) spanrill.Millis {
	if seed {
		return 0
	}
	return max(0, firstLatest+spanrill.Millis(float64(firstSpread)*math.Log(max(draw, leastDraw))))
}

const (
	// firstLatest is when a daemon without peers asks the store at the latest.
	firstLatest spanrill.Millis = 2500
	// firstSpread is the time in which the number of daemons that have asked grows by a
	// factor of e: about as long as a peer's answer takes to be fetched by others.
	firstSpread spanrill.Millis = 350
	// leastDraw bounds the logarithm of a draw.
	leastDraw = 1e-9
)

// proofDue returns when to look again whether the configuration has to be
// proved, or 0 if it has to be now.
func (g *Gateway) proofDue() spanrill.Millis {
	return g.due(g.config.Age(), proofGoal, g.settings.Bounds.Revoke-freshnessMargin)
}

// upstreamsDue is the same for the entries of upstreams.
func (g *Gateway) upstreamsDue() spanrill.Millis {
	_, _, age := g.fleet.Freshness()
	goal := g.entriesGoal()
	late := age - goal - newsRound
	if late < 0 || !g.exchange.AnyPeerStoreSilent() {
		return g.due(age, goal, g.settings.Bounds.Drain)
	}
	if g.random.Float64() < toldChance(late, len(g.peers.list.Live()), g.exchange.BroadcastTime()) {
		return 0
	}
	return min(proofPoll, g.due(age, goal, g.settings.Bounds.Drain)) // the chance is one for each look
}

// entriesGoal is the age of the entries at which the first daemon in rank asks for them.
func (g *Gateway) entriesGoal() spanrill.Millis { return g.settings.Bounds.Drain / upstreamsPart }

// entriesLate returns for how many rounds what the first in rank has read should have been
// here.
func (g *Gateway) entriesLate() int {
	_, _, age := g.fleet.Freshness()
	due := g.entriesGoal() + g.exchange.BroadcastTime()
	return int(max(0, age-due) / newsRound)
}

// toldChance is the chance that a daemon asks for entries at one look, whatever its rank,
// because the store is silent to some, who depend on what the others have. Late is for
// how long news has been missing. In the time that news takes to all, toldAskers daemons
// ask at first, however many there are; if nothing comes of that, all ask within
// toldLatest.
func toldChance(late spanrill.Millis, daemons int, spread spanrill.Millis) float64 {
	looks := float64(max(spread, newsRound)) / float64(proofPoll)
	first := toldAskers / (looks * float64(max(1, daemons)))
	return min(1, first+math.Pow(float64(late)/float64(toldLatest), toldRise))
}

const (
	// toldAskers is enough for the news of one of them to reach most daemons where the
	// store is silent to a third.
	toldAskers = 24.0
	// toldLatest is three rounds of news, in which one answer takes its way to those that
	// the others ask.
	toldLatest = 3 * newsRound
	// toldRise has half of the daemons ask in the last third of that time.
	toldRise = 3.0
)

const (
	// upstreamsPart is the part of the time after which an upstream that leaves
	// may get nothing more, at which the first daemon in rank asks for entries.
	upstreamsPart = 5
	// latestPart is the part of what a bound allows at which every daemon asks
	// that has heard nothing, where news has come by then.
	latestPart = 2
	// askMargin is what is left of a bound when a daemon asks at the last moment: a
	// look, the spread of ranks, the call and a request on a new connection.
	askMargin = proofPoll + rankStep + storeAnswer + dialTimeout
	// storeAnswer is what a call of the store takes at most in calm: a dozen times its
	// usual answer of 4 ms.
	storeAnswer spanrill.Millis = 50
)

// upstreamsLimit is how long a first call for the entries may take: until a second one,
// after a pause, and a request on a new connection are still in time.
func (g *Gateway) upstreamsLimit() spanrill.Millis {
	_, _, age := g.fleet.Freshness()
	return callLimit(age, g.settings.Bounds.Drain)
}

func callLimit(age, bound spanrill.Millis) spanrill.Millis {
	return max(leastCall, bound-age-secondCall-dialTimeout)
}

const (
	// secondCall is what a second call of the store takes: the pause before it, a new
	// connection in calm, and the answer.
	secondCall = follow.FirstPause + 2*storeAnswer
	// leastCall is what a call of the store may take in any case: 60 times its usual
	// answer of 4 ms.
	leastCall spanrill.Millis = 250
)

// due compares the age of knowledge with the age at which a daemon of this rank
// asks the store.
func (g *Gateway) due(age, goal, bound spanrill.Millis) spanrill.Millis {
	if age < goal {
		return untilAge(age, goal)
	}
	asks := func(draw float64) spanrill.Millis { return lateAge(goal, bound, 1-draw) }
	if !g.waitsForSeeds() {
		rank, spread := g.askRank(), g.exchange.BroadcastTime()
		asks = func(draw float64) spanrill.Millis { return askAge(goal, bound, rank, spread, draw) }
	}
	if age >= asks(g.random.Float64()) {
		return 0
	}
	return untilAge(age, asks(0))
}

// untilAge returns how long to wait until knowledge of some age can be old enough to ask,
// which it is not if news comes meanwhile. Ranks change, so that it looks in each round of news.
func untilAge(age, asks spanrill.Millis) spanrill.Millis {
	return min(newsRound, max(proofPoll, asks-age))
}

// starting reports whether this daemon has just started and does not know the fleet yet.
// It takes itself for one of the first of those that it has heard of then. A daemon that
// has run for a while goes by its rank also while others join: the seeds may be gone.
func (g *Gateway) starting() bool {
	return len(g.settings.Peers) > 0 && !g.exchange.Settled() && g.clock.Now()-g.startedAt < startTime
}

// startTime is how long a daemon takes at most to know a fleet that starts with it:
// 300 daemons know each other after 20 rounds of gossip.
const startTime = 20 * memberRound

// waitsForSeeds reports whether this daemon leaves it to the seeds to ask the store.
func (g *Gateway) waitsForSeeds() bool { return g.starting() && !g.isSeed() && !g.isEarlyRoot() }

// lateAge returns the age of knowledge at which a daemon asks the store that leaves it
// to others: in the last second of what the bound allows. Before the trees stand news
// takes 1 to 2 s to a fleet of 300.
func lateAge(goal, bound spanrill.Millis, draw float64) spanrill.Millis {
	last := bound - askMargin
	return max(goal, last-spanrill.Millis(draw*float64(min(spanrill.Second, last/latestPart))))
}

// askAge returns the age of knowledge at which a daemon asks the store: the first
// in rank at the goal, the others later, once news of its answer should have come,
// and all of them in time for the bound. Draw, from 0 to 1, keeps daemons of one rank
// apart.
func askAge(goal, bound spanrill.Millis, rank int, spread spanrill.Millis, draw float64) spanrill.Millis {
	if rank == 0 {
		return goal
	}
	latest := min(max(bound/latestPart, goal+spread+newsRound), bound-askMargin)
	later := goal + spread - newsRound + rankDelay + rankStep*spanrill.Millis(rank-1)
	return min(later, latest) + spanrill.Millis(draw*float64(rankStep))
}

// askRank returns this daemon's place among those that ask the store for news.
// Daemons that the store does not answer have none, once they have said so: the
// next in rank asks in their place without waiting for them each time.
//
// A daemon that has just started leaves it to the seeds; a seed counts only these.
func (g *Gateway) askRank() int {
	if g.starting() && !g.isEarlyRoot() {
		return g.peers.rankAmong(askStore, func(m peermsg.Member) bool {
			return slices.Contains(g.settings.Peers, m.PeerAddr) && !g.exchange.PeerStoreSilent(m.Name)
		})
	}
	return g.peers.rankAmong(askStore, func(m peermsg.Member) bool { return !g.exchange.PeerStoreSilent(m.Name) })
}

// isEarlyRoot reports whether this daemon is the first in rank of those that it has heard of
// when most have heard of most. Daemons learn one after the other that they know the fleet,
// within seconds in a large one: seeds that know it leave the store to the first in rank,
// from which the trees bring news, and all others would ask themselves if it still waited
// for the seeds.
func (g *Gateway) isEarlyRoot() bool {
	return g.clock.Now()-g.startedAt >= rootTime && g.peers.rank(askStore) == 0
}

// rootTime is how long after its start a daemon has heard of most that started with it:
// five rounds of gossip, each of which tells of 40 to three.
const rootTime = 5 * memberRound

// storeSilent reports whether the store gives this daemon no good answers.
func (g *Gateway) storeSilent() bool {
	return max(g.configs.Unanswered(), g.upstreams.Unanswered()) > storeSilence
}

// storeSilence is how long the store gives no good answer before other daemons are
// told: 75 times its usual answer of 4 ms, and more than an answer takes when it is
// 60 times slower.
const storeSilence spanrill.Millis = 300

// retryPause is the longest pause between failed calls of the store. In a fleet
// where news goes through several daemons those without a rank leave it to the
// others to find a store that has come back.
func (g *Gateway) retryPause() spanrill.Millis {
	if g.exchange.AggregationRounds() > 1 && g.askRank() >= ranks {
		return unrankedPause
	}
	return follow.LongestPause
}

// unrankedPause is a third of the time that a proof of the configuration lasts.
const unrankedPause spanrill.Millis = 1600

// storeCalled notes calls of the store that failed.
func (g *Gateway) storeCalled(_ string, err error) {
	if err != nil {
		g.fleet.RecordStoreFailure()
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
