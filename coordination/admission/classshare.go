package admission

import "spanrill"

// classShare keeps account of which fraction of the requests of each class is started. A class that
// falls behind goes before more urgent ones until it has caught up.
type classShare struct {
	decided classSums // requests that were started, refused, dropped or removed
	started classSums
}

const (
	// shareHalfLife is the time after which the weight of a request in the fractions is halved.
	// Requests are counted for 10 s on average, which is about as long as a caller waits and
	// retries: within that time each class keeps its part.
	shareHalfLife = 7 * spanrill.Second
	// minClassShare is the part of the fraction that all classes together get that each class is
	// kept at: half, and a tenth more, since a class that is kept at a part is under it as often as
	// over it, and some of what starts is not in time.
	minClassShare = 0.55
	// shareStep is what a class keeps more than the next less urgent one of which there are requests,
	// so that classes which get only their parts stay in order.
	shareStep = 0.02
)

// keptShare returns the part of the fraction that all classes together get that a class keeps.
func (s *classShare) keptShare(class spanrill.Class) float64 {
	kept := minClassShare
	for _, decided := range s.decided.byClass[class+1:] {
		if decided >= 1 {
			kept += shareStep
		}
	}
	return kept
}

func newClassShare() classShare {
	return classShare{decided: classSums{halfLife: shareHalfLife}, started: classSums{halfLife: shareHalfLife}}
}

// recordStart counts a request that starts.
func (s *classShare) recordStart(now spanrill.Millis, class spanrill.Class) {
	s.decided.add(now, class, 1)
	s.started.add(now, class, 1)
}

// recordLoss counts a request that does not start.
func (s *classShare) recordLoss(now spanrill.Millis, class spanrill.Class) {
	s.decided.add(now, class, 1)
	s.started.decay(now)
}

// deficit returns how many requests of a class must start until it gets its part of the fraction
// that all classes get, negative if it gets more.
func (s *classShare) deficit(class spanrill.Class) float64 {
	if s.decided.total <= 0 {
		return 0
	}
	fraction := s.started.total / s.decided.total
	return s.keptShare(class)*fraction*s.decided.byClass[class] - s.started.byClass[class]
}

// starved reports whether a class goes before more urgent ones.
func (s *classShare) starved(class spanrill.Class) bool { return s.deficit(class) > 0 }

// Starved reports whether a class goes before more urgent ones, since it has started less than its part of
// late.
func (l *Line) Starved(class spanrill.Class) bool { return l.share.starved(validClass(class)) }

// assured returns the part of all starts that a class is assured of.
func (s *classShare) assured(class spanrill.Class) float64 {
	if s.decided.total <= 0 {
		return 0
	}
	return s.keptShare(class) * s.decided.byClass[class] / s.decided.total
}
