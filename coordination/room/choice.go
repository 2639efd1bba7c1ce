package room

import (
	"math"

	"spanrill"
)

const (
	// reservedAnswerShare is the fraction of its answer that a request holds on average while it
	// runs: engines keep the tokens of an answer as they make them.
	reservedAnswerShare = 0.5
	// minHeadroom is the least free fraction of a chain that is told apart in its cost.
	minHeadroom = 0.05
	// otherZoneFactor raises the cost of chains in other availability zones: traffic between zones
	// is paid for.
	otherZoneFactor = 1.15
	// bridgedFactor raises the cost of chains whose engines mostly serve other chains.
	bridgedFactor = 1.3
	// askedMillis is how long a class that does not ask for room still counts as one that may.
	askedMillis = spanrill.Minute
)

// request is a need in the form in which chains are compared.
type request struct {
	now            spanrill.Millis
	prompt, answer float64 // tokens
	tokens         float64 // to account
	maxFill        float64 // fraction of an engine's capacity that it may use
	class          spanrill.Class
	zone           string
	avoid          map[uint32]bool
	pause, patient float64 // milliseconds, 0 for none
	events         float64 // tokens in one event
}

// estimate is what a request is expected to get on a chain, in milliseconds.
type estimate struct {
	read   float64 // until its prompt has been read
	first  float64 // until its first event
	step   float64 // between two tokens
	fill   float64 // of the fullest engine, with the request
	misses int     // objectives that will not be met
}

func (l *Ledger) newRequest(now spanrill.Millis, need spanrill.RoomNeed) request {
	r := request{
		now: now, prompt: float64(max(0, need.Prompt)), answer: float64(max(0, need.Answer)), class: checkedClass(need.Class),
		zone: need.Zone, avoid: need.Avoid, pause: float64(need.Pause), patient: float64(need.Patient), events: float64(max(1, need.Events)),
	}
	r.tokens = r.prompt + reservedAnswerShare*r.answer
	r.maxFill = l.fill
	if r.class <= l.mostUrgent(now) {
		r.maxFill = l.urgentFill
	}
	return r
}

func checkedClass(c spanrill.Class) spanrill.Class {
	if c >= spanrill.ClassCount {
		return spanrill.DefaultClass
	}
	return c
}

// askedAt is when a class last asked for room.
type askedAt struct {
	at    spanrill.Millis
	known bool
}

// mostUrgent returns the most urgent class that has asked for room lately.
func (l *Ledger) mostUrgent(now spanrill.Millis) spanrill.Class {
	for class, a := range l.asked {
		if a.known && now-a.at <= askedMillis {
			return spanrill.Class(class)
		}
	}
	return spanrill.ClassCount
}

// recordAsked records the class and the size of a request.
func (l *Ledger) recordAsked(now spanrill.Millis, need spanrill.RoomNeed) {
	l.asked[checkedClass(need.Class)] = askedAt{at: now, known: true}
	l.mean.add(float64(max(0, need.Prompt)), float64(max(0, need.Answer)))
}

// meanNeed is the mean size of the requests that asked for room, the latest with more weight.
type meanNeed struct {
	count          int
	prompt, answer float64 // tokens
}

// meanRequests is the number of requests over which sizes are averaged.
const meanRequests = 200

func (m *meanNeed) add(prompt, answer float64) {
	m.count = min(m.count+1, meanRequests)
	m.prompt += (prompt - m.prompt) / float64(m.count)
	m.answer += (answer - m.answer) / float64(m.count)
}

func (m *meanNeed) tokens() float64 { return m.prompt + reservedAnswerShare*m.answer }

// choose returns the chain that serves a request best, or nil if it may use none. Chains that miss
// fewer of its objectives go first, then those of lower cost. With mustHaveRoom, it considers only
// chains that have room.
func (l *Ledger) choose(r *request, mustHaveRoom bool) (best *chain, of estimate) {
	least := math.Inf(1)
	for _, c := range l.chains {
		if !c.allows(r.avoid) || best != nil && of.misses == 0 && c.leastCost(r) >= least {
			continue
		}
		e, ok := c.estimate(r, mustHaveRoom)
		if !ok || best != nil && e.misses > of.misses {
			continue
		}
		if cost := c.cost(r, &e); best == nil || e.misses < of.misses || cost < least {
			best, of, least = c, e, cost
		}
	}
	return best, of
}

// leastCost returns a lower bound of the cost of a request, for which it looks at the first engine
// only.
func (c *chain) leastCost(r *request) float64 {
	first := c.first()
	return c.cost(r, &estimate{read: r.prompt * c.readMillis * c.penalty, step: c.step(), fill: first.used / first.capacity})
}

// step returns the time between two tokens of a request that starts now, in milliseconds.
func (c *chain) step() float64 { return (c.stepMillis + c.perRequest*c.first().calls()) * c.penalty }

// estimate returns what a request would get. Prompts are read at one engine after the other, each
// behind those that wait there. With mustHaveRoom, it returns false if the chain has no room.
func (c *chain) estimate(r *request, mustHaveRoom bool) (e estimate, ok bool) {
	if mustHaveRoom && !c.hasSlot(r) {
		return e, false
	}
	first := c.first()
	e.step = c.step()
	if c.slots > 0 {
		e.fill = (first.calls() + 1) / c.slots
	}
	start := float64(r.now)
	end := start
	for i := range c.parts {
		p := &c.parts[i]
		used := p.engine.used + r.tokens*p.share
		if mustHaveRoom && !p.engine.hasRoom(r, used) {
			c.recordFull(r, p.engine)
			return e, false
		}
		end = max(end, p.engine.readEnds) + r.prompt*p.readMillis
		e.fill = max(e.fill, used/p.engine.capacity)
	}
	e.read = (end - start) * c.penalty
	e.first = e.read + r.events*e.step
	if r.pause > 0 && r.events*e.step > r.pause {
		e.misses++
	}
	if r.patient > 0 && e.first > r.patient {
		e.misses++
	}
	return e, true
}

// cost returns the expected milliseconds of a request, weighted by the fullness, the availability
// zone and the kind of the chain.
func (c *chain) cost(r *request, e *estimate) float64 {
	cost := (e.read + max(1, r.answer)*e.step) * fullness(e.fill)
	if c.zone != r.zone {
		cost *= otherZoneFactor
	}
	if c.bridged {
		cost *= bridgedFactor
	}
	return cost
}

// fullness returns what the cost of a chain is multiplied by: 1.5 if it is half full, and much more
// for the last tenth, which is left to bursts as long as another chain serves a request.
func fullness(fill float64) float64 { return 1 + fill*fill/max(minHeadroom, 1-fill) }
