package fleet

import (
	"math"
	"sync"

	"spanrill"
)

// lag is a moving average of how many times longer than expected requests to an engine waited for
// their first event. It decays to 1 over time, so that a slow path is tried again.
type lag struct {
	mu        sync.Mutex
	excess    float64 // average minus 1
	updatedAt spanrill.Millis
}

const (
	// lagWeight is the weight of one request. A daemon sends a few per second to each chain.
	lagWeight = 0.25
	// lagHalfLife is the time without requests in which the excess is halved.
	lagHalfLife = 1500 * spanrill.Millis(1)
	// maxLagExcess limits the excess of a single observation.
	maxLagExcess = 20.0
)

// record adds a request that waited ratio times as long as expected.
func (l *lag) record(now spanrill.Millis, ratio float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	excess := min(max(ratio-1, 0), maxLagExcess)
	l.excess = l.decayed(now)*(1-lagWeight) + excess*lagWeight
	l.updatedAt = now
}

func (l *lag) value(now spanrill.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1 + l.decayed(now)
}

func (l *lag) decayed(now spanrill.Millis) float64 {
	if l.excess == 0 || now <= l.updatedAt {
		return l.excess
	}
	return l.excess * math.Exp2(-float64(now-l.updatedAt)/float64(lagHalfLife))
}
