package chainrouting

import (
	"math"
	"testing"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/coordination/cost"
	"spanrill/state/fleet"
)

// ids of the engines of a chain, for messages.
func (f *testFleet) describeChain(c spanrill.RoomChain) string {
	s := ""
	for _, p := range c.Parts {
		s += f.table.View().ByKey(p.Engine).ID() + " "
	}
	return s
}

// wantChains checks the chains on which requests can start.
func (f *testFleet) wantChains(t *testing.T, want ...string) []spanrill.RoomChain {
	t.Helper()
	chains := f.router.RoomChains(service, model)
	if len(chains) != len(want) {
		t.Fatalf("%d chains, want %d", len(chains), len(want))
	}
	for i, c := range chains {
		if got := f.describeChain(c); got != want[i] {
			t.Errorf("chain %d is %s, want %s", i, got, want[i])
		}
	}
	return chains
}

func TestRoomChains(t *testing.T) {
	f := newTestFleet(twoChains()...)
	f.table.View().ByID("b2").SetPace(2)
	chains := f.wantChains(t, "a1 a2 a3 ", "b1 b2 ")
	a, b := chains[0], chains[1]
	kind := model.Kinds["card"]
	for _, p := range a.Parts {
		if want := cost.Capacity(model, kind, 4); p.Capacity != want || p.Share != 1 {
			t.Errorf("capacity %.0f, share %.2f, want %.0f tokens and the whole engine", p.Capacity, p.Share, want)
		}
	}
	if a.Zone != "za" || a.Slots != 64 || a.Bridged || a.Penalty != 1 {
		t.Errorf("got %+v, want zone za, 64 slots, no bridge and no penalty", a)
	}
	if want := cost.PrefillMillis(model, kind, 6, 1); b.Parts[0].ReadMillis != want || b.Parts[1].ReadMillis != 2*want {
		t.Errorf("reads a token in %.4f and %.4f ms, want %.4f and twice that on the slow engine", b.Parts[0].ReadMillis, b.Parts[1].ReadMillis, want)
	}
	stages := []cost.Stage{{Kind: kind, Zone: "za", Layers: 4}, {Kind: kind, Zone: "za", Layers: 4}, {Kind: kind, Zone: "za", Layers: 4}}
	for _, requests := range []float64{0, 1, 40} {
		want, got := cost.TokenMillis(model, stages, requests), a.StepMillis+requests*a.StepMillisPerRequest
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%.3f ms a token with %.0f requests, want %.3f", got, requests, want)
		}
	}
	f.table.View().ByID("a2").RecordFailure(f.clock.Now())
	if got, rate := f.wantChains(t, "a1 a2 a3 ", "b1 b2 ")[0].Penalty, f.table.View().ByID("a2").FailureRate(f.clock.Now()); rate <= 0 || got != 1+riskWeight*rate {
		t.Errorf("penalty %.3f at a failure rate of %.3f, want %.3f", got, rate, 1+riskWeight*rate)
	}
}

// Engines that cannot take requests are left out, and their layers are bridged where others hold
// them. A bridge names the engine of the other chain, and the part of it that it takes.
func TestRoomChainsBridges(t *testing.T) {
	for _, c := range []struct {
		name string
		make func(*fleet.Upstream)
	}{
		{"dead", func(u *fleet.Upstream) { u.SetDead(true) }},
		{"avoided after a failure", func(u *fleet.Upstream) { u.Avoid(1000) }},
		{"avoided after a refusal", func(u *fleet.Upstream) { u.RecordRefusal(0, true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(twoChains()...)
			c.make(f.table.View().ByID("a3"))
			chains := f.wantChains(t, "b1 b2 ", "a1 a2 b2 ")
			if bridge := chains[1].Parts[2]; !chains[1].Bridged || bridge.Share != 4.0/6 || bridge.Engine != chains[0].Parts[1].Engine {
				t.Errorf("bridged: %t, by %+v, want by four of the six layers of b2", chains[1].Bridged, bridge)
			}
			c.make(f.table.View().ByID("b1"))
			f.wantChains(t, "a1 a2 b2 ")
			c.make(f.table.View().ByID("a1"))
			f.wantChains(t)
		})
	}
}

// A granted request starts on the chain of its first engine, however full this daemon believes it to
// be. Without a grant the chain is full, and a grant does not excuse a dead engine.
func TestGrantedPath(t *testing.T) {
	f := newTestFleet(twoChains()...)
	for _, id := range []string{"a1", "a3", "b2"} {
		f.table.View().ByID(id).SetPeerLoad(1<<40, 1000)
	}
	need := needFrom("zb")
	need.First = map[string]bool{"a1": true}
	if _, err := f.router.Pick(service, model, need); !errors.Is(err, ErrNoRoom) {
		t.Fatalf("without a grant: error %v, want ErrNoRoom", err)
	}
	need.Granted = true
	pick := func(want string) {
		t.Helper()
		path, err := f.router.Pick(service, model, need)
		if err != nil {
			t.Fatal(err)
		}
		defer path.Release()
		if got := describePath(path); got != want {
			t.Errorf("path %s, want %s", got, want)
		}
	}
	pick("a1=0-4 a2=4-8 a3=8-12 ")
	f.table.View().ByID("a3").RecordRefusal(f.clock.Now(), false)
	pick("a1=0-4 a2=4-8 a3=8-12 ")
	f.table.View().ByID("a3").SetDead(true)
	pick("a1=0-4 a2=4-8 b2=8-12 ")
	f.table.View().ByID("a1").SetDead(true)
	if _, err := f.router.Pick(service, model, need); !errors.Is(err, ErrNoPath) {
		t.Fatalf("dead first engine: error %v, want ErrNoPath", err)
	}
}
