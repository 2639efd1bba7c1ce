package relay

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

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

// A promise that is not true is counted.
func TestRefusalAfterARunIsCounted(t *testing.T) {
	for _, c := range []struct {
		name    string
		ran     bool
		outcome spanrill.Outcome
		want    uint64
	}{
		{"has not run", false, spanrill.OutcomeNotRun, 0},
		{"has run, and no promise", true, spanrill.OutcomeUnknown, 0},
		{"has run, and a promise", true, spanrill.OutcomeNotRun, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := testRequest(context.Background())
			q.relay.Codec = silentCodec{}
			q.http = &fasthttp.RequestCtx{}
			q.ran.Store(c.ran)
			q.refuse(spanrill.NewRefusal(spanrill.ReasonNoRoom, "x").WithOutcome(c.outcome))
			if got := q.relay.Meters.RefusedAfterRun.Get(); got != c.want {
				t.Fatalf("counted %d, want %d", got, c.want)
			}
		})
	}
}

// silentCodec adds no headers to a refusal.
type silentCodec struct{ spanrill.HeaderCodec }

func (silentCodec) WriteRefusal(*fasthttp.ResponseHeader, string, spanrill.Millis) {}
