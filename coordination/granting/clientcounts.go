package granting

import "sync/atomic"

// clientCounters counts what became of the requests of this daemon.
type clientCounters struct {
	asked, ahead, granted, waited, refused, unanswered, shared, shareRefused, passed, reports atomic.Uint64
}

// ClientCounts is what a client has done since it was made.
type ClientCounts struct {
	Asked        uint64 // questions to granting daemons
	Unanswered   uint64 // of these without an answer in time
	Ahead        uint64 // requests that used a grant given ahead
	Granted      uint64 // requests that a granting daemon let start, at once or after a wait
	Waited       uint64 // requests that were told to wait
	Refused      uint64 // requests that a granting daemon refused, or whose wait ended without a grant
	Shared       uint64 // requests that started within the share of this daemon
	ShareRefused uint64 // requests that were refused because that share was in use
	Passed       uint64 // requests that started without any decision, as too little was known
	Reports      uint64 // reports sent
}

// Counts returns what the client has done.
func (c *Client) Counts() ClientCounts {
	n := &c.counts
	return ClientCounts{
		Asked: n.asked.Load(), Unanswered: n.unanswered.Load(), Ahead: n.ahead.Load(),
		Granted: n.granted.Load(), Waited: n.waited.Load(), Refused: n.refused.Load(),
		Shared: n.shared.Load(), ShareRefused: n.shareRefused.Load(), Passed: n.passed.Load(),
		Reports: n.reports.Load(),
	}
}
