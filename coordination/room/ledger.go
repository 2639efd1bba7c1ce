// Package room keeps account of the room on the chains of one service, and chooses the chain on
// which each request starts. The granting daemon of the service has one Ledger.
//
//	ledger.go   giving and taking back room
//	chains.go   the chains and their engines
//	engine.go   the account of one engine
//	choice.go   which chain serves a request best
//	news.go     load that the ledger did not give, as told by daemons and engines
//	refusal.go  engines that have refused a request
//	limit.go    how much of an engine is given
//	told.go     what others hold by the sums of daemons
//	history.go  what the ledger's own requests held at an earlier time
//	rate.go     how many requests end per second
//	state.go    the state of each chain for operators
//
// Room is counted at every engine of a chain: in tokens, and in requests at the first engine. An
// engine that belongs to several chains has one account.
//
// # Usage
//
//	ledger := room.NewLedger()
//	ledger.SetChains(now, chains)
//	first, ok := ledger.Give(now, id, spanrill.RoomNeed{Prompt: 800, Answer: 170, Class: 1})
//	...
//	ledger.End(now, id) // or Cancel, if the request has not run
package room

import (
	"spanrill"
)

var _ spanrill.RoomLedger = (*Ledger)(nil)

// Ledger implements spanrill.RoomLedger. It is not safe for concurrent use.
type Ledger struct {
	fill, urgentFill float64 // fractions of an engine's capacity that are given

	chains  []*chain
	engines map[uint32]*engine // of the chains, and those that still have load
	grants  map[uint64]grant

	mean        meanNeed
	asked       [spanrill.ClassCount]askedAt
	ends        rate
	toldAsOf    spanrill.Millis // latest time for which daemons have told their load
	toldAt      spanrill.Millis // when they told it
	told        bool            // they have told it, and it counts
	nextExpiry  spanrill.Millis
	drainsSince spanrill.Millis // since when others start no requests, 0 if they do
}

// grant is room that a request has.
type grant struct {
	chain  *chain
	tokens float64
	prompt float64
	class  spanrill.Class
	readBy float64 // expected time at which the prompt has been read, in milliseconds
}

// Option configures a Ledger.
type Option func(*Ledger)

const (
	// defaultFill is the fraction of an engine's capacity that requests may use. The rest is for
	// answers that are longer than expected, and for requests that run there without a grant and
	// are not known yet.
	defaultFill = 0.95
	// defaultUrgentFill is the same fraction for the most urgent class, so that its requests still
	// start where others have filled an engine.
	defaultUrgentFill = 0.97
)

// WithFill sets the fraction of an engine's capacity that is given to requests of the most urgent
// class, and to all others. The defaults are 0.97 and 0.95.
func WithFill(urgent, others float64) Option {
	return func(l *Ledger) { l.urgentFill, l.fill = urgent, others }
}

// NewLedger returns a ledger without chains.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{fill: defaultFill, urgentFill: defaultUrgentFill, engines: map[uint32]*engine{}, grants: map[uint64]grant{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Give implements spanrill.RoomLedger. An id that has room already gives that back first. It takes
// time in proportion to the number of engines in all chains, and allocates nothing but space in the
// table of ids.
func (l *Ledger) Give(now spanrill.Millis, id uint64, need spanrill.RoomNeed) (first uint32, ok bool) {
	return l.give(now, id, need, false)
}

// GiveUrgent gives room as Give does, within the fraction for the most urgent class.
func (l *Ledger) GiveUrgent(now spanrill.Millis, id uint64, need spanrill.RoomNeed) (first uint32, ok bool) {
	return l.give(now, id, need, true)
}

func (l *Ledger) give(now spanrill.Millis, id uint64, need spanrill.RoomNeed, isUrgent bool) (first uint32, ok bool) {
	l.expire(now)
	l.takeBack(now, id)
	l.recordAsked(now, need)
	r := l.newRequest(now, need)
	if isUrgent {
		r.maxFill = l.urgentFill
	}
	c, e := l.choose(&r, true)
	if c == nil {
		return 0, false
	}
	l.grants[id] = grant{chain: c, tokens: r.tokens, prompt: r.prompt, class: r.class, readBy: float64(now) + e.read}
	l.hold(now, c, &r)
	for _, p := range c.parts {
		p.engine.pause.recordStart(now)
	}
	return c.first().id, true
}

// hold accounts a request that starts to the engines of its chain.
func (l *Ledger) hold(now spanrill.Millis, c *chain, r *request) {
	for _, p := range c.parts {
		p.engine.begin(now, r.tokens*p.share, r.prompt*p.readMillis)
	}
	first := c.first()
	first.given[r.class]++
	first.own.calls++
	first.history.record(now, first.own)
}

// Resize implements spanrill.RoomLedger. It takes time in proportion to the length of the chain.
func (l *Ledger) Resize(now spanrill.Millis, id uint64, need spanrill.RoomNeed) {
	g, ok := l.grants[id]
	if !ok {
		return
	}
	l.takeBack(now, id)
	l.recordAsked(now, need)
	r := l.newRequest(now, need)
	l.grants[id] = grant{chain: g.chain, tokens: r.tokens, prompt: r.prompt, class: r.class, readBy: float64(now) + r.prompt*g.chain.readMillis}
	l.hold(now, g.chain, &r)
}

// Cancel implements spanrill.RoomLedger. It takes time in proportion to the length of the chain.
func (l *Ledger) Cancel(now spanrill.Millis, id uint64) { l.takeBack(now, id) }

// End implements spanrill.RoomLedger. It takes time in proportion to the length of the chain.
func (l *Ledger) End(now spanrill.Millis, id uint64) {
	if l.takeBack(now, id) {
		l.ends.add(now)
	}
}

// takeBack takes back the room of a request and reports whether it had any.
func (l *Ledger) takeBack(now spanrill.Millis, id uint64) bool {
	g, ok := l.grants[id]
	if !ok {
		return false
	}
	delete(l.grants, id)
	unread := 0.0
	if float64(now) < g.readBy {
		unread = g.prompt
	}
	first := g.chain.first()
	first.given[g.class]--
	first.own.calls--
	for _, p := range g.chain.parts {
		p.engine.end(now, g.tokens*p.share, unread*p.readMillis)
	}
	return true
}

// EndRate implements spanrill.RoomLedger. The rate is an average over about a second.
func (l *Ledger) EndRate(now spanrill.Millis) float64 { return l.ends.perSecond(now) }

// CanEver implements spanrill.RoomLedger.
func (l *Ledger) CanEver(need spanrill.RoomNeed) bool {
	r := l.newRequest(0, need) // at any time: a class that once asked may ask again
	for _, c := range l.chains {
		if c.allows(r.avoid) && c.fitsEmpty(&r) {
			return true
		}
	}
	return false
}

// FirstEvent implements spanrill.RoomLedger. It returns 0 if there is no chain that need may use.
// It takes time in proportion to the number of engines in all chains.
func (l *Ledger) FirstEvent(now spanrill.Millis, need spanrill.RoomNeed) spanrill.Millis {
	l.expire(now)
	r := l.newRequest(now, need)
	c, e := l.choose(&r, false)
	if c == nil {
		return 0
	}
	return spanrill.Millis(e.first)
}
