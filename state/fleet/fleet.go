// Package fleet tracks the upstreams known to this daemon: their entries in the platform's
// store, their running requests and their health.
//
// Readers take a View, an immutable index, and read the current values of each upstream from its
// atomics. Writers replace the view as a whole.
//
// A removed entry means that its upstream has left, except around an outage of the store, when
// entries of live upstreams may expire. Such an entry is held: it stays in use for a limited time,
// counted from when the read was sent that no longer had it. If the store answered some daemon
// throughout, the time counts from when the entry was last confirmed.
//
// An upstream may also leave without notice: its entry is removed, and it finishes its running
// requests within some seconds. RecentlyRemoved returns those upstreams.
//
//	fleet.go        the table and its views
//	update.go       lists, changes and updates from the store and from peers
//	incarnation.go  upstreams that restart under the same name
//	conflict.go     entries with the address of another upstream
//	unreadable.go   entries that cannot be decoded
//	removals.go     revisions of removals, for peers that ask for changes
//	removed.go      removed entries, and upstreams that have left
//	restored.go     entries after the store was restored from an older copy
//	available.go    periods in which the store answered, and held entries
//	notice.go       notices of upstreams in their answers: rest, leaving
//	limit.go        request rate limits that upstreams send in their answers
//	loglimit.go     limits on log lines about upstreams
//	active.go       upstreams with state from this daemon's own requests
//	observe.go      reports that are requested from engines
//	view.go         the index of the upstreams that readers use
//	upstream.go     one upstream; refusal.go, failurerate.go and lag.go hold its health
//
// # Usage
//
//	t := fleet.New(clock, decode)
//	go follow.New(entries, clock, t).Run(ctx)
//	for _, u := range t.View().ByService("reader") { ... }
package fleet

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// Table holds all known upstreams. It is safe for concurrent use.
type Table struct {
	clock  spanrill.Clock
	log    logrus.FieldLogger
	decode func(spanrill.Item) (spanrill.EngineEntry, error)

	mu                sync.Mutex
	byName            map[string]*Upstream // by name in the store
	byAddr            map[string]*Upstream // the same upstreams by address
	held              map[string]heldEntry // by name, removed entries that may merely have expired
	unreadableNames   map[string]bool      // names of entries that cannot be decoded
	removals          *removals
	unreadableLog     unreadableLog
	recentlyRemoved   map[string]removedUpstream // by id, upstreams whose entries were removed recently
	view              atomic.Pointer[View]
	logLimits         logLimits
	membershipChanged bool // upstreams, addresses or services differ from those of the current view
	active            *activeSet
	lastStoreFailure  atomic.Int64 // when the last failed call to the store ended
	version           uint64
	revision          uint64          // revision of the store up to which all entries are known
	lastChange        uint64          // nothing changed after this revision, up to revision
	confirmedAt       spanrill.Millis // when the latest read that confirmed the entries was sent, or spanrill.Never
	ready             chan struct{}
	readyOnce         sync.Once
	holdDuration      spanrill.Millis // hold time of a removed entry that may have expired

	pastStarts     map[string]*pastStarts       // by name, of restarted or removed upstreams
	conflicts      map[string]*conflictingEntry // by name
	restartedAddrs []string                     // addresses to pass to onRestart
	restarts       atomic.Uint64
	onRestart      func(addr string)

	noticesByName map[string]*notices // by name
	noticeCounts  noticeCounts

	limitedNames map[string]bool // names of upstreams whose rate limit is known or was removed recently
	limitsDigest atomic.Uint64

	restored restoreState

	storeAvailable  availableSpan
	storeSilent     func() bool     // reports whether the store is known to answer no daemon
	unavailableTime spanrill.Millis // time without store answers after which entries may expire
}

// Option changes a default of New.
type Option func(*Table)

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(t *Table) { t.log = log }
}

// WithOnRestart sets a function that is called with the address of each upstream that was
// replaced by another process. It is called without holding a lock.
func WithOnRestart(f func(addr string)) Option {
	return func(t *Table) { t.onRestart = f }
}

// WithStoreSilent sets the function that reports whether the platform's store is known to answer no
// daemon. Without it, a store of which nothing is heard counts as silent.
func WithStoreSilent(silent func() bool) Option {
	return func(t *Table) { t.storeSilent = silent }
}

// WithDrain sets how long after the removal of its entry an upstream may receive requests.
func WithDrain(d spanrill.Millis) Option {
	return func(t *Table) {
		t.holdDuration, t.unavailableTime = max(0, d-drainHoldMargin), max(0, d-unavailableMargin)
	}
}

// New returns an empty table that decodes the items of the collection with decode.
func New(clock spanrill.Clock, decode func(spanrill.Item) (spanrill.EngineEntry, error), opts ...Option) *Table {
	t := &Table{
		clock: clock, decode: decode, log: logrus.StandardLogger(),
		byName: map[string]*Upstream{}, byAddr: map[string]*Upstream{}, held: map[string]heldEntry{}, unreadableNames: map[string]bool{}, removals: newRemovals(), recentlyRemoved: map[string]removedUpstream{}, ready: make(chan struct{}),
		pastStarts: map[string]*pastStarts{}, conflicts: map[string]*conflictingEntry{}, noticesByName: map[string]*notices{}, limitedNames: map[string]bool{}, restored: newRestoreState(), onRestart: func(string) {}, storeSilent: func() bool { return true },
		active:       &activeSet{set: map[*Upstream]struct{}{}},
		holdDuration: defaultDrainTime - drainHoldMargin, unavailableTime: defaultDrainTime - unavailableMargin,
	}
	t.logLimits = newLogLimits(clock)
	t.lastStoreFailure.Store(-int64(storeFailureMemory) * 2)
	t.confirmedAt = spanrill.Never
	t.storeAvailable = availableSpan{from: spanrill.Never, to: spanrill.Never}
	for _, o := range opts {
		o(t)
	}
	t.view.Store(&View{})
	return t
}

// Ready returns a channel that is closed once all entries have been received.
func (t *Table) Ready() <-chan struct{} { return t.ready }

// View returns the current view.
func (t *Table) View() *View { return t.view.Load() }

// RecordStoreFailure records that a call to the store has failed.
func (t *Table) RecordStoreFailure() { t.lastStoreFailure.Store(int64(t.clock.Now())) }

// applyEntry adds or updates the upstream of an entry. Entries of ended incarnations and entries
// older than the known one are ignored. The caller holds the lock.
func (t *Table) applyEntry(entry spanrill.EngineEntry) {
	delete(t.unreadableNames, entry.ID)
	t.removals.cancel(entry.ID)
	if t.hasEnded(entry.ID, entry.StartedAt) {
		return
	}
	t.releaseHeld(entry.ID)
	u := t.byName[entry.ID]
	if u == nil {
		if !t.quarantine(entry) && !t.checkConflict(entry) {
			t.addUpstream(entry)
		}
		return
	}
	old := u.Entry()
	if old.Revision > entry.Revision || fromOlderCopy(old, &entry) {
		return
	}
	if entry.Addr != old.Addr && t.checkConflict(entry) {
		t.remove(entry.ID, "its entry names the address of another upstream")
		return
	}
	if isRestart(old, &entry) {
		t.restart(u, entry, "its entry has another start time")
		return
	}
	moved := entry.Addr != old.Addr || entry.Service != old.Service
	if moved {
		t.clearAddr(u)
	}
	if entry.Addr != old.Addr {
		u.addrSince = t.clock.Now()
	}
	u.entry.Store(&entry)
	if moved {
		t.setAddr(u)
	}
	if entry.Leaving && !old.Leaving {
		t.logLimits.leaving.Log(events.UpstreamLeaving, t.log, func() logrus.Fields {
			return logrus.Fields{"upstream": u.ID(), "revision": entry.Revision}
		})
	}
}

// addUpstream adds the upstream of an entry whose name is not in the table. The caller holds the
// lock.
func (t *Table) addUpstream(entry spanrill.EngineEntry) {
	t.endPrevious(entry)
	restarts := 0
	if p := t.pastStarts[entry.ID]; p != nil {
		restarts = p.restarts
	}
	u := t.newUpstream(entry, restarts)
	u.addrSince, u.discoveredAt = t.addrSince(entry), t.clock.Now()
	u.notices = t.noticesOf(&entry)
	u.addToActive() // a rest requested earlier may still apply
	t.byName[entry.ID] = u
	t.logLimits.found.Log(events.UpstreamFound, t.log, func() logrus.Fields {
		return logrus.Fields{
			"upstream": u.ID(), "service": entry.Service, "addr": entry.Addr, "zone": entry.Zone,
			"kind": entry.Kind, "layers": entry.Layers, "leaving": entry.Leaving, "revision": entry.Revision,
		}
	})
	t.setAddr(u)
}

// addrSince returns since when the upstream of a new entry has been known at its address. If its
// previous entry had the same address and was removed recently, the time of that entry applies. The
// caller holds the lock.
func (t *Table) addrSince(entry spanrill.EngineEntry) spanrill.Millis {
	for _, r := range t.recentlyRemoved {
		if r.upstream.Name() == entry.ID && r.upstream.Addr() == entry.Addr {
			return r.upstream.addrSince
		}
	}
	return t.clock.Now()
}

// setAddr indexes an upstream by its address. If another upstream was at that address, it has ended
// and is removed. The caller holds the lock.
func (t *Table) setAddr(u *Upstream) {
	t.membershipChanged = true
	other := t.byAddr[u.Addr()]
	t.byAddr[u.Addr()] = u
	if other == nil || other.Name() == u.Name() {
		return
	}
	t.remove(other.Name(), "another upstream has its address")
	other.markReplaced()
	delete(t.recentlyRemoved, other.ID())
	t.restartedAddrs = append(t.restartedAddrs, u.Addr())
}

// clearAddr removes an upstream from the index by address. The caller holds the lock.
func (t *Table) clearAddr(u *Upstream) {
	t.membershipChanged = true
	if t.byAddr[u.Addr()] == u {
		delete(t.byAddr, u.Addr())
	}
}

// RefreshView publishes a view with a new version after the health of an upstream has changed.
func (t *Table) RefreshView() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publishView()
}

// publishView replaces the view by one with a new version. It shares the indexes of the previous view
// if no upstream was added, removed or moved. The caller holds the lock.
func (t *Table) publishView() {
	t.version++
	v := *t.view.Load()
	if t.membershipChanged {
		v = newView(t.byName)
		t.membershipChanged = false
	}
	v.version = t.version
	t.view.Store(&v)
}
