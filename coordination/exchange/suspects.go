package exchange

import (
	"github.com/sirupsen/logrus"

	"spanrill/coordination/suspect"
	"spanrill/events"
	"spanrill/protocol/peermsg"
)

// suspectNews returns the marks for a peer whose ledger has the given digest.
func (e *Exchange) suspectNews(digest uint64) []peermsg.SuspectMark {
	return SuspectMarks(e.state.Suspects.MarksFor(digest))
}

// SuspectMarks converts marks to the form in which they are sent to peers.
func SuspectMarks(marks []suspect.Mark) []peermsg.SuspectMark {
	out := make([]peermsg.SuspectMark, len(marks))
	for i, m := range marks {
		out[i] = peermsg.SuspectMark{Content: uint64(m.Content), Upstream: m.Upstream, Age: m.Age, Fresh: m.Fresh, Trial: m.Trial}
	}
	return out
}

// MergeSuspects merges marks from a peer into this daemon's ledger. It does not add the time that the
// message took to their ages: requests detect the same crash at times that differ by more.
func (e *Exchange) MergeSuspects(received []peermsg.SuspectMark) {
	marks := make([]suspect.Mark, len(received))
	for i, m := range received {
		marks[i] = suspect.Mark{Content: suspect.Content(m.Content), Upstream: m.Upstream, Age: m.Age, Fresh: m.Fresh, Trial: m.Trial}
	}
	if added := e.state.Suspects.Merge(marks); added > 0 {
		events.SuspectsReceived.Log(e.log, logrus.Fields{"marks": len(marks), "news": added})
	}
}
