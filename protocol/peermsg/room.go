package peermsg

import "spanrill"

// RoomRequest asks the daemon that grants the room of a service to start a request.
type RoomRequest struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Daemon    string   // name of the sender
	Addr      string   // peer address of the sender, for notices
	ID        uint64   // unique at the sender
	Service   string
	Class     int
	Account   string
	Content   uint64 // hash of the request's content and its client account
	Prompt    int    // tokens
	Answer    int    // expected tokens
	Zone      string
	Pause     spanrill.Millis // objective for the longest pause between events
	MaxWait   spanrill.Millis // how long it can wait for its first event
	Remaining spanrill.Millis // how long its caller still waits
	Avoid     []uint32        // engines that must not be used
	RefusedBy []uint32        // engines that refused it since it last asked
	Standby   bool            // the receiver is asked because a preferred daemon did not answer
	Daemons   int             // daemons that the sender knows, including itself
}

// RoomState is the state of a request for room.
type RoomState uint8

// The states of a request for room.
const (
	RoomRefused RoomState = iota // no room in time; the request may not start
	RoomGranted
	RoomWaiting // a RoomNotice follows
	// RoomUnknown means that the receiver does not grant the room of the service, or cannot yet.
	RoomUnknown
)

// RoomReply answers a RoomRequest.
type RoomReply struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	State      RoomState
	First      uint32          // first engine of the granted chain
	RetryAfter spanrill.Millis // if refused
	Wait       spanrill.Millis // expected wait, if it waits
	Ahead      []RoomAhead     // grants for further requests
}

// RoomAhead is a grant for a request that has not arrived yet. It lapses.
type RoomAhead struct {
	_msgpack struct{}        `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       uint64          // unique at the granting daemon
	First    uint32          // first engine of the chain
	Lapse    spanrill.Millis // time from the making of the message until it lapses
}

// RoomNotice tells a daemon what has become of a waiting request.
type RoomNotice struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Service    string
	ID         uint64 // of the RoomRequest
	State      RoomState
	First      uint32
	RetryAfter spanrill.Millis
}

// RoomReport tells the granting daemon which requests have ended. Daemons with grants send one at
// least every second.
type RoomReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Daemon   string
	Service  string
	Ended    []uint64     // ids of RoomRequests whose requests have ended, or no longer want to start
	Held     []uint64     // ids of RoomRequests that hold room or wait, once a second; else empty
	Complete bool         // Held names all of them
	Used     []RoomUsed   // grants given ahead that were used
	Loads    []RoomEngine // what first engines have told since the last report
	Refused  []uint32     // engines that refused requests for lack of room since the last report
}

// RoomUsed tells which request uses a grant that was given ahead.
type RoomUsed struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Ahead    uint64   // id of the RoomAhead
	ID       uint64   // id of the request, from then on
	Class    int
	Account  string
	Prompt   int // tokens
	Answer   int // expected tokens
}

// RoomEngine is the load of a first engine, as the engine told in an answer.
type RoomEngine struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Engine   uint32
	Requests int
	Age      spanrill.Millis // since the answer, when the message was made
}

// RoomStatusRequest asks the granting daemon for the state of a service's room.
type RoomStatusRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Service  string
}

// RoomStatus answers a RoomStatusRequest.
type RoomStatus struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Granting bool     // the receiver grants the room of the service
	Chains   []spanrill.RoomState
	Waiting  [spanrill.ClassCount]int
	Returns  int // planned returns that are not due yet
}
