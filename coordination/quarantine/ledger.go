package quarantine

import (
	"cmp"
	"slices"
	"sync"

	"spanrill"
)

// Ledger records in which crashes parts were, and which parts work. It is safe for concurrent use.
type Ledger struct {
	clock    spanrill.Clock
	random   func() float64 // from 0 to 1
	mayTry   func() bool
	turn     func(Part) spanrill.Millis
	observer func(Change)

	mu            sync.Mutex
	parts         map[Part]*partState
	crashes       map[uint32][]*crashState // by upstream
	crashCount    int
	working       *workingParts
	running       map[Part]*Guard // trials of this daemon that have not ended
	lastChangedAt spanrill.Millis // when something was last recorded that others may not know
	withheld      map[Part]bool   // parts whose withholding was reported to the observer
	cached        digestCache
}

// Change is a part that is withheld from now on, or no longer.
type Change struct {
	Part     Part
	Withheld bool
	Crashes  int    // number of crashes, if it is withheld
	Account  string // hash of the only account whose requests crashed engines, or "" if there are several
	crashes  []CrashID
}

// CrashID identifies a crash.
type CrashID struct {
	Upstream uint32
	At       spanrill.Millis
}

// CrashIDs returns the crashes for which the part is withheld.
func (c Change) CrashIDs() []CrashID { return c.crashes }

// Option changes a default of New.
type Option func(*Ledger)

// WithRandom sets the source of random numbers from 0 to 1 for the jitter of Retry-After.
func WithRandom(random func() float64) Option {
	return func(l *Ledger) { l.random = random }
}

// WithMayTry sets the function that reports whether this daemon may send scheduled trials. One that is
// cut off from all others may not, since it cannot tell whether they have sent one.
func WithMayTry(mayTry func() bool) Option {
	return func(l *Ledger) { l.mayTry = mayTry }
}

// WithTurn sets the function that returns how long after others this daemon may send a trial of a part.
// It should differ between daemons by the time that a message takes, so that the first one can tell the
// others of its trial.
func WithTurn(turn func(Part) spanrill.Millis) Option {
	return func(l *Ledger) { l.turn = turn }
}

// WithObserver sets the function that is told of parts that are withheld from now on or no longer. It is
// called without a lock.
func WithObserver(observer func(Change)) Option {
	return func(l *Ledger) { l.observer = observer }
}

// New returns an empty ledger.
func New(clock spanrill.Clock, opts ...Option) *Ledger {
	l := &Ledger{
		clock: clock, random: func() float64 { return 0 }, mayTry: func() bool { return true }, turn: func(Part) spanrill.Millis { return 0 }, observer: func(Change) {},
		parts: map[Part]*partState{}, crashes: map[uint32][]*crashState{}, working: newWorkingParts(clock.Now()), running: map[Part]*Guard{}, withheld: map[Part]bool{},
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// RecordCrash records the crash of an engine under a request with the given parts, some of which it was a
// trial of. It returns the parts about which it is new evidence.
func (l *Ledger) RecordCrash(crash Crash, parts, trials []Part) (news []Part) {
	l.mu.Lock()
	now := l.clock.Now()
	for _, p := range parts[:min(len(parts), maxPartsPerRequest)] {
		crash.Trial = slices.Contains(trials, p)
		if l.record(p, crash, now) {
			news = append(news, p)
		}
	}
	changes := l.changes(parts, now)
	l.mu.Unlock()
	l.report(changes)
	return news
}

// record adds a crash to the evidence about a part and reports whether it is new. The caller holds l.mu.
func (l *Ledger) record(p Part, crash Crash, now spanrill.Millis) bool {
	if workedAt, ok := l.lastWorked(p, now); ok && crash.At <= workedAt+BeginTime {
		return false // the part has worked since
	}
	s := l.stateOf(p, now)
	c := l.crashOf(crash, now)
	if s == nil || c == nil {
		return false
	}
	if c.unconfirmed && !crash.Unconfirmed {
		c.unconfirmed, c.recordedAt = false, now
		l.touchCrash(c, now)
	}
	if e := c.parts[p]; e != nil {
		if !e.merge(crash) {
			return false
		}
		e.recordedAt = now
		l.touch(s, now)
		return true
	}
	c.parts[p] = &evidence{account: crash.Account, content: crash.Content, trial: crash.Trial, recordedAt: now}
	s.addCrash(p, c)
	s.trialDone = s.trialDone || crash.Trial && crash.At > s.lastTrialAt
	l.touch(s, now)
	return true
}

// addCrash adds a crash in the order of time. Beyond maxCrashesPerPart, the second oldest is dropped:
// the first one tells since when the part is suspected.
func (s *partState) addCrash(p Part, c *crashState) {
	index, _ := slices.BinarySearchFunc(s.crashes, c.at, func(c *crashState, at spanrill.Millis) int { return cmp.Compare(c.at, at) })
	s.crashes = slices.Insert(s.crashes, index, c)
	if len(s.crashes) > maxCrashesPerPart {
		delete(s.crashes[1].parts, p)
		s.crashes = slices.Delete(s.crashes, 1, 2)
	}
}

// lastWorked returns when an answer with the part last began that has gone on, as far as this daemon
// knows. The caller holds l.mu.
func (l *Ledger) lastWorked(p Part, now spanrill.Millis) (at spanrill.Millis, ok bool) {
	at, ok = l.working.lastWorked(p, now)
	if s := l.parts[p]; s != nil && s.hasWorkedLately(now) {
		at, ok = max(at, s.workedAt), true
	}
	return at, ok
}

// stateOf returns the state of a part, a new one if there is none, or nil if the ledger is full of parts
// that are withheld. The caller holds l.mu.
func (l *Ledger) stateOf(p Part, now spanrill.Millis) *partState {
	s := l.parts[p]
	if s != nil {
		return s
	}
	if l.evict(now); len(l.parts) >= maxParts {
		return nil
	}
	s = &partState{changedAt: now}
	if workedAt, ok := l.working.lastWorked(p, now); ok {
		s.workedAt, s.hasWorked = workedAt, true
	}
	l.parts[p] = s
	return s
}

// crashOf returns the state of a crash, a new one if there is none, or nil if there are too many. The
// caller holds l.mu.
func (l *Ledger) crashOf(crash Crash, now spanrill.Millis) *crashState {
	for _, c := range l.crashes[crash.Upstream] {
		if c.isSame(crash.Upstream, crash.At) {
			return c
		}
	}
	if l.crashCount >= maxCrashes {
		l.removeEmptyCrashes()
		if l.crashCount >= maxCrashes {
			return nil
		}
	}
	c := &crashState{upstream: crash.Upstream, at: crash.At, unconfirmed: crash.Unconfirmed, recordedAt: now, parts: map[Part]*evidence{}}
	l.crashes[crash.Upstream] = append(l.crashes[crash.Upstream], c)
	l.crashCount++
	return c
}

// IsExplained reports whether a crash is explained by a withheld part.
func (l *Ledger) IsExplained(upstream uint32, at spanrill.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.crashes[upstream] {
		if !c.isSame(upstream, at) {
			continue
		}
		for p := range c.parts {
			if l.withheld[p] {
				return true
			}
		}
	}
	return false
}

// RecordWorking records that an answer of a request with the given parts began at a time and has gone
// on, or has ended well. It returns the parts that this clears of crashes.
func (l *Ledger) RecordWorking(parts []Part, begunAt spanrill.Millis) (cleared []Part) {
	if len(parts) == 0 {
		return nil
	}
	l.mu.Lock()
	now := l.clock.Now()
	for _, p := range parts {
		l.working.record(p, begunAt, now)
		if l.recordWorking(p, begunAt, now) {
			cleared = append(cleared, p)
		}
	}
	changes := l.changes(cleared, now)
	l.mu.Unlock()
	l.report(changes)
	return cleared
}

// recordWorking clears a part of the crashes before an answer began, and reports whether there were any.
// The caller holds l.mu.
func (l *Ledger) recordWorking(p Part, begunAt, now spanrill.Millis) bool {
	s := l.parts[p]
	if s == nil {
		return false
	}
	s.workedAt, s.hasWorked = max(s.workedAt, begunAt), true
	known := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c *crashState) bool {
		isOlder := c.at <= begunAt+BeginTime
		if isOlder {
			delete(c.parts, p)
		}
		return isOlder
	})
	if len(s.crashes) == known {
		return false
	}
	if len(s.crashes) == 0 {
		s.trials, s.trialDone = 0, true
	}
	l.touch(s, now)
	return true
}

// clear removes all crashes of a part. The caller holds l.mu.
func (l *Ledger) clear(p Part, s *partState, now spanrill.Millis) {
	for _, c := range s.crashes {
		delete(c.parts, p)
	}
	s.crashes, s.trials = nil, 0
	l.touch(s, now)
}

// touch records that something about a part is new. The caller holds l.mu.
func (l *Ledger) touch(s *partState, now spanrill.Millis) {
	s.changedAt, l.lastChangedAt, l.cached.valid = now, now, false
}

// touchCrash records that a crash was confirmed. The caller holds l.mu.
func (l *Ledger) touchCrash(c *crashState, now spanrill.Millis) {
	for p, e := range c.parts {
		e.recordedAt = now
		if s := l.parts[p]; s != nil {
			l.touch(s, now)
		}
	}
}

// changes returns which of the parts are withheld from now on or no longer. The caller holds l.mu and
// passes the result to report without it.
func (l *Ledger) changes(parts []Part, now spanrill.Millis) (changes []Change) {
	for _, p := range parts {
		s := l.parts[p]
		if s == nil {
			continue
		}
		sum := s.summarize(p, now)
		withheld := s.isWithheld(sum, now)
		if withheld == l.withheld[p] {
			continue
		}
		change := Change{Part: p, Withheld: withheld, Crashes: sum.crashes}
		if withheld {
			l.withheld[p] = true
			if sum.oneAccount {
				change.Account = sum.account.String()
			}
		} else {
			delete(l.withheld, p)
		}
		for _, c := range s.crashes {
			change.crashes = append(change.crashes, CrashID{Upstream: c.upstream, At: c.at})
		}
		changes = append(changes, change)
	}
	return changes
}

func (l *Ledger) report(changes []Change) {
	for _, c := range changes {
		l.observer(c)
	}
}
