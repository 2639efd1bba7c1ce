package fleet

import (
	"math"
	"sync"

	"spanrill"
)

// failureRate is a moving average of the share of requests that failed. It decays over time, so
// that an upstream that gets few requests is tried again.
type failureRate struct {
	mu        sync.Mutex
	rate      float64
	updatedAt spanrill.Millis
}

const (
	// failureRateWeight is the weight of one request: about the last ten count.
	failureRateWeight = 0.12
	// failureRateHalfLife is the time without requests in which the rate is halved.
	failureRateHalfLife = 4 * spanrill.Second
)

// record adds a request: failed is 1 if it failed, otherwise 0.
func (r *failureRate) record(now spanrill.Millis, failed float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = r.decayed(now)*(1-failureRateWeight) + failed*failureRateWeight
	r.updatedAt = now
}

func (r *failureRate) value(now spanrill.Millis) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decayed(now)
}

func (r *failureRate) decayed(now spanrill.Millis) float64 {
	if r.rate == 0 || now <= r.updatedAt {
		return r.rate
	}
	return r.rate * math.Exp2(-float64(now-r.updatedAt)/float64(failureRateHalfLife))
}
