package gateway

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/granting"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/settings"
	"spanrill/transport/peernet"
)

// room is this daemon's part in the division of room on the chains of services: as one that asks for
// room, and for some services as the one that grants it. A nil room divides nothing.
type room struct {
	gateway *Gateway
	granter roomGranter
	client  roomClient
	peers   roomPeers

	divided map[string]bool // services whose room was divided when logDivision last ran
}

// roomGranter gives room to the requests of all daemons.
type roomGranter interface {
	HandleRequest(req *peermsg.RoomRequest) *peermsg.RoomReply
	HandleReport(report *peermsg.RoomReport)
	HandleStatus(req *peermsg.RoomStatusRequest) *peermsg.RoomStatus
	Counts() granting.Counts
	Run(ctx context.Context) error
}

// roomClient obtains room for the requests of this daemon.
type roomClient interface {
	spanrill.RoomGate
	HandleNotice(notice *peermsg.RoomNotice)
	Counts() granting.ClientCounts
	Run(ctx context.Context) error
}

// newRoom returns the part of this daemon, or nil if the settings divide no room.
func newRoom(g *Gateway) *room {
	if g.settings.Overload.DivideRoom == settings.DivideNever {
		return nil
	}
	send := g.peers.net.Send
	fleet := &settledFleet{isKnown: g.exchange.FleetSizeKnown}
	peers := roomPeers{g.peers, newRoomNotices(send, g.log), newRoomReports(send), &roomSilence{}, fleet}
	r := &room{gateway: g, peers: peers, divided: map[string]bool{}}
	r.granter, r.client = g.newRoomParts(r.peers, roomSource{g, fleet})
	if r.granter == nil || r.client == nil {
		return nil
	}
	return r
}

// gate returns what gives the requests of this daemon room, or nil.
func (r *room) gate() spanrill.RoomGate {
	if r == nil {
		return nil
	}
	return r.client
}

// dispatch processes a message about room and returns the reply, or nil.
func (r *room) dispatch(kind peernet.Kind, payload []byte) (reply any, err error) {
	switch kind {
	case peermsg.KindRoom:
		return answer(payload, r.handlePeerRequest)
	case peermsg.KindRoomStatus:
		return answer(payload, r.handleStatus)
	case peermsg.KindRoomNotice:
		return nil, accept(payload, r.handleNotice)
	case peermsg.KindRoomReport:
		return nil, accept(payload, r.handlePeerReport)
	}
	return nil, fmt.Errorf("kind %d is not about room", kind)
}

// answer decodes a request and returns its reply.
func answer[Request, Reply any](payload []byte, handle func(*Request) *Reply) (reply any, err error) {
	var m Request
	if err := peermsg.Decode(payload, &m); err != nil {
		return nil, err
	}
	if r := handle(&m); r != nil {
		return r, nil
	}
	return nil, nil
}

// accept decodes a message that is not answered and handles it.
func accept[Message any](payload []byte, handle func(*Message)) error {
	var m Message
	if err := peermsg.Decode(payload, &m); err != nil {
		return err
	}
	handle(&m)
	return nil
}

// handlePeerRequest decides on a request of another daemon. It does not decide on one without an
// address for notices, or in this daemon's name: its notices would reach requests of this daemon.
func (r *room) handlePeerRequest(req *peermsg.RoomRequest) *peermsg.RoomReply {
	if r == nil || req.Addr == "" || req.Daemon == r.peers.name {
		return &peermsg.RoomReply{State: peermsg.RoomUnknown}
	}
	return r.granter.HandleRequest(req)
}

func (r *room) handleStatus(req *peermsg.RoomStatusRequest) *peermsg.RoomStatus {
	if r == nil {
		return &peermsg.RoomStatus{}
	}
	return r.granter.HandleStatus(req)
}

func (r *room) handleNotice(notice *peermsg.RoomNotice) {
	if r != nil {
		r.client.HandleNotice(notice)
	}
}

// handlePeerReport handles the report of another daemon. It ignores one in this daemon's name.
func (r *room) handlePeerReport(report *peermsg.RoomReport) {
	if r != nil && report.Daemon != r.peers.name {
		r.granter.HandleReport(report)
	}
}

// divides reports whether the room of a service is divided.
func (g *Gateway) divides(service string) bool {
	t := g.config.Table()
	if t == nil {
		return false
	}
	info := t.Service(service)
	if info == nil || info.Model == nil {
		return false
	}
	switch g.settings.Overload.DivideRoom {
	case settings.DivideAlways:
		return true
	case settings.DivideByClass:
		return t.Priorities(service) > 1
	}
	return false
}

// dividedServices returns the names of the services whose room is divided, in the order of the
// configuration.
func (g *Gateway) dividedServices() []string {
	var names []string
	for _, s := range g.services() {
		if g.divides(s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

// logDivision logs the services whose room is divided from now on, or no longer.
func (r *room) logDivision() {
	if r == nil {
		return
	}
	now := map[string]bool{}
	for _, service := range r.gateway.dividedServices() {
		now[service] = true
		if !r.divided[service] {
			r.logChange(service, true)
		}
	}
	for service := range r.divided {
		if !now[service] {
			r.logChange(service, false)
		}
	}
	r.divided = now
}

func (r *room) logChange(service string, divided bool) {
	fields := logrus.Fields{"service": service, "divided": divided, "setting": r.gateway.settings.Overload.DivideRoom}
	if t := r.gateway.config.Table(); t != nil {
		fields["priorities"] = t.Priorities(service)
	}
	events.RoomDivisionChanged.Log(r.gateway.log, fields)
}
