package fleet

import (
	"math"
	"sync"

	"spanrill"
)

// risk is the share of failures among the last requests. It fades with time,
// so that an upstream that gets few requests is tried again.
type risk struct {
	mu    sync.Mutex
	share float64
	noted spanrill.Millis
}

const (
	// riskStep is the weight of one request: the last ten or so count.
	riskStep = 0.12
	// riskHalfLife is after how long a share that nothing confirms is halved.
	riskHalfLife = 4 * spanrill.Second
)

func (r *risk) note(now spanrill.Millis, failed float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = r.faded(now)*(1-riskStep) + failed*riskStep
	r.noted = now
}

func (r *risk) at(now spanrill.Millis) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faded(now)
}

func (r *risk) faded(now spanrill.Millis) float64 {
	if r.share == 0 || now <= r.noted {
		return r.share
	}
	return r.share * math.Exp2(-float64(now-r.noted)/float64(riskHalfLife))
}
