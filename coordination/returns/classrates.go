package returns

import (
	"math"

	"spanrill"
)

// classRates are exponentially decaying rates of events by class.
type classRates struct {
	updatedAt spanrill.Millis
	byClass   [spanrill.ClassCount]float64 // per second
}

// rateHalfLife is the time after which the weight of an event is halved: a part of the time for
// which callers return, so that the rates are those of the load that they will meet.
const rateHalfLife = 500 * spanrill.Millis(1)

// decay lowers the rates to the given time. It does nothing for an earlier time.
func (r *classRates) decay(now spanrill.Millis) {
	if now <= r.updatedAt {
		return
	}
	factor := math.Exp2(-(float64(now) - float64(r.updatedAt)) / float64(rateHalfLife))
	for class := range r.byClass {
		r.byClass[class] *= factor
	}
	r.updatedAt = now
}

// add counts an event.
func (r *classRates) add(now spanrill.Millis, class spanrill.Class) {
	r.decay(now)
	r.byClass[class] += math.Ln2 / seconds(rateHalfLife)
}

// sum returns the rate over all classes.
func (r *classRates) sum() float64 {
	total := 0.0
	for _, perSecond := range r.byClass {
		total += perSecond
	}
	return total
}
