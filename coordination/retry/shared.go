package retry

import (
	"sync"

	"spanrill"
)

// Shared is a retry budget that all daemons of a fleet keep together.
//
// In any window a service may get retries up to a ratio of its requests and a
// slack, over all daemons. Daemons tell one another what they have counted. In
// each round of news a daemon may spend its part of what is left: the parts add
// up to no more than that, and a daemon that needs more than others gets more
// in the next round. A daemon of which nothing is heard is taken to have spent
// its whole part.
type Shared struct {
	mu     sync.Mutex
	clock  spanrill.Clock
	limits Limits

	own    window
	others Count // of the daemons heard of, in the window
	fleet  Fleet
	left   float64 // that may be spent until the next round
}

// Fleet is what a round of news tells of the daemons.
type Fleet struct {
	Heard   int // daemons of which something is known, this one included
	Daemons int
	Rounds  int  // of news until every daemon was heard of once
	Settled bool // whether Daemons is known to be all of them
}

// Limits is a retry budget.
type Limits struct {
	Ratio  float64 // retries for each request
	Slack  float64 // retries beyond that in a window
	Window spanrill.Millis
}

// Count is what was counted in a window.
type Count struct {
	Requests int64
	Retries  int64
}

// margin is the part of the budget that is used: the windows in which daemons
// count do not begin at the same moment, and news are a quarter of a second old.
const margin = 0.75

// unsettled is what a daemon may spend that does not know how many there are: what
// its own requests earn, and its part of the slack in a large fleet.
func (s *Shared) unsettled(own Count) float64 {
	return margin*(s.limits.Ratio*float64(own.Requests)+s.limits.Slack/unsettledFleet) - float64(own.Retries)
}

// unsettledFleet is the number of daemons that is assumed until it is known: the
// largest fleet that is planned for.
const unsettledFleet = 350

// NewShared returns a budget for a fleet of that many daemons.
func NewShared(clock spanrill.Clock, limits Limits, daemons int) *Shared {
	s := &Shared{clock: clock, limits: limits, fleet: Fleet{Heard: 1, Daemons: max(1, daemons), Rounds: 1}}
	s.own.width = limits.Window / buckets
	s.left = s.unsettled(Count{})
	return s
}

// part is what this daemon may spend of the budget that is left.
func (s *Shared) part(own Count) float64 {
	requests := float64(own.Requests + s.others.Requests)
	total := margin * (s.limits.Ratio*requests + s.limits.Slack)
	missing := max(0, s.fleet.Daemons-s.fleet.Heard)
	spent := float64(own.Retries+s.others.Retries) + float64(missing)*total/float64(s.fleet.Daemons)
	return max(0, total-spent) / float64(s.fleet.Daemons)
}

// Round takes what other daemons have counted and begins a new round.
//
// Where it takes several rounds to hear of every daemon, what the others spend
// meanwhile is not known. All then have half of what is left to spend at once,
// and the other half in as many rounds as it takes. A daemon that does not know
// yet how many there are, because all have just started, earns retries by its own
// requests, which is safe for any number.
func (s *Shared) Round(others Count, fleet Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fleet.Daemons, fleet.Rounds = max(1, fleet.Daemons), max(1, fleet.Rounds)
	s.others, s.fleet = others, fleet
	own := s.own.count(s.clock.Now())
	if !fleet.Settled {
		s.left = max(0, s.unsettled(own))
		return
	}
	part := s.part(own)
	if fleet.Rounds == 1 {
		s.left = part
		return
	}
	s.left = min(part/2, s.left+part/2/float64(fleet.Rounds))
}

// Own returns what this daemon has counted in the window.
func (s *Shared) Own() Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.count(s.clock.Now())
}

// Request counts a request.
func (s *Shared) Request() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.at(s.clock.Now()).Requests++
}

// Take spends one retry and reports whether there was one to spend.
func (s *Shared) Take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left < 1 {
		return false
	}
	s.left--
	s.own.at(s.clock.Now()).Retries++
	return true
}

// Left returns how many retries can be spent in this round.
func (s *Shared) Left() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// buckets is into how many parts a window is divided.
const buckets = 10

// window counts in a sliding window: one bucket more than the window holds, so
// that it never counts less than the window.
type window struct {
	width  spanrill.Millis
	counts [buckets + 1]Count
	number [buckets + 1]spanrill.Millis // of the bucket's time
}

func (w *window) at(now spanrill.Millis) *Count {
	n := now / max(1, w.width)
	i := n % (buckets + 1)
	if w.number[i] != n {
		w.number[i], w.counts[i] = n, Count{}
	}
	return &w.counts[i]
}

func (w *window) count(now spanrill.Millis) Count {
	n := now / max(1, w.width)
	var c Count
	for i, number := range w.number {
		if n-number <= buckets {
			c.Requests += w.counts[i].Requests
			c.Retries += w.counts[i].Retries
		}
	}
	return c
}

// Budgets holds the retry budget of each service.
type Budgets struct {
	mu       sync.Mutex
	clock    spanrill.Clock
	limits   Limits
	daemons  int
	fleet    Fleet            // of the last round
	others   map[string]Count // by service, of the last round
	services map[string]*Shared
}

// NewBudgets returns budgets for a fleet of that many daemons.
func NewBudgets(clock spanrill.Clock, limits Limits, daemons int) *Budgets {
	return &Budgets{clock: clock, limits: limits, daemons: daemons, services: map[string]*Shared{}}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Shared {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		s = NewShared(b.clock, b.limits, b.daemons)
		if b.fleet.Settled {
			s.Round(b.others[service], b.fleet)
		}
		b.services[service] = s
	}
	return s
}

// Own returns what this daemon has counted, by service.
func (b *Budgets) Own() map[string]Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[string]Count, len(b.services))
	for name, s := range b.services {
		own[name] = s.Own()
	}
	return own
}

// Round takes what other daemons have counted, by service, and begins a new
// round.
func (b *Budgets) Round(others map[string]Count, fleet Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons, b.fleet, b.others = fleet.Daemons, fleet, others
	for name, s := range b.services {
		s.Round(others[name], fleet)
	}
}
