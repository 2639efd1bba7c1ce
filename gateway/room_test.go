package gateway

import (
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/clock"
	"spanrill/coordination/chainrouting"
	"spanrill/coordination/membership"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/settings"
	"spanrill/state/fleet"
	"spanrill/state/routes"
	"spanrill/transport/peernet"
)

// fakeGranter grants the room of all services.
type fakeGranter struct {
	roomGranter
	reports []peermsg.RoomReport
}

func (f *fakeGranter) HandleRequest(req *peermsg.RoomRequest) *peermsg.RoomReply {
	return &peermsg.RoomReply{State: peermsg.RoomGranted, First: uint32(req.ID)}
}

func (f *fakeGranter) HandleReport(report *peermsg.RoomReport) {
	f.reports = append(f.reports, *report)
}

func (f *fakeGranter) HandleStatus(*peermsg.RoomStatusRequest) *peermsg.RoomStatus {
	return &peermsg.RoomStatus{
		Granting: true, Returns: 4, Waiting: [spanrill.ClassCount]int{2: 7},
		Chains: []spanrill.RoomState{{First: fleet.KeyOf("e"), Zone: "z", Fill: 0.5, Fullest: 1, Told: 3}},
	}
}

// fakeClient records the notices that it gets.
type fakeClient struct {
	roomClient
	notices []peermsg.RoomNotice
}

func (f *fakeClient) HandleNotice(notice *peermsg.RoomNotice) { f.notices = append(f.notices, *notice) }

// newRoomGateway returns a daemon named a that knows other daemons and divides room with fakes.
func newRoomGateway(t *testing.T, others ...string) (*Gateway, *test.Hook) {
	t.Helper()
	log, hook := test.NewNullLogger()
	log.SetOutput(io.Discard)
	c := clock.NewManual()
	g := &Gateway{settings: settings.DefaultGateway(), clock: c, log: logrus.NewEntry(log), config: routes.NewCurrent(c)}
	g.fleet = fleet.New(c, nil, fleet.WithLogger(log))
	g.fleet.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: "e", Addr: "e:1", Service: "s"}}, Revision: 1}, 0)
	send := func(string, *peermsg.Gossip) error { return nil }
	g.peers = &peers{gateway: g, name: "a", list: membership.New(peermsg.Member{Name: "a", PeerAddr: "a:1"}, c, send, membership.WithLogger(log))}
	members := &peermsg.Gossip{}
	for _, name := range others {
		members.Members = append(members.Members, peermsg.Member{Name: name, PeerAddr: name + ":1", Incarnation: 1, Heartbeat: 1})
	}
	g.peers.list.Merge(members)
	g.room = &room{gateway: g, granter: &fakeGranter{}, client: &fakeClient{}, peers: roomPeers{peers: g.peers, silence: &roomSilence{}}, divided: map[string]bool{}}
	return g, hook
}

// setPriorities sets a configuration with one chained route of service s for each priority.
func (g *Gateway) setPriorities(revision uint64, priorities ...int) {
	c := &spanrill.RouteConfig{Version: int64(revision), Services: []spanrill.ServiceInfo{{Name: "s", Model: &spanrill.EngineModel{}}, {Name: "plain"}}}
	for _, p := range priorities {
		c.Routes = append(c.Routes, spanrill.Route{Chained: true, Priority: p, Shares: []spanrill.WeightedService{{Service: "s", Weight: 1}, {Service: "plain", Weight: 1}}})
	}
	g.config.Update(routes.New(c), nil, revision)
}

func TestDivides(t *testing.T) {
	for _, c := range []struct {
		setting    settings.DivideRoom
		priorities []int
		want       bool
	}{
		{settings.DivideByClass, []int{3, 3}, false},
		{settings.DivideByClass, []int{3, 4}, true},
		{settings.DivideAlways, []int{3}, true},
		{settings.DivideNever, []int{3, 4}, false},
		{"", []int{3, 4}, false},
	} {
		g, _ := newRoomGateway(t)
		g.settings.Overload.DivideRoom = c.setting
		if g.divides("s") {
			t.Error("divides without a configuration")
		}
		g.setPriorities(1, c.priorities...)
		if got := g.divides("s"); got != c.want {
			t.Errorf("setting %q, priorities %v: divides %t, want %t", c.setting, c.priorities, got, c.want)
		}
		if g.divides("plain") || g.divides("unknown") {
			t.Errorf("setting %q: divides a service without chains", c.setting)
		}
	}
}

// The division of a service is logged once for each change.
func TestDivisionIsLogged(t *testing.T) {
	g, hook := newRoomGateway(t)
	for _, step := range []struct {
		priorities []int
		want       int // events
	}{{[]int{1}, 0}, {[]int{1, 2}, 1}, {[]int{1, 3}, 1}, {[]int{1}, 2}} {
		g.setPriorities(g.config.Revision()+1, step.priorities...)
		g.room.logDivision()
		g.room.logDivision()
		logged := 0
		for _, e := range hook.AllEntries() {
			if e.Data["event"] == events.RoomDivisionChanged.Number() {
				logged++
			}
		}
		if logged != step.want {
			t.Errorf("priorities %v: logged %d times, want %d", step.priorities, logged, step.want)
		}
	}
}

// A daemon that is stopping does not grant room any more.
func TestStoppingDaemonGrantsNothing(t *testing.T) {
	g, _ := newRoomGateway(t, "b", "c")
	own := ""
	for _, service := range []string{"s", "t", "u", "v", "w"} {
		granters := g.room.peers.Granters(service)
		if len(granters) != maxGrantersAsked {
			t.Fatalf("%d daemons grant room, want %d", len(granters), maxGrantersAsked)
		}
		for _, m := range granters {
			if (m.PeerAddr == "") != (m.Name == "a") {
				t.Errorf("%s has the address %q", m.Name, m.PeerAddr)
			}
		}
		if granters[0].Name == "a" {
			own = service
		}
	}
	if own == "" {
		t.Fatal("this daemon is preferred for none of the services")
	}
	g.draining.Store(true)
	granters := g.room.peers.Granters(own)
	if len(granters) != 2 || granters[0].Name == "a" || granters[1].Name == "a" {
		t.Fatalf("granted by %v, want b and c", granters)
	}
}

// Messages about room reach the parts that divide it. Without them, requests are answered that this
// daemon grants nothing, and the rest is ignored.
func TestRoomMessages(t *testing.T) {
	g, _ := newRoomGateway(t)
	granter, client := g.room.granter.(*fakeGranter), g.room.client.(*fakeClient)
	call := func(kind peernet.Kind, message any) any {
		t.Helper()
		payload, err := peermsg.Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		reply, err := g.peers.dispatch(kind, payload)
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	for _, divides := range []bool{true, false} {
		if !divides {
			g.room = nil
		}
		reply, status := call(peermsg.KindRoom, &peermsg.RoomRequest{Daemon: "b", Addr: "b:1", ID: 9}).(*peermsg.RoomReply), call(peermsg.KindRoomStatus, &peermsg.RoomStatusRequest{}).(*peermsg.RoomStatus)
		if granted := reply.State == peermsg.RoomGranted; granted != divides || !granted && reply.State != peermsg.RoomUnknown {
			t.Errorf("divides %t: reply %+v", divides, reply)
		}
		if status.Granting != divides {
			t.Errorf("divides %t: status %+v", divides, status)
		}
		notice, report := call(peermsg.KindRoomNotice, &peermsg.RoomNotice{ID: 9}), call(peermsg.KindRoomReport, &peermsg.RoomReport{Ended: []uint64{9}})
		if notice != nil || report != nil || len(granter.reports) != 1 || len(client.notices) != 1 {
			t.Errorf("divides %t: %d reports and %d notices arrived, want one each and no replies", divides, len(granter.reports), len(client.notices))
		}
	}
	if _, err := g.peers.dispatch(peermsg.KindRoom, []byte("x")); err == nil {
		t.Error("a broken message is accepted")
	}
}

// Requests and reports of peers in this daemon's name, and requests without an address for notices,
// would touch requests of this daemon.
func TestRoomMessagesInWrongName(t *testing.T) {
	g, _ := newRoomGateway(t)
	for _, m := range []any{&peermsg.RoomRequest{Daemon: "b", ID: 9}, &peermsg.RoomRequest{Daemon: "a", Addr: "b:1", ID: 9}} {
		payload, err := peermsg.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if reply, err := g.peers.dispatch(peermsg.KindRoom, payload); err != nil || reply.(*peermsg.RoomReply).State != peermsg.RoomUnknown {
			t.Errorf("%+v: reply %+v, error %v, want that nothing is granted", m, reply, err)
		}
	}
	payload, err := peermsg.Encode(&peermsg.RoomReport{Daemon: "a", Ended: []uint64{9}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.peers.dispatch(peermsg.KindRoomReport, payload); err != nil || len(g.room.granter.(*fakeGranter).reports) != 0 {
		t.Errorf("error %v, want that a report in this daemon's name is ignored", err)
	}
}

// With no service divided, the division changes no draw of this daemon: the setting is on by default.
func TestRoomLeavesDrawsAlone(t *testing.T) {
	g, _ := newRoomGateway(t)
	g.random = rng.New(7)
	g.newRoomParts(g.room.peers, roomSource{g: g})
	if got, want := g.random.Uint64(), rng.New(7).Uint64(); got != want {
		t.Errorf("the next draw is %d, want %d", got, want)
	}
}

// A daemon divides room once it has known the size of the fleet, also while other daemons join: in a
// restart of the daemons one after another there is always one that joins.
func TestJoiningDaemonsDoNotStopDivision(t *testing.T) {
	g, _ := newRoomGateway(t, "b")
	g.setPriorities(1, 0, 1)
	g.router = chainrouting.New(g.fleet, g.clock, logrus.StandardLogger(), rng.New(1))
	isKnown := false
	settled := &settledFleet{isKnown: func() bool { return isKnown }}
	source, peers := roomSource{g, settled}, roomPeers{peers: g.peers, fleet: settled}
	for _, step := range []struct{ now, want bool }{{false, false}, {true, true}, {false, true}} {
		isKnown = step.now
		_, chainsKnown := source.Chains("s")
		if daemons, known := peers.Fleet(); daemons != 2 || known != step.want || chainsKnown != step.want {
			t.Errorf("size known now: %t: %d daemons, known %t, chains %t, want 2 and %t", step.now, daemons, known, chainsKnown, step.want)
		}
	}
}

// The page about room tells who grants it and what that daemon says.
func TestRoomPage(t *testing.T) {
	g, _ := newRoomGateway(t)
	g.setPriorities(1, 0, 1)
	page := func() RoomPage {
		t.Helper()
		var c fasthttp.RequestCtx
		g.serveRoomPage(context.Background(), &c)
		var p RoomPage
		if err := json.Unmarshal(c.Response.Body(), &p); err != nil {
			t.Fatal(err)
		}
		return p
	}
	p := page()
	if p.Daemon != "a" || len(p.Services) != 1 {
		t.Fatalf("page %+v, want service s of daemon a", p)
	}
	s := p.Services[0]
	if s.Service != "s" || s.Priorities != 2 || s.GrantedBy != "a" || s.Returns != 4 || s.Waiting[2] != 7 || len(s.Chains) != 1 {
		t.Fatalf("state %+v, want what the granting daemon tells", s)
	}
	if c := s.Chains[0]; c.First != "e" || c.Fullest != "00000001" || c.Fill != 0.5 || c.Others != 3 {
		t.Errorf("chain %+v, want the known engine by its id and the other by its key", c)
	}
	g.room = nil
	if p := page(); len(p.Services) != 0 {
		t.Errorf("page %+v of a daemon that divides nothing, want no service", p)
	}
}
