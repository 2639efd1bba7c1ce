package fleet

import (
	"sync"
	"sync/atomic"

	"spanrill"
)

// Upstream is one engine or plain service, and what this daemon knows of it.
type Upstream struct {
	id      string // of this incarnation
	key     uint32 // of the id
	active  *active
	listed  atomic.Bool // among the active ones
	entry   atomic.Pointer[spanrill.EngineEntry]
	removed atomic.Bool
	ended   atomic.Bool            // another incarnation is in its place
	until   atomic.Int64           // gets no requests from then on, unless its entry comes back, or 0
	target  atomic.Pointer[Target] // what the engine is being ordered to hold, or nil

	ownTokens  atomic.Int64 // reserved by requests of this daemon
	peerTokens atomic.Int64 // reserved by requests of other daemons, as told last
	ownCalls   atomic.Int64 // requests of this daemon that run
	peerCalls  atomic.Int64

	avoidUntil atomic.Int64 // on the daemon's clock; has failed, gets no new requests until then
	refusal    refusal
	notices    *notices
	dead       atomic.Bool // did not answer when it was asked
	refuses    atomic.Bool // nothing listens at its address
	listenedAt atomic.Int64
	risk       risk
	lag        lag
	pace       atomic.Int64 // reported slowness in thousandths, 0 if not known
	lastOK     atomic.Int64 // when it last answered or produced something
	eventGap   atomic.Int64 // smoothed pause between events of streams that begin here, in microseconds

	foundAt     spanrill.Millis // since when it is known to be at its address
	knownAt     spanrill.Millis // when it was first heard of
	restartedAt spanrill.Millis // when it was noticed that it is not the first of its name, or 0
	orders      orderCount
}

// orderCount is how many orders an upstream has reported to have taken.
type orderCount struct {
	mu    sync.Mutex
	count uint64
	at    spanrill.Millis // when that was heard
}

func (t *Table) newUpstream(e spanrill.EngineEntry, starts int) *Upstream {
	u := &Upstream{id: incarnationID(&e, starts), active: t.active, notices: &notices{}}
	u.key = KeyOf(u.id)
	u.entry.Store(&e)
	return u
}

// end notes that the process has ended.
func (u *Upstream) end() {
	u.removed.Store(true)
	u.ended.Store(true)
}

// Entry returns the newest entry. It must not be changed.
func (u *Upstream) Entry() *spanrill.EngineEntry { return u.entry.Load() }

// ID returns the upstream's id, which is new with each of its starts.
func (u *Upstream) ID() string { return u.id }

// Key returns the key by which messages between daemons name the upstream.
func (u *Upstream) Key() uint32 { return u.key }

// Name returns the name under which the upstream stands in the store and which it answers
// to. It may stay the same when the upstream starts again.
func (u *Upstream) Name() string { return u.Entry().ID }

// RestartedAt returns when it was noticed that the upstream has started again under its
// name, or 0 if it was not.
func (u *Upstream) RestartedAt() spanrill.Millis { return u.restartedAt }

// KnownAt returns when the upstream, in this incarnation, was first heard of.
func (u *Upstream) KnownAt() spanrill.Millis { return u.knownAt }

// Addr returns the address that requests go to.
func (u *Upstream) Addr() string { return u.Entry().Addr }

// Zone returns the availability zone.
func (u *Upstream) Zone() string { return u.Entry().Zone }

// Target is the range that an engine is being ordered to hold.
type Target struct {
	Layers spanrill.LayerRange
	Done   bool // the engine has said that it holds the range
}

// Layers returns the layers that requests can run on: what the engine itself
// has said after an order, or those of the entry, and of these only what the
// engine keeps if it is being ordered to change. The entry follows an order by
// up to a heartbeat.
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

// Target returns what the engine is being ordered to hold, or nil.
func (u *Upstream) Target() *Target { return u.target.Load() }

// SetTarget notes what the engine is being ordered to hold, or nil, and reports
// whether that is news.
func (u *Upstream) SetTarget(target *Target) bool {
	old := u.target.Swap(target)
	if old == nil || target == nil {
		return old != target
	}
	return *old != *target
}

// Service returns the name of the service.
func (u *Upstream) Service() string { return u.Entry().Service }

// Takes reports whether the upstream may be given new requests at all: its
// entry is there and it is not leaving.
func (u *Upstream) Takes() bool { return !u.removed.Load() && !u.Leaving() }

// TakesAt is Takes at the moment of sending: an upstream whose entry may have lapsed is
// kept for a time that ends between two looks.
func (u *Upstream) TakesAt(now spanrill.Millis) bool {
	until := u.until.Load()
	return u.Takes() && (until == 0 || int64(now) < until)
}

// Removed reports whether the entry is gone.
func (u *Upstream) Removed() bool { return u.removed.Load() }

// Avoided reports whether the upstream is to be avoided because of failures or
// refusals.
func (u *Upstream) Avoided(now spanrill.Millis) bool {
	return int64(now) < u.avoidUntil.Load() || u.refusal.holds(now)
}

// Refuses reports whether the upstream is to be avoided because of refusals.
func (u *Upstream) Refuses(now spanrill.Millis) bool { return u.refusal.holds(now) }

// Avoid keeps new requests away until then, because of a failure.
func (u *Upstream) Avoid(until spanrill.Millis) { u.avoidUntil.Store(int64(until)) }

// Worked notes that the upstream has produced something, which ends an avoidance
// because of failures. It says nothing of whether it takes new requests.
func (u *Upstream) Worked(now spanrill.Millis) {
	u.Heard(now)
	if u.avoidUntil.Load() != 0 {
		u.avoidUntil.Store(0)
	}
}

// Dead reports whether the upstream did not answer when it was asked last, or has started
// again since.
func (u *Upstream) Dead() bool { return u.dead.Load() || u.ended.Load() }

// SetDead notes whether the upstream answers, and reports whether that is news.
func (u *Upstream) SetDead(dead bool) bool {
	news := u.dead.Swap(dead) != dead
	u.activate()
	return news
}

// NotListening notes that a connection was refused: nothing listens at the upstream's
// address.
func (u *Upstream) NotListening() { u.refuses.Store(true) }

// Ended reports whether the upstream's process has ended: nothing listens at its address
// since it was last heard of, or another start stands in its place.
func (u *Upstream) Ended() bool { return u.refuses.Load() || u.ended.Load() }

// Failed notes a request that failed here.
func (u *Upstream) Failed(now spanrill.Millis) { u.risk.note(now, 1) }

// Succeeded notes a request that was answered here.
func (u *Upstream) Succeeded(now spanrill.Millis) { u.risk.note(now, 0) }

// Risk returns the share of requests that failed lately, from 0 to 1.
func (u *Upstream) Risk(now spanrill.Millis) float64 { return u.risk.at(now) }

// LastOK returns when the upstream last produced something.
func (u *Upstream) LastOK() spanrill.Millis { return spanrill.Millis(u.lastOK.Load()) }

// Heard notes that the upstream has answered a question.
func (u *Upstream) Heard(now spanrill.Millis) {
	u.lastOK.Store(int64(now))
	if u.active != nil {
		u.active.heard(now)
	}
	u.Listens(now)
}

// Listens notes that something listens at the upstream's address, which says less than that
// it works.
func (u *Upstream) Listens(now spanrill.Millis) {
	u.listenedAt.Store(int64(now))
	if u.refuses.Load() {
		u.refuses.Store(false)
	}
}

// ListenedAt returns when anything listened at the upstream's address last.
func (u *Upstream) ListenedAt() spanrill.Millis { return spanrill.Millis(u.listenedAt.Load()) }

// NoteEventGap notes a pause between two events of a stream whose first engine
// this is.
func (u *Upstream) NoteEventGap(d spanrill.Millis) {
	old := u.eventGap.Load()
	if old == 0 {
		u.eventGap.Store(int64(d) * gapUnit)
		return
	}
	u.eventGap.Store(old + (int64(d)*gapUnit-old)/gapWeight)
}

// EventGap returns the usual pause between events of streams whose first engine
// this is, or 0 if none was seen yet.
func (u *Upstream) EventGap() spanrill.Millis { return spanrill.Millis(u.eventGap.Load() / gapUnit) }

const (
	gapUnit = 1000
	// gapWeight is the number of events over which the pause is smoothed: those
	// of one stream in about a second.
	gapWeight = 16
)

// NoteLag notes how many times longer than expected a request that was sent
// here has waited for its first event.
func (u *Upstream) NoteLag(now spanrill.Millis, times float64) { u.lag.note(now, times) }

// Lag returns how many times longer than expected first events take lately, at
// least 1.
func (u *Upstream) Lag(now spanrill.Millis) float64 { return u.lag.at(now) }

// Reserve adds tokens that a request of this daemon holds. A negative number
// gives them back.
func (u *Upstream) Reserve(tokens int64) {
	u.ownTokens.Add(tokens)
	u.activate()
}

// OwnTokens returns the tokens that requests of this daemon hold.
func (u *Upstream) OwnTokens() int64 { return u.ownTokens.Load() }

// Tokens returns the tokens that requests of all daemons hold, as known here.
func (u *Upstream) Tokens() int64 { return u.ownTokens.Load() + u.peerTokens.Load() }

// Begin counts a request of this daemon, and End its end.
func (u *Upstream) Begin() {
	u.ownCalls.Add(1)
	u.activate()
}

// End ends a request that Begin has counted.
func (u *Upstream) End() { u.ownCalls.Add(-1) }

// OwnCalls returns how many requests of this daemon run.
func (u *Upstream) OwnCalls() int64 { return u.ownCalls.Load() }

// Calls returns how many requests of all daemons run, as known here.
func (u *Upstream) Calls() int64 { return u.ownCalls.Load() + u.peerCalls.Load() }

// SetPeers sets what requests of other daemons hold.
func (u *Upstream) SetPeers(tokens, calls int64) {
	u.peerTokens.Store(tokens)
	u.peerCalls.Store(calls)
}

// SetPace notes how many times slower than its kind the upstream reports to be.
func (u *Upstream) SetPace(pace float64) {
	u.pace.Store(int64(pace * paceUnit))
	if pace > 1 {
		u.activate()
	}
}

// Pace returns the slowness that the upstream reported last, at least 1.
func (u *Upstream) Pace() float64 { return max(1, float64(u.pace.Load())/paceUnit) }

// Slow reports whether the upstream is so much slower than its kind that it
// holds up a chain: a stage that takes twice as long is the slowest of its chain.
func (u *Upstream) Slow() bool { return u.Pace() >= slowPace }

const (
	paceUnit = 1000
	slowPace = 2.0
)
