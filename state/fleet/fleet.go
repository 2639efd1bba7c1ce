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
// # Usage
//
//	t := fleet.New(clock, decode)
//	go follow.New(entries, clock, t).Run(ctx)
//	for _, u := range t.View().Of("reader") { ... }
package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

const (
	// holdMargin is by how much less than an upstream that left may still get requests
	// one is kept whose entry lapsed around an outage of the store: the longest dial of
	// 350 ms, and the way of the request. The users' page: such entries are back about
	// 2 s after the store's return, and 2 s is also the shortest time after which one
	// that left may get nothing, so that no more can be given.
	holdMargin spanrill.Millis = 370
	// outageMargin is by how much less than that time the store has answered nobody
	// when entries may have lapsed.
	outageMargin spanrill.Millis = 300
)

// defaultDrain is how long after its entry has gone an upstream may get requests
// where nothing else is set: the least of the users' deployments.
const defaultDrain = 2 * spanrill.Second

// departTime is how long after its entry has gone an upstream may serve what runs
// there: the users' page says 2 to 3 s and at times many more, and a longer wait
// would hold up repairs.
const departTime = 4 * spanrill.Second

// outageMemory is how long after the last failed call of the store an entry
// that goes may have lapsed: three missed heartbeats of 1.2 s.
const outageMemory spanrill.Millis = 3600

// Table holds the upstreams.
type Table struct {
	clock  spanrill.Clock
	log    logrus.FieldLogger
	decode func(spanrill.Item) (spanrill.EngineEntry, error)

	mu      sync.Mutex
	all     map[string]*Upstream // by name
	held    map[string]held      // by name, entries that may have lapsed
	bad     map[string]bool      // by name, entries that cannot be read
	unread  unreadable
	left    map[string]departed // by id, upstreams whose entries have gone lately
	view    atomic.Pointer[View]
	outage  atomic.Int64 // end of the last failed call of the store
	version uint64
	at      uint64          // revision of the store up to which everything is known
	change  uint64          // revision at which the last change was known
	proved  spanrill.Millis // before the read was sent that told of at
	seen    chan struct{}
	once    sync.Once
	hold    spanrill.Millis // how long an upstream is kept whose entry may have lapsed

	ended     map[string][]int64 // by name, starts of incarnations that have ended
	starts    map[string]int     // by name, starts that were noticed
	lastBorn  map[string]int64   // by name, starts of those whose entries have gone
	claims    map[string]*claim  // by name
	restarted []string           // addresses, to be told
	restarts  atomic.Uint64
	onRestart func(addr string)

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
		all: map[string]*Upstream{}, held: map[string]held{}, bad: map[string]bool{}, left: map[string]departed{}, seen: make(chan struct{}),
		ended: map[string][]int64{}, starts: map[string]int{}, lastBorn: map[string]int64{}, claims: map[string]*claim{}, onRestart: func(string) {},
		hold: defaultDrain - holdMargin, outageTime: defaultDrain - outageMargin,
	}
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

// LastHeard returns when anything last came from any upstream.
func (t *Table) LastHeard() spanrill.Millis {
	last := spanrill.Millis(0)
	t.View().Each(func(u *Upstream) { last = max(last, u.LastOK()) })
	return last
}

// NoteOutage notes that a call of the store has failed.
func (t *Table) NoteOutage() { t.outage.Store(int64(t.clock.Now())) }

// Listed takes the whole collection.
func (t *Table) Listed(items []spanrill.Item, at uint64, sent spanrill.Millis) {
	k := Knowledge{Entries: make([]spanrill.EngineEntry, 0, len(items)), At: at, Change: at}
	for _, item := range items {
		if entry, ok := t.read(item); ok {
			k.Entries = append(k.Entries, entry)
		} else {
			k.Unreadable = append(k.Unreadable, item.Name)
		}
	}
	t.Merge(k, sent)
}

// Knowledge is all entries as they stood at a revision of the store.
type Knowledge struct {
	Entries []spanrill.EngineEntry
	At      uint64
	Change  uint64 // revision up to which there were changes, at most At
	// Unreadable are the names of entries that name no upstream to use.
	Unreadable []string
}

// Merge takes what the store or a peer knows, if it is newer than what is known
// here, and reports whether it was.
func (t *Table) Merge(k Knowledge, sent spanrill.Millis) bool {
	defer t.tellRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.At < t.at {
		return false
	}
	there, before := make(map[string]bool, len(k.Entries)), t.proved
	t.prove(sent)
	for _, entry := range k.Entries {
		there[entry.ID] = true
		t.put(entry)
	}
	for _, id := range k.Unreadable {
		t.setUnreadable(id)
		there[id] = true
	}
	for id := range t.all {
		if !there[id] {
			t.gone(id, before, sent)
		}
	}
	maps.DeleteFunc(t.claims, func(id string, _ *claim) bool { return !there[id] })
	maps.DeleteFunc(t.bad, func(id string, _ bool) bool { return !there[id] })
	t.admitFree()
	t.at, t.change = k.At, max(t.change, k.Change)
	t.publish()
	t.once.Do(func() { close(t.seen) })
	return true
}

// Knowledge returns all entries, for a peer. Those that are held are not among
// them: the store no longer has them, and a peer that has seen no outage must not
// keep them.
func (t *Table) Knowledge() Knowledge {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := Knowledge{At: t.at, Change: t.change, Unreadable: slices.Collect(maps.Keys(t.bad))}
	for _, c := range t.claims {
		k.Entries = append(k.Entries, c.entry)
	}
	for id, u := range t.all {
		if _, held := t.held[id]; !held {
			k.Entries = append(k.Entries, *u.Entry())
		}
	}
	return k
}

// At returns the revision of the store up to which everything is known.
func (t *Table) At() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at
}

// Proof returns up to which revision of the store everything is known, the
// revision of the last change, and how old that knowledge is.
func (t *Table) Proof() (at, change uint64, age spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at, t.change, t.clock.Now() - t.proved
}

// Prove notes that up to a revision there was no change behind the one given.
// It returns false if that change is not known here.
func (t *Table) Prove(at, change uint64, sent spanrill.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change > t.at {
		return false
	}
	t.at = max(t.at, at)
	t.prove(sent)
	return true
}

// Changed takes the changes up to a revision.
func (t *Table) Changed(changes []spanrill.Change, at uint64, sent spanrill.Millis) {
	defer t.tellRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	if at < t.at {
		return
	}
	before, stays := t.proved, stay(changes)
	t.prove(sent)
	for _, c := range changes {
		switch {
		case c.Gone && !stays[c.Name]:
			t.gone(c.Name, before, sent)
		case c.Gone || c.Revision <= t.at: // there again, or known from a peer
		default:
			if entry, ok := t.read(c.Item); ok {
				t.put(entry)
			} else {
				t.setUnreadable(c.Name)
			}
		}
	}
	t.admitFree()
	t.at = at
	if len(changes) > 0 {
		t.change = at
		t.publish()
	}
}

// stay returns the names of the items that are there after the changes.
func stay(changes []spanrill.Change) map[string]bool {
	names := map[string]bool{}
	for _, c := range changes {
		names[c.Name] = !c.Gone
	}
	return names
}

func (t *Table) read(item spanrill.Item) (spanrill.EngineEntry, bool) {
	entry, err := t.decode(item)
	if err != nil {
		t.noteUnreadable(item, err)
	}
	return entry, err == nil
}

// put takes one entry. The caller holds the lock.
func (t *Table) put(entry spanrill.EngineEntry) {
	delete(t.bad, entry.ID)
	if t.hasEnded(entry.ID, entry.Born) {
		return
	}
	t.release(entry.ID)
	u := t.all[entry.ID]
	if u == nil {
		if !t.claimed(entry) {
			t.enter(entry)
			t.replaced(entry)
		}
		return
	}
	old := u.Entry()
	if old.Revision > entry.Revision {
		return
	}
	if startedAgain(old, &entry) {
		t.restart(u, entry, "its entry tells another start")
		return
	}
	u.entry.Store(&entry)
	if entry.Leaving && !old.Leaving {
		events.UpstreamLeaving.Log(t.log, logrus.Fields{"upstream": u.ID(), "revision": entry.Revision})
	}
}

// enter takes the entry of an upstream that is not known. The caller holds the lock.
func (t *Table) enter(entry spanrill.EngineEntry) {
	t.endOthers(entry)
	u := newUpstream(entry, t.starts[entry.ID])
	t.all[entry.ID] = u
	events.UpstreamFound.Log(t.log, logrus.Fields{
		"upstream": u.ID(), "service": entry.Service, "addr": entry.Addr, "zone": entry.Zone,
		"kind": entry.Kind, "layers": entry.Layers, "leaving": entry.Leaving, "revision": entry.Revision,
	})
}

// replaced removes an upstream whose address a new one has.
func (t *Table) replaced(entry spanrill.EngineEntry) {
	for id, u := range t.all {
		if id != entry.ID && u.Addr() == entry.Addr {
			t.remove(id, "another upstream has its address")
			u.end()
			delete(t.left, u.ID())
			t.restarted = append(t.restarted, u.Addr())
		}
	}
}

// gone takes the end of an entry, which was last known to be there at the time given, and
// not any more by a read that was sent then. The caller holds the lock.
func (t *Table) gone(id string, there, sent spanrill.Millis) {
	delete(t.bad, id)
	delete(t.claims, id)
	if t.all[id] == nil {
		return
	}
	if _, holding := t.held[id]; holding {
		return
	}
	since := t.clock.Now() - spanrill.Millis(t.outage.Load())
	if since >= outageMemory || t.all[id].Entry().Leaving {
		t.remove(id, "entry gone")
		return
	}
	h := held{there: there, since: there}
	if t.answered.from > there {
		h.since = sent // nobody had an answer: entries may have lapsed meanwhile
	}
	t.keep(id, h)
	events.UpstreamHeld.Log(t.log, logrus.Fields{"upstream": id, "ms_since_outage": since, "proof_age_ms": t.clock.Now() - there})
}

// departed is an upstream whose entry has gone.
type departed struct {
	upstream *Upstream
	at       spanrill.Millis
}

// Departed returns the upstreams whose entries have gone lately: unless they have
// crashed, they serve on what runs there.
func (t *Table) Departed() []*Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*Upstream
	for id, d := range t.left {
		if t.clock.Now()-d.at >= departTime {
			delete(t.left, id)
			continue
		}
		all = append(all, d.upstream)
	}
	return all
}

// remove takes an upstream out by its name. The caller holds the lock.
func (t *Table) remove(id, why string) {
	u := t.all[id]
	u.removed.Store(true)
	t.noteLeft(u.Entry())
	t.left[u.ID()] = departed{upstream: u, at: t.clock.Now()}
	delete(t.all, id)
	delete(t.held, id)
	events.UpstreamGone.Log(t.log, logrus.Fields{"upstream": u.ID(), "why": why})
}

// Tend removes upstreams that were held long enough.
func (t *Table) Tend() {
	defer t.tellRestarts()
	t.mu.Lock()
	defer t.mu.Unlock()
	now, changed := t.clock.Now(), false
	for id, h := range t.held {
		if now-h.since >= t.hold {
			t.remove(id, "entry did not come back")
			changed = true
		}
	}
	if t.admitFree() || changed {
		t.publish()
	}
}

// Touch makes a new view, after what an upstream is thought of has changed.
func (t *Table) Touch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish()
}

func (t *Table) publish() {
	t.version++
	v := &View{version: t.version, byID: make(map[string]*Upstream, len(t.all)), byService: map[string][]*Upstream{}, byAddr: make(map[string]*Upstream, len(t.all))}
	for _, u := range t.all {
		v.byID[u.ID()] = u
		v.byAddr[u.Addr()] = u
		v.byService[u.Service()] = append(v.byService[u.Service()], u)
	}
	v.sort()
	t.view.Store(v)
}
