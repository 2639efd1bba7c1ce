// Package quarantine detects parts of prompts that crash engines, and stops requests with such a part
// from being sent to the remaining ones.
//
// Requests share the parts of their prompts. A crash breaks off many requests, and each has several
// parts, so one crash says little about any of them. The ledger therefore compares crashes: it records
// for each crash the parts of all requests that had just begun on the engine, over all daemons. An answer
// that has begun and gone on clears its parts of the crashes before it.
//
// A part that was in a crash is suspected until it is cleared. Unless it has worked before, requests with
// it are sent one at a time in the whole fleet, so that the next crash, or the next answer, is evidence
// about it. After several crashes it is withheld: requests with it are refused. Two kinds of request may
// still be sent as a trial, one at a time:
//
//   - one that lacks another suspected part for each of the crashes, so that the part may be innocent;
//   - one of another client account, if all crashes came from requests of a single account.
//
// All others wait for a scheduled trial. The time between two scheduled trials grows tenfold each time.
//
//	quarantine.go  constants
//	part.go        parts and accounts as the ledger identifies them
//	crash.go       crashes and the evidence that they give about parts
//	state.go       what is known of one part
//	ledger.go      the ledger: crashes and answers
//	evict.go       bounds of the ledger
//	verdict.go     whether a request may be sent
//	guard.go       a request from its arrival to its end
//	working.go     parts that have worked lately
//	marks.go       evidence as daemons exchange it
//	stored.go      evidence as it is stored
//	merge.go       evidence from other daemons and from the store
//	status.go      withheld parts, for operators
//
// # Usage
//
//	l := quarantine.New(clock)
//	guard := l.Begin(quarantine.PartsOf(service, parts), account)
//	defer guard.End()
//	if verdict := guard.Check(); verdict.Refused() { // before each attempt
//		return refusal(verdict.RetryAfter())
//	}
//	...
//	l.RecordCrash(quarantine.Crash{Upstream: hash, At: now, Account: account, Content: content}, guard.Parts(), guard.Trials())
package quarantine

import "spanrill"

const (
	// BeginTime is how long after its first event a request counts as a possible cause of a crash, and
	// after which its answer clears its parts.
	BeginTime spanrill.Millis = 300
	// withholdCrashes is the number of crashes from which a part is withheld. Engines end five times
	// at most: while the first crash is found, requests with the part may reach two or three others.
	withholdCrashes = 4
	// withholdContents is the number of different requests that must have crashed engines. A single
	// request that is repeated is the matter of package suspect.
	withholdContents = 2
	// withholdTrials is the number of crashes that must have come from trials. Requests that were sent
	// before the first crash was known do not show that the part rather than the engines is the cause.
	withholdTrials = 1
	// workedCrashes is the number of crashes from which a part is withheld that has worked lately, and
	// workedMoments the number of moments of crashes from which it is sent as a trial only. One moment
	// is not enough, since most crashes have other causes, and such parts are in many requests.
	workedCrashes = 5
	workedMoments = 2
	// momentTime merges crashes into one moment.
	momentTime spanrill.Millis = 80
	// episodeTime merges crashes into one episode, since engines that share a rack or a zone end
	// together. No trial is sent in this time after a crash: its result would say nothing more.
	episodeTime spanrill.Millis = 300
	// workedTime is how long a part counts as one that has worked lately.
	workedTime = 10 * spanrill.Minute
	// trialTime is how long a trial excludes others while its result is not known: about the time to a
	// late first event and BeginTime.
	trialTime spanrill.Millis = 1500
	// trialRetryAfter is the Retry-After of a request that finds a trial running, and retryAfterJitter
	// the largest random addition to any Retry-After.
	trialRetryAfter  spanrill.Millis = 700
	retryAfterJitter                 = spanrill.Second
	// firstTrialAfter is the time from the last crash or trial of a withheld part to its first scheduled
	// trial, and trialGrowth the factor for each further one.
	firstTrialAfter = 30 * spanrill.Second
	trialGrowth     = 10
	// MaxRetryAfter bounds the Retry-After of requests with a withheld part.
	MaxRetryAfter = 60 * spanrill.Second
	// repeatedAccountFactor multiplies the time to a scheduled trial for an account whose own trial has
	// crashed an engine, so that another account's request is tried first.
	repeatedAccountFactor = 2
	// unconfirmedTime is how long a crash counts that is only inferred from an engine's silence.
	unconfirmedTime = 10 * spanrill.Second
	// suspectedTTL is how long crashes count of a part that is not withheld, and withheldTTL those of
	// one that is. Scheduled trials are rarer than that before it ends.
	suspectedTTL = 10 * spanrill.Minute
	withheldTTL  = 24 * 60 * spanrill.Minute
	// crashMergeWindow is the largest difference between the times at which requests and daemons detect
	// the same crash. It must be shorter than an engine takes to start again.
	crashMergeWindow = 2 * spanrill.Second
	// maxParts and maxCrashes bound the ledger, and maxCrashesPerPart the crashes kept for one part.
	maxParts          = 4096
	maxCrashes        = 1024
	maxCrashesPerPart = 8
	// maxPartsPerRequest bounds the parts of one request that become evidence.
	maxPartsPerRequest = 64
)
