package granting

import (
	"maps"
	"slices"

	"spanrill"
	"spanrill/protocol/peermsg"
)

const (
	// advanceInterval is the time between two checks of what has lapsed.
	advanceInterval spanrill.Millis = 50
	// reportTimeout is how long a daemon must not have reported for its claims to lapse. It sends a
	// report at least every second, and two may get lost.
	reportTimeout spanrill.Millis = 2500
	// frozenTime is the time between two checks from which on this daemon is taken to have been
	// stopped. Another daemon may have given room in the meantime.
	frozenTime = spanrill.Second
)

// Tick lets claims lapse and starts waiting requests. Call it every 50 ms.
func (r *Room) Tick(now spanrill.Millis) []Notice {
	now = r.advance(now)
	r.startWaiting(now)
	return r.takeNotices()
}

// advance makes the changes that are due at a time, and returns the latest time seen. All
// calls begin with it, so that nothing is decided by a state that has lapsed.
func (r *Room) advance(now spanrill.Millis) spanrill.Millis {
	r.now = max(r.now, now)
	now = r.now
	elapsed := now - r.advancedAt
	if r.begun && elapsed < advanceInterval {
		return now
	}
	if !r.begun || elapsed > frozenTime {
		r.allowance.since = now
	}
	wasStopped := r.begun && elapsed > reportTimeout
	r.begun, r.advancedAt = true, now
	r.dropLate(now)
	r.lapseAhead(now)
	r.lapseSilent(now)
	if wasStopped {
		r.renewLedger(now)
	}
	r.applyAllowance(now)
	r.applyTakeover(now)
	// While requests wait, each one that ends lets about one of them start. The rate is 0 while none has
	// ended yet, which the line takes as unknown.
	r.line.SetRate(r.ledger.EndRate(now))
	r.ledger.SetWaiting(now, r.waitingForEngines(now))
	return now
}

// waitingForEngines returns how many requests wait because engines are full, and not because this daemon
// may give only a part of the room.
func (r *Room) waitingForEngines(now spanrill.Millis) int {
	if r.allowance.at(now) < 1 {
		return 0
	}
	return r.Waiting()
}

// renewLedger replaces the ledger after this daemon was stopped for so long that all claims have
// lapsed. What the ledger knows of its own load in that time is wrong, and would be taken off the
// sums of all daemons.
func (r *Room) renewLedger(now spanrill.Millis) {
	if len(r.claims) > 0 {
		return
	}
	r.ledger, r.applied = r.newLedger(), 0
	r.applyAllowance(now)
	if r.told != nil {
		r.ledger.SetTold(now, r.toldAsOf, r.told)
	}
	r.TakeOver(now + askedAgainTime)
}

// lapseSilent ends the claims of daemons that have stopped reporting, and forgets these daemons.
func (r *Room) lapseSilent(now spanrill.Millis) {
	var silent []string
	for name, a := range r.askers {
		if now-a.heardAt > reportTimeout {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	for _, name := range silent {
		r.lapseAll(now, r.askers[name])
		delete(r.askers, name)
	}
}

// lapseAll ends all claims of a daemon. Its waiting requests are told so: the daemon is
// alive if this one was stopped.
func (r *Room) lapseAll(now spanrill.Millis, a *asker) {
	for _, c := range a.sortedClaims(func(*claim) bool { return true }) {
		r.counts.Lapsed++
		if c.state == claimWaiting {
			r.refuseWaiting(now, c)
			continue
		}
		r.cancel(now, c)
	}
}

// Resign ends all waiting requests, as this daemon does not grant any more. The notices, with the next
// Tick, tell the daemons to ask elsewhere.
func (r *Room) Resign(now spanrill.Millis) {
	now = max(r.now, now)
	for _, handle := range slices.Sorted(maps.Keys(r.claims)) {
		if c := r.claims[handle]; c.state == claimWaiting {
			r.cancel(now, c)
			r.notify(c, peermsg.RoomNotice{State: peermsg.RoomUnknown})
		}
	}
}
