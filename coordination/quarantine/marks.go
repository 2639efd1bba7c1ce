package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"spanrill"
)

// MarkKind is what a Mark tells about a part.
type MarkKind uint8

// The kinds of marks.
const (
	// MarkCrash tells of a crash of an engine under a request with the part.
	MarkCrash MarkKind = iota
	// MarkWorking tells when the last answer with the part began that has gone on.
	MarkWorking
	// MarkTrial tells when the last trial of the part was sent.
	MarkTrial
)

// Mark is evidence about a part as daemons exchange and store it.
type Mark struct {
	Part     Part
	Kind     MarkKind
	Age      spanrill.Millis
	Crash    Crash // of a MarkCrash; its time is in Age
	OtherToo bool  // a MarkCrash: requests of other accounts were on the engine, too
	Trials   int   // a MarkTrial: scheduled trials since the part was withheld
}

const (
	// announceTime is how long a daemon reports news to all peers that ask, as package suspect does.
	announceTime = 3 * spanrill.Second
	// maxNewsMarks bounds the marks in one message, and maxStoredMarks those in the store. A mark takes
	// up to 48 bytes in a message.
	maxNewsMarks   = 256
	maxStoredMarks = 512
	// digestTime is how long a digest is kept while nothing changes.
	digestTime = spanrill.Second
)

// digestCache holds the last digest of the withheld parts.
type digestCache struct {
	value      uint64
	computedAt spanrill.Millis
	valid      bool
}

// MarksFor returns the marks for a peer with the given digest: what was recorded lately and, if the
// digest differs from this ledger's, all about withheld parts and about those that were cleared. Those
// about withheld parts come first.
func (l *Ledger) MarksFor(digest uint64) []Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.parts) == 0 {
		return nil
	}
	now := l.clock.Now()
	differs := digest != l.digest(now)
	if !differs && now-l.lastChangedAt >= announceTime {
		return nil
	}
	var withheld, others []Mark
	for p, s := range l.parts {
		switch isNews := now-s.changedAt < announceTime && s.isNews(now); {
		case l.withheld[p] && (differs || isNews):
			withheld = s.appendMarks(withheld, p, now)
		case isNews, differs && len(s.crashes) == 0:
			others = s.appendMarks(others, p, now)
		}
	}
	withheld = youngest(withheld, maxNewsMarks)
	return append(withheld, youngest(others, maxNewsMarks-len(withheld))...)
}

// isNews reports whether other daemons need to know of recent changes. The first crash of a part that has
// worked lately is not told: most such parts are cleared within a second.
func (s *partState) isNews(now spanrill.Millis) bool {
	return len(s.crashes) != 1 || !s.hasWorkedLately(now)
}

// Marks returns what is known of the given parts.
func (l *Ledger) Marks(parts []Part) (marks []Mark) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, p := range parts {
		if s := l.parts[p]; s != nil {
			marks = s.appendMarks(marks, p, now)
		}
	}
	return youngest(marks, maxNewsMarks)
}

// News returns those of the parts about which other daemons have to be told at once.
func (l *Ledger) News(parts []Part) (news []Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, p := range parts {
		if s := l.parts[p]; s != nil && s.isNews(now) {
			news = append(news, p)
		}
	}
	return news
}

// WithheldMarks returns all about the withheld parts.
func (l *Ledger) WithheldMarks() (marks []Mark) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for p := range l.withheld {
		if s := l.parts[p]; s != nil {
			marks = s.appendMarks(marks, p, now)
		}
	}
	return youngest(marks, maxStoredMarks)
}

func (s *partState) appendMarks(marks []Mark, p Part, now spanrill.Millis) []Mark {
	for _, c := range s.crashes {
		e := c.parts[p]
		marks = append(marks, Mark{
			Part: p, Kind: MarkCrash, Age: now - c.at, OtherToo: e.otherToo,
			Crash: Crash{Upstream: c.upstream, Account: e.account, Content: e.content, Trial: e.trial, Unconfirmed: c.unconfirmed},
		})
	}
	if s.hasTrial && len(s.crashes) > 0 {
		marks = append(marks, Mark{Part: p, Kind: MarkTrial, Age: now - s.lastTrialAt, Trials: s.trials})
	}
	if s.hasWorkedLately(now) {
		marks = append(marks, Mark{Part: p, Kind: MarkWorking, Age: now - s.workedAt})
	}
	return marks
}

// youngest sorts marks by age and returns the youngest, at most limit.
func youngest(marks []Mark, limit int) []Mark {
	slices.SortFunc(marks, func(a, b Mark) int { return cmp.Compare(a.Age, b.Age) })
	return marks[:min(limit, len(marks))]
}

// Digest returns a hash of the withheld parts and their trials. It is equal on two daemons that withhold
// the same parts.
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest(l.clock.Now())
}

// digest adds up the hashes of the parts, so that their order does not matter. The caller holds l.mu.
func (l *Ledger) digest(now spanrill.Millis) (sum uint64) {
	if l.cached.valid && now-l.cached.computedAt < digestTime {
		return l.cached.value
	}
	var b [9]byte
	for p := range l.withheld {
		binary.LittleEndian.PutUint64(b[:8], uint64(p))
		b[8] = byte(l.parts[p].trials)
		sum += xxhash.Sum64(b[:])
	}
	l.cached = digestCache{value: sum, computedAt: now, valid: true}
	return sum
}
