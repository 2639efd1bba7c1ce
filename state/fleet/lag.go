package fleet

import (
	"math"
	"sync"

	"spanrill"
)

// lag is how many times longer than expected the requests sent to an engine
// have waited for their first event lately. It fades to 1 with time, so that a
// slow path is tried again.
type lag struct {
	mu    sync.Mutex
	times float64 // over 1
	noted spanrill.Millis
}

const (
	// lagStep is the weight of one request. A daemon of today sends a few a
	// second to each chain.
	lagStep = 0.25
	// lagHalfLife is after how long a lag that nothing confirms is halved.
	lagHalfLife = 1500 * spanrill.Millis(1)
	// mostLag bounds one observation.
	mostLag = 20.0
)

func (l *lag) note(now spanrill.Millis, times float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	over := min(max(times-1, 0), mostLag)
	l.times = l.faded(now)*(1-lagStep) + over*lagStep
	l.noted = now
}

func (l *lag) at(now spanrill.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1 + l.faded(now)
}

func (l *lag) faded(now spanrill.Millis) float64 {
	if l.times == 0 || now <= l.noted {
		return l.times
	}
	return l.times * math.Exp2(-float64(now-l.noted)/float64(lagHalfLife))
}
