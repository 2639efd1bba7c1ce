package admission

import (
	"math"

	"spanrill"
)

// classSums are exponentially decaying sums by class.
type classSums struct {
	halfLife  spanrill.Millis
	updatedAt spanrill.Millis
	byClass   [spanrill.ClassCount]float64
	total     float64
}

// decay lowers the sums to the given time. It does nothing for an earlier time.
func (s *classSums) decay(now spanrill.Millis) {
	if now <= s.updatedAt {
		return
	}
	factor := math.Exp2(-(float64(now) - float64(s.updatedAt)) / float64(s.halfLife))
	for class := range s.byClass {
		s.byClass[class] *= factor
	}
	s.total *= factor
	s.updatedAt = now
}

// add adds to the sum of a class.
func (s *classSums) add(now spanrill.Millis, class spanrill.Class, n float64) {
	s.decay(now)
	s.byClass[class] += n
	s.total += n
}

// perSecond returns the rate at which the sum of a class grows.
func (s *classSums) perSecond(class spanrill.Class) float64 {
	return s.byClass[class] * math.Ln2 * float64(spanrill.Second) / float64(s.halfLife)
}
