package quarantine

import (
	"fmt"
	"strconv"

	"spanrill"
)

// StoredMark is a Mark in the store. Its time is wall-clock time, because a daemon's own clock does not
// outlast the daemon.
type StoredMark struct {
	Part     string          `json:"part"`
	Kind     MarkKind        `json:"kind"`
	At       spanrill.Millis `json:"at_unix_ms"`
	Upstream uint32          `json:"upstream,omitempty"`
	Account  uint32          `json:"account,omitempty"`
	Content  string          `json:"content,omitempty"`
	Trial    bool            `json:"trial,omitempty"`
	OtherToo bool            `json:"other_accounts,omitempty"`
	Trials   int             `json:"trials,omitempty"`
}

// EncodeStored converts marks to the form in which they are stored. Unconfirmed crashes are left out.
func EncodeStored(clock spanrill.Clock, marks []Mark) []StoredMark {
	stored := make([]StoredMark, 0, len(marks))
	for _, m := range marks {
		if m.Crash.Unconfirmed {
			continue
		}
		stored = append(stored, StoredMark{
			Part: m.Part.String(), Kind: m.Kind, At: clock.Unix() - m.Age, Upstream: m.Crash.Upstream, Account: uint32(m.Crash.Account),
			Content: fmt.Sprintf("%x", m.Crash.Content), Trial: m.Crash.Trial, OtherToo: m.OtherToo, Trials: m.Trials,
		})
	}
	return stored
}

// DecodeStored returns the stored marks without those that cannot be parsed. A mark from the future, as
// after the wall clock was set back, gets age 0.
func DecodeStored(clock spanrill.Clock, stored []StoredMark) []Mark {
	marks := make([]Mark, 0, len(stored))
	for _, m := range stored {
		part, err := strconv.ParseUint(m.Part, 16, 64)
		if err != nil {
			continue
		}
		content, err := strconv.ParseUint(m.Content, 16, 64)
		if err != nil && m.Kind == MarkCrash {
			continue
		}
		marks = append(marks, Mark{
			Part: Part(part), Kind: m.Kind, Age: max(0, clock.Unix()-m.At), OtherToo: m.OtherToo, Trials: m.Trials,
			Crash: Crash{Upstream: m.Upstream, Account: Account(m.Account), Content: content, Trial: m.Trial},
		})
	}
	return marks
}
