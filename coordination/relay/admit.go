package relay

import (
	"strings"

	"spanrill"
	"spanrill/meter"
	"spanrill/state/routes"
)

// admit finds the route, the account and the service of a request, or returns a refusal.
func (q *request) admit() *spanrill.Refusal {
	r := q.relay
	q.table = r.Config.Table()
	if q.table == nil {
		return spanrill.NewRefusal(spanrill.ReasonNotReady, "no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	if r.refusing.Load() {
		return spanrill.NewRefusal(spanrill.ReasonDraining, "this daemon is stopping").WithRetryAfter(minRetryAfter)
	}
	var err error
	if q.head, err = r.Codec.ReadRequest(&q.http.Request.Header); err != nil {
		return spanrill.NewRefusal(spanrill.ReasonBadField, "%v", err)
	}
	if limit := q.table.Limits().BodyBytes; limit > 0 && len(q.http.Request.Body()) > limit {
		return spanrill.NewRefusal(spanrill.ReasonBodyTooLarge, "body of %d bytes, the limit is %d", len(q.http.Request.Body()), limit)
	}
	if refusal := q.matchRoute(); refusal != nil {
		return refusal
	}
	q.service = q.table.Service(routes.ChooseService(q.route, r.Random.Float64()))
	if q.service == nil {
		return spanrill.NewRefusal(spanrill.ReasonNoUpstream, "route %s has no service", q.route.Name).WithRetryAfter(notReadyRetryAfter)
	}
	r.Meters.RecordProofAge(meter.DecisionRoute, r.Config.Age())
	return nil
}

const (
	// notReadyRetryAfter is the retry time while the configuration lacks something: about how long
	// a daemon takes to read it.
	notReadyRetryAfter spanrill.Millis = 500
	// staleRetryAfter is the retry time while the configuration or the upstreams are out of date:
	// about how long the store takes to answer a daemon again.
	staleRetryAfter spanrill.Millis = 700
)

// matchRoute finds the route and checks the key. A route or key that this daemon does not know may
// be in a newer configuration, unless its own was confirmed recently.
func (q *request) matchRoute() *spanrill.Refusal {
	header := &q.http.Request.Header
	path, _, _ := strings.Cut(string(header.RequestURI()), "?")
	route, ok := q.table.Find(string(header.Host()), path)
	if !ok {
		return q.unknownOrStaleRefusal(spanrill.ReasonUnknownRoute, "no such route")
	}
	q.route = route
	if route.AuthExempt || !q.table.HasAccounts() {
		return nil
	}
	if !q.configFresh() {
		return q.staleConfigRefusal()
	}
	if q.account, ok = q.table.Account(q.head.APIKey); !ok {
		return spanrill.NewRefusal(spanrill.ReasonBadKey, "missing or unknown key")
	}
	return nil
}

// unknownOrStaleRefusal returns a refusal with the given reason, or one that asks the caller to
// retry if the configuration may be out of date.
func (q *request) unknownOrStaleRefusal(reason spanrill.Reason, text string) *spanrill.Refusal {
	if !q.configFresh() {
		return q.staleConfigRefusal()
	}
	return spanrill.NewRefusal(reason, "%s", text)
}

// configFresh reports whether the configuration was confirmed recently enough for requests with a
// key.
func (q *request) configFresh() bool { return q.relay.Config.Age() <= q.relay.options.MaxConfigAge }

// staleConfigRefusal returns the refusal of a request for which the configuration is too old.
func (q *request) staleConfigRefusal() *spanrill.Refusal {
	return spanrill.NewRefusal(spanrill.ReasonConfigStale, "configuration was last confirmed %d ms ago", q.relay.Config.Age()).
		WithRetryAfter(staleRetryAfter)
}
