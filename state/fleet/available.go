package fleet

import "spanrill"

// availableSpan is a period in which the platform's store is known to have regularly answered this
// daemon or others. An entry removed in such a period has not expired because of an outage of the
// store.
type availableSpan struct {
	from, to spanrill.Millis // when the first and the last of the reads were sent
}

// merge extends the span by another one unless pause or more lies between them. In that case the
// later one of the two remains.
func (a *availableSpan) merge(other availableSpan, pause spanrill.Millis) {
	switch {
	case other.to < other.from || other.to+pause <= a.from:
	case other.from >= a.to+pause:
		*a = other
	default:
		a.from, a.to = min(a.from, other.from), max(a.to, other.to)
	}
}

// RecordStoreAvailable records that the store answered other daemons without a break between two
// times. Held entries that were last confirmed within the period of such answers have not expired
// because of an outage, so their hold time counts from their last confirmation.
func (t *Table) RecordStoreAvailable(from, to spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeAvailable.merge(availableSpan{from: from, to: to}, t.unavailableTime)
	for name, h := range t.held {
		if t.storeAvailable.from <= h.lastConfirmed {
			t.holdEntry(name, heldEntry{lastConfirmed: h.lastConfirmed, heldSince: h.lastConfirmed})
		}
	}
}

// StoreAvailableFor returns the time since the start of the latest period in which the store answered
// this daemon or others without a break.
func (t *Table) StoreAvailableFor() spanrill.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now() - t.storeAvailable.from
}

// StoreAnsweredAt returns when the latest read that the store is known to have answered, for this daemon
// or another one, was sent, or spanrill.Never.
func (t *Table) StoreAnsweredAt() spanrill.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storeAvailable.to
}

// confirm records that a read of the store has confirmed the entries. sentAt is when the read was
// sent.
// The caller holds the lock.
func (t *Table) confirm(sentAt spanrill.Millis) {
	t.confirmedAt = max(t.confirmedAt, sentAt)
	t.storeAvailable.merge(availableSpan{from: sentAt, to: sentAt}, t.unavailableTime)
}

// Stale returns the time since the entries were last confirmed, and whether they are too old for
// sending requests: an upstream may meanwhile have announced in its entry that it is leaving. While the
// store is known to answer no daemon, the entries stay in use.
func (t *Table) Stale() (age spanrill.Millis, stale bool) {
	t.mu.Lock()
	now := t.clock.Now()
	age = now - t.confirmedAt
	answeredOthers := now-t.storeAvailable.to < t.holdDuration
	t.mu.Unlock()
	return age, age >= t.holdDuration && (answeredOthers || !t.storeSilent())
}

// heldEntry is a removed entry that may merely have expired because of an outage of the store. It
// stays in use until its hold time, Table.holdDuration, is over.
type heldEntry struct {
	lastConfirmed spanrill.Millis // when the entry was last known to exist
	heldSince     spanrill.Millis // start of its hold time
}

// holdEntry keeps a removed entry in use until its hold time is over. The caller holds the lock.
func (t *Table) holdEntry(name string, h heldEntry) {
	t.held[name] = h
	t.byName[name].acceptsUntil.Store(int64(h.heldSince + t.holdDuration))
}

// releaseHeld stops holding an entry that exists again. The caller holds the lock.
func (t *Table) releaseHeld(name string) {
	if _, ok := t.held[name]; ok {
		delete(t.held, name)
		t.byName[name].acceptsUntil.Store(0)
	}
}
