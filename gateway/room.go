package gateway

import (
	"github.com/cespare/xxhash/v2"

	"spanrill"
	"spanrill/coordination/admission"
	"spanrill/coordination/granting"
	"spanrill/coordination/returns"
	ledger "spanrill/coordination/room"
	"spanrill/rng"
)

// newRoomParts returns the parts that divide room among the daemons.
func (g *Gateway) newRoomParts(peers granting.Peers, source granting.Source) (roomGranter, roomClient) {
	// A source of its own: the other draws of this daemon do not depend on the setting.
	random := rng.New(xxhash.Sum64String(g.peers.name))
	parts := granting.Parts{
		NewLedger: func() spanrill.RoomLedger { return ledger.NewLedger() },
		NewLine:   func() spanrill.StartLine { return admission.NewLine() },
		NewReturns: func() spanrill.ReturnPlanner {
			return returns.New(random.Float64, returns.WithPart(0), returns.WithAllRecognized())
		},
	}
	overload := g.settings.Overload
	granter := granting.NewGranter(peers, source, parts, g.clock, granting.WithGranterLogger(g.log))
	client := granting.NewClient(g.peers.name, peers, source, granter, g.clock,
		granting.WithLogger(g.log), granting.WithRandom(random.Float64), granting.WithAddr(g.settings.PeerListen),
		granting.WithPlanReturns(overload.PlanReturns), granting.WithQueue(overload.Queue))
	granter.OnNotice(client.HandleNotice)
	return granter, client
}
