package spanrill

// Notice is what an upstream reports about itself in the headers of any answer.
type Notice struct {
	Leaving bool   // whether it is shutting down and wants no new requests
	Rest    Millis // how long it wants no requests from this daemon, or 0
	// UnreadableRest is the value of a rest that is not a valid time, or "". How long the upstream
	// wants no requests is unknown then.
	UnreadableRest string
	// Limit is the request rate limit that the upstream sent, if any.
	Limit RateLimit
	// UnreadableLimit is the value of a rate limit that is not valid, or "".
	UnreadableLimit string
}

// RateLimit is the number of requests per second that an upstream accepts from all daemons
// combined.
type RateLimit struct {
	Set       bool // false if there is no limit
	PerSecond float64
}

// Empty reports whether the answer had no notice.
func (n Notice) Empty() bool { return n == Notice{} }
