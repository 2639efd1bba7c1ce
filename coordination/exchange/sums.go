package exchange

import (
	"maps"
	"slices"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// sums is how the daemons of a large fleet know what all of them hold. Each tells
// its parent in a tree the sum over itself and those below it, and is told the
// sum of all. Each of the trees alone is enough; the fuller one is used.
type sums struct {
	below [roots]map[string]below // by name of the daemon below
	fleet [roots]whole
}

// below is the sum that a daemon below has brought.
type below struct {
	sum sum
	at  spanrill.Millis
}

// whole is the sum over all daemons, and what of it is this daemon's own.
type whole struct {
	sum  sum
	own  sum // as it was told to the parent
	at   spanrill.Millis
	rest *rest // of the other availability zones, if sum does not name their upstreams
}

// sum is a peermsg.Sum to reckon with.
type sum struct {
	daemons int
	uses    map[uint32]use
	retries map[string]retry.Count
	rest    *rest // of upstreams that are not named, or nil
}

type use struct{ tokens, calls int64 }

func newSum() sum { return sum{uses: map[uint32]use{}, retries: map[string]retry.Count{}} }

// add adds another sum times a factor.
func (s *sum) add(o sum, times int64) {
	s.daemons += o.daemons * int(times)
	for id, u := range o.uses {
		old := s.uses[id]
		s.uses[id] = use{tokens: old.tokens + times*u.tokens, calls: old.calls + times*u.calls}
	}
	for service, c := range o.retries {
		old := s.retries[service]
		s.retries[service] = retry.Count{
			Requests: old.Requests + times*c.Requests, Retries: old.Retries + times*c.Retries, Recent: old.Recent + times*c.Recent,
		}
	}
}

func (s *sum) message() *peermsg.Sum {
	m := &peermsg.Sum{Daemons: s.daemons}
	for id, u := range s.uses {
		m.Uses = append(m.Uses, peermsg.Use{Upstream: id, Tokens: u.tokens, Calls: u.calls})
	}
	for service, c := range s.retries {
		m.Retries = append(m.Retries, peermsg.RetryCount{Service: service, Requests: c.Requests, Retries: c.Retries, Recent: c.Recent})
	}
	return m
}

func sumOf(m *peermsg.Sum) sum {
	s := newSum()
	s.daemons = m.Daemons
	for _, u := range m.Uses {
		s.uses[u.Upstream] = use{tokens: u.Tokens, calls: u.Calls}
	}
	for _, c := range m.Retries {
		s.retries[c.Service] = retry.Count{Requests: c.Requests, Retries: c.Retries, Recent: c.Recent}
	}
	return s
}

// ownSum is this daemon's part.
func (e *Exchange) ownSum() *sum {
	s := newSum()
	s.daemons = 1
	e.state.Fleet.EachActive(func(u *fleet.Upstream) {
		if tokens, calls := u.OwnTokens(), u.OwnCalls(); tokens != 0 || calls != 0 {
			s.uses[u.Key()] = use{tokens: tokens, calls: calls}
		}
	})
	for service, c := range e.state.Budgets.Own() {
		s.retries[service] = c
	}
	return &s
}

// belowFresh is how old the sum of a daemon below may be: three rounds, so that
// one question that was lost does not matter.
const belowFresh = 3 * gap

// subtree is the sum over this daemon and those below it in a tree. The caller
// holds the lock.
func (e *Exchange) subtree(tree int, own *sum) sum {
	now, total := e.clock.Now(), newSum()
	total.add(*own, 1)
	for name, b := range e.sums.below[tree] {
		if now-b.at > belowFresh {
			delete(e.sums.below[tree], name)
			continue
		}
		total.add(b.sum, 1)
	}
	return total
}

// question is what a daemon is asked; a parent in trees is told something too.
func (e *Exchange) question(t target) *peermsg.AskNews {
	q := &peermsg.AskNews{Name: e.state.Name, Suspects: e.state.Suspects.Digest(), Limits: e.state.Fleet.LimitsDigest()}
	known := e.knownOrders(t)
	q.Holder, q.Sequence = known.holder, known.sequence
	if len(t.trees) == 0 {
		return q
	}
	own := e.ownSum()
	q.Placement = e.placementNews(e.ordersKnownBy(t.member.Name))
	e.mu.Lock()
	defer e.mu.Unlock()
	q.Below, q.Brief = map[int]*peermsg.Sum{}, e.unneeded(t.trees)
	for _, tree := range t.trees {
		s := e.subtree(tree, own)
		q.Below[tree] = s.message()
		e.sums.fleet[tree].own = *own
	}
	return q
}

// takeBelow takes the sums of a daemon below.
func (e *Exchange) takeBelow(asked *peermsg.AskNews) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for tree, m := range asked.Below {
		if tree < 0 || tree >= roots || m == nil {
			continue
		}
		if e.sums.below[tree] == nil {
			e.sums.below[tree] = map[string]below{}
		}
		e.sums.below[tree][asked.Name] = below{sum: sumOf(m), at: now}
	}
}

// fleetNews returns the sums over all daemons, for the trees in which the one
// that asks is below this one.
func (e *Exchange) fleetNews(asked *peermsg.AskNews) map[int]*peermsg.FleetSum {
	if len(asked.Below) == 0 {
		return nil
	}
	t, own := e.topology(), e.ownSum()
	e.mu.Lock()
	defer e.mu.Unlock()
	news := map[int]*peermsg.FleetSum{}
	for tree := range asked.Below {
		if tree < 0 || tree >= roots {
			continue
		}
		if tree < len(t.ranked) && t.ranked[tree].Name == e.state.Name {
			e.sums.fleet[tree] = whole{sum: e.subtree(tree, own), own: *own, at: e.clock.Now()}
		}
		if w := &e.sums.fleet[tree]; w.sum.daemons > 0 {
			news[tree] = e.fleetSum(w, t.zoneOf(asked.Name), slices.Contains(asked.Brief, tree))
		}
	}
	return news
}

// takeFleet takes the sums over all daemons from a parent.
func (e *Exchange) takeFleet(news map[int]*peermsg.FleetSum, sent spanrill.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for tree, m := range news {
		if tree < 0 || tree >= roots || m == nil || sent-m.Age < e.sums.fleet[tree].at {
			continue
		}
		w := &e.sums.fleet[tree]
		w.sum, w.at, w.rest = sumOf(&m.Sum), sent-m.Age, restOf(m)
	}
}

// othersSum is what all other daemons hold, from the fuller of the trees that are
// fresh. The caller holds the lock.
func (e *Exchange) othersSum(now spanrill.Millis) (others sum, daemons int) {
	best := e.fullest(now)
	others = newSum()
	if best < 0 {
		return others, 1
	}
	w := e.sums.fleet[best]
	others.add(w.sum, 1)
	others.add(w.own, -1)
	others.rest = w.rest
	if w.rest != nil {
		maps.DeleteFunc(others.uses, func(key uint32, _ use) bool { _, named := w.sum.uses[key]; return !named })
	}
	return others, w.sum.daemons
}

// fullest returns the fuller of the trees that are fresh and name upstreams, or -1. The
// caller holds the lock.
func (e *Exchange) fullest(now spanrill.Millis) int {
	best := -1
	for tree, w := range e.sums.fleet {
		if w.sum.daemons == 0 || now-w.at > keep || w.rest != nil && w.rest.brief {
			continue
		}
		if best < 0 || w.sum.daemons > e.sums.fleet[best].sum.daemons {
			best = tree
		}
	}
	return best
}
