package relay

import (
	"context"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/state/fleet"
	"spanrill/transport/httpcall"
)

// failedPresendCheck reports whether a call ended before its first byte was sent because its
// upstream rests, leaves, or has exhausted its rate limit. Such a call is not a failure of the
// upstream.
func failedPresendCheck(err error) bool {
	return errors.Is(err, spanrill.ErrWithheld) || errors.Is(err, fleet.ErrResting) || errors.Is(err, fleet.ErrLeaving) || errors.Is(err, fleet.ErrLimited)
}

// withSendCheck returns a context with which a call checks, once it has a connection, whether the
// upstream may still be sent a request.
func (r *Relay) withSendCheck(ctx context.Context, u *fleet.Upstream) context.Context {
	return httpcall.WithPresendCheck(ctx, func() error {
		if err := u.CheckSend(r.Clock.Now()); err != nil {
			return err
		}
		return r.Permit(ctx, u)
	})
}

// restRetryAfter returns the retry time of a caller whose possible upstreams rest, or 0 if none
// rests. It is the time until one of them takes requests again, plus a delay that grows with the
// time that it has rested already. Callers refused during a rest thus return spread over half its
// length after its end. If all returned at its end, they would overload the upstream again. When
// they return one after another, the first finds out for the others whether it has recovered.
func restRetryAfter(upstreams []*fleet.Upstream, now spanrill.Millis) spanrill.Millis {
	earliest := spanrill.Millis(0)
	for _, u := range upstreams {
		wait := u.RestRemaining(now) + u.RestElapsed(now)/restSpreadDivisor
		if u.Resting(now) && (earliest == 0 || wait < earliest) {
			earliest = wait
		}
	}
	return earliest
}

// restSpreadDivisor is the ratio of the time rested to the delay after the end of the rest. With 2,
// the callers refused during a rest return at twice their usual rate, in addition to the usual
// traffic.
const restSpreadDivisor = 2

// restingUpstreams returns the upstreams that could take the request if they did not rest.
func (q *request) restingUpstreams() []*fleet.Upstream { return q.blockedBy(fleet.ErrResting) }

// blockedBy returns the upstreams of the request's service for which CheckSend returns the given
// error. For a request that runs on a path, these are only engines with the first layer.
func (q *request) blockedBy(cause error) []*fleet.Upstream {
	now := q.relay.Clock.Now()
	var blocked []*fleet.Upstream
	for _, u := range q.relay.Fleet.View().ByService(q.service.Name) {
		if errors.Is(u.CheckSend(now), cause) && (!q.route.Chained || u.Layers().From == 0) {
			blocked = append(blocked, u)
		}
	}
	return blocked
}

// restRefusal returns the refusal of a request whose possible upstreams rest. Its outcome is that
// no upstream has run the request.
func (q *request) restRefusal(resting []*fleet.Upstream) *spanrill.Refusal {
	return spanrill.NewRefusal(spanrill.ReasonUpstreamsRest, "%d upstreams that could take it have asked for rest", len(resting)).
		WithRetryAfter(restRetryAfter(resting, q.relay.Clock.Now()))
}
