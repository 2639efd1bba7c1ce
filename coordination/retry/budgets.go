package retry

import (
	"sync"

	"spanrill"
)

// Budgets holds this daemon's part of the retry budget of each service.
type Budgets struct {
	mu       sync.Mutex
	clock    spanrill.Clock
	ratio    float64
	slack    float64
	window   spanrill.Millis
	daemons  int
	services map[string]*Shared
}

// NewBudgets returns budgets of ratio times the requests and slack in a window
// for each service, shared by that many daemons.
func NewBudgets(clock spanrill.Clock, ratio, slack float64, window spanrill.Millis, daemons int) *Budgets {
	return &Budgets{clock: clock, ratio: ratio, slack: slack, window: window, daemons: daemons, services: map[string]*Shared{}}
}

// Of returns the part of a service's budget.
func (b *Budgets) Of(service string) *Shared {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		s = NewShared(b.clock, b.ratio, b.slack, b.window, b.daemons)
		b.services[service] = s
	}
	return s
}

// SetDaemons sets how many daemons share the budgets.
func (b *Budgets) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = n
	for _, s := range b.services {
		s.SetDaemons(n)
	}
}
