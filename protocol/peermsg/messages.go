// Package peermsg lists the messages between daemons and their codec.
//
// Messages are msgpack arrays: fields are known by their order, and new fields
// are added at the end.
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

// The kinds of messages.
const (
	KindGossip  peernet.Kind = 1 // Gossip, no reply
	KindReports peernet.Kind = 2 // Reports, no reply
	KindDemand  peernet.Kind = 3 // Demand, no reply
	KindHead    peernet.Kind = 4 // no payload, reply Head
	KindPart    peernet.Kind = 5 // Part, reply Part
	KindClaim   peernet.Kind = 6 // Claim, reply Claimed
	KindSettle  peernet.Kind = 7 // Settle, no reply
	KindBoxes   peernet.Kind = 8 // no payload, reply Boxes
	KindNews    peernet.Kind = 9 // payload AskNews, reply News

	KindRouteConfig peernet.Kind = 10 // no payload, reply RouteConfig
	KindEntries     peernet.Kind = 11 // AskEntries, reply Entries
	KindLoan        peernet.Kind = 12 // AskLoan, reply Loan
	KindSuspects    peernet.Kind = 13 // SuspectNews, no reply
	KindPermit      peernet.Kind = 14 // AskPermit, reply Permit
)

// Member is what daemons tell one another about one of them.
type Member struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name        string
	Zone        string
	PeerAddr    string
	AdminAddr   string
	Incarnation uint64 // rises with each start of the daemon
	Beat        uint64 // rises while the daemon runs
	Revision    uint64 // configuration in force
	Leaving     bool
	Power       int // thousandths of a core that the daemon has, or 0 if that is not told
}

// Gossip tells what a daemon knows of some members.
type Gossip struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Members  []Member
	Answer   bool // to a daemon's first message, and not answered again
}

// Reports passes on the reports of upstreams.
type Reports struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Reports  []Report
}

// Report is one upstream's report, without what its reader knows.
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
	From       int
	To         int
	Generation uint64
	StepMicros int
	TokenNanos int
	MemLayers  int
	Age        spanrill.Millis
}

// NewReport returns the report in the form that is sent.
func NewReport(s spanrill.UpstreamStatus) Report {
	return Report{
		Name: s.Name, Leaving: s.Leaving, Loading: s.Loading, Running: s.Running, Waiting: s.Waiting,
		Slots: s.Slots, Model: s.Model, Version: s.Version, From: s.Layers.From, To: s.Layers.To,
		Generation: s.Generation, StepMicros: s.StepMicros, TokenNanos: s.TokenNanos,
		MemLayers: s.MaxLayers, Age: s.AgeMillis,
	}
}

// Status returns the report in the form that the load table takes.
func (r Report) Status() spanrill.UpstreamStatus {
	return spanrill.UpstreamStatus{
		Name: r.Name, Leaving: r.Leaving, Loading: r.Loading, Running: r.Running, Waiting: r.Waiting,
		Slots: r.Slots, Model: r.Model, Version: r.Version,
		Layers:     spanrill.LayerRange{From: r.From, To: r.To},
		Generation: r.Generation, StepMicros: r.StepMicros, TokenNanos: r.TokenNanos,
		MaxLayers: r.MemLayers, AgeMillis: r.Age,
	}
}

// Demand tells how much the accounts asked of one daemon in the last second.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Accounts []AccountDemand
}

// AccountDemand is the demand of one client account.
type AccountDemand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Account  string
	PerMille uint32 // requests a second, in thousandths
}

// Head carries a head of the configuration as the platform stores it. It is
// empty if the daemon has none.
type Head struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Value    []byte
}

// Part asks for a part of the configuration by its hash, or carries it.
type Part struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Hash     string
	Value    []byte
}

// Claim asks the owner of a slot to claim an idempotency key.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Slot     int
	Record   []byte // a claim record in JSON
}

// Claimed answers a Claim. Record is a claim record in JSON.
type Claimed struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Granted  bool
	Failed   string // why there is no answer, or ""
	Record   []byte
}

// Settle tells the owner of a slot how a claimed call ended.
type Settle struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Slot     int
	Record   []byte // a claim record in JSON
}

// Boxes carries the last box list that a daemon has read, as the platform gave
// it. It is empty if the daemon has none.
type Boxes struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Value    []byte
}

// Encode returns a message as it is sent.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseCompactInts(true) // most numbers are small: a Use takes 24 bytes without, and about 11
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return b.Bytes(), nil
}

// Decode reads a message.
func Decode(data []byte, v any) error {
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Decode(v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// Use is what the requests of one daemon hold at one upstream.
type Use struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Upstream uint32   // hash of its id
	Tokens   int64
	Calls    int64
}

// Sum is what the requests of several daemons hold, and what these have counted
// for the retry budgets.
type Sum struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Daemons  int
	Uses     []Use
	Retries  []RetryCount
}

// AskNews asks for news. In a large fleet it brings the sum over the daemons
// below the one that asks, for each tree in which that one is below the daemon
// asked.
type AskNews struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name     string
	Below    map[int]*Sum // by number of the tree

	Placement *Placement // what the holder of the lease of placement said last, or nil

	Suspects uint64 // digest of the requests that the one that asks keeps back

	// Holder and Sequence are what is known of the holder of the lease of placement and of
	// what it has said, or "" and 0.
	Holder   string
	Sequence uint64

	Brief []int // trees of whose sums the upstreams are not asked for

	Limits uint64 // digest of the rate limits that the sender knows
}

// FleetSum is the sum over all daemons that reached the root of a tree. In a fleet with many
// upstreams it names those of the asking daemon's availability zone one by one, and tells of
// the others what requests hold in each zone.
type FleetSum struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Sum      Sum
	Age      spanrill.Millis // of the sum at the root, when the answer was made
	Zones    []ZoneUse       // of the other availability zones, where their upstreams are not named
	Cut      bool            // they are not named
	Brief    bool            // no upstreams are named, since they were not asked for
}

// ZoneUse is what requests hold at the upstreams of a service in one availability zone.
type ZoneUse struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Zone     string
	Service  string
	Tokens   int64
	Calls    int64
}

// News is what a daemon answers when it is asked for news.
type News struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name      string
	Revision  uint64          // of the newest configuration, or 0
	ProofAge  spanrill.Millis // of that configuration, when the answer was made
	Uses      []Use           // what this daemon's own requests hold, in a small fleet
	Placement *Placement      // what the holder of the lease of placement said last, or nil
	Leaving   bool

	Refusing []uint32 // hashes of upstreams that have refused this daemon's requests lately

	Retries []RetryCount // of this daemon's own requests, in the window of the retry budget

	Fleet map[int]*FleetSum // in a large fleet, by number of the tree, for those asked about

	UpstreamsAt     uint64          // revision of the store up to which all upstreams are known
	UpstreamsChange uint64          // revision up to which there were changes of them
	UpstreamsAge    spanrill.Millis // of that knowledge, when the answer was made

	StoreSilent bool // the platform's store does not answer this daemon

	// StoreAnswered is for how long the store has answered daemons without a break, at
	// least, up to UpstreamsAge ago.
	StoreAnswered spanrill.Millis

	Suspects []SuspectMark

	Limits []UpstreamLimit // all known rate limits, if the digests differ
}

// UpstreamLimit is the rate limit of an upstream for all daemons combined.
type UpstreamLimit struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Upstream  uint32   // hash of the upstream id
	Set       bool     // false if there is no limit, or it was removed
	PerSecond float64
	Age       spanrill.Millis // since the answer of the upstream, when the message was made
}

// AskPermit asks for a permit to send one request to an upstream with a rate limit.
type AskPermit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Limit    UpstreamLimit
	Standby  bool // a preferred daemon did not answer the sender
}

// Permit answers an AskPermit.
type Permit struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Granted    bool
	RetryAfter spanrill.Millis // wait before the next attempt, if denied
	Limit      UpstreamLimit   // latest limit that the granting daemon knows
}

// SuspectNews tells of a request that is kept back from now on, without being asked.
type SuspectNews struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Marks    []SuspectMark
}

// SuspectMark tells that an upstream has ended under a request.
type SuspectMark struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Content  uint64   // hash of what was asked for, and by whom
	Upstream uint32   // hash of its name
	Age      spanrill.Millis
	Fresh    bool // the request had begun there shortly before
	Trial    bool // no end: a request of the content is tried again
}

// Placement is what the holder of the lease of placement says. Other daemons
// hand it on.
type Placement struct {
	_msgpack struct{}         `msgpack:",as_array"` //nolint:unused // read by the codec
	Holder   string           // name of the daemon
	Age      spanrill.Millis  // of what it says, when the answer was made
	Version  spanrill.Version // of its lease, or "" if it acts without
	Left     spanrill.Millis  // time for which the lease held when it said so
	Targets  []Target         // what engines are being ordered to hold
	Slow     []Pace           // engines that are slow
	Sequence uint64           // rises with each change of the targets
	After    uint64           // the targets are those that have changed behind that sequence, or all if 0
	Dropped  []uint32         // hashes of the ids of engines that are no targets any more, among changes
}

// Pace is how many times slower than its kind an engine reports to be.
type Pace struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Upstream uint32   // hash of its id
	Times    float64
}

// RetryCount is what a daemon has counted for the retry budget of a service.
type RetryCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Service  string
	Requests int64
	Retries  int64
	Recent   int64 // requests of the last two seconds or so
}

// AskLoan asks a daemon for a part of what it may spend of a retry budget.
type AskLoan struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Service  string
	Want     float64 // retries
}

// Loan is how many retries a daemon gives up.
type Loan struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Retries  float64
}

// AskEntries asks for the entries of upstreams.
type AskEntries struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	After    uint64   // revision of the store up to which all are known, or 0
}

// Entries is the entries of upstreams as they stood at a revision of the store, or what has
// changed of them since an earlier one.
type Entries struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Packed   []byte   // an EntryList, compressed
	At       uint64
	Change   uint64
	Age      spanrill.Millis
	After    uint64 // the changes are those behind it, or 0 for all entries
}

// EntryList is entries of upstreams.
type EntryList struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Entries    []spanrill.EngineEntry
	Unreadable []string // names of entries that name no upstream to use
	Gone       []string // names of entries that have gone, among changes
}

// Target is the range that an engine is being ordered to hold.
type Target struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Upstream uint32   // hash of its id
	From     int
	To       int
	Done     bool // the engine has said that it holds the range
}

// RouteConfig is a configuration as it lies in the store.
type RouteConfig struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Revision uint64
	Value    []byte
}
