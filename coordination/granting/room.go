package granting

import (
	"spanrill"
	"spanrill/protocol/peermsg"
)

// Room divides the room on the chains of one service among the requests of all daemons. It decides
// which requests start, wait or are refused, and when room that was given lapses.
//
// It is pure: time is an argument, and messages to other daemons are results. Each method accepts
// times that go back, and counts them as the latest time seen. It is not safe for concurrent use.
//
//	room := granting.NewRoom("advice", parts)
//	room.SetChains(now, chains)
//	reply, notices := room.Request(now, request)
//	notices = room.Report(now, report) // when a daemon tells what has ended
//	notices = room.Tick(now)           // every 50 ms
type Room struct {
	service   string
	ledger    spanrill.RoomLedger
	newLedger func() spanrill.RoomLedger
	line      *lateLine
	returns   spanrill.ReturnPlanner
	ahead     bool // grants may be given ahead of need

	begun      bool
	now        spanrill.Millis // latest time seen
	advancedAt spanrill.Millis // when due changes were last made

	chains      []spanrill.RoomChain
	known       bool            // the chains were set
	engines     map[uint32]bool // on the chains
	told        map[uint32]spanrill.RoomUse
	toldAsOf    spanrill.Millis
	standby     bool // another daemon is preferred
	allowance   granterAllowance
	drainsSince spanrill.Millis // since when the load of others only ends, 0 if it does not
	applied     float64         // allowance in the chains of the ledger, or 0 if they have changed

	lastHandle uint64
	claims     map[uint64]*claim // by handle
	askers     map[string]*asker // by name of the daemon
	passed     map[uint64]bool   // handles of waiting claims that had no room when they were last tried
	aheads     []*claim          // given ahead of need, oldest first; some have been used since
	sizes      meanSize
	fill       recentFill
	freed      bool // room came free since waiting requests were last tried

	notices []Notice // of the current call
	counts  Counts
}

// RoomOption changes a default of NewRoom.
type RoomOption func(*Room)

// WithoutAhead makes a Room give no grants ahead of need.
func WithoutAhead() RoomOption { return func(r *Room) { r.ahead = false } }

// withHandlesAfter sets the number after which the handles of claims begin.
func withHandlesAfter(handle uint64) RoomOption {
	return func(r *Room) { r.lastHandle = handle }
}

// NewRoom returns a Room without chains.
func NewRoom(service string, parts Parts, opts ...RoomOption) *Room {
	r := &Room{
		service: service, ledger: parts.NewLedger(), newLedger: parts.NewLedger, line: &lateLine{parts.NewLine(), parts.NewLine()}, returns: parts.NewReturns(),
		ahead: true, engines: map[uint32]bool{}, claims: map[uint64]*claim{}, askers: map[string]*asker{},
		passed: map[uint64]bool{},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Notice is a message to the daemon that has a request.
type Notice struct {
	Addr    string // peer address of the daemon, or "" for the one that grants
	Message *peermsg.RoomNotice
}

// Counts holds the numbers of decisions since the start.
type Counts struct {
	Given   [spanrill.ClassCount]uint64 // requests that got room
	Waited  [spanrill.ClassCount]uint64 // requests that had to wait, whatever became of them
	Refused [spanrill.ClassCount]uint64 // requests that were refused

	Ahead            uint64 // grants given ahead of need
	AheadLapsed      uint64 // of these, not used in time
	Lapsed           uint64 // requests whose daemon stopped reporting, or reported no longer that it holds them
	RefusedByEngines uint64 // refusals by engines that daemons have told
	ReturnsKept      uint64 // requests that came at a time planned for them
}

// add adds the numbers of another Room.
func (c *Counts) add(other Counts) {
	for class := range spanrill.ClassCount {
		c.Given[class] += other.Given[class]
		c.Waited[class] += other.Waited[class]
		c.Refused[class] += other.Refused[class]
	}
	c.Ahead += other.Ahead
	c.AheadLapsed += other.AheadLapsed
	c.Lapsed += other.Lapsed
	c.RefusedByEngines += other.RefusedByEngines
	c.ReturnsKept += other.ReturnsKept
}

// Counts returns the numbers of decisions since the start.
func (r *Room) Counts() Counts { return r.counts }

// Len returns the number of requests that wait or hold room, and of grants given ahead of need.
func (r *Room) Len() int { return len(r.claims) }

// EndRate returns how many requests end per second.
func (r *Room) EndRate(now spanrill.Millis) float64 { return r.ledger.EndRate(max(r.now, now)) }

// Waiting returns the number of waiting requests.
func (r *Room) Waiting() int { return r.line.Len() }

// Status returns the state for operators. The caller sets Granting.
func (r *Room) Status(now spanrill.Millis) *peermsg.RoomStatus {
	now = max(r.now, now)
	s := &peermsg.RoomStatus{Chains: r.ledger.Chains(now), Returns: r.returns.Outstanding(now)}
	for class := range s.Waiting {
		s.Waiting[class] = r.line.LenOf(spanrill.Class(class))
	}
	return s
}

// notify adds a notice to those of the current call.
func (r *Room) notify(c *claim, n peermsg.RoomNotice) {
	n.Service, n.ID = r.service, c.id
	r.notices = append(r.notices, Notice{Addr: c.asker.addr, Message: &n})
}

// takeNotices returns the notices of the current call.
func (r *Room) takeNotices() []Notice {
	notices := r.notices
	r.notices = nil
	return notices
}
