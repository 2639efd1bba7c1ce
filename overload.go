package spanrill

import "context"

// Class ranks the requests of a service that compete for the same engines; 0 is the most urgent.
// It follows from the priorities of their routes and client accounts.
type Class uint8

const (
	// ClassCount is the number of classes.
	ClassCount = 10
	// DefaultClass is the class of a priority that is out of range.
	DefaultClass Class = 5
)

// ClassOf returns the class of a priority. It returns DefaultClass and false if the priority is not
// from 0 to ClassCount-1.
func ClassOf(priority int) (class Class, ok bool) {
	if priority < 0 || priority >= ClassCount {
		return DefaultClass, false
	}
	return Class(priority), true
}

// RoomPart is one engine of a RoomChain. Engines are named by the hashes of their ids.
type RoomPart struct {
	Engine   uint32
	Capacity float64 // tokens that fit into the engine's memory beside its layers
	Share    float64 // fraction of the engine's layers that the chain runs, over 0 and at most 1
	// ReadMillis is how long the engine takes to read one prompt token in these layers, in
	// milliseconds.
	ReadMillis float64
}

// RoomChain is a path of engines on which requests can start, with the figures by which its room is
// divided.
type RoomChain struct {
	Parts   []RoomPart // in order; the first engine identifies the chain
	Zone    string     // availability zone of the first engine
	Slots   int        // requests that may be at the first engine at once, 0 if not limited
	Bridged bool       // parts of it mostly serve other chains
	// StepMillis is the time between two tokens of a request that is alone on the chain, and
	// StepMillisPerRequest what each further request adds, both in milliseconds.
	StepMillis           float64
	StepMillisPerRequest float64
	// Penalty multiplies the expected times of the chain: at least 1, and more if requests have
	// recently failed or been delayed there.
	Penalty float64
}

// First returns the first engine, which identifies the chain.
func (c *RoomChain) First() uint32 { return c.Parts[0].Engine }

// RoomNeed describes the room that a request needs.
type RoomNeed struct {
	Prompt  int // tokens
	Answer  int // expected tokens
	Class   Class
	Zone    string          // availability zone of the daemon that has the request
	Avoid   map[uint32]bool // engines that must not be used
	Pause   Millis          // objective for the longest pause between events, 0 for none
	Events  int             // tokens in one event of a stream, 0 if unknown
	Patient Millis          // how long the request can wait for its first event, 0 for no objective
}

// RoomUse is what requests hold at an engine.
type RoomUse struct{ Tokens, Calls int64 }

// RoomLedger keeps account of the room on the chains of one service and chooses the chain on which
// a request starts. Room is given for the tokens of a request at each engine of its chain, so that
// engines that belong to several chains are not filled twice.
//
// It is pure: time is an argument, and it reads no clock. It is not safe for concurrent use.
type RoomLedger interface {
	// SetChains replaces the chains. Room that was given stays accounted to its engines.
	SetChains(now Millis, chains []RoomChain)
	// SetTold tells what the requests of all daemons held as of an earlier time, those to which
	// this ledger gave room included.
	SetTold(now, asOf Millis, uses map[uint32]RoomUse)
	// RecordEngineLoad records the requests at a first engine, as the engine itself told at a time.
	RecordEngineLoad(now, at Millis, engine uint32, requests int)
	// RecordRefusal records that an engine refused a request for lack of room.
	RecordRefusal(now Millis, engine uint32)
	// Give gives room to a request on the chain that serves it best, until End or Lapse. It
	// returns false if no chain has room now.
	Give(now Millis, id uint64, need RoomNeed) (first uint32, ok bool)
	// GiveUrgent gives room as Give does, also what is kept for the most urgent class.
	GiveUrgent(now Millis, id uint64, need RoomNeed) (first uint32, ok bool)
	// SetDraining tells that those who started the load that daemons told have started none since a
	// time, or, at 0, that they may start requests.
	SetDraining(now, since Millis)
	// CanEver reports whether any chain that need may use could give it room if it were empty.
	CanEver(need RoomNeed) bool
	// Resize accounts a request that has room by its true class and size, on the chain that it has.
	// It does nothing for an unknown id.
	Resize(now Millis, id uint64, need RoomNeed)
	// End takes back the room of a request that has run. It does nothing for an unknown id.
	End(now Millis, id uint64)
	// Cancel takes back the room of a request that has not run: it never started, an engine refused
	// it, or nothing is known of it. It does nothing for an unknown id.
	Cancel(now Millis, id uint64)
	// SetWaiting tells how many requests wait for room. Call it every 50 ms or so: while requests wait
	// and engines refuse none, more of the engines is given.
	SetWaiting(now Millis, requests int)
	// FirstEvent returns the expected time from the start of a request to its first event, on the
	// chain that would be chosen if it had room.
	FirstEvent(now Millis, need RoomNeed) Millis
	// EndRate returns how many requests to which room was given end per second. Cancelled ones do not
	// count.
	EndRate(now Millis) float64
	// Chains returns the state of each chain for operators.
	Chains(now Millis) []RoomState
}

// RoomState is the state of a chain for operators.
type RoomState struct {
	First    uint32
	Zone     string
	Given    [ClassCount]int // requests that hold room from this ledger, by class
	Fill     float64         // of the fullest engine, from 0 to 1 and more
	Own      float64         // part of Fill that requests with room from this ledger hold
	Fullest  uint32          // that engine
	Told     int             // requests that others started, by what engines and daemons told
	Starting Millis          // expected time to the first event of a request of mean size
}

// LineEntry is a request that asks to start.
type LineEntry struct {
	ID      uint64
	Class   Class
	Account string  // name of the client account, or ""
	Weight  float64 // share of the account among others of its class; 0 counts as 1
	// LatestStart is the latest time at which it is worth starting the request. A request that
	// cannot wait has the time of its arrival.
	LatestStart Millis
	Returned    bool // the caller was refused before and was told to return now
}

// StartLine orders the requests that wait for room. More urgent classes go first, but each class
// keeps at least half of the fraction of its requests that all classes together get, and accounts
// of a class share evenly. Requests that will not start in time are dropped as soon as that is known.
//
// It is pure: time is an argument, and it reads no clock. It is not safe for concurrent use.
type StartLine interface {
	// Enter adds a request. It returns false if the request cannot start in time, or the line is full.
	// It then has not been added. Dropped are the requests that can no longer start in time because
	// of it.
	Enter(now Millis, e LineEntry) (ok bool, dropped []LineEntry)
	// Next returns the request that starts next, without removing it. It passes over the ids in skip,
	// at most four of each class: a class of which so many are passed over has none that starts.
	Next(now Millis, skip map[uint64]bool) (LineEntry, bool)
	// Start removes a request that starts. A request that never waited may be started too: it is
	// only counted.
	Start(now Millis, e LineEntry)
	// Remove removes a request that no longer wants to start. It reports whether it was waiting.
	Remove(id uint64) bool
	// Drop removes and returns the requests that cannot start in time any more.
	Drop(now Millis) []LineEntry
	// RecordRefused counts a request that is refused for lack of room without having entered.
	RecordRefused(now Millis, e LineEntry)
	// SetRate sets how many waiting requests start per second, for the expected waits. 0 stands for
	// unknown: requests may then wait until their latest start.
	SetRate(perSecond float64)
	// Wait returns how long a new request would wait.
	Wait(now Millis, e LineEntry) Millis
	// Starved reports whether a class goes before more urgent ones, because it has started less than
	// its part of the requests.
	Starved(class Class) bool
	// Len returns the number of waiting requests.
	Len() int
	// LenOf returns the number of waiting requests of a class.
	LenOf(class Class) int
}

// RefusedRequest describes a request that is refused for lack of room.
type RefusedRequest struct {
	Class   Class
	Content uint64 // identifies what is asked for, whichever daemon receives it
	// Remaining is how long the caller still waits for an answer, counted from now.
	Remaining Millis
	Returned  bool // it had returned at a planned time already
}

// ReturnPlanner gives refused callers the times at which they return, and recognizes them then.
//
// It is pure: time is an argument, and it reads no clock. It is not safe for concurrent use.
type ReturnPlanner interface {
	// RecordStart records that a request starts.
	RecordStart(now Millis, class Class)
	// Plan returns the retry time of a refused caller, counted from now. EndRate is how many
	// requests of the service end per second, and waiting how many wait to start.
	Plan(now Millis, r RefusedRequest, endRate float64, waiting int) Millis
	// Redeem reports whether the caller of a request was told to return about now. It is true
	// once for each planned return.
	Redeem(now Millis, content uint64) bool
	// Outstanding returns the number of planned returns that are not due yet.
	Outstanding(now Millis) int
}

// RoomRequest describes a request that a daemon wants to start.
type RoomRequest struct {
	Service   string
	Model     *EngineModel
	Need      RoomNeed
	Account   string // name of the client account, or ""
	Content   uint64
	MaxWait   Millis // how long it can wait for its first event from now and still meet its latency target
	Remaining Millis // how long the caller still waits for an answer
	// RefusedBy holds the engines that have refused this request since it last asked for room.
	RefusedBy []uint32
}

// RoomGate gives the requests of one daemon room on the chains of a service that all daemons share.
// It is safe for concurrent use.
type RoomGate interface {
	// Divides reports whether the room of a service is divided. If not, requests start without a
	// grant.
	Divides(service string) bool
	// Enter returns a grant when the request may start. It blocks while the request waits, or until
	// the context ends. A refusal means that the request has not run, and has a retry time.
	Enter(ctx context.Context, r RoomRequest) (RoomGrant, *Refusal)
	// RetryAfter returns the retry time of a caller that is refused for another reason, such as
	// engines that refused its request.
	RetryAfter(r RoomRequest) Millis
	// RecordEngineLoad records the number of requests that a first engine has told in an answer.
	RecordEngineLoad(engine uint32, requests int)
}

// RoomGrant is room that a request has on a chain.
type RoomGrant interface {
	// First returns the first engine of the chain, or 0 if the daemon is to choose the chain itself.
	First() uint32
	// Release gives the room back. Further calls do nothing.
	Release()
}
