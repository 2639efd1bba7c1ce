package suspect

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"spanrill"
)

// Mark is a loss or a trial as daemons exchange it. Losses are also stored in this form.
type Mark struct {
	Content  Content
	Upstream uint32
	Age      spanrill.Millis
	Fresh    bool
	Trial    bool // a trial of the content at any upstream, not a loss
}

const (
	// announceTime is how long a daemon reports a new loss to all peers that ask: twelve rounds of
	// news. When 300 daemons ask four others in each round, all know a loss after four rounds (one
	// run of the simulation in the tests).
	announceTime = 3 * spanrill.Second
	// maxNewsMarks bounds the marks in one answer, and maxStoredMarks those in the store. A mark
	// takes up to 25 bytes in a message, so an answer grows by at most 12.8 KB.
	maxNewsMarks   = 512
	maxStoredMarks = 512
)

// MarksFor returns the marks for a peer with the given digest: those recorded recently and, if the
// digest differs from this ledger's, also all losses of contents that are withheld or proved.
func (l *Ledger) MarksFor(digest uint64) []Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	differs := digest != l.digest(now)
	if !differs && now-l.lastRecordedAt >= announceTime {
		return nil
	}
	var marks []Mark
	for c, s := range l.suspects {
		for _, lost := range s.losses {
			if now-lost.recordedAt < announceTime || differs && s.isBlocked(now) {
				marks = append(marks, lost.mark(c, now))
			}
		}
		if s.hasTrial && now-s.trialRecordedAt < announceTime {
			marks = append(marks, s.trialMark(c, now))
		}
	}
	return newest(marks, maxNewsMarks)
}

// BlockedMarks returns the losses of all contents that are withheld or proved.
func (l *Ledger) BlockedMarks() []Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var marks []Mark
	for c, s := range l.suspects {
		if !s.isBlocked(now) {
			continue
		}
		for _, lost := range s.losses {
			marks = append(marks, lost.mark(c, now))
		}
	}
	return newest(marks, maxStoredMarks)
}

// ContentMarks returns the losses and the last trial of one content.
func (l *Ledger) ContentMarks(c Content) []Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[c]
	if s == nil {
		return nil
	}
	marks := make([]Mark, len(s.losses))
	for i := range s.losses {
		marks[i] = s.losses[i].mark(c, l.clock.Now())
	}
	if s.hasTrial {
		marks = append(marks, s.trialMark(c, l.clock.Now()))
	}
	return marks
}

func (s *contentState) trialMark(c Content, now spanrill.Millis) Mark {
	return Mark{Content: c, Age: now - s.lastTrialAt, Trial: true}
}

// isBlocked reports whether the content is withheld or proved.
func (s *contentState) isBlocked(now spanrill.Millis) bool {
	return !s.isExpired(now) && (s.isWithheld() || s.isProved())
}

func (l *loss) mark(c Content, now spanrill.Millis) Mark {
	return Mark{Content: c, Upstream: l.Upstream, Age: now - l.At, Fresh: l.Fresh}
}

// newest sorts marks by age and returns the youngest, at most limit.
func newest(marks []Mark, limit int) []Mark {
	slices.SortFunc(marks, func(a, b Mark) int { return int(a.Age - b.Age) })
	return marks[:min(limit, len(marks))]
}

// Digest returns a hash of the contents that are withheld or proved. It is equal on two daemons
// that refuse the same contents.
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest(l.clock.Now())
}

// digestTime is how long a digest is cached while no new loss is recorded. An expired content
// leaves the digest this much later.
const digestTime = 10 * spanrill.Second

// digest adds up the hashes of the contents, so that their order does not matter. The caller must
// hold l.mu.
func (l *Ledger) digest(now spanrill.Millis) (sum uint64) {
	if l.cached.valid && now-l.cached.computedAt < digestTime {
		return l.cached.value
	}
	defer func() { l.cached = digestCache{value: sum, computedAt: now, valid: true} }()
	var b [9]byte
	for c, s := range l.suspects {
		if !s.isBlocked(now) {
			continue
		}
		binary.LittleEndian.PutUint64(b[:8], uint64(c))
		b[8] = byte(min(provedThreshold, len(s.losses)))
		sum += xxhash.Sum64(b[:])
	}
	return sum
}

// Merge merges marks from another daemon or from the store, and returns how many losses were new.
// It ignores marks with a negative age or one from provedTTL, and marks of contents served recently.
func (l *Ledger) Merge(marks []Mark) (added int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, m := range marks {
		if m.Age < 0 || m.Age >= provedTTL || l.served.contains(m.Content, now) {
			continue
		}
		if m.Trial {
			l.mergeTrial(m, now)
			continue
		}
		if l.record(m.Content, Loss{Upstream: m.Upstream, At: now - m.Age, Fresh: m.Fresh}, now) {
			added++
		}
	}
	return added
}

// mergeTrial records another daemon's trial, if it is recent and this ledger knows the content. The
// caller must hold l.mu.
func (l *Ledger) mergeTrial(m Mark, now spanrill.Millis) {
	s := l.suspects[m.Content]
	if s == nil || m.Age >= withholdTime {
		return
	}
	if s.recordTrial(now-m.Age, now) {
		l.lastRecordedAt = now
	}
}
