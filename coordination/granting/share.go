package granting

import "spanrill"

const (
	// urgentClass is the class that may use the whole share of a daemon.
	urgentClass spanrill.Class = 0
	// otherFraction is the fraction of the share that other classes may use, so that urgent requests
	// find room.
	otherFraction = 0.9
)

// share decides which requests a daemon starts while it reaches no granting daemon. All daemons
// have an equal share of the room. What a daemon runs, also by earlier grants, counts against its
// share.
type share struct {
	rooms    []chainRoom
	meanSize float64 // mean size of a request in tokens, over 0
	daemons  int     // among which the room is divided, at least 1
	// rounding is fixed for each daemon and random, from 0 to 1. If the shares are under one
	// request, it selects the daemons that may start one.
	rounding float64
}

// shareRequest is a request that asks for a part of the share.
type shareRequest struct {
	class spanrill.Class
	size  float64 // tokens
	// running is the size of the requests of the service that this daemon runs, in tokens.
	running float64
	avoid   map[uint32]bool // engines that must not be used, or that have just refused requests
	draw    float64         // random, from 0 to 1
}

// limit returns how many requests of mean size a class may run at this daemon.
func (s *share) limit(class spanrill.Class) float64 {
	total := 0.0
	for _, r := range s.rooms {
		total += r.room
	}
	limit := total / float64(max(1, s.daemons))
	if class != urgentClass {
		limit *= otherFraction
	}
	if limit >= 1 {
		return limit
	}
	if s.rounding < limit {
		return 1
	}
	return 0
}

// start returns the first engine of the chain on which a request starts. Chains are drawn in
// proportion to their room. It returns false if the share is in use, or all chains are to be avoided.
func (s *share) start(r shareRequest) (first uint32, ok bool) {
	if (r.running+r.size)/s.meanSize > s.limit(r.class) {
		return 0, false
	}
	return drawChain(s.rooms, r.avoid, r.draw)
}

// drawChain selects a chain in proportion to its room.
func drawChain(rooms []chainRoom, avoid map[uint32]bool, draw float64) (first uint32, ok bool) {
	usable := rooms[:0:0]
	total := 0.0
	for _, r := range rooms {
		if r.room > 0 && !usesAny(r.chain, avoid) {
			usable = append(usable, r)
			total += r.room
		}
	}
	left := draw * total
	for _, r := range usable {
		left -= r.room
		if left < 0 {
			return r.chain.First(), true
		}
	}
	if len(usable) == 0 {
		return 0, false
	}
	return usable[len(usable)-1].chain.First(), true
}

// usesAny reports whether a chain uses any of the engines.
func usesAny(c *spanrill.RoomChain, engines map[uint32]bool) bool {
	for _, p := range c.Parts {
		if engines[p.Engine] {
			return true
		}
	}
	return false
}
