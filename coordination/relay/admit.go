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
	if r.Config.Table() == nil {
		return spanrill.NewRefusal(spanrill.ReasonNotReady, "no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	if r.refusing.Load() {
		return stoppingRefusal()
	}
	var err error
	if q.head, err = r.Codec.ReadRequest(&q.http.Request.Header); err != nil {
		return spanrill.NewRefusal(spanrill.ReasonBadField, "%v", err)
	}
	q.chooseConfig()
	if limit := q.table.Limits().BodyBytes; limit > 0 && len(q.http.Request.Body()) > limit {
		return q.finalRefusal(q.proofAge, spanrill.NewRefusal(spanrill.ReasonBodyTooLarge, "body of %d bytes, the limit is %d", len(q.http.Request.Body()), limit))
	}
	if refusal := q.matchRoute(); refusal != nil {
		return refusal
	}
	q.service = q.table.Service(routes.ChooseService(q.route, r.Random.Float64()))
	if q.service == nil {
		return spanrill.NewRefusal(spanrill.ReasonNoUpstream, "route %s has no service", q.route.Name).WithRetryAfter(notReadyRetryAfter)
	}
	r.Meters.RecordProofAge(meter.DecisionRoute, q.proofAge)
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

// matchRoute finds the route and checks the key.
func (q *request) matchRoute() *spanrill.Refusal {
	header := &q.http.Request.Header
	path, _, _ := strings.Cut(string(header.RequestURI()), "?")
	route, ok := q.table.Find(string(header.Host()), path)
	if !ok {
		return q.finalRefusal(q.proofAge, spanrill.NewRefusal(spanrill.ReasonUnknownRoute, "no such route"))
	}
	if !q.mayRoute() {
		return staleConfigRefusal(q.proofAge)
	}
	q.route = route
	if route.AuthExempt || !q.table.HasAccounts() {
		return nil
	}
	if !q.mayUseKeys(q.proofAge) {
		return staleConfigRefusal(q.proofAge)
	}
	if q.account, ok = q.table.Account(q.head.APIKey); !ok {
		return q.finalRefusal(q.proofAge, spanrill.NewRefusal(spanrill.ReasonBadKey, "missing or unknown key"))
	}
	return nil
}
