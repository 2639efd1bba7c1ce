package relay

import (
	"context"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/state/fleet"
	"spanrill/transport/httpcall"
)

// withheld reports whether a call was ended before its first byte because its upstream has
// asked for rest, leaves, or has exhausted its rate limit. That says nothing against the
// upstream.
func withheld(err error) bool {
	return errors.Is(err, fleet.ErrRests) || errors.Is(err, fleet.ErrLeaves) || errors.Is(err, fleet.ErrLimited)
}

// sendingTo has a call ask once more, when its connection stands, whether the upstream may
// be sent a request.
func (r *Relay) sendingTo(ctx context.Context, u *fleet.Upstream) context.Context {
	return httpcall.Before(ctx, func() error {
		if err := u.MaySend(r.Clock.Now()); err != nil {
			return err
		}
		return r.Permit(ctx, u)
	})
}

// restRetry returns when a caller should come back whose upstreams all rest: when the first
// of them takes requests again, and later the later in the rest the caller came. Callers
// that are refused during a rest come back one after another in the time after it, half as
// long, and not all at its end: the first one finds out for the others whether the upstream
// is well. Upstreams are those that could take the request.
func restRetry(upstreams []*fleet.Upstream, now spanrill.Millis) spanrill.Millis {
	least := spanrill.Millis(0)
	for _, u := range upstreams {
		after := u.RestLeft(now) + u.RestedFor(now)/restSpread
		if u.Rests(now) && (least == 0 || after < least) {
			least = after
		}
	}
	return least
}

// restSpread divides the time for which an upstream has rested when a caller is refused, to
// give the time by which the caller comes later than the rest's end: at 2 the callers of a
// rest come at twice their usual rate, beside those that come at the usual one.
const restSpread = 2

// resting returns the upstreams that would take the request but for their rest.
func (q *request) resting() []*fleet.Upstream { return q.blockedBy(fleet.ErrRests) }

// blockedBy returns the upstreams of the request's service that would take it but for the given
// MaySend error: for a request that runs on a path, those at which paths begin.
func (q *request) blockedBy(cause error) []*fleet.Upstream {
	now := q.relay.Clock.Now()
	var blocked []*fleet.Upstream
	for _, u := range q.relay.Fleet.View().Of(q.service.Name) {
		if errors.Is(u.MaySend(now), cause) && (!q.route.Chained || u.Layers().From == 0) {
			blocked = append(blocked, u)
		}
	}
	return blocked
}

// upstreamsRest refuses a request at once whose upstreams all rest: no engine has run it.
func (q *request) upstreamsRest(rest []*fleet.Upstream) *spanrill.Refusal {
	return spanrill.NewRefusal(spanrill.ReasonUpstreamsRest, "%d upstreams that could take it have asked for rest", len(rest)).
		WithRetryAfter(restRetry(rest, q.relay.Clock.Now()))
}
