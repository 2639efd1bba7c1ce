package relay

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/meter"
	"spanrill/rng"
	"spanrill/state/fleet"
)

// An engine that refuses a stream that has begun, or accepts no connection, does not count toward the
// limit on engines, unless it has run the request before.
func TestEngineCountsOnlyIfItRan(t *testing.T) {
	for _, c := range []struct {
		name        string
		failure     func(u *fleet.Upstream) *sendError
		ranBefore   bool
		wantCounted bool
	}{
		{"refuses", refusedError, false, false},
		{"ran the request before and refuses", refusedError, true, true},
		{"accepts no connection", dialError, false, false},
		{"ran the request before and accepts no connection", dialError, true, true},
		{"may have run it", answerError, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := testRequest(context.Background())
			table := fleet.New(q.relay.Clock, nil)
			table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: "a", Addr: "1:1"}}, Revision: 1}, 0)
			q.relay.Router = chainrouting.New(table, q.relay.Clock, q.relay.Log, rng.New(1))
			q.service = &spanrill.ServiceInfo{Model: &spanrill.EngineModel{}}
			a := table.View().ByID("a")
			g := &generation{request: q, begun: true, avoid: map[string]bool{}, sentTo: map[string]*fleet.Upstream{"a": a}, ranOn: map[string]bool{"a": c.ranBefore}}
			g.recordFailure(a, c.failure(a))
			if counts := g.sentTo["a"] != nil; counts != c.wantCounted {
				t.Fatalf("engine counts toward the limit: %t, want %t", counts, c.wantCounted)
			}
		})
	}
}

func refusedError(u *fleet.Upstream) *sendError {
	return &sendError{outcome: spanrill.OutcomeNotRun, retryReason: meter.RetryRefused, engineAtFault: u, cause: errors.New("refused")}
}

func dialError(*fleet.Upstream) *sendError {
	return &sendError{outcome: spanrill.OutcomeNotRun, retryReason: meter.RetryDial, cause: errors.New("no connection")}
}

func answerError(*fleet.Upstream) *sendError {
	return &sendError{outcome: spanrill.OutcomeUnknown, retryReason: meter.RetryCut, cause: errors.New("no answer")}
}
