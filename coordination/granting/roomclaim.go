package granting

import (
	"math"
	"slices"

	"spanrill"
	"spanrill/protocol/peermsg"
)

const (
	// maxClaims bounds the requests of a service that wait or hold room: over the 20,000 that run on all
	// engines of the largest fleet at once.
	maxClaims = 32_768
	// maxAskers bounds the daemons of a service that are known: over the 1,000 of the largest fleet and
	// as many that have just been restarted.
	maxAskers = 4096
)

// claimState is the state of a claim.
type claimState uint8

const (
	claimEnded   claimState = iota
	claimWaiting            // in the line
	claimHolding            // a request has room
	claimAhead              // room was given ahead of need, and no request is known to use it
)

// claim is a request that waits or holds room, or a grant given ahead of need.
type claim struct {
	handle    uint64 // identifies it to the ledger and the line
	id        uint64 // of the RoomRequest, unique at the daemon only
	asker     *asker
	state     claimState
	need      spanrill.RoomNeed
	entry     spanrill.LineEntry
	content   uint64
	callerEnd spanrill.Millis // until then the caller waits for an answer
	firstBy   spanrill.Millis // objective for the first event, or the time of its arrival if it has none
	refusedBy []uint32        // engines that the RoomRequest named
	first     uint32          // first engine of the granted chain
	since     spanrill.Millis // when the daemon last learned of it, or asked
	offered   bool            // to the line, which counts its requests itself
	waited    bool
	replying  bool // the reply to its RoomRequest is being made
}

// repeats reports whether a RoomRequest was sent a second time for a claim, because the reply was
// lost or late. A request that was refused by an engine of the granted chain is no repetition.
// Room is not given at once on engines that have just refused, so a claim that got its room without
// waiting does not use those that its RoomRequest named.
func (c *claim) repeats(req *peermsg.RoomRequest) bool {
	if len(req.RefusedBy) == 0 || c.state == claimWaiting {
		return true
	}
	return !c.waited && slices.Equal(c.refusedBy, atMost(req.RefusedBy, maxRefusedBy))
}

// asker is a daemon that asks for room.
type asker struct {
	addr       string
	heardAt    spanrill.Millis
	desertedAt spanrill.Millis   // when it last asked because the preferred daemon did not answer, or 0
	claims     map[uint64]*claim // by id; without grants given ahead of need
	aheads     int               // grants given ahead of need that were not used yet
	starts     startRate
	refused    refusedStarts
}

// asker returns the state of a daemon that has sent a request, or nil if there are too many.
func (r *Room) asker(now spanrill.Millis, name, addr string) *asker {
	a := r.askers[name]
	if a == nil {
		if len(r.askers) >= maxAskers {
			return nil
		}
		a = &asker{claims: map[uint64]*claim{}}
		r.askers[name] = a
	}
	a.addr, a.heardAt = addr, now
	return a
}

// nextHandle returns a handle for a claim.
func (r *Room) nextHandle() uint64 {
	r.lastHandle++
	return r.lastHandle
}

// keep adds a claim of a request.
func (r *Room) keep(c *claim, s claimState) {
	c.state = s
	r.claims[c.handle] = c
	c.asker.claims[c.id] = c
}

// end ends the claim of a request that has run.
func (r *Room) end(now spanrill.Millis, c *claim) {
	r.ledger.End(now, c.handle)
	r.cancel(now, c)
}

// cancel ends a claim whose request has not run, or of which that is not known. It takes back its room,
// or takes it out of the line.
func (r *Room) cancel(now spanrill.Millis, c *claim) {
	switch c.state {
	case claimWaiting:
		r.line.Remove(c.handle)
	case claimHolding:
		r.freed = true
		r.ledger.Cancel(now, c.handle)
	case claimAhead:
		r.freed = true
		r.ledger.Cancel(now, c.handle)
		c.asker.aheads--
	}
	if c.asker.claims[c.id] == c {
		delete(c.asker.claims, c.id)
	}
	delete(r.claims, c.handle)
	c.state = claimEnded
}

// sortedClaims returns the claims of the requests of a daemon that match, oldest first.
func (a *asker) sortedClaims(match func(*claim) bool) []*claim {
	var found []*claim
	for _, c := range a.claims {
		if match(c) {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(x, y *claim) int {
		if x.handle < y.handle {
			return -1
		}
		return 1
	})
	return found
}

// startRateMemory is the time over which starts of a daemon are averaged, in milliseconds.
const startRateMemory = float64(spanrill.Second)

// startRate is the decaying mean rate at which a daemon starts requests.
type startRate struct {
	perSecond float64
	at        spanrill.Millis
}

func (s *startRate) record(now spanrill.Millis) {
	s.perSecond = s.value(now) + float64(spanrill.Second)/startRateMemory
	s.at = now
}

func (s *startRate) value(now spanrill.Millis) float64 {
	return s.perSecond * math.Exp(-float64(now-s.at)/startRateMemory)
}
