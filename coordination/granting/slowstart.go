package granting

import "spanrill"

const (
	// slowStartFirst is the number of requests that a daemon starts at once while it knows neither fleet
	// nor load: few for engines also if all daemons do so.
	slowStartFirst = 2.0
	// slowStartRate is how many requests per second it starts beyond these at first, and
	// slowStartFloor how many it starts in any case.
	slowStartRate  = 2.0
	slowStartFloor = 1.0
	// slowStartMaxRate is over what any daemon is asked for.
	slowStartMaxRate = 10_000.0
	// slowStartStep is the time after which the rate is doubled: several round trips, within which
	// engines tell that they are full.
	slowStartStep spanrill.Millis = 100
	// slowStartQuiet is how long the rate is not raised after a refusal: about as long as a request
	// holds its room.
	slowStartQuiet = spanrill.Second
)

// slowStart limits the requests that a daemon starts while it knows neither fleet nor load: twice as many
// each slowStartStep while engines refuse none, half as many after a refusal. Its zero value is ready to
// use.
type slowStart struct {
	begun     bool
	rate      float64 // requests per second
	credit    float64 // requests that may start now
	at        spanrill.Millis
	risenAt   spanrill.Millis
	refused   bool
	refusedAt spanrill.Millis
}

// start reports whether a request may start, and counts it.
func (s *slowStart) start(now spanrill.Millis) bool {
	s.advance(now)
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// advance adds the credit of the time that has passed. Requests that did not arrive give no more credit
// than that of a step.
func (s *slowStart) advance(now spanrill.Millis) {
	if !s.begun {
		*s = slowStart{begun: true, rate: slowStartRate, credit: slowStartFirst, at: now, risenAt: now}
	}
	if passed := now - s.at; passed > 0 {
		most := max(slowStartFirst, s.rate*slowStartStep.Duration().Seconds())
		s.credit = min(most, s.credit+s.rate*passed.Duration().Seconds())
		s.at = now
	}
	if s.refused && now-s.refusedAt < slowStartQuiet {
		s.risenAt = now
		return
	}
	for ; now-s.risenAt >= slowStartStep && s.rate < slowStartMaxRate; s.risenAt += slowStartStep {
		s.rate *= 2
	}
}

// recordRefusal halves the rate after an engine refused a request. Refusals within a step count once.
func (s *slowStart) recordRefusal(now spanrill.Millis) {
	s.advance(now)
	if s.refused && now-s.refusedAt < slowStartStep {
		return
	}
	s.refused, s.refusedAt, s.risenAt = true, now, now
	s.rate = max(slowStartFloor, s.rate/2)
	s.credit = min(s.credit, 1)
}
