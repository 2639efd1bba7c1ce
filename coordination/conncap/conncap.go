// Package conncap computes how many idle connections a daemon keeps to upstreams.
//
// An upstream may accept a limited number of connections from all callers together, its cap. It
// resets connections beyond the cap, even if a request was already written to them, so that the
// daemon cannot tell its caller that the request has not run. Idle connections count toward the
// cap, which is therefore divided among the daemons.
//
// Each daemon is also limited by its file descriptors, which connections to callers, peers and
// upstreams share.
//
// # Usage
//
//	perUpstream := conncap.IdlePerUpstream(service.MaxConnections, daemons)
//	total := conncap.IdleTotal(settings.Descriptors)
package conncap

const (
	// idleFraction is the fraction of an upstream's cap that all daemons together keep idle. The
	// other half is for calls in progress. Each call that must not be repeated opens a new
	// connection, which the upstream resets if idle ones fill its cap.
	idleFraction = 0.5
	// singleIdleFraction is the fraction of the cap up to which each daemon keeps at least one
	// idle connection. Without one, each call opens a new connection.
	singleIdleFraction = 0.75
	// maxIdle is the number of idle connections to an upstream without a cap, or with a very high
	// one: about the number of concurrent calls of a daemon to an upstream.
	maxIdle = 64
)

// IdlePerUpstream returns how many idle connections a daemon keeps to an upstream. The limit is the
// upstream's cap for all callers, or 0 or less if it reports none. In a fleet of more daemons than
// three quarters of the cap the result is 0: connections are closed after each call.
func IdlePerUpstream(limit, daemons int) int {
	if limit <= 0 {
		return maxIdle
	}
	daemons = max(1, daemons)
	perDaemon := int(idleFraction * float64(limit) / float64(daemons))
	if perDaemon == 0 && float64(daemons) <= singleIdleFraction*float64(limit) {
		perDaemon = 1
	}
	return min(maxIdle, perDaemon)
}

const (
	// idleDescriptorFraction is the fraction of a daemon's file descriptors that idle connections
	// to all upstreams may use. The rest is for callers, peers and calls in progress.
	// Without this limit, a daemon with calls to thousands of upstreams has no descriptors for dials.
	idleDescriptorFraction = 0.25
	// defaultDescriptors is assumed if the number of descriptors is unknown: the usual default of
	// operating systems for a process.
	defaultDescriptors = 1024
)

// IdleTotal returns how many idle connections a daemon with that many descriptors keeps to all
// upstreams together. The number of descriptors is 0 or less if it is unknown.
func IdleTotal(descriptors int) int {
	return max(1, int(fractionOf(descriptors, idleDescriptorFraction)))
}

// fractionOf returns a fraction of the descriptors of a daemon, or of the default if they are unknown.
func fractionOf(descriptors int, fraction float64) float64 {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return fraction * float64(descriptors)
}

const (
	// tunnelDescriptorFraction is the fraction of a daemon's file descriptors that connections for
	// other daemons may use. Each tunnel takes two descriptors.
	tunnelDescriptorFraction = 0.125
	descriptorsPerTunnel     = 2
)

// Tunnels returns how many connections to upstreams a daemon with that many descriptors keeps for
// other daemons. The number of descriptors is 0 or less if it is unknown.
func Tunnels(descriptors int) int {
	return max(1, int(fractionOf(descriptors, tunnelDescriptorFraction))/descriptorsPerTunnel)
}
