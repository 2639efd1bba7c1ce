package granting

import (
	"spanrill"
	"spanrill/protocol/peermsg"
)

// heldGrace is how old a claim must be to end because its daemon does not name it: reports that
// were made before the daemon knew of it may still be under way.
const heldGrace spanrill.Millis = 300

// Report applies what a daemon tells of its requests and of the engines.
func (r *Room) Report(now spanrill.Millis, report *peermsg.RoomReport) []Notice {
	now = r.advance(now)
	r.recordLoads(now, report.Loads)
	r.recordRefusals(now, report.Refused)
	if a := r.askers[report.Daemon]; a != nil {
		a.heardAt = now
		r.applyReport(now, a, report)
	}
	if r.freed {
		r.startWaiting(now)
	}
	return r.takeNotices()
}

// applyReport applies what a daemon tells of its requests. A grant may have been used and ended
// within one report.
func (r *Room) applyReport(now spanrill.Millis, a *asker, report *peermsg.RoomReport) {
	a.refused.record(now, len(atMost(report.Refused, maxRefusedBy)))
	for _, u := range report.Used {
		r.use(now, a, u)
	}
	for _, id := range report.Ended {
		if c := a.claims[id]; c != nil {
			r.endReported(now, a, c)
		}
	}
	if report.Complete {
		r.endUnnamed(now, a, report.Held)
	}
}

// refusedWithin is how soon after its start a request is known to have been refused by an engine:
// some round trips, and the time between two reports.
const refusedWithin = spanrill.Second

// refusedStarts counts the requests of a daemon that engines refused and whose end it has yet to report.
type refusedStarts struct {
	count int
	at    spanrill.Millis // of the latest refusal
}

// record counts refusals.
func (s *refusedStarts) record(now spanrill.Millis, refusals int) {
	if now-s.at > refusedWithin {
		s.count = 0
	}
	if refusals > 0 {
		s.count, s.at = min(s.count+refusals, maxClaims), now
	}
}

// take reports whether a claim that ends is taken to be one of them.
func (s *refusedStarts) take(now spanrill.Millis, c *claim) bool {
	isRefused := s.count > 0 && c.state == claimHolding && max(now-s.at, now-c.since) <= refusedWithin
	if isRefused {
		s.count--
	}
	return isRefused
}

// endReported ends a claim of which a daemon tells that it has ended. Requests that an engine refused
// have not run.
func (r *Room) endReported(now spanrill.Millis, a *asker, c *claim) {
	if a.refused.take(now, c) {
		r.cancel(now, c)
		return
	}
	r.end(now, c)
}

// endUnnamed ends the claims that a daemon no longer names. The report of their end was lost.
func (r *Room) endUnnamed(now spanrill.Millis, a *asker, held []uint64) {
	named := make(map[uint64]bool, len(held))
	for _, id := range held {
		named[id] = true
	}
	for _, c := range a.sortedClaims(func(c *claim) bool { return !named[c.id] && now-c.since > heldGrace }) {
		r.end(now, c)
		r.counts.Lapsed++
	}
}

// recordLoads passes on what first engines have told. Figures that are out of range, or of
// engines that are on no chain, are ignored.
func (r *Room) recordLoads(now spanrill.Millis, loads []peermsg.RoomEngine) {
	for _, l := range loads {
		if !r.engines[l.Engine] || l.Age < 0 || l.Age > maxReportedLoadAge || l.Requests < 0 || l.Requests > maxEngineRequests {
			continue
		}
		r.ledger.RecordEngineLoad(now, now-l.Age, l.Engine, l.Requests)
	}
}
