package fleet

import (
	"sync"
	"sync/atomic"

	"spanrill"
)

// Upstream is one incarnation of an engine or a plain service instance, with its entry, its
// in-flight work and its health as known to this daemon. It is safe for concurrent use.
type Upstream struct {
	id           string // unique to this incarnation
	key          uint32 // KeyOf(id)
	active       *activeSet
	inActiveSet  atomic.Bool // is or is about to be in active
	entry        atomic.Pointer[spanrill.EngineEntry]
	removed      atomic.Bool
	replaced     atomic.Bool            // another incarnation or upstream has replaced it
	acceptsUntil atomic.Int64           // end of the hold time of its entry, or 0 if it is not held
	target       atomic.Pointer[Target] // the range of layers that the engine is ordered to hold, or nil

	ownTokens  atomic.Int64 // reserved by requests of this daemon
	peerTokens atomic.Int64 // reserved by requests of other daemons, as last reported
	ownCalls   atomic.Int64 // running requests of this daemon
	peerCalls  atomic.Int64 // running requests of other daemons, as last reported

	avoidUntil    atomic.Int64 // gets no new requests before this time because of a failure
	refusal       refusal
	notices       *notices
	dead          atomic.Bool // did not answer the last probe
	notListening  atomic.Bool // the last connection to its address was refused
	lastListening atomic.Int64
	failureRate   failureRate
	lag           lag
	pace          atomic.Int64 // reported slowdown in units of 1/paceUnit, 0 if not known
	lastResponse  atomic.Int64 // when it last answered or produced output
	eventGap      atomic.Int64 // smoothed time between stream events, in units of 1/eventGapUnit ms

	addrSince    spanrill.Millis // since when it has been known at its address
	discoveredAt spanrill.Millis // when this incarnation was first known
	restartedAt  spanrill.Millis // when it was detected as a restart of a known upstream, or 0
	orders       orderCount
}

// orderCount is the number of orders that an upstream has reported as applied.
type orderCount struct {
	mu         sync.Mutex
	count      uint64
	receivedAt spanrill.Millis // when the report arrived
}

func (t *Table) newUpstream(e spanrill.EngineEntry, restarts int) *Upstream {
	u := &Upstream{id: incarnationID(&e, restarts), active: t.active, notices: &notices{}}
	u.key = KeyOf(u.id)
	u.entry.Store(&e)
	return u
}

// markReplaced records that the upstream's process has ended and another has replaced it.
func (u *Upstream) markReplaced() {
	u.removed.Store(true)
	u.replaced.Store(true)
}

// Entry returns the newest entry. Callers must not modify it.
func (u *Upstream) Entry() *spanrill.EngineEntry { return u.entry.Load() }

// ID returns the id of the upstream, which changes with each restart.
func (u *Upstream) ID() string { return u.id }

// Key returns the key of the upstream in messages between daemons.
func (u *Upstream) Key() uint32 { return u.key }

// Name returns the name of the upstream's entry in the store, which the upstream also reports when
// asked for its identity. It may stay the same across restarts.
func (u *Upstream) Name() string { return u.Entry().ID }

// RestartedAt returns when the upstream was detected as a restart of a known upstream with the same
// name, or 0 if it was not.
func (u *Upstream) RestartedAt() spanrill.Millis { return u.restartedAt }

// DiscoveredAt returns when this incarnation of the upstream was first known.
func (u *Upstream) DiscoveredAt() spanrill.Millis { return u.discoveredAt }

// Addr returns the address that requests go to.
func (u *Upstream) Addr() string { return u.Entry().Addr }

// Zone returns the availability zone.
func (u *Upstream) Zone() string { return u.Entry().Zone }

// Target is the range of layers that an engine is ordered to hold.
type Target struct {
	Layers spanrill.LayerRange
	Done   bool // the engine has confirmed that it holds the range
}

// Layers returns the layers that requests can use: the target if the engine has confirmed it,
// otherwise those layers of the entry that a pending order lets the engine keep. The entry reflects
// an order up to one heartbeat late.
func (u *Upstream) Layers() spanrill.LayerRange {
	held := u.Entry().Layers
	target := u.target.Load()
	switch {
	case target == nil:
		return held
	case target.Done:
		return target.Layers
	}
	kept := spanrill.LayerRange{From: max(held.From, target.Layers.From), To: min(held.To, target.Layers.To)}
	if kept.To <= kept.From {
		return spanrill.LayerRange{}
	}
	return kept
}

// Target returns the range that the engine is ordered to hold, or nil.
func (u *Upstream) Target() *Target { return u.target.Load() }

// SetTarget sets the range that the engine is ordered to hold, or nil, and reports whether it
// changed.
func (u *Upstream) SetTarget(target *Target) bool {
	previous := u.target.Swap(target)
	if previous == nil || target == nil {
		return previous != target
	}
	return *previous != *target
}

// Service returns the name of the service.
func (u *Upstream) Service() string { return u.Entry().Service }

// AcceptsRequests reports whether the upstream may get new requests at all: its entry is known and
// it is not leaving.
func (u *Upstream) AcceptsRequests() bool { return !u.removed.Load() && !u.Leaving() }

// AcceptsRequestsAt is like AcceptsRequests, but is false once the hold time of the upstream's entry
// is over. Such an entry stays in the table until the next Maintain.
func (u *Upstream) AcceptsRequestsAt(now spanrill.Millis) bool {
	until := u.acceptsUntil.Load()
	return u.AcceptsRequests() && (until == 0 || int64(now) < until)
}

// Removed reports whether the upstream's entry was removed.
func (u *Upstream) Removed() bool { return u.removed.Load() }

// Avoided reports whether new requests should avoid the upstream because of failures or refusals.
func (u *Upstream) Avoided(now spanrill.Millis) bool {
	return int64(now) < u.avoidUntil.Load() || u.refusal.inEffect(now)
}

// AvoidedForRefusal reports whether new requests should avoid the upstream because of refusals.
func (u *Upstream) AvoidedForRefusal(now spanrill.Millis) bool { return u.refusal.inEffect(now) }

// Avoid keeps new requests from the upstream until the given time because of a failure.
func (u *Upstream) Avoid(until spanrill.Millis) { u.avoidUntil.Store(int64(until)) }

// RecordProgress records that the upstream has produced output, which ends its avoidance because
// of failures. It doesn't end an avoidance because of refusals.
func (u *Upstream) RecordProgress(now spanrill.Millis) {
	u.RecordResponse(now)
	if u.avoidUntil.Load() != 0 {
		u.avoidUntil.Store(0)
	}
}

// Dead reports whether the upstream did not answer the last probe, or was replaced.
func (u *Upstream) Dead() bool { return u.dead.Load() || u.replaced.Load() }

// SetDead sets whether the upstream fails to answer probes, and reports whether that changed.
func (u *Upstream) SetDead(dead bool) bool {
	changed := u.dead.Swap(dead) != dead
	u.addToActive()
	return changed
}

// RecordNotListening records that a connection was refused: no process listens at the upstream's
// address.
func (u *Upstream) RecordNotListening() { u.notListening.Store(true) }

// Ended reports whether the upstream's process has ended: no process has listened at its address
// since its last response, or it was replaced.
func (u *Upstream) Ended() bool { return u.notListening.Load() || u.replaced.Load() }

// RecordFailure records a request that failed on the upstream.
func (u *Upstream) RecordFailure(now spanrill.Millis) { u.failureRate.record(now, 1) }

// RecordSuccess records a request that the upstream answered.
func (u *Upstream) RecordSuccess(now spanrill.Millis) { u.failureRate.record(now, 0) }

// FailureRate returns the share of recent requests that failed, from 0 to 1.
func (u *Upstream) FailureRate(now spanrill.Millis) float64 { return u.failureRate.value(now) }

// LastResponse returns when the upstream last answered or produced output.
func (u *Upstream) LastResponse() spanrill.Millis { return spanrill.Millis(u.lastResponse.Load()) }

// RecordResponse records that the upstream has answered a probe or produced output.
func (u *Upstream) RecordResponse(now spanrill.Millis) {
	u.lastResponse.Store(int64(now))
	if u.active != nil {
		u.active.updateLastHeard(now)
	}
	u.RecordListening(now)
}

// RecordListening records that a process listens at the upstream's address, which doesn't mean that
// it answers.
func (u *Upstream) RecordListening(now spanrill.Millis) {
	u.lastListening.Store(int64(now))
	if u.notListening.Load() {
		u.notListening.Store(false)
	}
}

// LastListening returns when a process was last known to listen at the upstream's address.
func (u *Upstream) LastListening() spanrill.Millis { return spanrill.Millis(u.lastListening.Load()) }

// RecordEventGap records the time between two events of a stream whose first engine this is.
func (u *Upstream) RecordEventGap(d spanrill.Millis) {
	old := u.eventGap.Load()
	if old == 0 {
		u.eventGap.Store(int64(d) * eventGapUnit)
		return
	}
	u.eventGap.Store(old + (int64(d)*eventGapUnit-old)/eventGapSamples)
}

// EventGap returns the smoothed time between events of streams whose first engine this is, or 0 if
// none was recorded.
func (u *Upstream) EventGap() spanrill.Millis {
	return spanrill.Millis(u.eventGap.Load() / eventGapUnit)
}

const (
	eventGapUnit = 1000
	// eventGapSamples is the number of events over which the gap is smoothed: those of one stream in
	// about a second.
	eventGapSamples = 16
)

// RecordLag records that a request to the upstream waited ratio times as long as expected for its
// first event.
func (u *Upstream) RecordLag(now spanrill.Millis, ratio float64) { u.lag.record(now, ratio) }

// Lag returns how many times longer than expected recent first events took, at least 1.
func (u *Upstream) Lag(now spanrill.Millis) float64 { return u.lag.value(now) }

// Reserve reserves tokens for a request of this daemon. A negative number releases them.
func (u *Upstream) Reserve(tokens int64) {
	u.ownTokens.Add(tokens)
	u.addToActive()
}

// OwnTokens returns the tokens reserved by requests of this daemon.
func (u *Upstream) OwnTokens() int64 { return u.ownTokens.Load() }

// Tokens returns the tokens reserved by requests of all daemons, as known to this one.
func (u *Upstream) Tokens() int64 { return u.ownTokens.Load() + u.peerTokens.Load() }

// Begin counts a running request of this daemon until End is called.
func (u *Upstream) Begin() {
	u.ownCalls.Add(1)
	u.addToActive()
}

// End removes a request from the count that Begin added it to.
func (u *Upstream) End() { u.ownCalls.Add(-1) }

// OwnCalls returns the number of running requests of this daemon.
func (u *Upstream) OwnCalls() int64 { return u.ownCalls.Load() }

// Calls returns the number of running requests of all daemons, as known to this one.
func (u *Upstream) Calls() int64 { return u.ownCalls.Load() + u.peerCalls.Load() }

// SetPeerLoad sets the reserved tokens and running requests of other daemons.
func (u *Upstream) SetPeerLoad(tokens, calls int64) {
	u.peerTokens.Store(tokens)
	u.peerCalls.Store(calls)
}

// SetPace sets how many times slower than others of its kind the upstream reports to be.
func (u *Upstream) SetPace(pace float64) {
	u.pace.Store(int64(pace * paceUnit))
	if pace > 1 {
		u.addToActive()
	}
}

// Pace returns the slowdown that the upstream last reported, at least 1.
func (u *Upstream) Pace() float64 { return max(1, float64(u.pace.Load())/paceUnit) }

// Slow reports whether the upstream is slow enough to delay a whole chain: a stage that takes twice
// as long as usual is the slowest of its chain.
func (u *Upstream) Slow() bool { return u.Pace() >= minSlowPace }

const (
	paceUnit    = 1000
	minSlowPace = 2.0
)
