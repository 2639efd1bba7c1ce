package spanrill

import (
	"encoding/json"
	"fmt"
)

// Reason tells why a request was refused or failed. Each reason has a stable code for callers
// and its own counter.
type Reason uint8

// The reasons, grouped by whether the caller, this daemon, an upstream or the platform is the
// cause.
const (
	// ReasonNone means that there is no refusal.
	ReasonNone Reason = iota

	ReasonBadKey           // no key, or a key that no client account has
	ReasonAccountDisabled  // the client account is disabled
	ReasonBadBody          // the body is not the JSON object expected
	ReasonBodyTooLarge     // the body is over the limit
	ReasonBadField         // a field that spanrill reads has a wrong value
	ReasonHeadersTooLarge  // the headers are over the limit
	ReasonUnknownModel     // the account may not use the model, or it does not exist
	ReasonUnknownRoute     // no such path
	ReasonUnknownService   // the account may not use the service
	ReasonCallNotAllowed   // the service's template does not list the call
	ReasonKeyReused        // the Idempotency-Key was used with a different request
	ReasonAccountRate      // the account exceeds its requests per second
	ReasonAccountTokens    // the account exceeds its tokens per second
	ReasonAccountInFlight  // the account has too many requests in flight
	ReasonQueueFull        // the queue is full
	ReasonQueueDeadline    // the request cannot start before its deadline
	ReasonDraining         // this daemon is stopping
	ReasonNotReady         // this daemon has no configuration yet
	ReasonNoChain          // no chain of engines covers the model
	ReasonNoUpstream       // no upstream of the service accepts requests
	ReasonPlatformDown     // a claim cannot be written while the platform is unavailable
	ReasonUpstreamRefused  // the upstream reported that it did not run the request
	ReasonUpstreamFailed   // the upstream failed before the answer was complete
	ReasonUpstreamTimeout  // the upstream did not answer in time
	ReasonRetryBudget      // the request needed a retry, and the retry budget was exhausted
	ReasonClaimOutstanding // an earlier request with this key has no outcome yet
	ReasonClaimsFull       // the claims object of the key's slot is full
	ReasonConfigStale      // the configuration was not confirmed recently enough
	ReasonUpstreamsStale   // this daemon's entries of upstreams are outdated, and others have newer ones
	ReasonChainsFull       // all chains are at capacity
	ReasonSuspected        // withheld for a while, because upstreams crashed while running the request
	ReasonUpstreamsRest    // every upstream that could run the request wants none for a while
	ReasonUpstreamsLimited // every upstream that could run the request is at its rate limit
	ReasonCrashesUpstreams // too many upstreams crashed while running the request
	ReasonPartSuspected    // a part of the prompt may crash engines, and one request with it is being tried
	ReasonPartWithheld     // engines crashed under requests with a part of the prompt
	ReasonNoPath           // no network path to the upstreams, from this daemon or through another
	ReasonHelpersFull      // daemons that reach the upstreams have no room for another connection of this one
	ReasonInternal         // an internal error of this daemon
	reasonCount
)

type reasonInfo struct {
	code   string
	status int
	kind   string
}

// Values of the type field of the error object.
const (
	kindInvalid     = "invalid_request_error"
	kindAuth        = "authentication_error"
	kindLimit       = "rate_limit_error"
	kindUnavailable = "unavailable_error"
	kindServer      = "server_error"
)

var reasons = [reasonCount]reasonInfo{
	ReasonNone:             {"none", 200, ""},
	ReasonBadKey:           {"invalid_api_key", 401, kindAuth},
	ReasonAccountDisabled:  {"account_disabled", 403, kindAuth},
	ReasonBadBody:          {"invalid_body", 400, kindInvalid},
	ReasonBodyTooLarge:     {"body_too_large", 413, kindInvalid},
	ReasonBadField:         {"invalid_field", 400, kindInvalid},
	ReasonHeadersTooLarge:  {"headers_too_large", 431, kindInvalid},
	ReasonUnknownModel:     {"model_not_found", 404, kindInvalid},
	ReasonUnknownRoute:     {"unknown_route", 404, kindInvalid},
	ReasonUnknownService:   {"service_not_found", 404, kindInvalid},
	ReasonCallNotAllowed:   {"call_not_allowed", 403, kindInvalid},
	ReasonKeyReused:        {"idempotency_key_reused", 422, kindInvalid},
	ReasonAccountRate:      {"account_rate_limit", 429, kindLimit},
	ReasonAccountTokens:    {"account_token_limit", 429, kindLimit},
	ReasonAccountInFlight:  {"account_in_flight_limit", 429, kindLimit},
	ReasonQueueFull:        {"queue_full", 503, kindUnavailable},
	ReasonQueueDeadline:    {"queue_deadline", 503, kindUnavailable},
	ReasonDraining:         {"draining", 503, kindUnavailable},
	ReasonNotReady:         {"not_ready", 503, kindUnavailable},
	ReasonNoChain:          {"no_chain", 503, kindUnavailable},
	ReasonNoUpstream:       {"no_upstream", 503, kindUnavailable},
	ReasonPlatformDown:     {"platform_unavailable", 503, kindUnavailable},
	ReasonUpstreamRefused:  {"upstream_refused", 503, kindUnavailable},
	ReasonUpstreamFailed:   {"upstream_failed", 502, kindServer},
	ReasonUpstreamTimeout:  {"upstream_timeout", 504, kindServer},
	ReasonRetryBudget:      {"retry_budget_spent", 503, kindUnavailable},
	ReasonClaimOutstanding: {"outcome_pending", 409, kindUnavailable},
	ReasonClaimsFull:       {"claims_full", 503, kindUnavailable},
	ReasonConfigStale:      {"configuration_stale", 503, kindUnavailable},
	ReasonUpstreamsStale:   {"upstreams_stale", 503, kindUnavailable},
	ReasonChainsFull:       {"no_room", 503, kindUnavailable},
	ReasonSuspected:        {"suspected", 503, kindUnavailable},
	ReasonUpstreamsRest:    {"upstreams_rest", 503, kindUnavailable},
	ReasonUpstreamsLimited: {"upstreams_limited", 503, kindUnavailable},
	ReasonCrashesUpstreams: {"ends_upstreams", 503, kindUnavailable},
	ReasonPartSuspected:    {"part_suspected", 503, kindUnavailable},
	ReasonPartWithheld:     {"part_withheld", 503, kindUnavailable},
	ReasonNoPath:           {"no_path", 503, kindUnavailable},
	ReasonHelpersFull:      {"helpers_full", 503, kindUnavailable},
	ReasonInternal:         {"internal_error", 500, kindServer},
}

// Code returns the stable code that callers see.
func (r Reason) Code() string { return reasons[r].code }

// Status returns the HTTP status of an answer with this reason.
func (r Reason) Status() int { return reasons[r].status }

// Kind returns the type field of the error object.
func (r Reason) Kind() string { return reasons[r].kind }

// Reasons returns all reasons except ReasonNone.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// Refusal is the error answer to a request that spanrill rejects or gives up on.
type Refusal struct {
	reason     Reason
	outcome    Outcome
	retryAfter Millis
	detail     string
	field      string
}

// NewRefusal returns a refusal of a request that did not run.
func NewRefusal(r Reason, format string, args ...any) *Refusal {
	return &Refusal{reason: r, outcome: OutcomeNotRun, detail: fmt.Sprintf(format, args...)}
}

// WithOutcome returns a copy with another outcome.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	c := *r
	c.outcome = o
	return &c
}

// WithRetryAfter returns a copy that tells the caller when to retry.
func (r *Refusal) WithRetryAfter(after Millis) *Refusal {
	c := *r
	c.retryAfter = after
	return &c
}

// WithField returns a copy that names the invalid field of the body.
func (r *Refusal) WithField(field string) *Refusal {
	c := *r
	c.field = field
	return &c
}

// Reason returns why the request was refused.
func (r *Refusal) Reason() Reason { return r.reason }

// Outcome returns whether the request ran.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// RetryAfter returns how long the caller should wait before it retries, or 0 if it should not retry.
func (r *Refusal) RetryAfter() Millis { return r.retryAfter }

// Detail returns the human-readable message.
func (r *Refusal) Detail() string { return r.detail }

// Field returns the invalid field of the body, or "".
func (r *Refusal) Field() string { return r.field }

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return r.reason.Code() + ": " + r.detail
}

// errorObject is the error format that clients of inference APIs expect.
type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
}

// MarshalJSON returns the body of the error answer: an object "error" with the message, its
// type, the invalid field or null, the code and the outcome.
func (r *Refusal) MarshalJSON() ([]byte, error) {
	e := errorObject{Message: r.detail, Type: r.reason.Kind(), Code: r.reason.Code(), Outcome: r.outcome.String()}
	if r.field != "" {
		e.Param = &r.field
	}
	body, err := json.Marshal(map[string]errorObject{"error": e})
	if err != nil {
		return nil, fmt.Errorf("encode refusal: %w", err)
	}
	return body, nil
}
