// Package conncap divides the connections that one upstream takes from all callers among
// the daemons.
//
// An upstream resets connections beyond its cap, also those on which a request has been
// written, so that its caller cannot be told that it has not run. Connections that are kept
// idle count as those in use do.
//
// A daemon has a limit of its own too, that of its descriptors, which callers, peers and
// upstreams share.
//
// # Usage
//
//	keep := conncap.Idle(service.MaxConnections, daemons)
//	all := conncap.IdleOfAll(settings.Descriptors)
package conncap

const (
	// idleShare is the part of an upstream's cap that all daemons together keep idle: the
	// other half is for calls under way. Calls that may not be repeated make a new
	// connection each; when each of these was kept for 64 calls to come, 283 connections were
	// reset in 34 s and 149 callers got 502, at an upstream with a cap of 49 and two calls at
	// a time (seven daemons, one class six times as frequent as usual for 9 s).
	idleShare = 0.5
	// oneShare is the part of the cap up to which each daemon keeps one: in a fleet of 83
	// daemons before an upstream that takes 120, new connections rose from 8,861 to 9,683 in
	// 16 s when none was kept (one play each).
	oneShare = 0.75
	// mostIdle is what a daemon keeps of an upstream that says no cap, or a very high one:
	// about the calls that a daemon of today has at one upstream at a time.
	mostIdle = 64
)

// Idle returns how many idle connections a daemon keeps to an upstream that takes that many
// from all callers, 0 or less for one that has not said. In a fleet of more daemons than
// three quarters of the cap it is 0: connections are closed behind each call.
func Idle(limit, daemons int) int {
	if limit <= 0 {
		return mostIdle
	}
	daemons = max(1, daemons)
	part := int(idleShare * float64(limit) / float64(daemons))
	if part == 0 && float64(daemons) <= oneShare*float64(limit) {
		part = 1
	}
	return min(mostIdle, part)
}

const (
	// idleDescriptors is the part of a daemon's descriptors that idle connections to all
	// upstreams may take. The rest is for callers, peers and calls under way. Without a limit
	// a daemon that had to do with 2,997 upstreams had 3,895 connections of 3,900 that it could
	// have, and its dials failed (301 daemons, one play).
	idleDescriptors = 0.25
	// usualDescriptors is what a daemon has that was not told: what operating systems give a
	// process that asks for nothing.
	usualDescriptors = 1024
)

// IdleOfAll returns how many idle connections a daemon with that many descriptors keeps to all
// upstreams together.
func IdleOfAll(descriptors int) int {
	if descriptors <= 0 {
		descriptors = usualDescriptors
	}
	return max(1, int(idleDescriptors*float64(descriptors)))
}
