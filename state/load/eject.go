package load

import "spanrill"

// Ejection takes an upstream that fails out of the choice for a while.
const (
	firstEjection = 1 * spanrill.Second
	maxEjection   = 30 * spanrill.Second
	returnRamp    = 3 * spanrill.Second // an upstream taken back gets its full share after this
)

// Ejected reports whether the upstream is out of the choice.
func (u *Upstream) Ejected(now spanrill.Millis) bool {
	return spanrill.Millis(u.ejectedUntil.Load()) > now
}

// Fail notes a failure that ejects the upstream. It reports whether the
// upstream was in the choice before.
func (u *Upstream) Fail(now spanrill.Millis) bool {
	was := u.ejectedUntil.Load()
	if spanrill.Millis(was) > now {
		return false
	}
	n := u.failures.Add(1)
	d := min(firstEjection<<min(n-1, 8), maxEjection)
	if !u.ejectedUntil.CompareAndSwap(was, int64(now+d)) {
		return false
	}
	u.returnedAt.Store(int64(now + d))
	return true
}

// Succeed notes that a request crossed the upstream whole.
func (u *Upstream) Succeed(now spanrill.Millis) {
	if u.failures.Load() == 0 {
		return
	}
	if now > spanrill.Millis(u.returnedAt.Load())+returnRamp {
		u.failures.Store(0)
	}
}

// Ramp returns the share of its normal load that an upstream may get: less
// than 1 for some time after it was taken back.
func (u *Upstream) Ramp(now spanrill.Millis) float64 {
	back := spanrill.Millis(u.returnedAt.Load())
	if back == 0 || now >= back+returnRamp {
		return 1
	}
	return max(minRamp, float64(now-back)/float64(returnRamp))
}

const minRamp = 0.1
