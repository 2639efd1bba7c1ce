package gateway

import (
	"fmt"

	"spanrill"
)

// registerRoomGauges registers the gauges about room.
func (g *Gateway) registerRoomGauges() {
	g.meters.Gauge("spanrill_room_services", func() float64 { return float64(len(g.dividedServices())) })
	g.registerRoomCounts(g.roomRequestCounts())
	g.registerRoomCounts(g.roomClientCounts())
	g.registerRoomCounts(g.roomGranterCounts())
	g.registerRoomClassCounts()
}

func (g *Gateway) registerRoomCounts(counts map[string]func() uint64) {
	for name, count := range counts {
		g.meters.Gauge(name, func() float64 { return float64(count()) })
	}
}

// roomRequestCounts returns what became of this daemon's requests for room.
func (g *Gateway) roomRequestCounts() map[string]func() uint64 {
	return map[string]func() uint64{
		"spanrill_room_grants":          func() uint64 { return g.relay.RoomCounts().Granted },
		"spanrill_room_waits":           func() uint64 { return g.relay.RoomCounts().Waited },
		"spanrill_room_refusals":        func() uint64 { return g.relay.RoomCounts().Refused },
		"spanrill_room_grants_unusable": func() uint64 { return g.relay.RoomCounts().Unusable },
		"spanrill_room_engine_refusals": func() uint64 { return g.relay.RoomCounts().EngineRefused },
	}
}

// roomClientCounts returns how this daemon's requests got room.
func (g *Gateway) roomClientCounts() map[string]func() uint64 {
	c := g.room.client
	return map[string]func() uint64{
		"spanrill_room_asked":            func() uint64 { return c.Counts().Asked },
		"spanrill_room_unanswered":       func() uint64 { return c.Counts().Unanswered },
		"spanrill_room_ahead_used":       func() uint64 { return c.Counts().Ahead },
		"spanrill_room_share_starts":     func() uint64 { return c.Counts().Shared },
		"spanrill_room_share_refusals":   func() uint64 { return c.Counts().ShareRefused },
		"spanrill_room_undecided_starts": func() uint64 { return c.Counts().Passed },
	}
}

// roomGranterCounts returns what this daemon has decided for all daemons.
func (g *Gateway) roomGranterCounts() map[string]func() uint64 {
	c := g.room.granter
	return map[string]func() uint64{
		"spanrill_room_granting_ahead":           func() uint64 { return c.Counts().Ahead },
		"spanrill_room_granting_ahead_lapsed":    func() uint64 { return c.Counts().AheadLapsed },
		"spanrill_room_granting_lapsed":          func() uint64 { return c.Counts().Lapsed },
		"spanrill_room_granting_engine_refusals": func() uint64 { return c.Counts().RefusedByEngines },
		"spanrill_room_granting_returns_kept":    func() uint64 { return c.Counts().ReturnsKept },
	}
}

// registerRoomClassCounts registers what this daemon has decided for all daemons, by class.
func (g *Gateway) registerRoomClassCounts() {
	c := g.room.granter
	for class := range spanrill.ClassCount {
		g.registerRoomCounts(map[string]func() uint64{
			fmt.Sprintf("spanrill_room_granting_given{class=\"%d\"}", class):   func() uint64 { return c.Counts().Given[class] },
			fmt.Sprintf("spanrill_room_granting_waited{class=\"%d\"}", class):  func() uint64 { return c.Counts().Waited[class] },
			fmt.Sprintf("spanrill_room_granting_refused{class=\"%d\"}", class): func() uint64 { return c.Counts().Refused[class] },
		})
	}
}
