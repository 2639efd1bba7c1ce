// Package suspect recognizes requests under which upstreams end, and keeps them from
// those that are left.
//
// An upstream that ends takes along whatever runs on it, so that one end says little of
// each of these requests. What counts is a request that is there again when the next one
// ends, however often it has come and at whatever daemon: losses are counted by content,
// and daemons tell one another.
//
//	content.go   what makes two requests the same
//	ledger.go    what is known of each content, and what follows from it
//	marks.go     what daemons tell one another, and what is kept beyond their ends
//	keeper.go    what is kept in the store
//	served.go    contents that were answered lately
//
// # Usage
//
//	l := suspect.New(clock)
//	try := l.Begin(content)
//	defer try.End()
//	if verdict := try.Judge(); verdict.Refused() { // before each attempt
//		return refusal(verdict.RetryAfter())
//	}
//	...
//	l.Lost(content, suspect.Loss{Upstream: hash, Fresh: ran <= suspect.FreshTime})
package suspect

import "spanrill"

const (
	// FreshTime is how long after its first event a request counts as a likely cause of an
	// end. In a fleet in which one request ended 16 engines, an engine ended 61 to 99 ms after
	// it began to run there (five ends), before its caller had an event. Of the 82 requests that
	// two ends broke off 78 had events.
	FreshTime spanrill.Millis = 300
	// heldAfter fresh losses keep a request back: the bystanders of one end are sent on at
	// once, as after any other end, and those of the next that were bystanders of the first
	// are few. With three chains, as in the smallest fleets, a third loss leaves none.
	heldAfter = 2
	// provedAfter losses, of any age of the run, end its tries.
	provedAfter = 3
	// holdTime is for how long a request is kept back after its last loss: an engine is back
	// 3 to 5 s after its end, and a chain is whole some seconds after that. Then one such
	// request at a time is tried.
	holdTime = 10 * spanrill.Second
	// trialTime is how long a trial takes: a stream has shown within a second that its
	// engine stays. trialRetry is when a caller should come back whose request waits for the
	// trial of another one.
	trialTime  = spanrill.Second
	trialRetry = trialTime
	// sameTrial is by how much the times may differ at which daemons heard of one trial.
	sameTrial = spanrill.Second
	// comeSpread is how far apart callers of one content are told to come back at the most:
	// of ten callers the first two are 0.2 s apart, and an end is known everywhere 0.15 s
	// after the request was sent.
	comeSpread = 2 * spanrill.Second
	// suspectMemory is how long losses of a request that is not proved are remembered, and
	// provedMemory those of one that is: until the fault of the engines may be mended.
	suspectMemory = 10 * spanrill.Minute
	provedMemory  = 60 * spanrill.Minute
	// provedRetry is when a caller of such a request should come back: not soon.
	provedRetry = 60 * spanrill.Second
	// sameEnd is by how much the times differ at which requests and daemons find one end of
	// an upstream. An upstream that ends again under its name took 3 s to come back.
	sameEnd = 2 * spanrill.Second
	// kept bounds the contents that are remembered: over a hundred ends with 64 requests
	// on each, at 87 bytes a content 0.7 MB. The one heard of longest ago makes room.
	kept = 8192
)
