package peermsg

import (
	"spanrill"
)

// NewsRequest asks a daemon for news. In a large fleet it carries the subtree sum of the sender for
// each tree in which the receiver is its parent.
type NewsRequest struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name        string
	SubtreeSums map[int]*Sum // by tree number

	Placement *Placement // last statement of the placement lease's holder that the sender knows, or nil

	Suspects uint64 // digest of the suspect marks that the sender has

	// Holder and Sequence are the holder of the placement lease and the sequence number of its
	// last statement that the sender knows, or "" and 0.
	Holder   string
	Sequence uint64

	SkipUpstreams []int // numbers of the trees whose sums may leave out the upstreams

	Limits uint64 // digest of the rate limits that the sender knows

	Parts uint64 // digest of the parts of prompts that the sender withholds
}

// FleetSum is the sum over all daemons that reached the root of a tree. In a fleet with many
// upstreams it names only the upstreams of the receiver's availability zone, and gives totals for
// each other zone.
type FleetSum struct {
	_msgpack          struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Sum               Sum
	Age               spanrill.Millis // age of the sum at the root, when the answer was made
	Zones             []ZoneUse       // totals of the other availability zones, if their upstreams are not named
	OtherZonesUnnamed bool            // upstreams of other availability zones are not named
	NoneNamed         bool            // no upstreams are named, as requested
}

// ZoneUse is the tokens and calls that requests hold at a service's upstreams in one availability
// zone.
type ZoneUse struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Zone     string
	Service  string
	Tokens   int64
	Calls    int64
}

// News answers a NewsRequest.
type News struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name      string
	Revision  uint64          // of the newest configuration known, or 0
	ConfigAge spanrill.Millis // time since that configuration was confirmed as the newest, when the answer was made
	Uses      []UpstreamUse   // what the sender's own requests hold, in a small fleet
	Placement *Placement      // last statement of the placement lease's holder, or nil
	Leaving   bool

	Refusing []uint32 // hashes of the ids of upstreams that recently refused the sender's requests

	Retries []RetryCount // counts of the sender's own requests in the window of the retry budget

	Fleet map[int]*FleetSum // in a large fleet: sums by tree number, for the trees in the request

	UpstreamsRevision   uint64          // store revision up to which the sender knows all upstreams
	UpstreamsLastChange uint64          // store revision of their last change
	UpstreamsAge        spanrill.Millis // time since they were confirmed, when the answer was made

	StoreSilent bool // the platform's store does not answer the sender

	// StoreAvailableFor is at least how long before the message was made the store began to answer
	// daemons. From then until UpstreamsAge ago it answered without a break.
	StoreAvailableFor spanrill.Millis

	Suspects []SuspectMark

	Limits []UpstreamLimit // all known rate limits, if the request has another digest

	LostPaths []LostPath // services to whose upstreams the sender has lost its network path

	Parts []PartMark // evidence about parts of prompts that is new, or that the receiver lacks

	// SuspectsKnown means that the sender knows what the platform's store holds of withheld requests
	// and parts.
	SuspectsKnown bool
}
