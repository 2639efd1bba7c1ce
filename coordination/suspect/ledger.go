package suspect

import (
	"slices"
	"sync"

	"spanrill"
)

// Loss is the end of an upstream under a request.
type Loss struct {
	Upstream uint32          // hash of its name
	At       spanrill.Millis // on the ledger's clock
	Fresh    bool            // the request had begun to run there shortly before, or not yet
}

// loss is one that the ledger holds.
type loss struct {
	Loss
	heard spanrill.Millis // when it was noted here
}

// suspicion is what is known of a content.
type suspicion struct {
	losses  []loss
	trial   spanrill.Millis // when one that was kept back was tried last, at any daemon
	tried   bool
	heardOf spanrill.Millis // when that trial was noted here
}

// Verdict says whether a request may be sent.
type Verdict struct {
	losses     int
	refused    bool
	proved     bool
	retryAfter spanrill.Millis
}

// Refused reports whether the request must not be sent.
func (v Verdict) Refused() bool { return v.refused }

// Proved reports whether it is refused because enough upstreams have ended under it, and
// not only kept back for a while.
func (v Verdict) Proved() bool { return v.proved }

// Losses returns how many upstreams have ended under the request.
func (v Verdict) Losses() int { return v.losses }

// RetryAfter returns when the caller of a request that is refused should come back.
func (v Verdict) RetryAfter() spanrill.Millis { return v.retryAfter }

// Ledger counts the upstreams that have ended under each content.
type Ledger struct {
	clock spanrill.Clock
	draw  func() float64 // from 0 to 1

	mu       sync.Mutex
	suspects map[Content]*suspicion
	served   *served
	trials   int // requests under way that were kept back before
	heardAt  spanrill.Millis
	told     digest
}

// digest is what keeps requests back in short, and when that was worked out.
type digest struct {
	sum uint64
	at  spanrill.Millis
	ok  bool
}

// Option changes a default of New.
type Option func(*Ledger)

// WithDraw sets what draws numbers from 0 to 1, by which callers are told different times.
func WithDraw(draw func() float64) Option {
	return func(l *Ledger) { l.draw = draw }
}

// New returns a ledger that knows of no losses.
func New(clock spanrill.Clock, opts ...Option) *Ledger {
	l := &Ledger{clock: clock, draw: func() float64 { return 0 }, suspects: map[Content]*suspicion{}, served: newServed(clock.Now())}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Lost notes that an upstream has ended under a request, and returns what follows. Contents
// that were answered whole just before are none that end upstreams: many callers may ask
// for the same.
func (l *Ledger) Lost(c Content, by Loss) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if !l.served.lately(c, now) {
		l.note(c, by, now)
	}
	return l.judge(c, now, false)
}

// note adds a loss that is not known yet, and reports whether it was. The caller holds the
// lock.
func (l *Ledger) note(c Content, by Loss, now spanrill.Millis) bool {
	news := l.add(c, by, now)
	if news {
		l.heardAt, l.told.ok = now, false
	}
	return news
}

// add is note without what hangs on all contents. The caller holds the lock.
func (l *Ledger) add(c Content, by Loss, now spanrill.Millis) bool {
	s := l.suspects[c]
	if s != nil && s.isOver(now) {
		s.losses = nil
	}
	if s == nil {
		if l.makeRoom(now); len(l.suspects) >= kept {
			return false // all of them are proved
		}
		s = &suspicion{}
		l.suspects[c] = s
	}
	for i := range s.losses {
		known := &s.losses[i]
		if known.Upstream == by.Upstream && by.At-known.At < sameEnd && known.At-by.At < sameEnd {
			news := by.Fresh && !known.Fresh
			known.Fresh = known.Fresh || by.Fresh
			if news {
				known.heard = now
			}
			return news
		}
	}
	if len(s.losses) >= lossesKept {
		return false
	}
	s.losses = append(s.losses, loss{Loss: by, heard: now})
	return true
}

// lossesKept bounds the losses of one content: more change nothing.
const lossesKept = 6

// makeRoom forgets what is too old if all places are taken, and if that is not enough, those
// heard of longest ago: an eighth at a time, so that a flood of losses is not sorted for each
// of them. The caller holds the lock.
func (l *Ledger) makeRoom(now spanrill.Millis) {
	if len(l.suspects) < kept {
		return
	}
	var ages []spanrill.Millis // of those that may go
	for c, s := range l.suspects {
		if s.isOver(now) {
			delete(l.suspects, c)
		} else if !s.proved() {
			ages = append(ages, now-s.last())
		}
	}
	goes := len(l.suspects) - kept*7/8
	if goes <= 0 || len(ages) == 0 {
		return
	}
	slices.Sort(ages)
	limit := ages[max(0, len(ages)-goes)]
	for c, s := range l.suspects {
		if goes > 0 && !s.proved() && now-s.last() >= limit {
			delete(l.suspects, c)
			goes--
		}
	}
}

// last returns when the last loss was.
func (s *suspicion) last() spanrill.Millis {
	at := s.losses[0].At
	for _, k := range s.losses[1:] {
		at = max(at, k.At)
	}
	return at
}

// since is from when the time counts for which the content is kept back: the last loss or
// trial. A trial that brings nothing new, as when the upstream has no room, is followed by
// the next one as late as a loss is.
func (s *suspicion) since() spanrill.Millis {
	if s.tried {
		return max(s.last(), s.trial)
	}
	return s.last()
}

// isOver reports whether what is known is too old to count.
func (s *suspicion) isOver(now spanrill.Millis) bool {
	memory := suspectMemory
	if s.proved() {
		memory = provedMemory
	}
	return now-s.last() >= memory
}

func (s *suspicion) proved() bool { return len(s.losses) >= provedAfter }

func (s *suspicion) held() bool { return s.fresh() >= heldAfter }

func (s *suspicion) fresh() (n int) {
	for _, k := range s.losses {
		if k.Fresh {
			n++
		}
	}
	return n
}

// Served notes that a request was answered whole: it is not what upstreams end of.
func (l *Ledger) Served(c Content) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served.note(c, l.clock.Now())
	if l.suspects[c] != nil {
		delete(l.suspects, c)
		l.told.ok = false
	}
}

// Judge returns what is known of a content. It begins no trial.
func (l *Ledger) Judge(c Content) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.judge(c, l.clock.Now(), false)
}

// Try is a request under way. It is used by one goroutine.
type Try struct {
	ledger  *Ledger
	content Content
	trial   bool // it was kept back before, and others wait for its end
	sent    bool
	sentAt  spanrill.Millis // the first time in its trial
}

// Begin begins a request that has come. Its End must be called.
func (l *Ledger) Begin(c Content) *Try { return &Try{ledger: l, content: c} }

// Judge says whether the request may be sent now, for the first time or once more.
func (t *Try) Judge() Verdict {
	l := t.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	v := l.judge(t.content, now, t.trial)
	s := l.suspects[t.content]
	switch {
	case v.refused || s == nil || !s.held():
	case !t.trial:
		t.trial = true
		l.trials++
	case t.sent && now-t.sentAt < trialTime:
		v.refused, v.retryAfter = true, l.comesBack(holdTime)
	}
	return v
}

// Sent notes that the request is sent to an upstream, and reports whether its trial begins with
// that: all daemons have to hear of it at once. In its trial it is sent to one: what is refused
// or breaks off there must not meet the next.
func (t *Try) Sent() (begins bool) {
	if !t.trial || t.sent {
		return false
	}
	l := t.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	t.sent, t.sentAt = true, l.clock.Now()
	if s := l.suspects[t.content]; s != nil {
		s.noteTrial(t.sentAt, t.sentAt)
	}
	return true
}

// noteTrial notes that a request of the content is tried, and reports whether that is news.
func (s *suspicion) noteTrial(at, now spanrill.Millis) bool {
	if s.tried && at-s.trial < sameTrial {
		return false
	}
	s.tried, s.trial, s.heardOf = true, at, now
	return true
}

// comesBack is when a caller should come back that has to wait that long. Callers of one
// content are told different times: four that were told the same came to four daemons within
// 72 ms, and two more upstreams ended.
func (l *Ledger) comesBack(wait spanrill.Millis) spanrill.Millis {
	return wait + spanrill.Millis(l.draw()*float64(comeSpread))
}

// End ends the request.
func (t *Try) End() {
	if !t.trial {
		return
	}
	t.trial = false
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.ledger.trials--
}

// judge follows from what is known. The caller holds the lock.
func (l *Ledger) judge(c Content, now spanrill.Millis, trial bool) Verdict {
	s := l.suspects[c]
	if s == nil || s.isOver(now) {
		return Verdict{}
	}
	v := Verdict{losses: len(s.losses)}
	switch waited := now - s.since(); {
	case s.proved():
		v.refused, v.proved, v.retryAfter = true, true, provedRetry
	case !s.held():
	case waited < holdTime:
		if !trial {
			v.refused, v.retryAfter = true, l.comesBack(holdTime-waited)
		}
	case l.trials > 0 && !trial:
		v.refused, v.retryAfter = true, trialRetry
	}
	return v
}
