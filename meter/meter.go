// Package meter provides the metrics of a daemon in the Prometheus text format.
//
// # Usage
//
//	m := meter.New()
//	m.CountRefusal(spanrill.ReasonQueueFull)
//	m.Write(w)
package meter

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"spanrill"
)

// RetryReason is the reason for a retry of a request.
type RetryReason uint8

// The reasons for a retry.
const (
	// RetryRefused means that a stage refused the request before it did any work.
	RetryRefused RetryReason = iota
	// RetryDial means that no connection to an upstream could be opened.
	RetryDial
	// RetryStageLost means that a stage failed while the chain was running.
	RetryStageLost
	// RetryStalled means that no token came in time.
	RetryStalled
	// RetryBadToken means that a token failed its check.
	RetryBadToken
	// RetryCut means that the stream ended before the answer was complete.
	RetryCut
	// RetryWithheld means that nothing was sent because the upstream asked for rest or is leaving.
	RetryWithheld
	retryCount
)

var retryNames = [retryCount]string{"refused", "dial", "stage_lost", "stalled", "bad_token", "cut", "withheld"}

// String returns the value of the label in metrics.
func (r RetryReason) String() string { return retryNames[r] }

// RetryReasons returns all reasons for a retry.
func RetryReasons() []RetryReason {
	all := make([]RetryReason, retryCount)
	for r := range retryCount {
		all[r] = r
	}
	return all
}

// Decision is a kind of decision about a request that is made by the configuration.
type Decision uint8

const (
	// DecisionRoute is the choice of the route, the service and the account of a request.
	DecisionRoute Decision = iota
	// DecisionRefuse is a final refusal, because there is no such route or key.
	DecisionRefuse
	decisionCount
)

var decisionNames = [decisionCount]string{"route", "refuse"}

// Meters holds the metrics of one daemon.
type Meters struct {
	set      *metrics.Set
	refusals map[spanrill.Reason]*metrics.Counter
	retries  [retryCount]*metrics.Counter
	outcomes [3]*metrics.Counter // by spanrill.Outcome

	proofAges [decisionCount]*metrics.Histogram

	// Requests counts requests of callers.
	Requests *metrics.Counter
	// Tokens counts tokens delivered to callers.
	Tokens *metrics.Counter
	// StreamsResumed counts streams that continued on another chain.
	StreamsResumed *metrics.Counter
	// CallersLeft counts callers that left before their answer was complete.
	CallersLeft *metrics.Counter
	// CallerGoneDelay is how long work for a caller continued after it left, in seconds: from the last
	// check at which it was still connected to the end of all work for it.
	CallerGoneDelay *metrics.Histogram
	// RefusedAfterRun counts refusals that state that the request has not run although an upstream
	// answered that it has. It must stay at zero.
	RefusedAfterRun *metrics.Counter
	// UpstreamCrashes counts requests that an upstream was running when it crashed.
	UpstreamCrashes *metrics.Counter
	// PartTrials counts requests that were sent as trials of parts of prompts.
	PartTrials *metrics.Counter
	// UpstreamRefusals counts refusals by upstreams, whatever the outcome of the request.
	UpstreamRefusals *metrics.Counter
	// ConnectionsClosedAtOnce counts new connections that the other side closed before anything was
	// sent, as an upstream does when it has reached its limit of connections.
	ConnectionsClosedAtOnce *metrics.Counter
	connectFailures         [2]*metrics.Counter // by whether the connection was refused
	// FramesRefused counts frames from peers that were refused.
	FramesRefused *metrics.Counter
	// PeerBytesSent counts bytes sent to peers.
	PeerBytesSent *metrics.Counter
	// PeerBytesReceived counts bytes received from peers.
	PeerBytesReceived *metrics.Counter
	// TunnelsOpened counts connections to upstreams that this daemon opened for peers.
	TunnelsOpened *metrics.Counter
	// TunnelsRefused counts connections that this daemon did not open for peers.
	TunnelsRefused *metrics.Counter
	// TunnelBytes counts bytes that this daemon forwarded for peers, in both directions.
	TunnelBytes *metrics.Counter
	// HelpedConnections counts connections to upstreams that peers opened for this daemon.
	HelpedConnections *metrics.Counter
	// HelpFailed counts connections to upstreams for which a peer was asked that did not answer.
	HelpFailed *metrics.Counter
	// SilentConnections counts open connections that were closed because nothing more arrived.
	SilentConnections *metrics.Counter
	// TimeToFirstToken is the time to the first token, in seconds.
	TimeToFirstToken *metrics.Histogram
	// TimeBetweenTokens is the time between two tokens, in seconds.
	TimeBetweenTokens *metrics.Histogram
	// ServiceCallTime is the duration of a call of a plain service, in seconds.
	ServiceCallTime *metrics.Histogram
	// QueueWait is the time a request waited before it started, in seconds.
	QueueWait *metrics.Histogram
}

// New returns metrics that have not counted anything yet.
func New() *Meters {
	s := metrics.NewSet()
	m := &Meters{
		set: s, refusals: map[spanrill.Reason]*metrics.Counter{},
		Requests:                s.NewCounter("spanrill_requests_total"),
		Tokens:                  s.NewCounter("spanrill_tokens_total"),
		StreamsResumed:          s.NewCounter("spanrill_streams_resumed_total"),
		CallersLeft:             s.NewCounter("spanrill_callers_left_total"),
		CallerGoneDelay:         s.NewHistogram("spanrill_caller_gone_seconds"),
		RefusedAfterRun:         s.NewCounter("spanrill_refused_after_run_total"),
		UpstreamCrashes:         s.NewCounter("spanrill_upstream_ends_under_requests_total"),
		PartTrials:              s.NewCounter("spanrill_part_trials_total"),
		UpstreamRefusals:        s.NewCounter("spanrill_upstream_refusals_total"),
		ConnectionsClosedAtOnce: s.NewCounter("spanrill_connections_closed_at_once_total"),
		FramesRefused:           s.NewCounter("spanrill_peer_frames_refused_total"),
		PeerBytesSent:           s.NewCounter("spanrill_peer_bytes_sent_total"),
		PeerBytesReceived:       s.NewCounter("spanrill_peer_bytes_received_total"),
		TunnelsOpened:           s.NewCounter("spanrill_tunnels_opened_total"),
		TunnelsRefused:          s.NewCounter("spanrill_tunnels_refused_total"),
		TunnelBytes:             s.NewCounter("spanrill_tunnel_bytes_total"),
		HelpedConnections:       s.NewCounter("spanrill_helped_connections_total"),
		HelpFailed:              s.NewCounter("spanrill_help_failed_total"),
		SilentConnections:       s.NewCounter("spanrill_silent_connections_total"),
		TimeToFirstToken:        s.NewHistogram("spanrill_first_token_seconds"),
		TimeBetweenTokens:       s.NewHistogram("spanrill_between_tokens_seconds"),
		ServiceCallTime:         s.NewHistogram("spanrill_service_call_seconds"),
		QueueWait:               s.NewHistogram("spanrill_queue_wait_seconds"),
	}
	for _, r := range spanrill.Reasons() {
		m.refusals[r] = s.NewCounter(fmt.Sprintf("spanrill_refusals_total{reason=%q}", r.Code()))
	}
	for r := range retryCount {
		m.retries[r] = s.NewCounter(fmt.Sprintf("spanrill_retries_total{reason=%q}", r))
	}
	for i, reason := range []string{"no_answer", "refused"} {
		m.connectFailures[i] = s.NewCounter(fmt.Sprintf("spanrill_upstream_connect_failures_total{reason=%q}", reason))
	}
	for d, name := range decisionNames {
		m.proofAges[d] = s.NewHistogram(fmt.Sprintf("spanrill_config_decision_proof_age_seconds{decision=%q}", name))
	}
	for o := range m.outcomes {
		m.outcomes[o] = s.NewCounter(fmt.Sprintf("spanrill_outcomes_total{outcome=%q}", spanrill.Outcome(o)))
	}
	return m
}

// CountRefusal counts a refusal by its reason.
func (m *Meters) CountRefusal(r spanrill.Reason) {
	if c := m.refusals[r]; c != nil {
		c.Inc()
	}
}

// Refusals returns the number of refusals for the reason.
func (m *Meters) Refusals(r spanrill.Reason) uint64 { return m.refusals[r].Get() }

// CountHelpDenied counts a connection to an upstream that a peer did not open for this daemon, by the
// reason that it gave.
func (m *Meters) CountHelpDenied(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("spanrill_help_denied_total{reason=%q}", reason)).Inc()
}

// CountConnectFailure counts a connection to an upstream that could not be opened.
func (m *Meters) CountConnectFailure(refused bool) {
	if refused {
		m.connectFailures[1].Inc()
		return
	}
	m.connectFailures[0].Inc()
}

// CountRetry counts a retry by its reason.
func (m *Meters) CountRetry(r RetryReason) { m.retries[r].Inc() }

// Retries returns the number of retries for the reason.
func (m *Meters) Retries(r RetryReason) uint64 { return m.retries[r].Get() }

// RecordProofAge records the age of the proof that the configuration is the newest, at a decision.
func (m *Meters) RecordProofAge(d Decision, age spanrill.Millis) {
	m.proofAges[d].Update(float64(age) / float64(spanrill.Second))
}

// CountOutcome counts the end of a request by its outcome.
func (m *Meters) CountOutcome(o spanrill.Outcome) { m.outcomes[o].Inc() }

// Gauge registers a gauge with that name. Each Write calls f for its value.
func (m *Meters) Gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// Write writes the metrics of the daemon and of its process in the Prometheus text format.
func (m *Meters) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
