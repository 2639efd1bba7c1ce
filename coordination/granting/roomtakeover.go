package granting

import "spanrill"

// takeoverTime is how long after a daemon has taken over from one that is gone the load that the other
// gave is taken to end: about as long as the longest requests last.
const takeoverTime = 4 * spanrill.Second

// askedAgainTime is how long after a daemon answers again, or can decide, most others ask it instead of
// its standby.
const askedAgainTime = silentPassOver / 4

// takeOverAnew tells that the daemon which has given room before did so until a later time than was told.
func (r *Room) takeOverAnew(since spanrill.Millis) {
	r.drainsSince = 0
	r.TakeOver(since)
}

// TakeOver tells that the daemon which has given room before gives none from a time on.
func (r *Room) TakeOver(since spanrill.Millis) {
	if r.drainsSince == 0 {
		r.drainsSince = since
	}
	r.applyTakeover(r.now)
}

// applyTakeover tells the ledger whether the load of others only ends.
func (r *Room) applyTakeover(now spanrill.Millis) {
	if now-r.drainsSince >= takeoverTime {
		r.drainsSince = 0
	}
	r.ledger.SetDraining(now, r.drainsSince)
}

// desertedTime is the time within which more than half of the daemons must have asked here because
// the preferred daemon did not answer them, so that it is taken to give no room. Each asks about once
// in it.
const desertedTime = spanrill.Second / 2

// noteStandby records that a daemon asked here because the preferred one did not answer. Without
// waiting for other signs, this daemon takes over when more than half of the fleet does.
func (r *Room) noteStandby(now spanrill.Millis, a *asker, daemons int) {
	a.desertedAt = now
	if !r.allowance.standby || daemons < 1 {
		return
	}
	deserted := 0
	for _, other := range r.askers {
		if other.desertedAt > 0 && now-other.desertedAt <= desertedTime {
			deserted++
		}
	}
	if 2*deserted > daemons {
		r.allowance = granterAllowance{since: now}
		r.applyAllowance(now)
		r.TakeOver(now)
	}
}
