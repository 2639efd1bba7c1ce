package layoutrun

import (
	"slices"

	"spanrill"
	"spanrill/coordination/layout"
)

// lastLook is the engines of a service at the last look for which moves were worked out.
type lastLook struct {
	engines []layout.Engine
	at      spanrill.Millis
	rests   bool // no moves were needed
}

// lookAgain is how long engines that are as they were need no other moves. What requests hold
// changes all the time, and decides only which of engines that hold the same are spares, and
// what a repair may cut, for which a change of the engines is needed anyway.
const lookAgain = spanrill.Second

// needsNothing reports whether the engines are as they were when they needed no moves.
func (p *Placer) needsNothing(service string, engines []layout.Engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.looks[service]
	return last.rests && p.clock.Now()-last.at < lookAgain && slices.EqualFunc(last.engines, engines, sameEngine)
}

// noteLook notes the engines for which moves were worked out.
func (p *Placer) noteLook(service string, engines []layout.Engine, rests bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.looks[service] = lastLook{engines: engines, at: p.clock.Now(), rests: rests}
}

// sameEngine reports whether two engines differ in nothing but what requests hold there.
func sameEngine(a, b layout.Engine) bool {
	a.Tokens, b.Tokens = 0, 0
	return a == b
}
