// Package peermsg defines the messages between daemons and their encoding.
//
// Messages are msgpack arrays. Fields are identified by their position, so their order and types
// must stay, and new fields are added at the end.
//
// # Usage
//
//	payload, err := peermsg.Encode(&peermsg.Gossip{Members: members})
//	var g peermsg.Gossip
//	err = peermsg.Decode(payload, &g)
package peermsg

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"spanrill"
	"spanrill/transport/peernet"
)

// The kinds of messages, with payload and reply.
const (
	KindGossip       peernet.Kind = 1 // Gossip, no reply
	KindReports      peernet.Kind = 2 // Reports, no reply
	KindDemand       peernet.Kind = 3 // Demand, no reply
	KindHead         peernet.Kind = 4 // payload ignored, reply Head
	KindPart         peernet.Kind = 5 // Part, reply Part
	KindClaim        peernet.Kind = 6 // Claim, reply ClaimReply
	KindClaimOutcome peernet.Kind = 7 // ClaimOutcome, no reply
	KindBoxes        peernet.Kind = 8 // payload ignored, reply Boxes
	KindNews         peernet.Kind = 9 // NewsRequest, reply News

	KindRouteConfig peernet.Kind = 10 // payload ignored, reply RouteConfig
	KindEntries     peernet.Kind = 11 // EntriesRequest, reply Entries
	KindLoan        peernet.Kind = 12 // LoanRequest, reply Loan
	KindSuspects    peernet.Kind = 13 // SuspectNotice, no reply
	KindPermit      peernet.Kind = 14 // PermitRequest, reply Permit

	KindRoom       peernet.Kind = 15 // RoomRequest, reply RoomReply
	KindRoomNotice peernet.Kind = 16 // RoomNotice, no reply
	KindRoomReport peernet.Kind = 17 // RoomReport, no reply
	KindRoomStatus peernet.Kind = 18 // RoomStatusRequest, reply RoomStatus
)

// Member describes a daemon to its peers.
type Member struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name        string
	Zone        string
	PeerAddr    string
	AdminAddr   string
	Incarnation uint64 // rises with each start of the daemon
	Heartbeat   uint64 // rises while the daemon runs
	Revision    uint64 // revision of the configuration in force
	Leaving     bool
	MilliCores  int    // CPU capacity in thousandths of a core, or 0 if unknown
	TunnelAddr  string // at which it connects peers to upstreams, or ""
}

// Gossip carries what a daemon knows about some members.
type Gossip struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Members  []Member
	Answer   bool // this answers a daemon's first message and is not answered itself
}

// Reports forwards status reports of upstreams.
type Reports struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Reports  []Report
}

// Report is the status report of an upstream, without the fields that the receiver knows.
type Report struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name       string
	Leaving    bool
	Loading    bool
	Running    int
	Waiting    int
	Slots      int
	Model      string
	Version    string
	From       int // first layer that the engine holds
	To         int // layer after the last one
	Generation uint64
	StepMicros int
	TokenNanos int
	MaxLayers  int
	Age        spanrill.Millis // of the load figures
}

// NewReport returns the message form of a status report.
func NewReport(s spanrill.UpstreamStatus) Report {
	return Report{
		Name: s.Name, Leaving: s.Leaving, Loading: s.Loading, Running: s.Running, Waiting: s.Waiting,
		Slots: s.Slots, Model: s.Model, Version: s.Version, From: s.Layers.From, To: s.Layers.To,
		Generation: s.Generation, StepMicros: s.StepMicros, TokenNanos: s.TokenNanos,
		MaxLayers: s.MaxLayers, Age: s.AgeMillis,
	}
}

// Status returns the report as the load table stores it.
func (r Report) Status() spanrill.UpstreamStatus {
	return spanrill.UpstreamStatus{
		Name: r.Name, Leaving: r.Leaving, Loading: r.Loading, Running: r.Running, Waiting: r.Waiting,
		Slots: r.Slots, Model: r.Model, Version: r.Version,
		Layers:     spanrill.LayerRange{From: r.From, To: r.To},
		Generation: r.Generation, StepMicros: r.StepMicros, TokenNanos: r.TokenNanos,
		MaxLayers: r.MaxLayers, AgeMillis: r.Age,
	}
}

// Demand carries the request rates of client accounts at one daemon in the last second.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Accounts []AccountDemand
}

// AccountDemand is the request rate of one client account.
type AccountDemand struct {
	_msgpack       struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Account        string
	MilliPerSecond uint32 // thousandths of a request per second
}

// Head carries the configuration head as the platform stores it. It is empty if the daemon has
// none.
type Head struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Value    []byte
}

// Part requests a part of the configuration by its hash. In the reply it carries the part.
type Part struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Hash     string
	Value    []byte
}

// Claim asks the daemon that owns a claim slot to record a claim of an idempotency key.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Slot     int
	Record   []byte // a claim record in JSON
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Granted  bool
	Failure  string // why the owner could not decide, or ""
	Record   []byte // the claim record that holds the key, in JSON
}

// ClaimOutcome reports to the daemon that owns a claim slot how a claimed call ended.
type ClaimOutcome struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Slot     int
	Record   []byte // a claim record in JSON
}

// Boxes carries the box list that a daemon read last, as the platform returned it. It is empty if
// the daemon has none.
type Boxes struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Value    []byte
}

// Encode encodes a message.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseCompactInts(true) // most numbers are small: an UpstreamUse takes about 11 bytes instead of 24
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return b.Bytes(), nil
}

// Decode decodes a message into v.
func Decode(data []byte, v any) error {
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Decode(v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// UpstreamUse is the tokens and calls that requests hold at an upstream.
type UpstreamUse struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Upstream uint32   // hash of its id
	Tokens   int64
	Calls    int64
}

// Sum is the total over several daemons of what their requests hold, of their counts for the retry
// budgets, and of the paths that they have lost.
type Sum struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Daemons  int
	Uses     []UpstreamUse
	Retries  []RetryCount
	Lost     []LostCount
}

// LostCount is how many daemons have lost their network path to the upstreams of a service, or of any
// service if it is "".
type LostCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Service  string
	Daemons  int
}

// LostPath is a service to whose upstreams a daemon has lost its network path.
type LostPath struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Service  string
	For      spanrill.Millis // how long
	Helped   map[string]int  // connections since then by name of the daemon that made them
	Denied   int             // daemons that answered since then that they cannot help
}

// UpstreamLimit is the rate limit of an upstream for all daemons combined.
type UpstreamLimit struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Upstream  uint32   // hash of the upstream id
	Set       bool     // false if there is no limit, or it was removed
	PerSecond float64
	Age       spanrill.Millis // since the answer of the upstream, when the message was made
}

// PermitRequest asks for a permit to send one request to an upstream with a rate limit.
type PermitRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Limit    UpstreamLimit
	Standby  bool // the receiver is asked because a preferred daemon did not answer
}

// Permit answers a PermitRequest.
type Permit struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Granted    bool
	RetryAfter spanrill.Millis // wait before the next attempt, if denied
	Limit      UpstreamLimit   // latest limit that the granting daemon knows
}

// SuspectNotice carries the suspect marks of a request that is withheld from now on. It is sent at
// once, since a News message would bring the marks only in the next round.
type SuspectNotice struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Marks    []SuspectMark
	Parts    []PartMark
}

// SuspectMark records that an upstream crashed while it ran a request, or that a withheld request
// was tried again.
type SuspectMark struct {
	_msgpack struct{}        `msgpack:",as_array"` //nolint:unused // read by the codec
	Content  uint64          // hash of the request's content and its client account
	Upstream uint32          // hash of its name
	Age      spanrill.Millis // time since the crash, or since the trial was sent
	Fresh    bool            // the first event of the request came shortly before the crash, or never
	Trial    bool            // a trial of the content at any upstream, not a crash
}

// Placement is a statement of the holder of the placement lease: which layers it wants the engines
// to hold, and which engines are slow. Other daemons forward it.
type Placement struct {
	_msgpack     struct{}         `msgpack:",as_array"` //nolint:unused // read by the codec
	Holder       string           // name of the daemon
	Age          spanrill.Millis  // of the statement, when the message was made
	LeaseVersion spanrill.Version // version of its lease, or "" if it acts without one
	LeaseLeft    spanrill.Millis  // time left on the lease when the statement was made
	Targets      []Target         // layer ranges that engines are ordered to hold
	Slow         []Slowdown       // engines that are slower than their kind
	Sequence     uint64           // rises with each change of the targets
	Since        uint64           // Targets has only the changes after this sequence number, or all targets if 0
	Dropped      []uint32         // hashes of the ids of engines without a target any more, if Targets has changes
}

// Slowdown tells how many times slower than its kind an engine reports to be.
type Slowdown struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Upstream uint32   // hash of its id
	Factor   float64
}

// RetryCount is the counts of a daemon for the retry budget of a service.
type RetryCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Service  string
	Requests int64
	Retries  int64
	Recent   int64 // requests of about the last two seconds
}

// LoanRequest asks a daemon to give up a part of its share of a retry budget.
type LoanRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Service  string
	Want     float64 // number of retries
}

// Loan answers a LoanRequest with the number of retries that the daemon gives up.
type Loan struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Retries  float64
}

// EntriesRequest asks for the entries of upstreams.
type EntriesRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Since    uint64   // store revision up to which the sender knows all entries, or 0
}

// Entries carries the entries of upstreams at a revision of the store, or their changes since an
// earlier revision.
type Entries struct {
	_msgpack   struct{}        `msgpack:",as_array"` //nolint:unused // read by the codec
	Packed     []byte          // an EntryList, compressed
	Revision   uint64          // store revision of the entries
	LastChange uint64          // store revision of their last change
	Age        spanrill.Millis // time since the entries were confirmed, when the message was made
	Since      uint64          // revision after which the changes were made, or 0 if all entries are sent
}

// EntryList is a list of upstream entries, or of the changes to an earlier list.
type EntryList struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Entries    []spanrill.EngineEntry
	Unreadable []string // names of entries that cannot be decoded
	Removed    []string // names of entries that were removed, if the list has changes
}

// Target is the half-open range of layers From..To that an engine is ordered to hold.
type Target struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Upstream uint32   // hash of its id
	From     int
	To       int
	Reached  bool // the engine has reported that it holds the range
}
