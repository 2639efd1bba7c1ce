package quarantine

import (
	"cmp"
	"slices"

	"spanrill"
)

func (l *Ledger) removeEmptyCrashes() {
	for upstream, crashes := range l.crashes {
		kept := slices.DeleteFunc(crashes, func(c *crashState) bool { return len(c.parts) == 0 })
		l.crashCount -= len(crashes) - len(kept)
		if len(kept) == 0 {
			delete(l.crashes, upstream)
		} else {
			l.crashes[upstream] = kept
		}
	}
}

// evict makes room when the ledger is full. It removes expired parts, then those with the fewest crashes
// and of these the oldest, an eighth at a time. Withheld parts are kept. The caller holds l.mu.
func (l *Ledger) evict(now spanrill.Millis) {
	if len(l.parts) < maxParts {
		return
	}
	type candidate struct {
		part    Part
		crashes int
		at      spanrill.Millis
	}
	var candidates []candidate
	for p, s := range l.parts {
		if s.isExpired(p, now) {
			l.remove(p, s)
			continue
		}
		if sum := s.summarize(p, now); !s.isWithheld(sum, now) {
			candidates = append(candidates, candidate{p, sum.crashes, s.changedAt})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.at, b.at))
	})
	excess := max(0, len(l.parts)-maxParts*7/8)
	for _, c := range candidates[:min(excess, len(candidates))] {
		l.remove(c.part, l.parts[c.part])
	}
	l.removeEmptyCrashes()
}

func (l *Ledger) remove(p Part, s *partState) {
	for _, c := range s.crashes {
		delete(c.parts, p)
	}
	delete(l.parts, p)
	delete(l.withheld, p)
	l.cached.valid = false
}
