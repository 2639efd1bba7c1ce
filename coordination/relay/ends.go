package relay

import (
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/suspect"
	"spanrill/events"
	"spanrill/state/fleet"
)

// ends finds out which upstreams have ended under requests. A connection that breaks
// says little: it may have been reset, and the upstream works on. What counts is that
// the upstream takes no connection any more, or that another start stands in its place.
type ends struct {
	mu   sync.Mutex
	open []end // breaks whose cause is not known yet
}

// end is a request whose attempt broke off, and where.
type end struct {
	upstream *fleet.Upstream
	content  suspect.Content
	request  string
	at       spanrill.Millis // when it broke off
	ran      spanrill.Millis // since the attempt's first event, or 0 before it
	leaving  bool            // the upstream had said that it leaves
}

const (
	// endsLimit is how long the cause of a break is looked for. The entry of an upstream
	// that went silent goes after three reports, and a new one stands in its place after
	// 3 to 5 s.
	endsLimit = 10 * spanrill.Second
	// endsKept bounds the breaks that are looked at: more than run at once on the
	// daemons of today.
	endsKept = 2048
)

// causeOf tells whether the upstream has ended, or that it works on. Neither is known
// at first.
func (e *end) causeOf() (ended, works bool) {
	u := e.upstream
	switch {
	case u.Ended():
		return true, false
	case u.ListenedAt() > e.at:
		return false, true
	case u.Removed() && u.Dead():
		return !e.leaving, e.leaving // one that leaves ends as planned
	}
	return false, false
}

// add notes a break, and reports whether there is another one of the same content.
func (s *ends) add(e end) (again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	again = slices.ContainsFunc(s.open, func(o end) bool { return o.content == e.content })
	if len(s.open) < endsKept {
		s.open = append(s.open, e)
	}
	return again
}

// take removes the breaks whose cause is known, or that are too old, and returns those
// under which an upstream has ended.
func (s *ends) take(now spanrill.Millis) (found []end) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.open[:0]
	for _, e := range s.open {
		ended, works := e.causeOf()
		switch {
		case ended:
			found = append(found, e)
		case !works && now-e.at < endsLimit:
			kept = append(kept, e)
		}
	}
	clear(s.open[len(kept):])
	s.open = kept
	return found
}

// broken notes that an attempt at the request broke off, or goes on elsewhere, because
// of the upstream that it was sent to. Engines behind the first one of a path do not count:
// several of them are lost at once when a part of a fleet is. On a day on which engines
// crashed together 64 streams were taken for the cause of three ends so.
//
// Whether the upstream takes connections is tried at once: of nine attempts at a call under
// which services end, at three daemons, four ended where that was left to the requests that
// follow, and at most three now. A content that has met a break before waits for the answer:
// it must not go on to the next upstream if this one has ended too.
func (q *request) broken(u *fleet.Upstream, ran spanrill.Millis) {
	if q.broke[u] {
		return
	}
	if q.broke == nil {
		q.broke = map[*fleet.Upstream]bool{}
	}
	q.broke[u] = true
	r := q.relay
	again := r.ends.add(end{
		upstream: u, content: q.content, request: q.head.ID, at: r.Clock.Now(), ran: ran, leaving: u.Leaving(),
	})
	again = again || r.Suspects.Judge(q.content).Losses() > 0
	look := func() {
		r.Prober.Knock(context.WithoutCancel(q.ctx), u)
		r.lookAtEnds()
	}
	if again {
		look()
		return
	}
	go look()
}

// lookAtEnds notes which upstreams have been found to have ended under requests.
func (r *Relay) lookAtEnds() {
	now := r.Clock.Now()
	for _, e := range r.ends.take(now) {
		r.Meters.EndedUnder.Inc()
		verdict := r.Suspects.Lost(e.content, suspect.Loss{
			Upstream: nameHash(e.upstream), At: e.at, Fresh: e.ran <= suspect.FreshTime,
		})
		if verdict.Refused() {
			r.OnSuspected(e.content)
			events.RequestSuspected.Log(r.Log, logrus.Fields{
				"content": e.content.String(), "request": e.request, "losses": verdict.Losses(), "proved": verdict.Proved(),
			})
		}
		r.bad.Log(events.UpstreamEndedUnder, r.Log, func() logrus.Fields {
			return logrus.Fields{
				"upstream": e.upstream.ID(), "addr": e.upstream.Addr(), "request": e.request, "content": e.content.String(),
				"ran_ms": e.ran, "found_after_ms": now - e.at,
			}
		})
	}
}

// nameHash is the same on all daemons. Starts under one name are told apart by their times.
func nameHash(u *fleet.Upstream) uint32 { return uint32(xxhash.Sum64String(u.Name())) }

// contentOf identifies what the request asks for.
func (q *request) contentOf() suspect.Content {
	account := ""
	if q.account != nil {
		account = q.account.Name
	}
	header := &q.http.Request.Header
	return suspect.ContentOf(account, string(header.Host()), string(header.RequestURI()), q.body)
}

// suspected refuses a request that is kept from upstreams because others have ended under
// it.
func (q *request) suspected() *spanrill.Refusal {
	v := q.try.Judge()
	if !v.Refused() {
		return nil
	}
	reason := spanrill.ReasonSuspected
	if v.Proved() {
		reason = spanrill.ReasonEndsUpstreams
	}
	return spanrill.NewRefusal(reason, "%d upstreams have ended under this request", v.Losses()).WithRetryAfter(v.RetryAfter())
}

// keptBack reports whether a refusal is one of suspected.
func keptBack(refusal *spanrill.Refusal) bool {
	return refusal.Reason() == spanrill.ReasonSuspected || refusal.Reason() == spanrill.ReasonEndsUpstreams
}

// answered notes that an upstream has run the request to its end.
func (q *request) answered() { q.relay.Suspects.Served(q.content) }

// ranFor is for how long events have come from the running attempt.
func (g *generation) ranFor() spanrill.Millis {
	if g.firstEvent == 0 {
		return 0
	}
	return g.relay.Clock.Now() - g.firstEvent
}
