package layoutrun

import (
	"slices"

	"spanrill"
	"spanrill/coordination/layout"
)

// lastPlan records the engines of a service for which moves were planned last.
type lastPlan struct {
	engines []layout.Engine
	at      spanrill.Millis
	noMoves bool // the plan was empty
}

// replanInterval is how long a result of no moves is reused for unchanged engines. The tokens
// reserved by requests change all the time. They decide only which of several engines with the
// same layers are spares and what a repair may cut, and both matter only once engines change.
const replanInterval = spanrill.Second

// stillNeedsNoMoves reports whether the engines are as they were when they last needed no moves.
func (p *Placer) stillNeedsNoMoves(service string, engines []layout.Engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.lastPlans[service]
	return last.noMoves && p.clock.Now()-last.at < replanInterval && slices.EqualFunc(last.engines, engines, equalExceptTokens)
}

// recordPlan records the engines for which moves were planned.
func (p *Placer) recordPlan(service string, engines []layout.Engine, noMoves bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastPlans[service] = lastPlan{engines: engines, at: p.clock.Now(), noMoves: noMoves}
}

// equalExceptTokens reports whether two engines differ at most in their reserved tokens.
func equalExceptTokens(a, b layout.Engine) bool {
	a.Tokens, b.Tokens = 0, 0
	return a == b
}
