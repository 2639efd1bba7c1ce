package relay

import (
	"spanrill"
	"spanrill/coordination/chainrouting"
)

const (
	// vacateInterval is the pause between two tries to move a request off an engine. Which engines hold
	// its layers changes every few hundred milliseconds at most.
	vacateInterval spanrill.Millis = 400
	// maxVacateDelay is the longest time for which a request stays on an engine that is to give up its
	// layers. The engines that take over read the tokens of the moved requests one after another: those
	// of a full chain take half a second to a second, which is a pause that its callers notice if
	// all move at once. Requests run for seconds, and the order waits for them in any case.
	maxVacateDelay spanrill.Millis = 1500
)

// vacateSchedule decides when a request tries to move off engines that are to give up its layers.
type vacateSchedule struct {
	path   *chainrouting.Path // for which nextAt holds
	nextAt spanrill.Millis
}

// due reports whether the request tries to move now. If there is a greatest delay, the first try on a
// path is delayed by a random part of it.
func (v *vacateSchedule) due(now spanrill.Millis, path *chainrouting.Path, maxDelay spanrill.Millis, random func() float64) bool {
	if maxDelay > 0 && v.path != path {
		v.path, v.nextAt = path, now+spanrill.Millis(random()*float64(maxDelay))
	}
	if now < v.nextAt {
		return false
	}
	v.nextAt = now + vacateInterval
	return true
}

// vacate moves the request off engines that are to give up its layers, if others in the same
// availability zones hold them. The order to give up layers waits for running requests, and a new
// chain may wait for that order.
func (g *generation) vacate() {
	maxDelay := spanrill.Millis(0)
	if gate := g.relay.Room; gate != nil && gate.Divides(g.service.Name) {
		maxDelay = maxVacateDelay
	}
	if g.vacates.due(g.relay.Clock.Now(), g.path, maxDelay, g.relay.Random.Float64) {
		g.move(true)
	}
}
