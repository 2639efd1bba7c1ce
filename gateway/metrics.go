package gateway

import (
	"math"

	"spanrill"
)

// registerGauges registers the gauges that are read from the components.
func (g *Gateway) registerGauges() {
	g.meters.Gauge("spanrill_log_lines_dropped", func() float64 { return float64(g.droppedLines()) })
	g.meters.Gauge("spanrill_upstream_restarts", func() float64 { return float64(g.fleet.Restarts()) })
	g.meters.Gauge("spanrill_upstream_rests", func() float64 { return float64(g.fleet.NoticeCounts().Rests) })
	g.meters.Gauge("spanrill_upstream_rests_unreadable", func() float64 { return float64(g.fleet.NoticeCounts().UnreadableRests) })
	g.meters.Gauge("spanrill_upstreams_said_leaving", func() float64 { return float64(g.fleet.NoticeCounts().Leaving) })
	g.meters.Gauge("spanrill_upstream_limits", func() float64 { return float64(g.fleet.NoticeCounts().Limits) })
	g.meters.Gauge("spanrill_upstream_limits_unreadable", func() float64 { return float64(g.fleet.NoticeCounts().UnreadableLimits) })
	g.meters.Gauge("spanrill_upstreams_limited", func() float64 { return float64(g.fleet.LimitedUpstreams()) })
	g.meters.Gauge("spanrill_limit_permits_granted", func() float64 { return float64(g.limiter.Granted()) })
	g.meters.Gauge("spanrill_limit_permits_denied", func() float64 { return float64(g.limiter.Denied()) })
	g.meters.Gauge("spanrill_entries_unreadable", func() float64 { now, _ := g.fleet.Unreadable(); return float64(now) })
	g.meters.Gauge("spanrill_entries_unreadable_seen", func() float64 { _, all := g.fleet.Unreadable(); return float64(all) })
	g.meters.Gauge("spanrill_store_era", func() float64 { return float64(max(1, g.adapter.Era())) - 1 })
	g.meters.Gauge("spanrill_requests_in_flight", func() float64 { return float64(g.relay.InFlight()) })
	g.meters.Gauge("spanrill_config_proof_age_seconds", func() float64 {
		if g.config.ConfirmedAt() == spanrill.Never {
			return math.NaN()
		}
		return float64(g.config.Age()) / float64(spanrill.Second)
	})
	g.meters.Gauge("spanrill_stalled_seconds", func() float64 { return float64(g.stalls.Total()) / float64(spanrill.Second) })
	g.meters.Gauge("spanrill_requests_awaiting_turn", func() float64 { return float64(g.turns.Waiting()) })
	g.meters.Gauge("spanrill_paths_lost", func() float64 { return float64(len(g.lostPaths())) })
	g.meters.Gauge("spanrill_tunnels_open", func() float64 { return float64(g.openTunnels()) })
	g.meters.Gauge("spanrill_parts_suspected", func() float64 { suspected, _ := g.parts.Counts(); return float64(suspected) })
	g.meters.Gauge("spanrill_parts_withheld", func() float64 { _, withheld := g.parts.Counts(); return float64(withheld) })
	if g.room != nil {
		g.registerRoomGauges()
	}
}
