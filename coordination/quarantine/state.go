package quarantine

import (
	"slices"

	"spanrill"
)

// partState is what the ledger knows of a part that was in a crash. A part that was cleared remains
// without crashes, so that old evidence from other daemons is recognized.
type partState struct {
	crashes []*crashState // not cleared, by time

	workedAt  spanrill.Millis // when the last answer with it began that went on
	hasWorked bool

	trials      int             // scheduled trials since it was withheld
	lastTrialAt spanrill.Millis // when the last trial of any kind was sent, by any daemon
	hasTrial    bool
	trialDone   bool // the last trial's result is known

	changedAt spanrill.Millis // when this daemon last learned something that others may not know
}

// summary is the evidence about a part as the decisions need it.
type summary struct {
	crashes, trials, moments, contents int
	firstAt, lastAt                    spanrill.Millis
	account                            Account // of all crashes, if there is a single one
	oneAccount                         bool
}

// summarize counts the crashes that count now.
func (s *partState) summarize(p Part, now spanrill.Millis) summary {
	var sum summary
	var momentAt spanrill.Millis
	contents := make([]uint64, 0, maxCrashesPerPart)
	for _, c := range s.crashes {
		if !c.counts(now) {
			continue
		}
		e := c.parts[p]
		if sum.crashes == 0 {
			sum.firstAt, sum.account, sum.oneAccount = c.at, e.account, true
		}
		sum.oneAccount = sum.oneAccount && e.account == sum.account && !e.otherToo
		if sum.crashes == 0 || c.at-momentAt >= momentTime {
			sum.moments++
			momentAt = c.at
		}
		if e.trial && c.at-sum.firstAt >= episodeTime {
			sum.trials++
		}
		if !slices.Contains(contents, e.content) {
			contents = append(contents, e.content)
		}
		sum.crashes++
		sum.lastAt = max(sum.lastAt, c.at)
	}
	sum.contents = len(contents)
	return sum
}

// hasWorkedLately reports whether an answer with the part has gone on lately.
func (s *partState) hasWorkedLately(now spanrill.Millis) bool {
	return s.hasWorked && now-s.workedAt < workedTime
}

// isWithheld reports whether the evidence is enough to withhold the part.
func (s *partState) isWithheld(sum summary, now spanrill.Millis) bool {
	crashes := withholdCrashes
	if s.hasWorkedLately(now) {
		crashes = workedCrashes
	}
	return sum.crashes >= crashes && sum.trials >= withholdTrials && sum.contents >= withholdContents
}

// isExpired reports whether all evidence is too old to count.
func (s *partState) isExpired(p Part, now spanrill.Millis) bool {
	sum := s.summarize(p, now)
	if sum.crashes == 0 {
		return now-s.changedAt >= workedTime
	}
	ttl := suspectedTTL
	if s.isWithheld(sum, now) {
		ttl = withheldTTL
	}
	return now-max(sum.lastAt, s.lastTrialAt) >= ttl
}

// trialInterval returns the time from the last crash or trial to the next scheduled trial.
func (s *partState) trialInterval() spanrill.Millis {
	interval := firstTrialAfter
	for range s.trials {
		interval *= trialGrowth
		if interval >= withheldTTL {
			return withheldTTL
		}
	}
	return interval
}

// nextTrialAt returns when the next scheduled trial is due for a request of an account.
func (s *partState) nextTrialAt(p Part, sum summary, account Account) spanrill.Millis {
	since, interval := sum.lastAt, s.trialInterval()
	if s.hasTrial {
		since = max(since, s.lastTrialAt)
	}
	for _, c := range s.crashes {
		if e := c.parts[p]; e.trial && e.account == account {
			interval *= repeatedAccountFactor
			break
		}
	}
	return since + interval
}

// nextTryAt returns when a trial other than a scheduled one may be sent: not while the result of the last
// one is not known, and not shortly after a crash.
func (s *partState) nextTryAt(sum summary) spanrill.Millis {
	at := sum.lastAt + episodeTime
	if s.hasTrial && !s.trialDone {
		at = max(at, s.lastTrialAt+trialTime)
	}
	return at
}
