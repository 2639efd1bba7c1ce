package load

import "spanrill"

// A failing upstream is ejected: it gets no requests for a time that doubles with each ejection in a
// row. Afterwards its load is raised gradually.
const (
	firstEjection = 1 * spanrill.Second
	maxEjection   = 30 * spanrill.Second
	rampTime      = 3 * spanrill.Second // time from the end of an ejection until the upstream gets its normal load
)

// Ejected reports whether the upstream is currently ejected.
func (u *Upstream) Ejected(now spanrill.Millis) bool {
	return spanrill.Millis(u.ejectedUntil.Load()) > now
}

// RecordFailure records a failure, which ejects the upstream unless it is already ejected. It
// reports whether the upstream was ejected by this call.
func (u *Upstream) RecordFailure(now spanrill.Millis) bool {
	until := u.ejectedUntil.Load()
	if spanrill.Millis(until) > now {
		return false
	}
	n := u.ejections.Add(1)
	d := min(firstEjection<<min(n-1, 8), maxEjection)
	if !u.ejectedUntil.CompareAndSwap(until, int64(now+d)) {
		return false
	}
	u.ejectionEnd.Store(int64(now + d))
	return true
}

// RecordSuccess records that a request was completed on the upstream. The first success after the ramp
// time resets the number of consecutive ejections.
func (u *Upstream) RecordSuccess(now spanrill.Millis) {
	if u.ejections.Load() == 0 {
		return
	}
	if now > spanrill.Millis(u.ejectionEnd.Load())+rampTime {
		u.ejections.Store(0)
	}
}

// RampShare returns the share of its normal load that the upstream may get: less than 1 for rampTime
// after the end of an ejection.
func (u *Upstream) RampShare(now spanrill.Millis) float64 {
	ejectionEnd := spanrill.Millis(u.ejectionEnd.Load())
	if ejectionEnd == 0 || now >= ejectionEnd+rampTime {
		return 1
	}
	return max(minRampShare, float64(now-ejectionEnd)/float64(rampTime))
}

// minRampShare is the share right after the end of an ejection.
const minRampShare = 0.1
