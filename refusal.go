package spanrill

import (
	"encoding/json"
	"fmt"
)

// Reason says why a request was refused or failed. Each reason has a stable
// code for callers and a counter of its own.
type Reason uint8

// The reasons, grouped by who is at fault.
const (
	// ReasonNone is no refusal.
	ReasonNone Reason = iota

	ReasonBadKey           // no key, or a key that no client account has
	ReasonAccountDisabled  // the client account is disabled
	ReasonBadBody          // the body is not the JSON object expected
	ReasonBodyTooLarge     // the body is over the limit
	ReasonBadField         // a field that spanrill reads has a wrong value
	ReasonHeadersTooLarge  // the headers are over the limit
	ReasonUnknownModel     // the account may not use the model, or none has it
	ReasonUnknownRoute     // no such path
	ReasonUnknownService   // the account may not use the service
	ReasonCallNotAllowed   // the template does not list the call
	ReasonKeyReused        // an Idempotency-Key came with another request
	ReasonAccountRate      // the account is over its requests a second
	ReasonAccountTokens    // the account is over its tokens a second
	ReasonAccountInFlight  // the account has too many requests in flight
	ReasonQueueFull        // the queue is full
	ReasonQueueDeadline    // the request cannot start before its deadline
	ReasonDraining         // this daemon is stopping
	ReasonNotReady         // this daemon has no configuration yet
	ReasonNoChain          // no chain of engines covers the model
	ReasonNoUpstream       // no upstream of the service takes work
	ReasonPlatformDown     // a claim cannot be written while the platform is out
	ReasonUpstreamRefused  // the upstream said it did not run the request
	ReasonUpstreamFailed   // the upstream failed before the answer was whole
	ReasonUpstreamTimeout  // the upstream gave no answer in time
	ReasonRetryBudget      // a retry was due and the budget was spent
	ReasonClaimOutstanding // an earlier request with this key has no outcome yet
	ReasonClaimsFull       // the slot of the key holds as many records as fit
	ReasonConfigStale      // the configuration cannot be proved fresh
	ReasonUpstreamsStale   // the entries of upstreams cannot be proved, others have newer ones
	ReasonNoRoom           // every chain is full
	ReasonSuspected        // upstreams ended under the request, it is kept back for a while
	ReasonUpstreamsRest    // every upstream that could take it has asked for rest
	ReasonUpstreamsLimited // every upstream that could take it has exhausted its rate limit
	ReasonEndsUpstreams    // too many upstreams ended under the request
	ReasonInternal         // a fault of this daemon
	reasonCount
)

type reasonInfo struct {
	code   string
	status int
	kind   string
}

// Kinds of the customary error object.
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
	ReasonNoRoom:           {"no_room", 503, kindUnavailable},
	ReasonSuspected:        {"suspected", 503, kindUnavailable},
	ReasonUpstreamsRest:    {"upstreams_rest", 503, kindUnavailable},
	ReasonUpstreamsLimited: {"upstreams_limited", 503, kindUnavailable},
	ReasonEndsUpstreams:    {"ends_upstreams", 503, kindUnavailable},
	ReasonInternal:         {"internal_error", 500, kindServer},
}

// Code returns the stable code that callers see.
func (r Reason) Code() string { return reasons[r].code }

// Status returns the HTTP status of an answer with this reason.
func (r Reason) Status() int { return reasons[r].status }

// Kind returns the type field of the customary error object.
func (r Reason) Kind() string { return reasons[r].kind }

// Reasons returns every reason but ReasonNone.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// Refusal is the final answer to a request that spanrill gives up on.
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

// WithRetryAfter returns a copy that tells the caller when to come back.
func (r *Refusal) WithRetryAfter(after Millis) *Refusal {
	c := *r
	c.retryAfter = after
	return &c
}

// WithField returns a copy that names the field of the body at fault.
func (r *Refusal) WithField(field string) *Refusal {
	c := *r
	c.field = field
	return &c
}

// Reason returns why the request was refused.
func (r *Refusal) Reason() Reason { return r.reason }

// Outcome returns whether the request ran.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// RetryAfter returns when the caller should come back, or 0 for never.
func (r *Refusal) RetryAfter() Millis { return r.retryAfter }

// Detail returns the message for people.
func (r *Refusal) Detail() string { return r.detail }

// Field returns the field of the body at fault, or "".
func (r *Refusal) Field() string { return r.field }

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return r.reason.Code() + ": " + r.detail
}

// errorObject is the customary error of inference interfaces.
type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
}

// MarshalJSON returns the body of the final answer: an object error with the
// message, its type, the field at fault or null, the code and the outcome.
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
