// Package load tracks the upstreams of a daemon and their load.
//
// A Table is updated from the box list, from reports of upstreams and by requests. Its View is an
// immutable index that the request path reads without a lock. A new view is made only when the
// membership changes, or a reported property that routing depends on. Values that change with each
// request are atomics of an Upstream.
//
// # Usage
//
//	table := load.NewTable(clock)
//	table.SetBoxes(boxes)
//	table.Report("e1", status, age)
//	index := table.View().Model(key)
package load

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// Table holds the upstreams of a daemon. It is safe for concurrent use.
type Table struct {
	clock spanrill.Clock
	log   logrus.FieldLogger
	view  atomic.Pointer[View]
	addrs atomic.Pointer[map[string]*Upstream] // all upstreams by address

	mu        sync.Mutex
	upstreams map[string]*Upstream
	boxes     map[string]spanrill.Box
	lastList  []spanrill.Box // the last box list, to detect changes
	siteOf    func(zone string) string
}

// Option changes a default of NewTable.
type Option func(*Table)

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(t *Table) { t.log = log }
}

// NewTable returns a table without upstreams.
func NewTable(clock spanrill.Clock, opts ...Option) *Table {
	t := &Table{
		clock: clock, log: logrus.StandardLogger(),
		upstreams: map[string]*Upstream{}, boxes: map[string]spanrill.Box{},
		siteOf: func(string) string { return "" },
	}
	for _, o := range opts {
		o(t)
	}
	t.view.Store(&View{})
	t.addrs.Store(&map[string]*Upstream{})
	return t
}

// View returns the current index of the upstreams that may get new work.
func (t *Table) View() *View { return t.view.Load() }

// ByAddr returns the upstream at an address, also one that gets no new work, or nil.
func (t *Table) ByAddr(addr string) *Upstream { return (*t.addrs.Load())[addr] }

// SetSites sets which site each availability zone belongs to.
func (t *Table) SetSites(siteOf func(zone string) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.siteOf = siteOf
	t.rebuildView()
}

// SetBoxes applies a box list: each box is an upstream unless its role is RoleEntry. Upstreams that are
// not in the list are removed.
func (t *Table) SetBoxes(boxes []spanrill.Box) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastList != nil && slices.Equal(boxes, t.lastList) {
		return
	}
	t.lastList = slices.Clone(boxes)
	byName := make(map[string]spanrill.Box, len(boxes))
	for _, b := range boxes {
		if b.Role == spanrill.RoleEntry {
			continue
		}
		byName[b.Name] = b
		t.setBox(b)
	}
	for name := range t.upstreams {
		if _, ok := byName[name]; !ok {
			events.UpstreamRemoved.Log(t.log, logrus.Fields{"upstream": name})
			delete(t.upstreams, name)
		}
	}
	t.boxes = byName
	addrs := make(map[string]*Upstream, len(t.upstreams))
	for _, u := range t.upstreams {
		addrs[u.addr] = u
	}
	t.addrs.Store(&addrs)
	t.rebuildView()
}

// setBox adds the upstream of a box, or replaces it if the box has another address now. The caller
// holds the lock.
func (t *Table) setBox(b spanrill.Box) {
	u := t.upstreams[b.Name]
	if u == nil || u.addr != b.Addr {
		events.UpstreamFound.Log(t.log, logrus.Fields{"upstream": b.Name, "addr": b.Addr})
		t.upstreams[b.Name] = newUpstream(b)
		return
	}
	if b.State == spanrill.BoxLeaving && t.boxes[b.Name].State != spanrill.BoxLeaving {
		events.UpstreamLeaving.Log(t.log, logrus.Fields{"upstream": b.Name, "source": "box list"})
	}
}

// Upstreams returns all upstreams, including those that get no new work.
func (t *Table) Upstreams() []*Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Upstream, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		all = append(all, u)
	}
	return all
}

// Leaving reports whether an upstream gets no new work because it is leaving, according to its
// reports, a refusal or the box list.
func (t *Table) Leaving(u *Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isLeaving(u)
}

// isLeaving is Leaving for a caller that holds the lock.
func (t *Table) isLeaving(u *Upstream) bool {
	return u.leaving.Load() || t.boxes[u.name].State == spanrill.BoxLeaving
}

// Upstream returns the upstream with a name, or nil.
func (t *Table) Upstream(name string) *Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.upstreams[name]
}

// Report is a status report of one upstream.
type Report struct {
	Name   string
	Status spanrill.UpstreamStatus
	Age    spanrill.Millis // time since the report was made
}

// RecordReport applies an upstream's report, which was made age ago.
func (t *Table) RecordReport(name string, s spanrill.UpstreamStatus, age spanrill.Millis) {
	t.RecordReports([]Report{{Name: name, Status: s, Age: age}})
}

// RecordReports applies several reports and makes at most one new view.
func (t *Table) RecordReports(reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for i := range reports {
		changed = t.applyReport(&reports[i]) || changed
	}
	if changed {
		t.rebuildView()
	}
}

// applyReport applies one report unless it is older than the last one, and reports whether the view
// has to change. The caller holds the lock.
func (t *Table) applyReport(r *Report) (changed bool) {
	u, s, age := t.upstreams[r.Name], r.Status, r.Age
	now := t.clock.Now()
	if u == nil || now-age < spanrill.Millis(u.reportedAt.Load()) {
		return false
	}
	old := u.report.Load()
	u.peerRequests.Store(max(0, int64(s.Running)-u.inFlight.Load()))
	u.reportedAt.Store(int64(now - age))
	u.report.Store(&s)
	t.setLeaving(u, s.Leaving, "report")
	return old == nil || viewInputs(old) != viewInputs(&s)
}

// viewInputs returns the part of a report that requires a new view when it changes.
func viewInputs(s *spanrill.UpstreamStatus) spanrill.UpstreamStatus {
	return spanrill.UpstreamStatus{
		Leaving: s.Leaving, Model: s.Model, Version: s.Version, Layers: s.Layers,
		Generation: s.Generation, Loading: s.Loading, Slots: s.Slots,
		StepMicros: s.StepMicros, TokenNanos: s.TokenNanos,
	}
}

// MarkLeaving records that an upstream refused work because it is leaving.
func (t *Table) MarkLeaving(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[name]; u != nil && !u.leaving.Load() {
		t.setLeaving(u, true, "refusal")
		t.rebuildView()
	}
}

// setLeaving records whether an upstream is leaving according to its report or a refusal, and logs it
// when it starts leaving. The caller holds the lock.
func (t *Table) setLeaving(u *Upstream, leaving bool, source string) {
	if u.leaving.Swap(leaving) == leaving || !leaving {
		return
	}
	events.UpstreamLeaving.Log(t.log, logrus.Fields{"upstream": u.name, "source": source})
}

// rebuildView makes a new view. The caller holds the lock.
func (t *Table) rebuildView() {
	t.view.Store(newView(t.acceptingUpstreams(), t.siteOf))
}

// acceptingUpstreams returns the upstreams that may get new work. The caller holds the lock.
func (t *Table) acceptingUpstreams() []*Upstream {
	var accepting []*Upstream
	for _, u := range t.upstreams {
		if !t.isLeaving(u) {
			accepting = append(accepting, u)
		}
	}
	return accepting
}
