package fleet

import (
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

// gone takes the end of an entry, which was last known to be there at the time given, and
// not any more by a read that was sent then. The caller holds the lock.
func (t *Table) gone(id string, there, sent spanrill.Millis) {
	delete(t.bad, id)
	delete(t.claims, id)
	delete(t.restored.quarantined, id)
	if t.all[id] == nil {
		return
	}
	if _, holding := t.held[id]; holding {
		return
	}
	since := t.clock.Now() - spanrill.Millis(t.outage.Load())
	if since >= outageMemory || t.all[id].Leaving() {
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
	if born := u.Entry().Born; born > 0 {
		t.pastOf(id).left = born
	}
	t.left[u.ID()] = departed{upstream: u, at: t.clock.Now()}
	delete(t.all, id)
	t.noteRemoval(id)
	t.vacate(u)
	delete(t.held, id)
	t.lines.gone.Log(events.UpstreamGone, t.log, func() logrus.Fields {
		return logrus.Fields{"upstream": u.ID(), "why": why}
	})
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
	if t.releaseQuarantined() || t.admitFree() || changed {
		t.publish()
	}
}
