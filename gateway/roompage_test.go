package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"spanrill"
	"spanrill/clock"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/state/routes"
	"spanrill/transport/peernet"
)

// silentDaemon returns the address of a daemon that accepts connections and answers nothing.
func silentDaemon(t *testing.T) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// runPeers gives the daemon a transport to its peers.
func (g *Gateway) runPeers(t *testing.T) {
	t.Helper()
	n, err := peernet.New("127.0.0.1:0", g.peers.name, "secret", g.peers.handle, peernet.WithLogger(g.log))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	g.peers.net = n
}

// Daemons that do not answer leave the operator a page in time, whatever the number of services.
func TestRoomPageOfSilentGranters(t *testing.T) {
	g, _ := newRoomGateway(t)
	g.runPeers(t)
	members := &peermsg.Gossip{}
	for _, name := range []string{"b", "c"} {
		members.Members = append(members.Members, peermsg.Member{Name: name, PeerAddr: silentDaemon(t), Incarnation: 1, Heartbeat: 1})
	}
	g.peers.list.Merge(members)
	g.draining.Store(true)
	config := &spanrill.RouteConfig{Version: 1}
	const services = 31
	for i := range services {
		name := fmt.Sprint("s", i)
		config.Services = append(config.Services, spanrill.ServiceInfo{Name: name, Model: &spanrill.EngineModel{}})
		for priority := range 2 {
			config.Routes = append(config.Routes, spanrill.Route{Chained: true, Priority: priority, Shares: []spanrill.WeightedService{{Service: name, Weight: 1}}})
		}
	}
	g.config.Update(routes.New(config), nil, 1)
	began := time.Now()
	p := g.room.page(t.Context())
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the page took %v, and spanrill waits 2 s for it", took)
	}
	if len(p.Services) != services {
		t.Fatalf("%d services, want %d", len(p.Services), services)
	}
	for _, s := range p.Services {
		if s.GrantedBy != "" || s.Error == "" || len(s.Granters) != maxGrantersAsked {
			t.Fatalf("state %+v, want an error and the daemons that were asked", s)
		}
	}
}

// A granting daemon that does not answer is logged, once a second at most. A caller that leaves while
// its request asks says nothing about the daemon.
func TestSilentGranterIsLogged(t *testing.T) {
	g, hook := newRoomGateway(t)
	g.runPeers(t)
	manual := g.clock.(*clock.Manual)
	manual.Advance(silenceLogInterval)
	addr := silentDaemon(t)
	ask := func(ctx context.Context, want int) {
		t.Helper()
		ctx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		if g.room.peers.Request(ctx, addr, uint8(peermsg.KindRoom), &peermsg.RoomRequest{Service: "s"}, &peermsg.RoomReply{}) == nil {
			t.Fatal("a silent daemon has answered")
		}
		logged := 0
		for _, e := range hook.AllEntries() {
			if e.Data["event"] == events.RoomGranterSilent.Number() && e.Data["service"] == "s" && e.Data["peer"] == addr {
				logged++
			}
		}
		if logged != want {
			t.Errorf("logged %d times, want %d", logged, want)
		}
	}
	left, leave := context.WithCancel(t.Context())
	leave()
	ask(left, 0)
	ask(t.Context(), 1)
	ask(t.Context(), 1)
	manual.Advance(silenceLogInterval)
	ask(t.Context(), 2)
}
