package spanrill

// Notice is what an upstream says of itself in the head of any answer, beside the answer.
type Notice struct {
	Leaving bool   // it is going to end and wants no new requests
	Rest    Millis // for how long it wants no requests from this daemon, 0 for no rest
	// Unreadable is the value of a request for rest that is no time, or "". How long the
	// rest is cannot be told then.
	Unreadable string
	// Limit is the request rate limit that the upstream sent, if any.
	Limit RateLimit
	// UnreadableLimit is an invalid value of the limit, or "".
	UnreadableLimit string
}

// RateLimit is the number of requests per second that an upstream accepts from all daemons
// combined.
type RateLimit struct {
	Set       bool // false if there is no limit
	PerSecond float64
}

// Empty reports whether nothing was said.
func (n Notice) Empty() bool { return n == Notice{} }
