// Package fleet holds what this daemon knows of the upstreams: their entries
// in the platform's store, what runs on them, and whether they are well.
//
// Readers take a View, which is not changed after it was made, and see the
// newest figures of each upstream through its atomics. Writers replace the
// view as a whole.
//
// An entry that goes means that its upstream has left, except around an outage
// of the store, where entries of upstreams that live may lapse: those are kept
// for a while after they were seen to be missing. Where the store has answered
// some daemon all the while, the time counts from when the entry was last known
// to be there.
//
// An upstream may leave without a word: its entry goes, and it serves on what runs
// there for some seconds. Departed returns those.
//
//	fleet.go        the table, and what it shows
//	knowledge.go    what the store and peers say
//	incarnation.go  upstreams that start again under their names
//	claim.go        entries that name the address of another upstream
//	unreadable.go   entries that name no upstream
//	ends.go         which entries have gone, for peers that ask for changes
//	gone.go         entries that go, and upstreams that leave
//	restored.go     entries after the store was restored from an older copy
//	answered.go     when the store has answered, for entries that may have lapsed
//	notice.go       what upstreams say of themselves in their answers
//	limit.go        request rate limits that upstreams send in their answers
//	lines.go        what is logged of many upstreams at once
//	active.go       upstreams that this daemon has to do with
//	upstream.go     one upstream; refusal.go, risk.go and lag.go what is thought of it
//
// # Usage
//
//	t := fleet.New(clock, decode)
//	go follow.New(entries, clock, t).Run(ctx)
//	for _, u := range t.View().Of("reader") { ... }
package fleet

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// Table holds the upstreams.
type Table struct {
	clock  spanrill.Clock
	log    logrus.FieldLogger
	decode func(spanrill.Item) (spanrill.EngineEntry, error)

	mu      sync.Mutex
	all     map[string]*Upstream // by name
	byAddr  map[string]*Upstream // the same
	held    map[string]held      // by name, entries that may have lapsed
	bad     map[string]bool      // by name, entries that cannot be read
	ends    *ends
	unread  unreadable
	left    map[string]departed // by id, upstreams whose entries have gone lately
	view    atomic.Pointer[View]
	lines   lines
	changed bool // upstreams have come or gone, or have other addresses, since the view was made
	active  *active
	outage  atomic.Int64 // end of the last failed call of the store
	version uint64
	at      uint64          // revision of the store up to which everything is known
	change  uint64          // revision at which the last change was known
	proved  spanrill.Millis // before the read was sent that told of at
	seen    chan struct{}
	once    sync.Once
	hold    spanrill.Millis // how long an upstream is kept whose entry may have lapsed

	past      map[string]*past  // by name, of upstreams that started again or whose entries have gone
	claims    map[string]*claim // by name
	restarted []string          // addresses, to be told
	restarts  atomic.Uint64
	onRestart func(addr string)

	noticed      map[string]*notices // by name
	noticeCounts noticeCounts

	limited      map[string]bool // names of upstreams whose rate limit is known or was removed recently
	limitsDigest atomic.Uint64

	restored restoreState

	answered   answered
	outageTime spanrill.Millis // how long the store has answered nobody when entries may have lapsed
}

// Option changes a default of New.
type Option func(*Table)

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) Option {
	return func(t *Table) { t.log = log }
}

// WithOnRestart sets what is done when the upstream at an address has started again under
// its name. It is called without a lock.
func WithOnRestart(f func(addr string)) Option {
	return func(t *Table) { t.onRestart = f }
}

// WithDrain sets how long after its entry has gone an upstream may get requests.
func WithDrain(d spanrill.Millis) Option {
	return func(t *Table) { t.hold, t.outageTime = max(0, d-holdMargin), max(0, d-outageMargin) }
}

// New returns an empty table. Decode reads the items of the collection.
func New(clock spanrill.Clock, decode func(spanrill.Item) (spanrill.EngineEntry, error), opts ...Option) *Table {
	t := &Table{
		clock: clock, decode: decode, log: logrus.StandardLogger(),
		all: map[string]*Upstream{}, byAddr: map[string]*Upstream{}, held: map[string]held{}, bad: map[string]bool{}, ends: newEnds(), left: map[string]departed{}, seen: make(chan struct{}),
		past: map[string]*past{}, claims: map[string]*claim{}, noticed: map[string]*notices{}, limited: map[string]bool{}, restored: newRestoreState(), onRestart: func(string) {},
		active: &active{set: map[*Upstream]struct{}{}},
		hold:   defaultDrain - holdMargin, outageTime: defaultDrain - outageMargin,
	}
	t.lines = newLines(clock)
	t.outage.Store(-int64(outageMemory) * 2)
	t.answered = answered{from: neverAnswered, to: neverAnswered}
	for _, o := range opts {
		o(t)
	}
	t.view.Store(&View{})
	return t
}

// Seen returns a channel that is closed once the collection was listed.
func (t *Table) Seen() <-chan struct{} { return t.seen }

// View returns the upstreams as they are known now.
func (t *Table) View() *View { return t.view.Load() }

// NoteOutage notes that a call of the store has failed.
func (t *Table) NoteOutage() { t.outage.Store(int64(t.clock.Now())) }

// put takes one entry. The caller holds the lock.
func (t *Table) put(entry spanrill.EngineEntry) {
	delete(t.bad, entry.ID)
	t.ends.undo(entry.ID)
	if t.hasEnded(entry.ID, entry.Born) {
		return
	}
	t.release(entry.ID)
	u := t.all[entry.ID]
	if u == nil {
		if !t.quarantine(entry) && !t.claimed(entry) {
			t.enter(entry)
		}
		return
	}
	old := u.Entry()
	if old.Revision > entry.Revision || fromOlderCopy(old, &entry) {
		return
	}
	if entry.Addr != old.Addr && t.claimed(entry) {
		t.remove(entry.ID, "its entry names the address of another upstream")
		return
	}
	if startedAgain(old, &entry) {
		t.restart(u, entry, "its entry tells another start")
		return
	}
	moves := entry.Addr != old.Addr || entry.Service != old.Service
	if moves {
		t.vacate(u)
	}
	if entry.Addr != old.Addr {
		u.foundAt = t.clock.Now()
	}
	u.entry.Store(&entry)
	if moves {
		t.occupy(u)
	}
	if entry.Leaving && !old.Leaving {
		t.lines.leaving.Log(events.UpstreamLeaving, t.log, func() logrus.Fields {
			return logrus.Fields{"upstream": u.ID(), "revision": entry.Revision}
		})
	}
}

// enter takes the entry of an upstream that is not known. The caller holds the lock.
func (t *Table) enter(entry spanrill.EngineEntry) {
	t.endOthers(entry)
	starts := 0
	if p := t.past[entry.ID]; p != nil {
		starts = p.starts
	}
	u := t.newUpstream(entry, starts)
	u.foundAt, u.knownAt = t.foundAt(entry), t.clock.Now()
	u.notices = t.noticesOf(&entry)
	u.activate() // it may have asked for rest before
	t.all[entry.ID] = u
	t.lines.found.Log(events.UpstreamFound, t.log, func() logrus.Fields {
		return logrus.Fields{
			"upstream": u.ID(), "service": entry.Service, "addr": entry.Addr, "zone": entry.Zone,
			"kind": entry.Kind, "layers": entry.Layers, "leaving": entry.Leaving, "revision": entry.Revision,
		}
	})
	t.occupy(u)
}

// foundAt returns since when the upstream of a new entry is known to be at its address: its
// entry may have been there until just now. The caller holds the lock.
func (t *Table) foundAt(entry spanrill.EngineEntry) spanrill.Millis {
	for _, d := range t.left {
		if d.upstream.Name() == entry.ID && d.upstream.Addr() == entry.Addr {
			return d.upstream.foundAt
		}
	}
	return t.clock.Now()
}

// occupy notes an upstream at its address. Another one that was there has ended. The caller
// holds the lock.
func (t *Table) occupy(u *Upstream) {
	t.changed = true
	other := t.byAddr[u.Addr()]
	t.byAddr[u.Addr()] = u
	if other == nil || other.Name() == u.Name() {
		return
	}
	t.remove(other.Name(), "another upstream has its address")
	other.end()
	delete(t.left, other.ID())
	t.restarted = append(t.restarted, u.Addr())
}

// vacate notes that an upstream is not at its address any more. The caller holds the lock.
func (t *Table) vacate(u *Upstream) {
	t.changed = true
	if t.byAddr[u.Addr()] == u {
		delete(t.byAddr, u.Addr())
	}
}

// Touch makes a new view, after what an upstream is thought of has changed.
func (t *Table) Touch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish()
}

// publish makes the next view. Where upstreams have neither come nor gone it shares what it
// holds with the one before. The caller holds the lock.
func (t *Table) publish() {
	t.version++
	v := *t.view.Load()
	if t.changed {
		v = newView(t.all)
		t.changed = false
	}
	v.version = t.version
	t.view.Store(&v)
}
