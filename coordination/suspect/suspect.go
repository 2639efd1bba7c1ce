// Package suspect detects requests that crash upstreams, and stops them from being sent to the
// remaining ones.
//
// A crash breaks off every request that runs on the upstream, so a single crash says little about
// each of them. A request is suspected when several upstreams have crashed under it, however often
// it was sent and to which daemon: losses are counted by the content of the request, and daemons
// exchange them.
//
// A suspected request is withheld for a while. After that, it may be sent again as a trial, one such
// request at a time on each daemon. Once more upstreams have crashed under it, it counts as proved
// and is refused until its losses expire.
//
//	content.go   identifies equal requests
//	ledger.go    records the losses of each content and decides what may be sent
//	marks.go     losses as daemons exchange and store them
//	keeper.go    stores the contents that are withheld or proved
//	served.go    contents that were answered recently
//
// # Usage
//
//	l := suspect.New(clock)
//	guard := l.Begin(content)
//	defer guard.End()
//	if verdict := guard.Check(); verdict.Refused() { // before each attempt
//		return refusal(verdict.RetryAfter())
//	}
//	...
//	l.RecordLoss(content, suspect.Loss{Upstream: hash, At: now, Fresh: streamedFor <= suspect.FreshTime})
package suspect

import "spanrill"

const (
	// FreshTime is how long after its first event a request counts as a likely cause of a crash. A
	// request that crashed 16 engines did so 61 to 99 ms after it began to run there (in five of the
	// crashes), before its caller had an event. Of the 82 requests that were broken off by two
	// crashes, 78 had events.
	FreshTime spanrill.Millis = 300
	// withholdThreshold is the number of fresh losses from which a request is withheld. It is more
	// than one, so that the bystanders of a crash are retried at once, as after any other failure;
	// few of them are bystanders of the next crash too. It is less than three, because the smallest
	// fleets have three chains, and a third loss leaves none.
	withholdThreshold = 2
	// provedThreshold is the number of losses, fresh or not, from which a request counts as proved
	// to crash upstreams and is no longer tried.
	provedThreshold = 3
	// withholdTime is how long a request is withheld after its last loss or trial: an engine is back
	// 3 to 5 s after a crash, and its chain is complete some seconds later.
	withholdTime = 10 * spanrill.Second
	// trialTime is how long a trial must have run before its request may go to another upstream:
	// within a second, a stream has shown that its engine survives. trialRetryAfter is the Retry-After
	// of a request that waits for the trial of another one.
	trialTime       = spanrill.Second
	trialRetryAfter = trialTime
	// trialMergeWindow is the largest difference between the times at which daemons learn of the
	// same trial.
	trialMergeWindow = spanrill.Second
	// retryAfterJitter is the largest random addition to the Retry-After of callers of one content.
	// The first two of ten callers then return 0.2 s apart on average. That is enough, because all
	// daemons know of a crash 0.15 s after the request that caused it was sent.
	retryAfterJitter = 2 * spanrill.Second
	// suspectTTL is how long the losses of a request that is not proved count, and provedTTL those of
	// one that is: long enough for the fault in the engines to be fixed.
	suspectTTL = 10 * spanrill.Minute
	provedTTL  = 60 * spanrill.Minute
	// provedRetryAfter is the Retry-After of a proved request. It is long, because the fault will
	// not be fixed soon.
	provedRetryAfter = 60 * spanrill.Second
	// crashMergeWindow is the largest difference between the times at which requests and daemons
	// detect the same crash. It must be shorter than the time between two crashes of an upstream:
	// one that crashed again took 3 s to come back.
	crashMergeWindow = 2 * spanrill.Second
	// maxContents bounds the recorded contents: over a hundred crashes with 64 requests each, or
	// 0.7 MB at 87 bytes a content. Beyond that, unproved contents with the oldest losses are
	// removed.
	maxContents = 8192
)
