package admission

import (
	"math"

	"spanrill"
)

const (
	// chanceDeviations is how many standard deviations a number of requests that depends on chance is
	// expected above its mean. Two are exceeded by one request in 40, which then waits in vain.
	chanceDeviations = 2.0
	// minProgress is the smallest part of the rate that is assumed for a request that is overtaken,
	// so that it is not refused for the chance of a moment when few requests are before it.
	minProgress = 0.1
)

// waitBehind returns how long a request waits behind others if no further ones enter before it, in
// milliseconds, or 0 if the rate is unknown.
func (l *Line) waitBehind(requests int) float64 {
	if l.rate == 0 {
		return 0
	}
	return float64(requests) / l.rate * float64(spanrill.Second)
}

// expectedWait returns how long a new request at a position in its class will wait, in
// milliseconds, or 0 if the rate is unknown. It expects that requests overtake at the rate of late,
// and allows for chance in their number.
func (l *Line) expectedWait(class spanrill.Class, position int) float64 {
	if l.rate == 0 {
		return 0
	}
	overtaking := l.overtaking(class, position)
	progress := max(l.rate-overtaking, l.rate*minProgress)
	requests := float64(l.moreUrgent(class) + l.starvedBefore(class) + position + 1)
	requests += l.deviations() * l.overtakingDeviation(overtaking, requests/progress)
	wait := requests / progress * float64(spanrill.Second)
	return min(wait, l.assuredWait(class, position+1, l.deviations()))
}

// deviations returns how many standard deviations are allowed for chance: none while so few requests
// wait that room would be idle when fewer than usual arrive for a second.
func (l *Line) deviations() float64 {
	if float64(len(l.waiting)) < chanceDeviations*math.Sqrt(l.rate) {
		return 0
	}
	return chanceDeviations
}

// overtakingDeviation returns the standard deviation of the number of requests that overtake within
// some seconds. The rate is known only from those of about the half-life.
func (l *Line) overtakingDeviation(perSecond, seconds float64) float64 {
	decay := math.Ln2 * float64(spanrill.Second) / float64(l.overtakenByOthers.halfLife)
	return math.Sqrt(perSecond * seconds * (1 + seconds*decay/2))
}

// assuredWait returns how long a class waits until a number of its requests have started by the part
// that it keeps, in milliseconds: those that it lacks go first, further ones start at its assured
// rate. The number of these is taken to be more by some standard deviations.
func (l *Line) assuredWait(class spanrill.Class, requests int, deviations float64) float64 {
	perSecond := l.rate * l.share.assured(class)
	if perSecond == 0 {
		return math.Inf(1)
	}
	for c := range class {
		if l.share.starved(c) {
			requests += len(l.classes[c].waiting)
		}
	}
	deficit := l.share.deficit(class)
	further := float64(requests) - deficit
	if further <= 0 {
		return l.waitBehind(requests)
	}
	further += deviations * math.Sqrt(further)
	return (max(0, deficit)/l.rate + further/perSecond) * float64(spanrill.Second)
}

// leastWait returns how long a waiting request waits if no further ones enter before it, in
// milliseconds, or 0 if the rate is unknown. Position is that in its class, ahead the number of
// requests that are before it by their classes alone.
func (l *Line) leastWait(class spanrill.Class, position, ahead int) float64 {
	if l.rate == 0 {
		return 0
	}
	return min(l.waitBehind(ahead), l.assuredWait(class, position, 0))
}

// overtaking returns how many requests per second enter before a new one at a position in its
// class. Those of its class are taken to enter anywhere before the last.
func (l *Line) overtaking(class spanrill.Class, position int) float64 {
	perSecond := l.overtakenByOthers.perSecond(class)
	if n := len(l.classes[class].waiting); n > 0 {
		perSecond += l.overtakenByOwn.perSecond(class) * float64(position) / float64(n)
	}
	return perSecond
}

// moreUrgent returns the number of waiting requests of more urgent classes.
func (l *Line) moreUrgent(class spanrill.Class) int {
	n := 0
	for c := range class {
		n += len(l.classes[c].waiting)
	}
	return n
}

// starvedBefore returns the number of waiting requests of less urgent classes that go first.
func (l *Line) starvedBefore(class spanrill.Class) int {
	n := 0
	for c := class + 1; c < spanrill.ClassCount; c++ {
		lacking := int(math.Ceil(max(0, l.share.deficit(c))))
		n += min(lacking, len(l.classes[c].waiting))
	}
	return n
}

// timeLeft returns the time until the latest start of a request in milliseconds, negative if it has
// passed.
func timeLeft(now spanrill.Millis, e *lineEntry) float64 {
	return float64(e.LatestStart) - float64(now)
}
