package exchange

import (
	"github.com/sirupsen/logrus"

	"spanrill/coordination/quarantine"
	"spanrill/events"
	"spanrill/protocol/peermsg"
)

// PartMarks converts marks of parts to the form in which they are sent to peers.
func PartMarks(marks []quarantine.Mark) []peermsg.PartMark {
	out := make([]peermsg.PartMark, len(marks))
	for i, m := range marks {
		out[i] = peermsg.PartMark{
			Part: uint64(m.Part), Kind: uint8(m.Kind), Age: m.Age, Upstream: m.Crash.Upstream, Account: uint32(m.Crash.Account), Content: m.Crash.Content,
			Trial: m.Crash.Trial, Unconfirmed: m.Crash.Unconfirmed, OtherToo: m.OtherToo, Trials: m.Trials,
		}
	}
	return out
}

// MergeParts merges marks of parts from a peer into this daemon's ledger. As in MergeSuspects, the time
// that the message took is not added to their ages.
func (e *Exchange) MergeParts(received []peermsg.PartMark) {
	if len(received) == 0 {
		return
	}
	marks := make([]quarantine.Mark, len(received))
	for i, m := range received {
		marks[i] = quarantine.Mark{
			Part: quarantine.Part(m.Part), Kind: quarantine.MarkKind(m.Kind), Age: m.Age, OtherToo: m.OtherToo, Trials: m.Trials,
			Crash: quarantine.Crash{Upstream: m.Upstream, Account: quarantine.Account(m.Account), Content: m.Content, Trial: m.Trial, Unconfirmed: m.Unconfirmed},
		}
	}
	if news := e.state.Parts.Merge(marks); news > 0 {
		events.PartsReceived.Log(e.log, logrus.Fields{"marks": len(marks), "news": news})
	}
}
