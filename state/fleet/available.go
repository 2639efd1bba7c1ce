package fleet

import "spanrill"

// availableSpan is a period in which the platform's store regularly answered this daemon or others,
// as far as known here. An entry removed in such a period has not expired because of an outage of
// the store.
type availableSpan struct {
	from, to spanrill.Millis // when the first and the last of the reads were sent
}

// neverAvailable is long before a daemon starts.
const neverAvailable = -1000 * spanrill.Second

// merge extends the span by another one unless pause or more lies between them. In that case the
// later one of the two remains.
func (a *availableSpan) merge(o availableSpan, pause spanrill.Millis) {
	switch {
	case o.to < o.from || o.to+pause <= a.from:
	case o.from >= a.to+pause:
		*a = o
	default:
		a.from, a.to = min(a.from, o.from), max(a.to, o.to)
	}
}

// RecordStoreAvailable records that the store answered other daemons without a break between two
// times. For entries that were removed in this period, the time for which they are held
// counts from when they were last confirmed.
func (t *Table) RecordStoreAvailable(from, to spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeAvailable.merge(availableSpan{from: from, to: to}, t.unavailableTime)
	for id, h := range t.held {
		if t.storeAvailable.from <= h.lastConfirmed {
			t.holdEntry(id, heldEntry{lastConfirmed: h.lastConfirmed, heldSince: h.lastConfirmed})
		}
	}
}

// StoreAvailableFor returns for how long the store has answered this daemon or others without a
// break.
func (t *Table) StoreAvailableFor() spanrill.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now() - t.storeAvailable.from
}

// confirm records when a read that confirms the entries was sent. The caller holds the lock.
func (t *Table) confirm(sent spanrill.Millis) {
	t.confirmedAt = max(t.confirmedAt, sent)
	t.storeAvailable.merge(availableSpan{from: sent, to: sent}, t.unavailableTime)
}

// Stale returns the time since the entries were last confirmed, and whether they are too old for
// sending requests although the store has answered others recently: an upstream may have announced
// in its entry that it leaves. While the store answers no daemon, the entries stay in use.
func (t *Table) Stale() (age spanrill.Millis, behind bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	age = now - t.confirmedAt
	return age, age >= t.holdDuration && now-t.storeAvailable.to < t.holdDuration
}

// heldEntry is a removed entry that may only have expired because of an outage of the store.
type heldEntry struct {
	lastConfirmed spanrill.Millis // when the entry was last known to exist
	heldSince     spanrill.Millis // start of the time for which it is held
}

// holdEntry holds an entry. The caller holds the lock.
func (t *Table) holdEntry(id string, h heldEntry) {
	t.held[id] = h
	t.byName[id].acceptsUntil.Store(int64(h.heldSince + t.holdDuration))
}

// releaseHeld stops holding an entry that exists again. The caller holds the lock.
func (t *Table) releaseHeld(id string) {
	if _, ok := t.held[id]; ok {
		delete(t.held, id)
		t.byName[id].acceptsUntil.Store(0)
	}
}
