package room

import "spanrill"

// load is what requests hold at an engine. Calls are the requests of which it is the first engine.
type load struct {
	tokens float64
	calls  float64
}

// engine is the account of one engine. The fields that are read for each choice come first, so that
// they share a cache line.
type engine struct {
	capacity float64 // tokens
	used     float64 // tokens that are accounted to it: the sum of own, told and extra
	readEnds float64 // time until which it reads the prompts given to it, in milliseconds
	pause    pause   // after it refused a request
	limit    fillLimit
	id       uint32

	own        load                     // of requests to which the ledger gave room
	beyond     load                     // of other requests, as daemons told last
	held       float64                  // how long a request of mean size holds it, in milliseconds, 0 if unknown
	told       load                     // of beyond, what is taken to be left
	still      float64                  // part of beyond that is left, as first engines have told since
	steadyTold load                     // beyond, when own had last been steady
	extra      load                     // of other requests, beyond told, as engines told
	requests   int                      // to which the ledger gave room, first engine or not
	given      [spanrill.ClassCount]int // those of which it is the first engine, by class
	history    history                  // of own
	reported   report                   // what the engine itself told
	// firstShare is the share of its layers in the chain that begins at it, 0 if none does.
	firstShare float64
	current    bool            // belongs to a chain
	leftAt     spanrill.Millis // when it last did
}

// sum computes used again.
func (e *engine) sum() { e.used = e.own.tokens + e.told.tokens + e.extra.tokens }

// hasRoom reports whether a request may start now that would bring the engine to so many tokens.
func (e *engine) hasRoom(r *request, used float64) bool {
	return used <= e.givenOf(r) && e.pause.allows(r.now)
}

// calls returns the requests that are accounted to it as their first engine.
func (e *engine) calls() float64 { return e.own.calls + e.foreignCalls() }

// foreignCalls returns how many of these the ledger did not start.
func (e *engine) foreignCalls() float64 { return e.told.calls + e.extra.calls }

// begin accounts a request that starts: its tokens, and the time that its prompt takes to read.
func (e *engine) begin(now spanrill.Millis, tokens, readMillis float64) {
	e.own.tokens += tokens
	e.requests++
	e.readEnds = max(e.readEnds, float64(now)) + readMillis
	e.history.record(now, e.own)
	e.sum()
}

// end takes back what a request held, and the time to read what was not read of its prompt.
func (e *engine) end(now spanrill.Millis, tokens, unreadMillis float64) {
	e.requests--
	e.own.tokens = max(0, e.own.tokens-tokens)
	if e.requests == 0 {
		e.own.tokens = 0 // drops rounding errors
	}
	e.readEnds = max(float64(now), e.readEnds-unreadMillis)
	e.history.record(now, e.own)
	e.sum()
}
