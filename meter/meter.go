// Package meter counts what a daemon does, for Prometheus-style scrapers.
//
// # Usage
//
//	m := meter.New()
//	m.Refused(spanrill.ReasonQueueFull)
//	m.Write(w)
package meter

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"spanrill"
)

// Retry says why a request was tried again.
type Retry uint8

// The reasons for a retry.
const (
	// RetryRefused means that a stage refused before any work.
	RetryRefused Retry = iota
	// RetryDial means that no connection to an upstream was made.
	RetryDial
	// RetryStageLost means that a stage failed while the chain ran.
	RetryStageLost
	// RetryStalled means that no token came in time.
	RetryStalled
	// RetryBadToken means that a token failed its check.
	RetryBadToken
	// RetryCut means that the stream ended before the answer was whole.
	RetryCut
	// RetryWithheld means that nothing was sent: the upstream has asked for rest or leaves.
	RetryWithheld
	retryCount
)

var retryNames = [retryCount]string{"refused", "dial", "stage_lost", "stalled", "bad_token", "cut", "withheld"}

// String returns the name used in metrics.
func (r Retry) String() string { return retryNames[r] }

// RetryReasons returns every reason for a retry.
func RetryReasons() []Retry {
	all := make([]Retry, retryCount)
	for r := range retryCount {
		all[r] = r
	}
	return all
}

// Meters holds the counters of one daemon.
type Meters struct {
	set      *metrics.Set
	refusals map[spanrill.Reason]*metrics.Counter
	retries  [retryCount]*metrics.Counter
	outcomes [3]*metrics.Counter

	// Requests counts requests of callers.
	Requests *metrics.Counter
	// Tokens counts tokens delivered to callers.
	Tokens *metrics.Counter
	// Resumed counts streams that went on on another chain.
	Resumed *metrics.Counter
	// CallersLeft counts callers that left before their answer was whole.
	CallersLeft *metrics.Counter
	// CallerGone is the time from the last look that found a caller that left
	// still there to the end of all work for it, in seconds.
	CallerGone *metrics.Histogram
	// RefusedAfterRun counts refusals that promise that a request has not run,
	// although an upstream had answered that it ran it. It must stay at zero.
	RefusedAfterRun *metrics.Counter
	// EndedUnder counts requests under which an upstream has ended.
	EndedUnder *metrics.Counter
	// UpstreamRefusals counts requests that upstreams have refused, whatever became of
	// them.
	UpstreamRefusals *metrics.Counter
	// ClosedAtOnce counts new connections that the other side has ended before anything was
	// sent: an upstream has more than it takes.
	ClosedAtOnce *metrics.Counter
	// FramesRefused counts frames of peers that were refused.
	FramesRefused *metrics.Counter
	// PeerBytesSent counts bytes sent to peers.
	PeerBytesSent *metrics.Counter
	// PeerBytesReceived counts bytes received from peers.
	PeerBytesReceived *metrics.Counter
	// SilentConnections counts open connections that said nothing more and were given up.
	SilentConnections *metrics.Counter
	// FirstToken is the time to the first token, in seconds.
	FirstToken *metrics.Histogram
	// BetweenTokens is the time between two tokens, in seconds.
	BetweenTokens *metrics.Histogram
	// ServiceCall is the time of a call of a plain service, in seconds.
	ServiceCall *metrics.Histogram
	// QueueWait is the time a request waited before it started, in seconds.
	QueueWait *metrics.Histogram
}

// New returns counters that stand at zero.
func New() *Meters {
	s := metrics.NewSet()
	m := &Meters{
		set: s, refusals: map[spanrill.Reason]*metrics.Counter{},
		Requests:          s.NewCounter("spanrill_requests_total"),
		Tokens:            s.NewCounter("spanrill_tokens_total"),
		Resumed:           s.NewCounter("spanrill_streams_resumed_total"),
		CallersLeft:       s.NewCounter("spanrill_callers_left_total"),
		CallerGone:        s.NewHistogram("spanrill_caller_gone_seconds"),
		RefusedAfterRun:   s.NewCounter("spanrill_refused_after_run_total"),
		EndedUnder:        s.NewCounter("spanrill_upstream_ends_under_requests_total"),
		UpstreamRefusals:  s.NewCounter("spanrill_upstream_refusals_total"),
		ClosedAtOnce:      s.NewCounter("spanrill_connections_closed_at_once_total"),
		FramesRefused:     s.NewCounter("spanrill_peer_frames_refused_total"),
		PeerBytesSent:     s.NewCounter("spanrill_peer_bytes_sent_total"),
		PeerBytesReceived: s.NewCounter("spanrill_peer_bytes_received_total"),
		SilentConnections: s.NewCounter("spanrill_silent_connections_total"),
		FirstToken:        s.NewHistogram("spanrill_first_token_seconds"),
		BetweenTokens:     s.NewHistogram("spanrill_between_tokens_seconds"),
		ServiceCall:       s.NewHistogram("spanrill_service_call_seconds"),
		QueueWait:         s.NewHistogram("spanrill_queue_wait_seconds"),
	}
	for _, r := range spanrill.Reasons() {
		m.refusals[r] = s.NewCounter(fmt.Sprintf("spanrill_refusals_total{reason=%q}", r.Code()))
	}
	for r := range retryCount {
		m.retries[r] = s.NewCounter(fmt.Sprintf("spanrill_retries_total{reason=%q}", r))
	}
	for o := range m.outcomes {
		m.outcomes[o] = s.NewCounter(fmt.Sprintf("spanrill_outcomes_total{outcome=%q}", spanrill.Outcome(o)))
	}
	return m
}

// Refused counts a refusal.
func (m *Meters) Refused(r spanrill.Reason) {
	if c := m.refusals[r]; c != nil {
		c.Inc()
	}
}

// Refusals returns how many requests were refused for the reason.
func (m *Meters) Refusals(r spanrill.Reason) uint64 { return m.refusals[r].Get() }

// Retried counts a retry.
func (m *Meters) Retried(r Retry) { m.retries[r].Inc() }

// Retries returns how many retries there were for the reason.
func (m *Meters) Retries(r Retry) uint64 { return m.retries[r].Get() }

// Ended counts the outcome of a request.
func (m *Meters) Ended(o spanrill.Outcome) { m.outcomes[o].Inc() }

// Gauge registers a figure that is read when the counters are written.
func (m *Meters) Gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// Write writes all counters in the Prometheus text format.
func (m *Meters) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
