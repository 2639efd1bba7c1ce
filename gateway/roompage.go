package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/task"
)

// RoomPath is the path of the page about divided room on the metrics listener.
const RoomPath = "/room"

// RoomPage is the page at RoomPath.
type RoomPage struct {
	Daemon   string        `json:"daemon"`   // that made the page
	Services []RoomService `json:"services"` // whose room is divided
}

// RoomService is the state of the room of one service, as the daemon tells that grants it.
type RoomService struct {
	Service    string                   `json:"service"`
	Priorities int                      `json:"priorities"` // number of different priorities of its chained routes
	Granters   []string                 `json:"granters"`   // daemons that grant the room, in order of preference
	GrantedBy  string                   `json:"granted_by"` // the daemon that told the rest, "" if none did
	Error      string                   `json:"error,omitempty"`
	Chains     []RoomChain              `json:"chains"`
	Waiting    [spanrill.ClassCount]int `json:"waiting"`         // requests that wait for room, by class
	Returns    int                      `json:"planned_returns"` // refused callers whose planned return is not due yet
}

// RoomChain is the state of the room on one chain.
type RoomChain struct {
	First    string                   `json:"first"` // id of the first engine, or its key if this daemon does not know it
	Zone     string                   `json:"availability_zone"`
	Given    [spanrill.ClassCount]int `json:"given"` // requests that hold room, by class
	Fill     float64                  `json:"fill"`  // of the fullest engine
	Fullest  string                   `json:"fullest"`
	Others   int                      `json:"others"` // requests that started without a grant, by what engines and daemons told
	Starting spanrill.Millis          `json:"starting_ms"`
}

// roomStatusTimeout bounds a request for the state of room. It is many times a round trip.
const roomStatusTimeout = 200 * time.Millisecond

// serveRoomPage answers with the page about divided room.
func (g *Gateway) serveRoomPage(ctx context.Context, c *fasthttp.RequestCtx) {
	body, err := json.Marshal(g.room.page(ctx))
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// page returns the state of all divided room. It asks the daemons that grant it, for all services at
// once: daemons that do not answer delay it no more than for one service.
func (r *room) page(ctx context.Context) RoomPage {
	if r == nil {
		return RoomPage{Services: []RoomService{}}
	}
	names := r.gateway.dividedServices()
	p := RoomPage{Daemon: r.peers.name, Services: make([]RoomService, len(names))}
	var tasks task.Group
	for i, name := range names {
		tasks.Start(ctx, "room page", func(ctx context.Context) error {
			p.Services[i] = r.service(ctx, name)
			return nil
		})
	}
	if err := tasks.Wait(); err != nil {
		r.gateway.log.WithError(err).Error("cannot make the page about room")
	}
	return p
}

// service returns the state of one service's room, as the first daemon tells that grants it.
func (r *room) service(ctx context.Context, name string) RoomService {
	s := RoomService{Service: name, Granters: []string{}, Chains: []RoomChain{}}
	if t := r.gateway.config.Table(); t != nil {
		s.Priorities = t.Priorities(name)
	}
	for _, m := range r.peers.Granters(name) {
		s.Granters = append(s.Granters, m.Name)
		if s.GrantedBy != "" {
			continue
		}
		status, err := r.status(ctx, m, name)
		switch {
		case err != nil:
			s.Error = fmt.Sprintf("%s: %v", m.Name, err)
		case status.Granting:
			s.GrantedBy = m.Name
			r.describe(&s, status)
		}
	}
	return s
}

// status returns the state of a service's room as a daemon tells, this one or another.
func (r *room) status(ctx context.Context, m peermsg.Member, service string) (*peermsg.RoomStatus, error) {
	if m.PeerAddr == "" {
		return r.handleStatus(&peermsg.RoomStatusRequest{Service: service}), nil
	}
	ctx, cancel := context.WithTimeout(ctx, roomStatusTimeout)
	defer cancel()
	return r.peers.requestStatus(ctx, m.PeerAddr, service)
}

// describe adds what the granting daemon tells.
func (r *room) describe(s *RoomService, status *peermsg.RoomStatus) {
	s.Waiting, s.Returns = status.Waiting, status.Returns
	for i := range status.Chains {
		c := &status.Chains[i]
		s.Chains = append(s.Chains, RoomChain{
			First: r.engineName(c.First), Zone: c.Zone, Given: c.Given, Fill: c.Fill, Fullest: r.engineName(c.Fullest), Others: c.Told, Starting: c.Starting,
		})
	}
}

// engineName returns the id of the engine with that key, or the key if this daemon does not know it.
func (r *room) engineName(key uint32) string {
	if u := r.gateway.fleet.View().ByKey(key); u != nil {
		return u.ID()
	}
	return fmt.Sprintf("%08x", key)
}
