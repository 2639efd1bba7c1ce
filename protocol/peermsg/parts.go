package peermsg

import "spanrill"

// PartMark is evidence about a part of prompts that may crash engines: a crash, an answer that has gone
// on, or a trial, by Kind.
type PartMark struct {
	_msgpack    struct{}        `msgpack:",as_array"` //nolint:unused // read by the codec
	Part        uint64          // hash of the part and its service
	Kind        uint8           // as in package quarantine
	Age         spanrill.Millis // time since the crash, the begin of the answer, or the trial
	Upstream    uint32          // crashes: hash of the engine's name
	Account     uint32          // crashes: hash of the client account
	Content     uint64          // crashes: identifies the request
	Trial       bool            // crashes: the request was a trial of the part
	Unconfirmed bool            // crashes: the engine does not answer, but may still run
	OtherToo    bool            // crashes: requests of other accounts were on the engine, too
	Trials      int             // trials: scheduled trials since the part was withheld
}
