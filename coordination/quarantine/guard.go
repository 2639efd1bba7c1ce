package quarantine

import (
	"slices"

	"spanrill"
)

// Guard tracks a request from its arrival to its end. It is not safe for concurrent use. A nil guard tracks
// nothing.
type Guard struct {
	ledger    *Ledger
	parts     []Part
	account   Account
	trials    []Part          // parts of which the request is a trial, held until End
	scheduled []Part          // those of which the trial is a scheduled one
	claimedAt spanrill.Millis // when it last became a trial
	sent      bool
	sentAt    spanrill.Millis
}

// Begin returns a guard for a request that has arrived. The caller must call End on it.
func (l *Ledger) Begin(parts []Part, account Account) *Guard {
	return &Guard{ledger: l, parts: parts, account: account}
}

// Parts returns the parts of the request.
func (g *Guard) Parts() []Part {
	if g == nil {
		return nil
	}
	return g.parts
}

// Has reports whether the request has a part.
func (g *Guard) Has(part Part) bool { return slices.Contains(g.Parts(), part) }

// Account returns the account of the request.
func (g *Guard) Account() Account {
	if g == nil {
		return 0
	}
	return g.account
}

// Trials returns the parts of which the request was sent as a trial.
func (g *Guard) Trials() []Part {
	if g == nil || !g.sent {
		return nil
	}
	return slices.Clone(g.trials)
}

// Check returns the verdict on sending the request now, for the first time or again. If it may be sent
// as a trial only, no other request is a trial of the same parts until its result is known, it ends, or
// trialTime has passed.
func (g *Guard) Check() Verdict {
	if g == nil || len(g.parts) == 0 {
		return Verdict{}
	}
	l := g.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.parts) == 0 {
		return Verdict{}
	}
	now := l.clock.Now()
	v := l.evaluate(g, now)
	for _, p := range v.trials {
		if l.running[p] != g {
			l.running[p], g.claimedAt = g, now
		}
		if !slices.Contains(g.trials, p) {
			g.trials = append(g.trials, p)
		}
	}
	for _, p := range v.scheduled {
		if !slices.Contains(g.scheduled, p) {
			g.scheduled = append(g.scheduled, p)
		}
	}
	return v
}

// excludes reports whether the request excludes others as a trial that was not sent yet. Once it is sent,
// all daemons know since when.
func (g *Guard) excludes(now spanrill.Millis) bool {
	return g != nil && !g.sent && now-g.claimedAt < trialTime
}

// hasTried reports whether the request was sent as a trial of a part and no answer has shown since that
// the part works. It must not be sent to another engine then, even if its first one has only fallen silent.
func (g *Guard) hasTried(p Part) bool {
	if !g.sent || !slices.Contains(g.trials, p) {
		return false
	}
	s := g.ledger.parts[p]
	return !s.hasWorked || s.workedAt < g.sentAt
}

// RecordSent records that the request is sent to an engine. It returns the parts of which that begins a
// trial, which must be announced to all daemons at once.
func (g *Guard) RecordSent() []Part {
	if g == nil || len(g.trials) == 0 || g.sent {
		return nil
	}
	l := g.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	g.sent, g.sentAt = true, l.clock.Now()
	for _, p := range g.trials {
		s := l.parts[p]
		if s == nil {
			continue
		}
		s.hasTrial, s.lastTrialAt, s.trialDone = true, g.sentAt, false
		if slices.Contains(g.scheduled, p) {
			s.trials++
		}
		l.touch(s, g.sentAt)
	}
	return g.trials
}

// RecordNoCrash records that the engine that the request was sent to has not run it, or has answered with
// an error: it may be sent to another one.
func (g *Guard) RecordNoCrash() {
	if g == nil || !g.sent {
		return
	}
	g.ledger.mu.Lock()
	defer g.ledger.mu.Unlock()
	g.sent = false
}

// End ends the tracking of the request, and its trials.
func (g *Guard) End() {
	if g == nil || len(g.trials) == 0 {
		return
	}
	l := g.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range g.trials {
		if l.running[p] == g {
			delete(l.running, p)
		}
	}
}
