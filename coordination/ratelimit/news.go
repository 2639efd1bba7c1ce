package ratelimit

import (
	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// LimitsIfChanged returns all known limits, or nil if the digest of the other daemon shows that it has the
// same ones.
func LimitsIfChanged(table *fleet.Table, clock spanrill.Clock, digest uint64) []peermsg.UpstreamLimit {
	if digest == table.LimitsDigest() {
		return nil
	}
	var news []peermsg.UpstreamLimit
	for _, known := range table.Limits() {
		news = append(news, limitMessage(known, clock.Now()))
	}
	return news
}

// MergeLimits stores the limits in a message of another daemon. Their ages count back from the time
// asOf. Pass the time at which the limits were requested, or received if they were not requested.
func MergeLimits(table *fleet.Table, limits []peermsg.UpstreamLimit, asOf spanrill.Millis) {
	for _, m := range limits {
		if m.Age < 0 {
			continue // a timestamp in the future would override later answers of the upstream
		}
		table.MergeLimit(fleet.KnownLimit{Upstream: m.Upstream, Limit: spanrill.RateLimit{Set: m.Set, PerSecond: m.PerSecond}, At: asOf - m.Age})
	}
}

// limitMessage encodes a known limit for other daemons.
func limitMessage(known fleet.KnownLimit, now spanrill.Millis) peermsg.UpstreamLimit {
	return peermsg.UpstreamLimit{
		Upstream: known.Upstream, Set: known.Limit.Set, PerSecond: known.Limit.PerSecond, Age: now - known.At,
	}
}
