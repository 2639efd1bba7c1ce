package spanrill

// Restoring a store from an older copy begins a new era and resets the store's revision counter
// to that of the copy. A revision combines the era and the counter, so that every revision of a
// later era is higher than all revisions of earlier eras. The last twelve decimal digits are the
// counter.
const (
	eraFactor = 1_000_000_000_000
	// maxEra prevents overflow of a uint64 revision.
	maxEra = 1<<64/eraFactor - 2
)

// RevisionOf returns the revision for an era and a counter, each capped at its maximum.
func RevisionOf(era, counter uint64) uint64 {
	return min(era, maxEra)*eraFactor + min(counter, eraFactor-1)
}

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision / eraFactor }

// CounterOf returns the store's counter in a revision.
func CounterOf(revision uint64) uint64 { return revision % eraFactor }
