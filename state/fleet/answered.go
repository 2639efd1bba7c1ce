package fleet

import "spanrill"

// answered is a span of time through which the platform's store has answered this daemon
// or others again and again, as far as known here. An entry that goes in such a span has
// not lapsed because the store was away.
type answered struct {
	from, to spanrill.Millis // when the first and the last of the reads were sent
}

// neverAnswered is long before a daemon starts.
const neverAnswered = -1000 * spanrill.Second

// join takes a span that is known from elsewhere, in which longer pauses than that given
// are breaks. Of spans with a break between them the later one counts.
func (a *answered) join(o answered, pause spanrill.Millis) {
	switch {
	case o.to < o.from || o.to+pause <= a.from:
	case o.from >= a.to+pause:
		*a = o
	default:
		a.from, a.to = min(a.from, o.from), max(a.to, o.to)
	}
}

// Answered notes that the store has answered other daemons from the one time to the
// other, without a break. What is held because it may have lapsed meanwhile counts from
// when it was last known to be there.
func (t *Table) Answered(from, to spanrill.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered.join(answered{from: from, to: to}, t.outageTime)
	for id, h := range t.held {
		if t.answered.from <= h.there {
			t.keep(id, held{there: h.there, since: h.there})
		}
	}
}

// AnsweredFor returns for how long the store has answered this daemon or others without a
// break.
func (t *Table) AnsweredFor() spanrill.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now() - t.answered.from
}

// prove notes when a read was sent that proves the entries. The caller holds the lock.
func (t *Table) prove(sent spanrill.Millis) {
	t.proved = max(t.proved, sent)
	t.answered.join(answered{from: sent, to: sent}, t.outageTime)
}

// Behind reports whether the entries are too old to send requests by, although the store
// has answered others lately: an upstream may have said that it leaves. While it answers
// nobody, what is held goes on.
func (t *Table) Behind() (age spanrill.Millis, behind bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	age = now - t.proved
	return age, age >= t.hold && now-t.answered.to < t.hold
}

// held is an entry that may have lapsed around an outage of the store.
type held struct {
	there spanrill.Millis // when it was last known to be there
	since spanrill.Millis // from when the time counts for which it is kept
}

// keep holds an entry. The caller holds the lock.
func (t *Table) keep(id string, h held) {
	t.held[id] = h
	t.all[id].until.Store(int64(h.since + t.hold))
}

// release ends the holding of an entry that is there again. The caller holds the lock.
func (t *Table) release(id string) {
	if _, ok := t.held[id]; ok {
		delete(t.held, id)
		t.all[id].until.Store(0)
	}
}
