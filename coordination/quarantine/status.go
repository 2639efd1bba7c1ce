package quarantine

import (
	"cmp"
	"slices"

	"spanrill"
)

// Status is what a daemon knows of a withheld part, for operators. Ages count back from now.
type Status struct {
	Part        Part
	Crashes     []CrashStatus
	WithheldFor spanrill.Millis // since the crash for which it is withheld
	Trials      int             // scheduled trials so far
	NextTrialIn spanrill.Millis // 0 if one is due
	Account     string          // hash of the only account whose requests crashed engines, or ""
}

// CrashStatus is a crash under a request with a withheld part.
type CrashStatus struct {
	Upstream uint32
	Age      spanrill.Millis
	Trial    bool
}

// Withheld returns the withheld parts, in the order of their hashes.
func (l *Ledger) Withheld() []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	all := make([]Status, 0, len(l.withheld))
	for p := range l.withheld {
		all = append(all, l.parts[p].status(p, now))
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Part, b.Part) })
	return all
}

func (s *partState) status(p Part, now spanrill.Millis) Status {
	sum := s.summarize(p, now)
	status := Status{Part: p, Trials: s.trials, NextTrialIn: max(0, s.nextTrialAt(p, sum, 0)-now)}
	if sum.oneAccount {
		status.Account = sum.account.String()
	}
	for _, c := range s.crashes {
		status.Crashes = append(status.Crashes, CrashStatus{Upstream: c.upstream, Age: now - c.at, Trial: c.parts[p].trial})
	}
	status.WithheldFor = now - s.crashes[min(withholdCrashes, len(s.crashes))-1].at
	return status
}

// Counts returns the number of parts that are suspected but not withheld, and of those that are withheld.
func (l *Ledger) Counts() (suspected, withheld int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.parts {
		if len(s.crashes) > 0 {
			suspected++
		}
	}
	return suspected - len(l.withheld), len(l.withheld)
}
