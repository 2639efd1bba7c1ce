package relay

import (
	"testing"

	"spanrill"
)

// A status that promises that a request has not run is never used for one that
// may have run, and every such promise says when to come back.
func TestStatusIsTrue(t *testing.T) {
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for _, reason := range spanrill.Reasons() {
		for _, outcome := range []spanrill.Outcome{spanrill.OutcomeUnknown, spanrill.OutcomeRan} {
			refusal := spanrill.NewRefusal(reason, "x").WithOutcome(outcome)
			if status := statusOf(refusal); promises[status] {
				t.Errorf("%s with outcome %s has the status %d", reason.Code(), outcome, status)
			}
		}
		refusal := spanrill.NewRefusal(reason, "x")
		if status := statusOf(refusal); (status == 503 || status == 429) && retryAfter(refusal, status) <= 0 {
			t.Errorf("%s has the status %d and does not say when to come back", reason.Code(), status)
		}
	}
}
