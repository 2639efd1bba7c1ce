// Package tunnel carries a connection to an upstream through another daemon, for a daemon that has
// lost its own network path to the upstream.
//
// The daemon that has lost its path dials a helper, and both prove that they know the fleet secret.
// The dialer names an upstream, the helper connects to it and then forwards bytes in both directions.
// All frames are authenticated. The end of the upstream's bytes and the loss of the upstream's
// connection are frames of their own, so that an answer that the helper cut short never looks
// complete. A tunnel carries one connection and ends with it.
//
//	tunnel.go  messages
//	session.go frames and keys of a connection between two daemons
//	dial.go    the side of the daemon that has lost its path
//	conn.go    the connection that it gets
//	server.go  the side of the helper
//
// # Usage
//
//	s := tunnel.NewServer(secret, upstreams, clock)
//	err := s.Serve(ctx, listener)
//
//	conn, err := tunnel.Dial(ctx, "10.0.0.2:7341", secret, tunnel.Target{Addr: "10.0.9.4:8000"})
package tunnel

import (
	"fmt"
	"syscall"

	"spanrill"
)

// The kinds of frames.
const (
	kindHello  uint8 = iota
	kindOpen         // Target, from the dialer
	kindOpened       // Answer, from the helper
	kindFailed       // OpenError, from the helper
	kindData         // bytes of the connection
	kindEnd          // the upstream sends no more bytes
	kindBroken       // the connection to the upstream failed
	kindNotice       // Notice, from the dialer
	kindAsk          // Question, from the dialer
	kindTold         // Told, from the helper
)

// Target is the upstream that a dialer wants to be connected to.
type Target struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Addr     string
	Upstream string // id, so that the helper refuses if another upstream has the address, or "" for any
	Request  string // id of the request that needs the connection, for logs, or ""
	Daemon   string // name of the dialer
	Timeout  spanrill.Millis
	Zone     string   // availability zone of the dialer
	Lost     bool     // the dialer has lost its path to all upstreams of the service
	Helpers  []Helper // that the dialer knows to reach the service
}

// Answer answers a Target to which the helper has connected.
type Answer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Open     int      // tunnels that the helper has open, with this one
	Room     int      // tunnels that it could open besides
	Helpers  []Helper // others that the helper knows to reach the service
}

// Question asks a daemon what it knows about helpers for a service, without a tunnel.
type Question struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Service  string
	Daemon   string // name of the dialer
	Zone     string // its availability zone
	Helpers  []Helper
}

// Told answers a Question.
type Told struct {
	_msgpack struct{}        `msgpack:",as_array"` //nolint:unused // read by the codec
	Reaches  bool            // the daemon that answers has lately reached an upstream of the service
	Lost     bool            // it has lost its path to all of them
	Age      spanrill.Millis // time since then, when the message was made
	Open     int             // tunnels that it has open
	Room     int             // tunnels that it could open besides
	Helpers  []Helper        // others that it knows to reach the service
}

// Helper is a daemon that reaches the upstreams of a service.
type Helper struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name     string
	Addr     string          // at which it accepts tunnels
	Zone     string          // availability zone
	Age      spanrill.Millis // time since it last reached an upstream, when the message was made
	Open     int             // tunnels that it had open then
	Room     int             // tunnels that it could open besides
}

// Notice is what the upstream has told about itself in its answer. It concerns the helper, from whose
// address the request came.
type Notice struct {
	_msgpack       struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Leaving        bool
	Rest           spanrill.Millis
	UnreadableRest string
}

// Reason tells why a helper did not open a tunnel.
type Reason uint8

// The reasons.
const (
	// ReasonUnreachable means that the helper could not connect to the upstream in time.
	ReasonUnreachable Reason = iota + 1
	// ReasonRefused means that the upstream refused the helper's connection.
	ReasonRefused
	// ReasonNoPath means that the helper itself has lost its path to the upstreams of the service.
	ReasonNoPath
	// ReasonFull means that the helper has as many tunnels open as it allows.
	ReasonFull
	// ReasonLeaving means that the helper is stopping.
	ReasonLeaving
	// ReasonUnknown means that the helper knows no such upstream.
	ReasonUnknown
	// ReasonWithheld means that the upstream wants no requests from the helper, or is leaving.
	ReasonWithheld
)

var reasonNames = [...]string{"", "unreachable", "refused", "no_path", "full", "leaving", "unknown", "withheld"}

// String returns the name of the reason in logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// OpenError is the reason why a helper did not open a tunnel.
type OpenError struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Reason   Reason
	Detail   string
	Helpers  []Helper // others that the helper knows to reach the service
}

// Error returns the reason and the detail.
func (e *OpenError) Error() string { return e.Reason.String() + ": " + e.Detail }

// Unwrap returns the error that a direct connection would have failed with, so that callers can treat
// both ways alike, or nil.
func (e *OpenError) Unwrap() error {
	switch e.Reason {
	case ReasonRefused:
		return syscall.ECONNREFUSED
	case ReasonWithheld:
		return spanrill.ErrWithheld
	}
	return nil
}
