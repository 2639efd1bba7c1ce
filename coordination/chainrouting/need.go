package chainrouting

// Need describes the request for which a path is chosen.
type Need struct {
	Prompt int             // tokens
	Answer int             // expected tokens
	Zone   string          // availability zone of this daemon
	Avoid  map[string]bool // ids of engines that must not be used
	Urgent bool            // may use all of the memory
	First  map[string]bool // ids of engines that may be first, or nil for any
	Spread bool            // many daemons choose at the same moment, so the choice is randomized
	// Granted means that the fleet has given the request room on the chain that begins at First. How
	// full this daemon believes the engines to be then excludes none of them.
	Granted bool
}

// tokens is how many tokens are reserved: the prompt, and the part of the answer that a running
// request holds on average.
func (n Need) tokens() float64 {
	return float64(n.Prompt) + reservedAnswerShare*float64(n.Answer)
}

// reservedAnswerShare is the fraction of its answer that a request holds on average over its run
// time.
const reservedAnswerShare = 0.5
