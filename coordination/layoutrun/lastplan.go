package layoutrun

import (
	"slices"

	"spanrill"
	"spanrill/coordination/layout"
)

// lastPlan records the engines of a service as they were when its moves were last planned.
type lastPlan struct {
	engines   []layout.Engine
	plannedAt spanrill.Millis
	noMoves   bool // no moves were needed
}

// replanInterval is how long an empty plan is reused for unchanged engines. Engines count as
// unchanged if only their reserved tokens differ, which change all the time: these decide only
// which of several engines with the same layers are spares and what a repair may cut, and both
// matter only once engines change in other ways.
const replanInterval = spanrill.Second

// stillNeedsNoMoves reports whether the last plan of a service was empty, is younger than
// replanInterval, and was made for the same engines.
func (p *Placer) stillNeedsNoMoves(service string, engines []layout.Engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.lastPlans[service]
	return last.noMoves && p.clock.Now()-last.plannedAt < replanInterval && slices.EqualFunc(last.engines, engines, equalExceptTokens)
}

// recordPlan records the engines for which moves were planned.
func (p *Placer) recordPlan(service string, engines []layout.Engine, noMoves bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastPlans[service] = lastPlan{engines: engines, plannedAt: p.clock.Now(), noMoves: noMoves}
}

// equalExceptTokens reports whether two engines differ at most in their reserved tokens.
func equalExceptTokens(a, b layout.Engine) bool {
	a.Tokens, b.Tokens = 0, 0
	return a == b
}
