// Package granting divides the room on the chains of a service among the requests of all daemons.
//
// One daemon, the granting daemon, gives the room of a service. It is found by rendezvous hashing
// among the daemons with the most processor capacity; the second one in order stands by. The other
// daemons ask it before they start a request, unless it has given them a grant ahead of need, and
// tell it what has ended. Requests that wait do so at the granting daemon, in one order for all
// daemons. A daemon that reaches neither granting daemon starts requests within an equal share of
// all room.
//
//	granting.go  interfaces to the other daemons and to the engines
//	room*.go     decisions of the granting daemon for one service
//	granter*.go  the granting daemon
//	client*.go   the daemon that asks
//	loglimit.go  bounds of log lines
//	report*.go   what it tells the granting daemon afterwards
//	share*.go    the share of a daemon that reaches no granting daemon
//
// # Usage
//
//	granter := granting.NewGranter(peers, source, parts, clock)
//	client := granting.NewClient(name, peers, source, granter, clock)
//	grant, refusal := client.Enter(ctx, spanrill.RoomRequest{Service: "advice", Need: need})
//	if refusal != nil {
//		return refusal
//	}
//	defer grant.Release()
package granting

import (
	"context"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// Peers finds and calls the other daemons.
type Peers interface {
	// Granters returns the daemons that grant the room of a service, in order of preference. This
	// daemon is returned without an address.
	Granters(service string) []peermsg.Member
	// Unresponsive reports whether a daemon did not answer when this daemon last asked it for news.
	Unresponsive(daemon string) bool
	// Request sends a request to a daemon and decodes its reply.
	Request(ctx context.Context, addr string, kind uint8, req, reply any) error
	// Send sends a message that is not answered. It may get lost.
	Send(addr string, kind uint8, message any) error
	// Fleet returns the number of live daemons, including this one, and whether it is known.
	Fleet() (daemons int, known bool)
}

// Source tells what this daemon knows about the engines of a service.
type Source interface {
	// Divides reports whether the room of a service is divided.
	Divides(service string) bool
	// Chains returns the chains on which requests can start. It returns false if the daemon does not
	// know the engines or the load of the fleet yet.
	Chains(service string) (chains []spanrill.RoomChain, ok bool)
	// Told returns what the requests of all daemons hold at the engines of a service, and the time
	// as of which this daemon knows it.
	Told(service string) (uses map[uint32]spanrill.RoomUse, asOf spanrill.Millis)
}

// Local is the granting daemon in this process. A Client calls it instead of sending messages when
// this daemon grants the room of a service itself.
type Local interface {
	HandleRequest(req *peermsg.RoomRequest) *peermsg.RoomReply
	HandleReport(report *peermsg.RoomReport)
}

// Parts makes the parts that a granting daemon uses for each service.
type Parts struct {
	NewLedger  func() spanrill.RoomLedger
	NewLine    func() spanrill.StartLine
	NewReturns func() spanrill.ReturnPlanner
}
