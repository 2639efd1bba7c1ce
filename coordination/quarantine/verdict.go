package quarantine

import (
	"slices"

	"spanrill"
)

// Verdict is the decision whether a request may be sent.
type Verdict struct {
	refused    bool
	part       Part // for which it is refused
	withheld   bool
	crashes    int
	nextTrial  spanrill.Millis
	retryAfter spanrill.Millis
	trials     []Part // parts of which it is a trial if it is sent
	scheduled  []Part // those of trials of which the trial is a scheduled one
}

// Refused reports whether the request must not be sent.
func (v Verdict) Refused() bool { return v.refused }

// Withheld reports whether the request is refused because a part is withheld, and not only because a
// trial of it runs.
func (v Verdict) Withheld() bool { return v.withheld }

// Part returns the part for which the request is refused.
func (v Verdict) Part() Part { return v.part }

// Crashes returns how many engines have crashed under requests with that part.
func (v Verdict) Crashes() int { return v.crashes }

// NextTrialIn returns the time until a request with the part is sent as a trial, if it is withheld.
func (v Verdict) NextTrialIn() spanrill.Millis { return v.nextTrial }

// RetryAfter returns how long the caller of a refused request should wait before it retries.
func (v Verdict) RetryAfter() spanrill.Millis { return v.retryAfter }

// evaluate returns the verdict on a request with the given parts. Guard is the request, whose own
// running trials do not exclude it. The caller holds l.mu.
func (l *Ledger) evaluate(g *Guard, now spanrill.Millis) Verdict {
	var v Verdict
	for _, p := range g.parts {
		s := l.parts[p]
		if s == nil || len(s.crashes) == 0 {
			continue
		}
		if s.isExpired(p, now) {
			continue // until Maintain removes it
		}
		l.judge(g, p, s, now, &v)
		if v.refused {
			return v
		}
	}
	return v
}

// judge adds what is known of one part to the verdict.
func (l *Ledger) judge(g *Guard, p Part, s *partState, now spanrill.Millis, v *Verdict) {
	sum := s.summarize(p, now)
	if sum.crashes == 0 {
		return
	}
	withheld, explained := s.isWithheld(sum, now), l.explainedWithout(g.parts, p, s, now)
	if s.hasWorkedLately(now) && !withheld && (explained || sum.moments < workedMoments) {
		return
	}
	scheduled := withheld && !explained && !(sum.oneAccount && sum.account != g.account)
	if scheduled {
		if due := s.nextTrialAt(p, sum, g.account) + l.turn(p); now < due || !l.mayTry() {
			wait := min(max(due-now, trialRetryAfter), MaxRetryAfter)
			v.refuse(p, sum, true, l.jittered(wait))
			v.nextTrial = max(0, due-now)
			return
		}
	}
	if running := l.running[p]; running != g && (running.excludes(now) || now < s.nextTryAt(sum)+l.turn(p)) || g.hasTried(p) {
		v.refuse(p, sum, withheld, l.jittered(trialRetryAfter))
		return
	}
	v.trials = append(v.trials, p)
	if scheduled {
		v.scheduled = append(v.scheduled, p)
	}
}

func (v *Verdict) refuse(p Part, sum summary, withheld bool, retryAfter spanrill.Millis) {
	*v = Verdict{refused: true, part: p, withheld: withheld, crashes: sum.crashes, retryAfter: retryAfter}
}

// explainedWithout reports whether each crash of a part had another suspected part that the request
// lacks and that is a better explanation: it is withheld, or has not worked lately and was in several
// crashes. One crash is enough if this part has worked lately.
func (l *Ledger) explainedWithout(requestParts []Part, p Part, s *partState, now spanrill.Millis) bool {
	crashes := minExplanationCrashes
	if s.hasWorkedLately(now) {
		crashes = 1
	}
	for _, c := range s.crashes {
		if c.counts(now) && !l.explains(c, requestParts, p, crashes, now) {
			return false
		}
	}
	return true
}

// explains reports whether a crash had such a part, which must have been in so many crashes.
func (l *Ledger) explains(c *crashState, requestParts []Part, p Part, crashes int, now spanrill.Millis) bool {
	for other := range c.parts {
		if other == p || slices.Contains(requestParts, other) {
			continue
		}
		s := l.parts[other]
		if s != nil && len(s.crashes) >= crashes && (l.withheld[other] || !s.hasWorkedLately(now)) {
			return true
		}
	}
	return false
}

// minExplanationCrashes is the number of crashes in which a part must have been to explain those of
// another one.
const minExplanationCrashes = 2

// jittered adds jitter to a caller's wait, so that callers return at different times.
func (l *Ledger) jittered(wait spanrill.Millis) spanrill.Millis {
	return wait + spanrill.Millis(l.random()*float64(retryAfterJitter))
}
