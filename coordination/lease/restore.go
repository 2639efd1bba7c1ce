package lease

import "spanrill"

// restoreState tracks restores of the store from an older copy. A restored store lacks later
// writes: a lease that another daemon holds may be missing, free, or recorded for a previous
// holder.
type restoreState struct {
	era         uint64          // last era seen; each restore of the store increases it
	detectedAt  spanrill.Millis // when the last restore was detected, or 0
	highestTerm uint64          // highest term seen
}

// detectRestore records when a restore of the store is detected: by a higher era, or by a lease
// record older than the last one seen. The caller holds the lock.
func (l *Lease) detectRestore(r record, v spanrill.Version, now spanrill.Millis) {
	era := l.era()
	isOlder := v == "" || r.Term < l.restore.highestTerm || r.Term == l.current.Term && r.Beat < l.current.Beat
	if l.restore.era > 0 && era > l.restore.era || l.seenVersion != "" && v != l.seenVersion && isOlder {
		l.restore.detectedAt = now
	}
	l.restore.era = era
	l.restore.highestTerm = max(l.restore.highestTerm, r.Term)
}

// termsPerEra exceeds the number of terms in an era, so that terms of a later era are higher than
// terms that the store has lost.
const termsPerEra = 1_000_000

// nextTerm returns a term higher than the given one, all terms seen and all terms of earlier eras.
// The caller holds the lock.
func (l *Lease) nextTerm(term uint64) uint64 {
	return max(term, l.restore.highestTerm, l.era()*termsPerEra) + 1
}
