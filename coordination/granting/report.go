package granting

import (
	"slices"

	"spanrill"
	"spanrill/protocol/peermsg"
)

const (
	// reportInterval is the shortest time between two reports to a granting daemon that tell no change
	// of free room.
	reportInterval spanrill.Millis = 100
	// freedInterval is the shortest time between two reports. Room that a request has left is idle until
	// its end is told: of requests that hold it for a second, 100 ms would be a tenth.
	freedInterval spanrill.Millis = 25
	// completeInterval is the time between two reports that name all that is held. Grants lapse at
	// the granting daemon without them.
	completeInterval = spanrill.Second
	// departedRetention is how long a daemon that no longer grants still gets reports. Afterwards its
	// grants have lapsed.
	departedRetention = 3 * spanrill.Second
	// maxPending is the maximum number of ids, and of engines, that wait for a report. What is
	// dropped is corrected by the next complete report.
	maxPending = 4096
)

// outbox holds what is to be told to one granting daemon of a service. It is pure, and not safe for
// concurrent use.
type outbox struct {
	granter peermsg.Member
	held    map[uint64]bool // ids that were asked for, wait or hold room

	ended   []uint64
	used    []peermsg.RoomUsed
	refused []uint32
	repeats []repeatedUse

	reportedAt spanrill.Millis // when the last report was made
	completeAt spanrill.Millis // when the last complete report was made
	listedAt   spanrill.Millis // when the daemon was last known to grant
}

func newOutbox(now spanrill.Millis, granter peermsg.Member) *outbox {
	return &outbox{
		granter: granter, held: map[uint64]bool{},
		reportedAt: now - reportInterval, completeAt: now, listedAt: now,
	}
}

// hold records that an id is asked for. It has to be called before the request is sent: a complete
// report without the id, made in the meantime, would end the request at the granting daemon.
func (o *outbox) hold(id uint64) { o.held[id] = true }

// forget removes an id of which the granting daemon knows that it holds nothing.
func (o *outbox) forget(id uint64) { delete(o.held, id) }

// end records that an id holds room no longer, or no longer wants to start.
func (o *outbox) end(id uint64) {
	delete(o.held, id)
	o.ended = appendBounded(o.ended, id)
	o.repeats = slices.DeleteFunc(o.repeats, func(u repeatedUse) bool { return u.use.ID == id })
}

// use records the use of a grant given ahead.
func (o *outbox) use(u peermsg.RoomUsed) {
	o.held[u.ID] = true
	o.used = appendBounded(o.used, u)
}

// refuse records that an engine refused a request.
func (o *outbox) refuse(engine uint32) {
	if !slices.Contains(o.refused, engine) {
		o.refused = appendBounded(o.refused, engine)
	}
}

// appendBounded appends an item and drops the oldest one over maxPending.
func appendBounded[T any](items []T, item T) []T {
	if len(items) >= maxPending {
		items = slices.Delete(items, 0, len(items)-maxPending+1)
	}
	return append(items, item)
}

// hasNews reports whether something is to be told at once.
func (o *outbox) hasNews() bool {
	return len(o.ended)+len(o.used)+len(o.refused)+len(o.repeats) > 0
}

// isDue reports whether a report is to be made now.
func (o *outbox) isDue(now spanrill.Millis) bool {
	switch passed := now - o.reportedAt; {
	case o.hasNews() && o.isLocal():
		return true
	case passed < reportInterval:
		return passed >= freedInterval && len(o.ended)+len(o.refused) > 0
	}
	return o.hasNews() || now-o.completeAt >= completeInterval
}

// isLocal reports whether the granting daemon is this one, which is told at once: that takes no
// message, and ends that it learns of together let requests start together.
func (o *outbox) isLocal() bool { return o.granter.PeerAddr == "" }

// isDeparted reports whether the daemon has not been known to grant for departedRetention.
func (o *outbox) isDeparted(now spanrill.Millis) bool { return now-o.listedAt > departedRetention }

// take returns a report with all that is to be told. It names all that is held if a complete report
// is due.
func (o *outbox) take(now spanrill.Millis) *peermsg.RoomReport {
	report := &peermsg.RoomReport{Ended: o.ended, Used: o.takeUses(now), Refused: o.refused}
	o.ended, o.used, o.refused = nil, nil, nil
	o.reportedAt = now
	if now-o.completeAt >= completeInterval {
		o.completeAt = now
		report.Complete = true
		report.Held = o.heldIDs()
	}
	return report
}

// putBack keeps what a report that could not be sent has told.
func (o *outbox) putBack(report *peermsg.RoomReport) {
	for _, id := range report.Ended {
		o.ended = appendBounded(o.ended, id)
	}
	for _, u := range report.Used {
		o.used = appendBounded(o.used, u)
	}
	for _, engine := range report.Refused {
		o.refuse(engine)
	}
	if report.Complete {
		o.completeAt = o.reportedAt - completeInterval // what is held is named again
	}
}

// heldIDs returns what is held, in order.
func (o *outbox) heldIDs() []uint64 {
	ids := make([]uint64, 0, len(o.held))
	for id := range o.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// isIdle reports whether nothing is held and nothing is to be told.
func (o *outbox) isIdle() bool { return len(o.held) == 0 && !o.hasNews() }
