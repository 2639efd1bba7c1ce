package gateway

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"spanrill"
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
	Run(ctx context.Context) error
}

// roomClient obtains room for the requests of this daemon.
type roomClient interface {
	spanrill.RoomGate
	HandleNotice(notice *peermsg.RoomNotice)
	Run(ctx context.Context) error
}

// newRoom returns the part of this daemon, or nil if the settings divide no room.
func newRoom(g *Gateway) *room {
	if g.settings.Overload.DivideRoom == settings.DivideNever {
		return nil
	}
	r := &room{gateway: g, peers: roomPeers{g.peers}, divided: map[string]bool{}}
	r.granter, r.client = g.newRoomParts(r.peers, roomSource{g})
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
		return answer(payload, r.handleRequest)
	case peermsg.KindRoomStatus:
		return answer(payload, r.handleStatus)
	case peermsg.KindRoomNotice:
		return nil, accept(payload, r.handleNotice)
	case peermsg.KindRoomReport:
		return nil, accept(payload, r.handleReport)
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

func (r *room) handleRequest(req *peermsg.RoomRequest) *peermsg.RoomReply {
	if r == nil {
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

func (r *room) handleReport(report *peermsg.RoomReport) {
	if r != nil {
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

// registerRoomGauges registers the gauges about room.
func (g *Gateway) registerRoomGauges() {
	for name, count := range map[string]func() uint64{
		"spanrill_room_grants":          func() uint64 { return g.relay.RoomCounts().Granted },
		"spanrill_room_waits":           func() uint64 { return g.relay.RoomCounts().Waited },
		"spanrill_room_refusals":        func() uint64 { return g.relay.RoomCounts().Refused },
		"spanrill_room_grants_unusable": func() uint64 { return g.relay.RoomCounts().Unusable },
		"spanrill_room_engine_refusals": func() uint64 { return g.relay.RoomCounts().EngineRefused },
	} {
		g.meters.Gauge(name, func() float64 { return float64(count()) })
	}
	g.meters.Gauge("spanrill_room_services", func() float64 { return float64(len(g.dividedServices())) })
}
