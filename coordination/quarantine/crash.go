package quarantine

import "spanrill"

// Crash is the crash of an engine under a request that had just begun there.
type Crash struct {
	Upstream    uint32          // hash of the engine's name
	At          spanrill.Millis // on the ledger's clock
	Account     Account         // whose request it was
	Content     uint64          // identifies the request
	Trial       bool            // the request was a trial of the part; set by RecordCrash
	Unconfirmed bool            // the engine does not answer, but its process may still run
}

// crashState is a crash with the parts of all requests that had just begun on the engine.
type crashState struct {
	upstream    uint32
	at          spanrill.Millis
	unconfirmed bool
	recordedAt  spanrill.Millis // when this daemon recorded it, or when it was confirmed
	parts       map[Part]*evidence
}

// evidence is what a crash says about one part.
type evidence struct {
	account    Account // of one of the requests; of a trial if there was one
	content    uint64  // of the same request
	trial      bool
	otherToo   bool            // requests of other accounts were on the engine, too
	recordedAt spanrill.Millis // when this daemon recorded it
}

// isSame reports whether a crash of an upstream at a time is this one.
func (c *crashState) isSame(upstream uint32, at spanrill.Millis) bool {
	return c.upstream == upstream && at-c.at < crashMergeWindow && c.at-at < crashMergeWindow
}

// counts reports whether the crash counts as evidence now.
func (c *crashState) counts(now spanrill.Millis) bool {
	return !c.unconfirmed || now-c.at < unconfirmedTime
}

// merge adds a request to the evidence about a part and reports whether that changes it.
func (e *evidence) merge(crash Crash) bool {
	changed := crash.Trial && !e.trial || crash.Account != e.account && !e.otherToo
	e.otherToo = e.otherToo || crash.Account != e.account
	if crash.Trial && !e.trial {
		e.account, e.content, e.trial = crash.Account, crash.Content, true
	}
	return changed
}
