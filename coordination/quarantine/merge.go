package quarantine

import (
	"slices"

	"spanrill"
)

// Merge merges marks from another daemon or from the store, and returns how many were news. It ignores
// marks with an impossible age.
func (l *Ledger) Merge(marks []Mark) (news int) {
	l.mu.Lock()
	now := l.clock.Now()
	touched := make([]Part, 0, len(marks))
	for _, m := range orderedForMerge(marks) {
		if m.Age < 0 || m.Age >= withheldTTL {
			continue
		}
		if l.merge(m, now) {
			news++
		}
		touched = append(touched, m.Part)
	}
	changes := l.changes(touched, now)
	l.mu.Unlock()
	l.report(changes)
	return news
}

// orderedForMerge returns the marks by kind: whether a part has worked decides which crashes count, and
// trials are recorded for parts with crashes only.
func orderedForMerge(marks []Mark) []Mark {
	order := [...]int{MarkWorking: 0, MarkCrash: 1, MarkTrial: 2}
	sorted := slices.DeleteFunc(slices.Clone(marks), func(m Mark) bool { return int(m.Kind) >= len(order) })
	slices.SortStableFunc(sorted, func(a, b Mark) int { return order[a.Kind] - order[b.Kind] })
	return sorted
}

// merge merges a mark and reports whether it was news. The caller holds l.mu.
func (l *Ledger) merge(m Mark, now spanrill.Millis) bool {
	at := now - m.Age
	switch m.Kind {
	case MarkWorking:
		if known, ok := l.lastWorked(m.Part, now); ok && at-known < workingMergeWindow {
			return false
		}
		l.working.record(m.Part, at, now)
		return l.recordWorking(m.Part, at, now)
	case MarkTrial:
		return l.mergeTrial(m.Part, at, m.Trials, now)
	}
	crash := m.Crash
	crash.At = at
	isNew := l.record(m.Part, crash, now)
	if m.OtherToo {
		l.markOtherAccounts(m.Part, crash)
	}
	return isNew
}

// markOtherAccounts records that requests of several accounts were on an engine that crashed.
func (l *Ledger) markOtherAccounts(p Part, crash Crash) {
	for _, c := range l.crashes[crash.Upstream] {
		if e := c.parts[p]; e != nil && c.isSame(crash.Upstream, crash.At) {
			e.otherToo = true
		}
	}
}

// mergeTrial records another daemon's trial of a part that this ledger knows.
func (l *Ledger) mergeTrial(p Part, sentAt spanrill.Millis, trials int, now spanrill.Millis) bool {
	s := l.parts[p]
	if s == nil || len(s.crashes) == 0 {
		return false
	}
	isNewer := !s.hasTrial || sentAt-s.lastTrialAt > trialMergeWindow
	isNew := isNewer || trials > s.trials
	if isNewer {
		s.hasTrial, s.lastTrialAt = true, sentAt
		s.trialDone = s.crashes[len(s.crashes)-1].at > sentAt
	}
	s.trials = max(s.trials, min(trials, maxTrials))
	if isNew {
		l.touch(s, now)
	}
	return isNew
}

const (
	// trialMergeWindow is the largest difference between the times at which daemons learn of the same
	// trial.
	trialMergeWindow spanrill.Millis = 100
	// workingMergeWindow is the least difference from which another daemon's answer counts as a newer
	// one. Each message makes its marks younger by the time that it takes.
	workingMergeWindow spanrill.Millis = 250
	// maxTrials bounds the number of scheduled trials that another daemon tells.
	maxTrials = 16
)

// Maintain drops crashes that were never confirmed, and parts whose evidence has expired.
func (l *Ledger) Maintain() {
	l.mu.Lock()
	now := l.clock.Now()
	var changed []Part
	for p, s := range l.parts {
		known := len(s.crashes)
		s.crashes = slices.DeleteFunc(s.crashes, func(c *crashState) bool {
			if c.counts(now) {
				return false
			}
			delete(c.parts, p)
			return true
		})
		if len(s.crashes) != known {
			changed = append(changed, p)
		}
		switch {
		case !s.isExpired(p, now):
		case l.withheld[p]:
			l.clear(p, s, now)
			changed = append(changed, p)
		default:
			l.remove(p, s)
		}
	}
	l.removeEmptyCrashes()
	changes := l.changes(changed, now)
	l.cached.valid = l.cached.valid && len(changed) == 0
	l.mu.Unlock()
	l.report(changes)
}
