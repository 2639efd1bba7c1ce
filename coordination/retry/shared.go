package retry

import (
	"sync"

	"spanrill"
)

// Shared is this daemon's part of a budget that all daemons of a fleet share.
//
// The budget of a service in a window is a ratio of its requests and a slack.
// Each daemon earns the ratio for its own requests and takes an equal part of
// the slack, so that the sum stays within the budget without any exchange, and
// a daemon that is cut off keeps to its part. A part is half saved up and half
// earned over the window, so that no window holds more than the whole.
type Shared struct {
	mu     sync.Mutex
	clock  spanrill.Clock
	ratio  float64
	slack  float64
	window spanrill.Millis
	parts  int

	balance float64
	at      spanrill.Millis
}

// ratioMargin is the part of the ratio that is spent: the window over which
// requests are counted is not quite that of the retries.
const ratioMargin = 0.7

// savedShare is the part of a daemon's slack that can be spent at once.
const savedShare = 0.5

// NewShared returns a part of a budget of ratio times the requests and slack in
// a window, for a fleet of that many daemons.
func NewShared(clock spanrill.Clock, ratio, slack float64, window spanrill.Millis, daemons int) *Shared {
	s := &Shared{clock: clock, ratio: ratio * ratioMargin, slack: slack, window: window, parts: max(1, daemons), at: clock.Now()}
	s.balance = s.most()
	return s
}

func (s *Shared) most() float64 { return s.slack / float64(s.parts) * savedShare }

// SetDaemons sets how many daemons share the budget.
func (s *Shared) SetDaemons(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts = max(1, n)
}

// Request earns the ratio for one request.
func (s *Shared) Request() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earn()
	s.balance = min(s.balance+s.ratio, s.most()+s.ratio*earnedRequests)
}

// earnedRequests bounds what can be saved up from requests: a daemon sees
// about ten a second at the size of today.
const earnedRequests = 100

func (s *Shared) earn() {
	now := s.clock.Now()
	earned := s.most() * float64(now-s.at) / float64(max(1, s.window))
	s.at = now
	if s.balance < s.most() {
		s.balance = min(s.most(), s.balance+earned)
	}
}

// Take spends one retry and reports whether there was one to spend.
func (s *Shared) Take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earn()
	if s.balance < 1 {
		return false
	}
	s.balance--
	return true
}

// Left returns how many retries can be spent now.
func (s *Shared) Left() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earn()
	return s.balance
}
