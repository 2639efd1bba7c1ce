package granting

import (
	"spanrill"
	"spanrill/protocol/peermsg"
)

// useRepeats is how often the use of a grant given ahead is told again, each time reportInterval later.
// The granting daemon takes the room back if it does not learn of the use, and no report tells it that
// the request runs: a connection that breaks loses what was sent within some 200 ms.
const useRepeats = 2

// repeatedUse is a use that was told and is told again.
type repeatedUse struct {
	use    peermsg.RoomUsed
	toldAt spanrill.Millis
	left   int
}

// takeUses returns the uses to tell in a report: the new ones, and those to be told again. It leaves out
// requests that have ended.
func (o *outbox) takeUses(now spanrill.Millis) []peermsg.RoomUsed {
	uses := o.used
	kept := o.repeats[:0]
	for _, u := range o.repeats {
		if now-u.toldAt >= reportInterval {
			uses = append(uses, u.use)
			u.left, u.toldAt = u.left-1, now
		}
		if u.left > 0 {
			kept = append(kept, u)
		}
	}
	o.repeats = kept
	for _, u := range o.used {
		if o.held[u.ID] {
			o.repeats = appendBounded(o.repeats, repeatedUse{use: u, toldAt: now, left: useRepeats})
		}
	}
	return uses
}
