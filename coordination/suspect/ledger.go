package suspect

import (
	"slices"
	"sync"

	"spanrill"
)

// Loss is the crash of an upstream while it served a request.
type Loss struct {
	Upstream uint32          // hash of its name
	At       spanrill.Millis // on the ledger's clock
	Fresh    bool            // the first event from there came at most FreshTime before the crash, or never
}

// loss is a Loss in the ledger.
type loss struct {
	Loss
	recordedAt spanrill.Millis // when this daemon recorded it
}

// contentState is what the ledger knows of a content: its losses and its last trial.
type contentState struct {
	losses          []loss
	lastTrialAt     spanrill.Millis // when its last trial was sent, by any daemon
	hasTrial        bool
	trialRecordedAt spanrill.Millis // when this daemon recorded that trial
}

// Verdict is the decision whether a request may be sent.
type Verdict struct {
	losses     int
	refused    bool
	proved     bool
	retryAfter spanrill.Millis
}

// Refused reports whether the request must not be sent.
func (v Verdict) Refused() bool { return v.refused }

// Proved reports whether the request is refused because enough upstreams have crashed under it,
// and not only withheld for a while.
func (v Verdict) Proved() bool { return v.proved }

// Losses returns how many upstreams have crashed under the request.
func (v Verdict) Losses() int { return v.losses }

// RetryAfter returns how long the caller of a refused request should wait before it retries.
func (v Verdict) RetryAfter() spanrill.Millis { return v.retryAfter }

// Ledger records the upstreams that have crashed under each content.
type Ledger struct {
	clock  spanrill.Clock
	random func() float64 // from 0 to 1

	mu             sync.Mutex
	suspects       map[Content]*contentState
	served         *recentlyServed
	trials         int             // trials in progress on this daemon
	lastRecordedAt spanrill.Millis // when a new loss or a peer's trial was last recorded
	cached         digestCache
}

// digestCache holds the last digest of the contents that are withheld or proved.
type digestCache struct {
	value      uint64
	computedAt spanrill.Millis
	valid      bool
}

// Option changes a default of New.
type Option func(*Ledger)

// WithRandom sets the source of random numbers from 0 to 1 for the jitter of Retry-After.
func WithRandom(random func() float64) Option {
	return func(l *Ledger) { l.random = random }
}

// New returns an empty ledger.
func New(clock spanrill.Clock, opts ...Option) *Ledger {
	l := &Ledger{clock: clock, random: func() float64 { return 0 }, suspects: map[Content]*contentState{}, served: newRecentlyServed(clock.Now())}
	for _, o := range opts {
		o(l)
	}
	return l
}

// RecordLoss records that an upstream has crashed under a request, and returns the verdict on the
// request. Losses of contents that were served recently are ignored: many callers may send the
// same content, and the upstream that answered one of them did not crash.
func (l *Ledger) RecordLoss(c Content, lost Loss) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if !l.served.contains(c, now) {
		l.record(c, lost, now)
	}
	return l.evaluate(c, now, false)
}

// record adds a loss and reports whether it was new. The caller must hold l.mu.
func (l *Ledger) record(c Content, lost Loss, now spanrill.Millis) bool {
	isNew := l.insert(c, lost, now)
	if isNew {
		l.lastRecordedAt, l.cached.valid = now, false
	}
	return isNew
}

// insert adds a loss to its content and reports whether it was new. Unlike record, it leaves the
// digest and lastRecordedAt alone. The caller must hold l.mu.
func (l *Ledger) insert(c Content, lost Loss, now spanrill.Millis) bool {
	s := l.suspects[c]
	if s != nil && s.isExpired(now) {
		s.losses = nil
	}
	if s == nil {
		if l.evict(now); len(l.suspects) >= maxContents {
			return false // all contents are proved, so none was evicted
		}
		s = &contentState{}
		l.suspects[c] = s
	}
	for i := range s.losses {
		known := &s.losses[i]
		if known.Upstream == lost.Upstream && lost.At-known.At < crashMergeWindow && known.At-lost.At < crashMergeWindow {
			isNew := lost.Fresh && !known.Fresh
			known.Fresh = known.Fresh || lost.Fresh
			if isNew {
				known.recordedAt = now
			}
			return isNew
		}
	}
	if len(s.losses) >= maxLosses {
		return false
	}
	s.losses = append(s.losses, loss{Loss: lost, recordedAt: now})
	return true
}

// maxLosses bounds the losses of one content: further ones do not change its verdict.
const maxLosses = 6

// evict makes room when the ledger is full. It removes expired contents, and if that is not
// enough, unproved contents with the oldest losses. It removes an eighth at a time, because it sorts
// all contents, and must not do so for each of many losses. The caller must hold l.mu.
func (l *Ledger) evict(now spanrill.Millis) {
	if len(l.suspects) < maxContents {
		return
	}
	var ages []spanrill.Millis // of the contents that may be evicted
	for c, s := range l.suspects {
		if s.isExpired(now) {
			delete(l.suspects, c)
		} else if !s.isProved() {
			ages = append(ages, now-s.lastLossAt())
		}
	}
	excess := len(l.suspects) - maxContents*7/8
	if excess <= 0 || len(ages) == 0 {
		return
	}
	slices.Sort(ages)
	minAge := ages[max(0, len(ages)-excess)]
	for c, s := range l.suspects {
		if excess > 0 && !s.isProved() && now-s.lastLossAt() >= minAge {
			delete(l.suspects, c)
			excess--
		}
	}
}

// lastLossAt returns the time of the latest loss.
func (s *contentState) lastLossAt() spanrill.Millis {
	at := s.losses[0].At
	for _, lost := range s.losses[1:] {
		at = max(at, lost.At)
	}
	return at
}

// withheldSince returns the time from which withholdTime counts: the last loss or trial. A trial
// without a result, such as one that the upstream refused, delays the next one as much as a loss.
func (s *contentState) withheldSince() spanrill.Millis {
	if s.hasTrial {
		return max(s.lastLossAt(), s.lastTrialAt)
	}
	return s.lastLossAt()
}

// isExpired reports whether the losses are too old to count.
func (s *contentState) isExpired(now spanrill.Millis) bool {
	ttl := suspectTTL
	if s.isProved() {
		ttl = provedTTL
	}
	return now-s.lastLossAt() >= ttl
}

func (s *contentState) isProved() bool { return len(s.losses) >= provedThreshold }

func (s *contentState) isWithheld() bool { return s.freshLosses() >= withholdThreshold }

func (s *contentState) freshLosses() (n int) {
	for _, lost := range s.losses {
		if lost.Fresh {
			n++
		}
	}
	return n
}

// RecordServed records that a request was answered completely, so its content does not crash
// upstreams.
func (l *Ledger) RecordServed(c Content) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served.add(c, l.clock.Now())
	if l.suspects[c] != nil {
		delete(l.suspects, c)
		l.cached.valid = false
	}
}

// Exonerate removes the losses at a crash that has another cause than the requests' contents.
func (l *Ledger) Exonerate(upstream uint32, at spanrill.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, s := range l.suspects {
		s.losses = slices.DeleteFunc(s.losses, func(known loss) bool {
			return known.Upstream == upstream && at-known.At < crashMergeWindow && known.At-at < crashMergeWindow
		})
		if len(s.losses) == 0 {
			delete(l.suspects, c)
		}
	}
	l.cached.valid = false
}

// Verdict returns the verdict on a content without starting a trial.
func (l *Ledger) Verdict(c Content) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evaluate(c, l.clock.Now(), false)
}

// Guard tracks a request from its arrival to its end. It is not safe for concurrent use.
type Guard struct {
	ledger  *Ledger
	content Content
	isTrial bool            // the request is the trial of a withheld content; other trials wait for its end
	sent    bool            // the trial was sent to an upstream
	sentAt  spanrill.Millis // when it was first sent
}

// Begin returns a guard for a request that has arrived. The caller must call End on it.
func (l *Ledger) Begin(c Content) *Guard { return &Guard{ledger: l, content: c} }

// Check returns the verdict on sending the request now, for the first time or again. If the content
// was withheld until now, the request becomes its trial.
func (g *Guard) Check() Verdict {
	l := g.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	v := l.evaluate(g.content, now, g.isTrial)
	s := l.suspects[g.content]
	switch {
	case v.refused || s == nil || !s.isWithheld():
	case !g.isTrial:
		g.isTrial = true
		l.trials++
	case g.sent && now-g.sentAt < trialTime:
		v.refused, v.retryAfter = true, l.jitteredWait(withholdTime)
	}
	return v
}

// RecordSent records that the request is sent to an upstream. It returns true if that begins a
// trial, which must be announced to all daemons at once. In a trial the request goes to one
// upstream only: after a refusal or a failure there it must not reach another one.
func (g *Guard) RecordSent() (begins bool) {
	if !g.isTrial || g.sent {
		return false
	}
	l := g.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	g.sent, g.sentAt = true, l.clock.Now()
	if s := l.suspects[g.content]; s != nil {
		s.recordTrial(g.sentAt, g.sentAt)
	}
	return true
}

// recordTrial records a trial that was sent at a time, and reports whether it was new.
func (s *contentState) recordTrial(sentAt, now spanrill.Millis) bool {
	if s.hasTrial && sentAt-s.lastTrialAt < trialMergeWindow {
		return false
	}
	s.hasTrial, s.lastTrialAt, s.trialRecordedAt = true, sentAt, now
	return true
}

// jitteredWait adds jitter to a caller's wait, so that callers of one content return at different
// times. Without it, four callers returned to four daemons within 72 ms, and crashed two more
// upstreams.
func (l *Ledger) jitteredWait(wait spanrill.Millis) spanrill.Millis {
	return wait + spanrill.Millis(l.random()*float64(retryAfterJitter))
}

// End ends the tracking of the request, and its trial if it is one.
func (g *Guard) End() {
	if !g.isTrial {
		return
	}
	g.isTrial = false
	g.ledger.mu.Lock()
	defer g.ledger.mu.Unlock()
	g.ledger.trials--
}

// evaluate returns the verdict on a content. A request that is its trial (isTrial) is refused only if
// the content is proved. The caller must hold l.mu.
func (l *Ledger) evaluate(c Content, now spanrill.Millis, isTrial bool) Verdict {
	s := l.suspects[c]
	if s == nil || s.isExpired(now) {
		return Verdict{}
	}
	v := Verdict{losses: len(s.losses)}
	switch waited := now - s.withheldSince(); {
	case s.isProved():
		v.refused, v.proved, v.retryAfter = true, true, provedRetryAfter
	case !s.isWithheld():
	case waited < withholdTime:
		if !isTrial {
			v.refused, v.retryAfter = true, l.jitteredWait(withholdTime-waited)
		}
	case l.trials > 0 && !isTrial:
		v.refused, v.retryAfter = true, trialRetryAfter
	}
	return v
}
