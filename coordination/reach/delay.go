package reach

import (
	"math"
	"sync"

	"spanrill"
)

// delay estimates how long connections take, with the smoothing of TCP's retransmission timer (RFC
// 6298).
type delay struct {
	mu        sync.Mutex
	least     spanrill.Millis // granularity: bounds are never shorter
	known     bool
	mean      float64
	deviation float64
}

const (
	// minDirectDelay is the least time after which a direct connection counts as late. Timers and
	// goroutines of a busy process are late by up to that.
	minDirectDelay spanrill.Millis = 20
	// minHelpDelay is the same for a connection through a helper, in which two processes take part.
	minHelpDelay = 2 * minDirectDelay

	meanGain         = 1.0 / 8
	deviationGain    = 1.0 / 4
	deviationsInTime = 4
)

func newDelay(least spanrill.Millis) *delay { return &delay{least: least} }

// record adds the time that a connection took.
func (d *delay) record(took spanrill.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := float64(took)
	if !d.known {
		d.known, d.mean, d.deviation = true, t, t/2
		return
	}
	d.deviation += deviationGain * (math.Abs(t-d.mean) - d.deviation)
	d.mean += meanGain * (t - d.mean)
}

// bound returns the time after which a connection is late: at most half of the limit.
func (d *delay) bound(limit spanrill.Millis) spanrill.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	usual := spanrill.Millis(math.Ceil(d.mean + deviationsInTime*d.deviation))
	return max(d.least, min(usual, limit/2))
}
