package exchange

import (
	"maps"
	"slices"

	"spanrill"
	"spanrill/coordination/retry"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// treeSums holds the totals over the daemons of a large fleet. Each daemon sends its parent in a
// tree the sum over itself and its subtree, and receives the total over all daemons. Either tree
// alone suffices; the total that covers more daemons is used.
type treeSums struct {
	children [treeCount]map[string]childSum // by name of the child
	totals   [treeCount]fleetTotal
}

// childSum is the subtree sum that a child last sent.
type childSum struct {
	sum        sum
	receivedAt spanrill.Millis
}

// fleetTotal is the sum over all daemons, and the part of this daemon in it.
type fleetTotal struct {
	sum       sum
	own       sum             // as last sent to the parent
	addedUpAt spanrill.Millis // when the root added it up, or somewhat earlier
	unnamed   *unnamedUses    // uses in other availability zones, or nil if sum names all upstreams
}

// sum is a peermsg.Sum in a form that can be added up.
type sum struct {
	daemons int
	uses    map[uint32]use
	retries map[string]retry.Count
	unnamed *unnamedUses // of upstreams that are not in uses, or nil
	lost    lostCounts
}

// lostCounts is how many daemons have lost their path by service, "" being any service.
type lostCounts map[string]int

// use is the tokens and calls that requests hold at an upstream.
type use struct{ tokens, calls int64 }

func newSum() sum {
	return sum{uses: map[uint32]use{}, retries: map[string]retry.Count{}, lost: lostCounts{}}
}

// add adds another sum multiplied by a factor.
func (s *sum) add(other sum, factor int64) {
	s.daemons += other.daemons * int(factor)
	for key, u := range other.uses {
		old := s.uses[key]
		s.uses[key] = use{tokens: old.tokens + factor*u.tokens, calls: old.calls + factor*u.calls}
	}
	for service, n := range other.lost {
		s.lost[service] += n * int(factor)
	}
	for service, c := range other.retries {
		old := s.retries[service]
		s.retries[service] = retry.Count{
			Requests: old.Requests + factor*c.Requests, Retries: old.Retries + factor*c.Retries, Recent: old.Recent + factor*c.Recent,
		}
	}
}

func (s *sum) message() *peermsg.Sum {
	m := &peermsg.Sum{Daemons: s.daemons}
	for key, u := range s.uses {
		m.Uses = append(m.Uses, peermsg.UpstreamUse{Upstream: key, Tokens: u.tokens, Calls: u.calls})
	}
	for service, c := range s.retries {
		m.Retries = append(m.Retries, peermsg.RetryCount{Service: service, Requests: c.Requests, Retries: c.Retries, Recent: c.Recent})
	}
	for service, n := range s.lost {
		m.Lost = append(m.Lost, peermsg.LostCount{Service: service, Daemons: n})
	}
	return m
}

func sumFromMessage(m *peermsg.Sum) sum {
	s := newSum()
	s.daemons = m.Daemons
	for _, u := range m.Uses {
		s.uses[u.Upstream] = use{tokens: u.Tokens, calls: u.Calls}
	}
	for _, c := range m.Retries {
		s.retries[c.Service] = retry.Count{Requests: c.Requests, Retries: c.Retries, Recent: c.Recent}
	}
	for _, c := range m.Lost {
		s.lost[c.Service] = c.Daemons
	}
	return s
}

// ownSum returns the sum over this daemon alone.
func (e *Exchange) ownSum() *sum {
	s := newSum()
	s.daemons = 1
	e.state.Fleet.EachActive(func(u *fleet.Upstream) {
		if tokens, calls := u.OwnTokens(), u.OwnCalls(); tokens != 0 || calls != 0 {
			s.uses[u.Key()] = use{tokens: tokens, calls: calls}
		}
	})
	for service, c := range e.state.Budgets.OwnCounts() {
		s.retries[service] = c
	}
	s.lost = countLost(e.ownLostPaths())
	return &s
}

// childSumTTL is how old the sum of a child may be to be used: three rounds, so that one lost
// request does not matter.
const childSumTTL = 3 * roundInterval

// subtreeSum returns the sum over this daemon and its subtree in a tree. The caller must hold
// e.mu.
func (e *Exchange) subtreeSum(tree int, own *sum) sum {
	now, total := e.clock.Now(), newSum()
	total.add(*own, 1)
	for name, child := range e.sums.children[tree] {
		if now-child.receivedAt > childSumTTL {
			delete(e.sums.children[tree], name)
			continue
		}
		total.add(child.sum, 1)
	}
	return total
}

// newsRequest returns the request for a peer's news. A request to a parent also carries the
// subtree sums of this daemon and the placement orders that the parent lacks.
func (e *Exchange) newsRequest(to recipient) *peermsg.NewsRequest {
	req := &peermsg.NewsRequest{Name: e.state.Name, Suspects: e.state.Suspects.Digest(), Parts: e.state.Parts.Digest(), Limits: e.state.Fleet.LimitsDigest()}
	known := e.knownOrdersFor(to)
	req.Holder, req.Sequence = known.holder, known.sequence
	if len(to.trees) == 0 {
		return req
	}
	own := e.ownSum()
	req.Placement = e.placementNews(e.ordersKnownBy(to.member.Name))
	e.mu.Lock()
	defer e.mu.Unlock()
	req.SubtreeSums, req.SkipUpstreams = map[int]*peermsg.Sum{}, e.briefTrees(to.trees)
	for _, tree := range to.trees {
		s := e.subtreeSum(tree, own)
		req.SubtreeSums[tree] = s.message()
		e.sums.totals[tree].own = *own
	}
	return req
}

// storeChildSums stores the subtree sums that a child sends with its request.
func (e *Exchange) storeChildSums(req *peermsg.NewsRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for tree, m := range req.SubtreeSums {
		if tree < 0 || tree >= treeCount || m == nil {
			continue
		}
		if e.sums.children[tree] == nil {
			e.sums.children[tree] = map[string]childSum{}
		}
		e.sums.children[tree][req.Name] = childSum{sum: sumFromMessage(m), receivedAt: now}
	}
}

// fleetSums returns the sums over all daemons for the trees in which the asking daemon is a
// child of this one.
func (e *Exchange) fleetSums(req *peermsg.NewsRequest) map[int]*peermsg.FleetSum {
	if len(req.SubtreeSums) == 0 {
		return nil
	}
	t, own := e.topology(), e.ownSum()
	e.mu.Lock()
	defer e.mu.Unlock()
	sums := map[int]*peermsg.FleetSum{}
	for tree := range req.SubtreeSums {
		if tree < 0 || tree >= treeCount {
			continue
		}
		if tree < len(t.ranked) && t.ranked[tree].Name == e.state.Name {
			e.sums.totals[tree] = fleetTotal{sum: e.subtreeSum(tree, own), own: *own, addedUpAt: e.clock.Now()}
		}
		if total := &e.sums.totals[tree]; total.sum.daemons > 0 {
			sums[tree] = e.fleetSum(total, t.zoneOf(req.Name), slices.Contains(req.SkipUpstreams, tree))
		}
	}
	return sums
}

// mergeFleetSums stores the sums over all daemons that a parent sent, by tree, unless newer ones are
// known. sentAt is when the parent was asked.
func (e *Exchange) mergeFleetSums(sums map[int]*peermsg.FleetSum, sentAt spanrill.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for tree, m := range sums {
		if tree < 0 || tree >= treeCount || m == nil || sentAt-m.Age < e.sums.totals[tree].addedUpAt {
			continue
		}
		total := &e.sums.totals[tree]
		total.sum, total.addedUpAt, total.unnamed = sumFromMessage(&m.Sum), sentAt-m.Age, unnamedFromMessage(m)
	}
}

// peerSumFromTrees returns the sum over all other daemons, and the number of daemons that it
// covers with this one. The caller must hold e.mu.
func (e *Exchange) peerSumFromTrees(now spanrill.Millis) (others sum, daemons int) {
	best := e.fullestTree(now)
	others = newSum()
	if best < 0 {
		return others, 1
	}
	total := e.sums.totals[best]
	others.add(total.sum, 1)
	others.add(total.own, -1)
	others.unnamed = total.unnamed
	if total.unnamed != nil { // drop own uses, negative now, of upstreams that the total does not name
		maps.DeleteFunc(others.uses, func(key uint32, _ use) bool { _, named := total.sum.uses[key]; return !named })
	}
	return others, total.sum.daemons
}

// fullestTree returns the tree whose total covers the most daemons, among those that are fresh
// and name upstreams, or -1. The caller must hold e.mu.
func (e *Exchange) fullestTree(now spanrill.Millis) int {
	best := -1
	for tree, total := range e.sums.totals {
		if total.sum.daemons == 0 || now-total.addedUpAt > newsTTL || total.unnamed != nil && total.unnamed.noneNamed {
			continue
		}
		if best < 0 || total.sum.daemons > e.sums.totals[best].sum.daemons {
			best = tree
		}
	}
	return best
}
