package relay

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/clock"
	"spanrill/meter"
)

// Guards against a status that promises that a request has not run when it may have, and against
// such a status without a retry time.
func TestNotRunStatusOnlyIfNotRun(t *testing.T) {
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for _, reason := range spanrill.Reasons() {
		for _, outcome := range []spanrill.Outcome{spanrill.OutcomeUnknown, spanrill.OutcomeRan} {
			refusal := spanrill.NewRefusal(reason, "x").WithOutcome(outcome)
			if status := statusOf(refusal); promises[status] {
				t.Errorf("%s with outcome %s has the status %d, which promises that the request has not run", reason.Code(), outcome, status)
			}
		}
		refusal := spanrill.NewRefusal(reason, "x")
		if status := statusOf(refusal); (status == 503 || status == 429) && retryAfter(refusal, status) <= 0 {
			t.Errorf("%s has the status %d and no retry time", reason.Code(), status)
		}
	}
}

// A status that promises wrongly that a request has not run is counted.
func TestFalseNotRunStatusIsCounted(t *testing.T) {
	for _, c := range []struct {
		name    string
		ran     bool
		outcome spanrill.Outcome
		want    uint64
	}{
		{"has not run", false, spanrill.OutcomeNotRun, 0},
		{"has run, status without promise", true, spanrill.OutcomeUnknown, 0},
		{"has run, status with promise", true, spanrill.OutcomeNotRun, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := testRequest(context.Background())
			q.relay.Codec = noHeadersCodec{}
			q.http = &fasthttp.RequestCtx{}
			q.hasRun.Store(c.ran)
			q.refuse(spanrill.NewRefusal(spanrill.ReasonChainsFull, "x").WithOutcome(c.outcome))
			if got := q.relay.Meters.RefusedAfterRun.Get(); got != c.want {
				t.Fatalf("%d false promises counted, want %d", got, c.want)
			}
		})
	}
}

// Guards against ending requests at the end of a planned stop without an answer that says what is known:
// those that run, and those that are added afterwards.
func TestRequestsEndedByStopAreRefused(t *testing.T) {
	for _, addedLater := range []bool{false, true} {
		server, _ := tcpPair(t)
		conns := newCallerConns(clock.NewManual(), meter.New())
		ctx, cancel := context.WithCancelCause(context.Background())
		if addedLater {
			conns.endAll()
			defer conns.add(server, spanrill.Minute, cancel)()
		} else {
			defer conns.add(server, spanrill.Minute, cancel)()
			conns.endAll()
		}
		q := testRequest(ctx)
		if r := q.endedRefusal(false); statusOf(r) != fasthttp.StatusServiceUnavailable || r.Outcome() != spanrill.OutcomeNotRun || r.RetryAfter() <= 0 {
			t.Errorf("not sent: %v, want 503 with outcome not-run and a retry time", r)
		}
		if r := q.endedRefusal(true); statusOf(r) != fasthttp.StatusBadGateway || r.Outcome() != spanrill.OutcomeUnknown {
			t.Errorf("sent: %v, want 502 with an unknown outcome", r)
		}
	}
}

// noHeadersCodec is a HeaderCodec that adds no headers to a refusal.
type noHeadersCodec struct{ spanrill.HeaderCodec }

func (noHeadersCodec) WriteRefusal(*fasthttp.ResponseHeader, string, spanrill.Millis) {}
