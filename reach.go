package spanrill

import "github.com/pkg/errors"

// UpstreamDirectory tells which upstreams there are.
type UpstreamDirectory interface {
	// ServiceAt returns the service of the upstream at an address, or "" if there is none.
	ServiceAt(addr string) string
	// Addrs returns the addresses of the upstreams of a service, or of all services if it is "".
	Addrs(service string) []string
	// LastHeard returns when any upstream last answered or produced output.
	LastHeard() Millis
}

// Helper is a daemon that can connect another one to upstreams.
type Helper struct {
	Name string
	Addr string // at which it accepts tunnels
	Zone string // availability zone
	Lost bool   // it has told lately that it has lost its own path, so that it can only name others
}

// UpstreamPaths tells which upstreams this daemon has lost its own network path to.
type UpstreamPaths interface {
	// LostSince returns since when connections to an address go through other daemons, and whether
	// they do.
	LostSince(addr string) (Millis, bool)
}

// ErrNoPath means that this daemon has lost its network path to an upstream and that no other daemon
// connects it. It says nothing about the upstream.
var ErrNoPath = errors.New("no network path to the upstream")

// ErrHelpersFull means that other daemons reach the upstream and have no room for a connection.
var ErrHelpersFull = errors.New("daemons that reach the upstream have no room")

// ErrWithheld means that the daemon that would connect this one to an upstream must not send it
// requests now, because the upstream has asked that daemon for rest or is leaving.
var ErrWithheld = errors.New("the upstream wants no requests")
