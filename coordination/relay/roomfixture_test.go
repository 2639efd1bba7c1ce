package relay

import (
	"context"
	"net"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/coordination/retry"
	"spanrill/rng"
	"spanrill/state/fleet"
	"spanrill/state/routes"
	"spanrill/transport/httpcall"
)

// fakeGate is a RoomGate that answers from a list and records what it was asked.
type fakeGate struct {
	undivided bool
	answers   []uint32 // first engines to grant, or 0; then requests are refused
	blocks    bool     // Enter waits until the context ends
	asked     []spanrill.RoomRequest
	grants    []*fakeGrant
	loads     map[uint32]int
}

type fakeGrant struct {
	first    uint32
	released int
}

func (g *fakeGrant) First() uint32 { return g.first }
func (g *fakeGrant) Release()      { g.released++ }

const (
	gateRetryAfter   spanrill.Millis = 1234 // of refusals by Enter
	returnRetryAfter spanrill.Millis = 888  // of RetryAfter
)

func (f *fakeGate) Divides(string) bool { return !f.undivided }

func (f *fakeGate) Enter(ctx context.Context, r spanrill.RoomRequest) (spanrill.RoomGrant, *spanrill.Refusal) {
	f.asked = append(f.asked, r)
	if f.blocks {
		<-ctx.Done()
	}
	if len(f.answers) < len(f.asked) {
		return nil, spanrill.NewRefusal(spanrill.ReasonChainsFull, "full").WithRetryAfter(gateRetryAfter)
	}
	grant := &fakeGrant{first: f.answers[len(f.asked)-1]}
	f.grants = append(f.grants, grant)
	return grant, nil
}

func (f *fakeGate) RetryAfter(spanrill.RoomRequest) spanrill.Millis { return returnRetryAfter }

func (f *fakeGate) RecordEngineLoad(engine uint32, requests int) { f.loads[engine] = requests }

// wantReleased checks how often each grant was released.
func (f *fakeGate) wantReleased(t *testing.T, want ...int) {
	t.Helper()
	if len(f.grants) != len(want) {
		t.Fatalf("%d grants, want %d", len(f.grants), len(want))
	}
	for i, grant := range f.grants {
		if grant.released != want[i] {
			t.Errorf("grant %d was released %d times, want %d", i, grant.released, want[i])
		}
	}
}

// roomEngines are two chains, a in the zone of the daemon and b in another one, and a spare for a2.
var roomEngines = []spanrill.EngineEntry{
	roomEngine("a1", "za", 0, 6), roomEngine("a2", "za", 6, 12), roomEngine("a3", "za", 6, 12),
	roomEngine("b1", "zb", 0, 6), roomEngine("b2", "zb", 6, 12),
}

func roomEngine(id, zone string, from, to int) spanrill.EngineEntry {
	return spanrill.EngineEntry{ID: id, Service: "s", Addr: id + ":1", Zone: zone, Kind: "card", Slots: 8, Layers: spanrill.LayerRange{From: from, To: to}}
}

// newRoomGeneration returns a generation whose daemon knows roomEngines and asks the gate for room.
func newRoomGeneration(ctx context.Context, gate spanrill.RoomGate) *generation {
	q := testRequest(ctx)
	r := q.relay
	r.Fleet = fleet.New(r.Clock, nil, fleet.WithLogger(r.Log))
	r.Room, r.Router = gate, chainrouting.New(r.Fleet, r.Clock, r.Log, rng.New(1))
	r.Budgets = retry.NewBudgets(r.Clock, retry.Limits{Ratio: 1, Slack: 100, Window: spanrill.Second}, 1)
	r.Budgets.StartRound(nil, retry.Fleet{Known: 1, Daemons: 1, Rounds: 1, Complete: true})
	r.Permit = func(context.Context, *fleet.Upstream) error { return nil }
	r.options.Zone = "za"
	r.Fleet.Merge(fleet.Update{Entries: roomEngines, Revision: 1}, 0)
	q.service = &spanrill.ServiceInfo{Name: "s", Model: &spanrill.EngineModel{
		Layers: 12, LayerMB: 100, KVTokenBytes: 120000, StepMillis: 1, PrefillTokensPerMilli: 100, MeanPromptTokens: 100, MeanAnswerTokens: 80, TokensPerEvent: 5,
		Kinds: map[string]spanrill.AcceleratorKind{"card": {MemoryMB: 1000, StepFactor: 1, PrefillFactor: 1}},
	}}
	route := spanrill.Route{Name: "r", Repeat: spanrill.RepeatResume, Chained: true, Priority: 3, MaxAttempts: 4, LatencyTarget: 500, PauseTarget: 70, Shares: []spanrill.WeightedService{{Service: "s", Weight: 1}}}
	q.route = &route
	q.table = routes.New(&spanrill.RouteConfig{Routes: []spanrill.Route{route}, Accounts: []spanrill.Account{{Priority: 0}, {Priority: 1}}})
	q.head = spanrill.CallerRequest{ID: "1", PromptTokens: 100}
	q.deadline, q.content = 8*spanrill.Second, 77
	return &generation{request: q, avoid: map[string]bool{}, sentTo: map[string]*fleet.Upstream{}, ranOn: map[string]bool{}}
}

// keys returns the keys of engines.
func keys(ids ...string) []uint32 {
	out := make([]uint32, len(ids))
	for i, id := range ids {
		out[i] = fleet.KeyOf(id)
	}
	return out
}

// serveEngines makes first engines answer with their loads. Those that refuse say that the request
// has not run.
func serveEngines(t *testing.T, g *generation, loads map[string]string, refusing ...string) {
	t.Helper()
	entries := append([]spanrill.EngineEntry(nil), roomEngines...)
	for i := range entries {
		load, ok := loads[entries[i].ID]
		if !ok {
			continue
		}
		entries[i].Addr = serveEngine(t, load, slices.Contains(refusing, entries[i].ID))
	}
	g.relay.Fleet.Merge(fleet.Update{Entries: entries, Revision: 2}, 0)
	g.relay.Codec, g.relay.HTTP = loadCodec{}, httpcall.New()
	t.Cleanup(g.relay.HTTP.Close)
}

// serveEngine listens on an address, and answers each request with the load and 200 or 503.
func serveEngine(t *testing.T, load string, refuses bool) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		c.Response.Header.Set("Load", load)
		if refuses {
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	t.Cleanup(func() {
		_ = server.Shutdown()
		if err := <-served; err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// loadCodec reads answers of serveEngine.
type loadCodec struct{ spanrill.HeaderCodec }

func (loadCodec) WriteRequest(h *fasthttp.RequestHeader, _ spanrill.UpstreamRequest) {
	h.SetHost("engine")
}

func (loadCodec) ReadResponse(h *fasthttp.ResponseHeader) spanrill.UpstreamResponse {
	return spanrill.UpstreamResponse{RequestID: "1", Signed: true, NotRun: h.StatusCode() != fasthttp.StatusOK, Load: string(h.Peek("Load"))}
}

// reroutingEngines carry out every order to move a request.
type reroutingEngines struct{ spanrill.LayerEngines }

func (reroutingEngines) Reroute(context.Context, string, string, []spanrill.PathStage) error {
	return nil
}
