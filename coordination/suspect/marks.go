package suspect

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"spanrill"
)

// Mark is a loss as daemons tell it one another, and as it is kept in the store.
type Mark struct {
	Content  Content
	Upstream uint32
	Age      spanrill.Millis
	Fresh    bool
	Trial    bool // no loss: a request of the content is tried, at whatever upstream
}

const (
	// tellTime is for how long a daemon tells what it has heard: twelve rounds of news. Of
	// 300 daemons that ask four others in a round all have heard of a loss after four (one run
	// of the test's simulation).
	tellTime = 3 * spanrill.Second
	// marksTold bounds what is told at once, and marksKept what is kept in the store. A mark
	// takes up to 25 bytes of a message, so that an answer grows by 12.8 KB at most.
	marksTold = 512
	marksKept = 512
)

// News returns what was heard lately. If the asker's digest differs, what keeps requests
// back is told too, whenever it was heard.
func (l *Ledger) News(digest uint64) []Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	differs := digest != l.digest(now)
	if !differs && now-l.heardAt >= tellTime {
		return nil
	}
	var marks []Mark
	for c, s := range l.suspects {
		for _, k := range s.losses {
			if now-k.heard < tellTime || differs && s.keepsBack(now) {
				marks = append(marks, k.mark(c, now))
			}
		}
		if s.tried && now-s.heardOf < tellTime {
			marks = append(marks, s.trialMark(c, now))
		}
	}
	return newest(marks, marksTold)
}

// KeepsBack returns the losses of all contents that are kept back or proved.
func (l *Ledger) KeepsBack() []Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var marks []Mark
	for c, s := range l.suspects {
		if !s.keepsBack(now) {
			continue
		}
		for _, k := range s.losses {
			marks = append(marks, k.mark(c, now))
		}
	}
	return newest(marks, marksKept)
}

// Marks returns what is known of one content.
func (l *Ledger) Marks(c Content) []Mark {
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
	if s.tried {
		marks = append(marks, s.trialMark(c, l.clock.Now()))
	}
	return marks
}

func (s *suspicion) trialMark(c Content, now spanrill.Millis) Mark {
	return Mark{Content: c, Age: now - s.trial, Trial: true}
}

func (s *suspicion) keepsBack(now spanrill.Millis) bool {
	return !s.isOver(now) && (s.held() || s.proved())
}

func (k *loss) mark(c Content, now spanrill.Millis) Mark {
	return Mark{Content: c, Upstream: k.Upstream, Age: now - k.At, Fresh: k.Fresh}
}

// newest returns the youngest marks.
func newest(marks []Mark, most int) []Mark {
	slices.SortFunc(marks, func(a, b Mark) int { return int(a.Age - b.Age) })
	return marks[:min(most, len(marks))]
}

// Digest is the same at two daemons that keep the same contents back.
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest(l.clock.Now())
}

// digestTime is how long a digest is used when nothing was heard: what is too old to count
// leaves it this late.
const digestTime = 10 * spanrill.Second

// digest is a sum, which hangs on no order. The caller holds the lock.
func (l *Ledger) digest(now spanrill.Millis) (sum uint64) {
	if l.told.ok && now-l.told.at < digestTime {
		return l.told.sum
	}
	defer func() { l.told = digest{sum: sum, at: now, ok: true} }()
	var b [9]byte
	for c, s := range l.suspects {
		if !s.keepsBack(now) {
			continue
		}
		binary.LittleEndian.PutUint64(b[:8], uint64(c))
		b[8] = byte(min(provedAfter, len(s.losses)))
		sum += xxhash.Sum64(b[:])
	}
	return sum
}

// Take takes what another daemon has told, or what was kept in the store, and returns how
// many of the marks were news. Ages that cannot be are not believed.
func (l *Ledger) Take(marks []Mark) (news int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, m := range marks {
		if m.Age < 0 || m.Age >= provedMemory || l.served.lately(m.Content, now) {
			continue
		}
		if m.Trial {
			l.takeTrial(m, now)
			continue
		}
		if l.note(m.Content, Loss{Upstream: m.Upstream, At: now - m.Age, Fresh: m.Fresh}, now) {
			news++
		}
	}
	return news
}

// takeTrial takes that another daemon tries a content that is kept back here too. The caller
// holds the lock.
func (l *Ledger) takeTrial(m Mark, now spanrill.Millis) {
	s := l.suspects[m.Content]
	if s == nil || m.Age >= holdTime {
		return
	}
	if s.noteTrial(now-m.Age, now) {
		l.heardAt = now
	}
}
