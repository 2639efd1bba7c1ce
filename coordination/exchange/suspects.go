package exchange

import (
	"github.com/sirupsen/logrus"

	"spanrill/coordination/suspect"
	"spanrill/events"
	"spanrill/protocol/peermsg"
)

// suspectNews returns what one that keeps back what the digest says has to hear.
func (e *Exchange) suspectNews(digest uint64) []peermsg.SuspectMark {
	return SuspectMarks(e.state.Suspects.News(digest))
}

// SuspectMarks returns marks in the form that is sent.
func SuspectMarks(marks []suspect.Mark) []peermsg.SuspectMark {
	told := make([]peermsg.SuspectMark, len(marks))
	for i, m := range marks {
		told[i] = peermsg.SuspectMark{Content: uint64(m.Content), Upstream: m.Upstream, Age: m.Age, Fresh: m.Fresh, Trial: m.Trial}
	}
	return told
}

// TakeSuspects takes what a peer has told. Marks are older by the time that the message
// took, which is less than the times at which requests find one end differ by.
func (e *Exchange) TakeSuspects(told []peermsg.SuspectMark) {
	marks := make([]suspect.Mark, len(told))
	for i, m := range told {
		marks[i] = suspect.Mark{Content: suspect.Content(m.Content), Upstream: m.Upstream, Age: m.Age, Fresh: m.Fresh, Trial: m.Trial}
	}
	if news := e.state.Suspects.Take(marks); news > 0 {
		events.SuspectsHeard.Log(e.log, logrus.Fields{"marks": len(marks), "news": news})
	}
}
