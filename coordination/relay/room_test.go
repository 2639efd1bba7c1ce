package relay

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/clock"
	"spanrill/coordination/chainrouting"
	"spanrill/state/fleet"
)

// find makes the next attempt find its path, which must begin at the engine.
func (g *generation) find(t *testing.T, want string) {
	t.Helper()
	if refusal := g.findPath(); refusal != nil {
		t.Fatalf("refused with %v", refusal)
	}
	if g.firstEngine.ID() != want {
		t.Fatalf("the path begins at %s, want %s", g.firstEngine.ID(), want)
	}
}

// A request starts on the chain that was granted, although this daemon would choose another one and
// believes that the granted one is full.
func TestGrantNamesChain(t *testing.T) {
	gate := &fakeGate{answers: keys("b1")}
	g := newRoomGeneration(t.Context(), gate)
	g.account = &spanrill.Account{Name: "acme", Priority: 1}
	g.relay.Clock.(*clock.Manual).Advance(100)
	g.relay.Fleet.View().ByID("b2").SetPeerLoad(1<<40, 0)
	g.find(t, "b1")
	asked, need := gate.asked[0], gate.asked[0].Need
	if asked.Service != "s" || asked.Model != g.service.Model || asked.Account != "acme" || asked.Content != 77 || asked.MaxWait != 400 || asked.Remaining != 7900 {
		t.Errorf("asked with %+v, want the service, account, content and times of the request", asked)
	}
	if need.Prompt != 100 || need.Answer != 80 || need.Class != 1 || need.Zone != "za" || need.Pause != 70 || need.Events != 5 || need.Patient != 400 || len(need.Avoid) != 0 {
		t.Errorf("asked for %+v, want the tokens, class of the account, zone and targets of the request", need)
	}
	gate.wantReleased(t, 0)
	g.release()
	g.release()
	gate.wantReleased(t, 1)
}

// Where room is not divided, nobody is asked, and refusals have the retry times of undivided rooms.
func TestUndividedAsksNobody(t *testing.T) {
	gate := &fakeGate{undivided: true, loads: map[uint32]int{}}
	for name, room := range map[string]spanrill.RoomGate{"no gate": nil, "service is not divided": gate} {
		t.Run(name, func(t *testing.T) {
			g := newRoomGeneration(t.Context(), room)
			g.find(t, "a1")
			g.relay.recordEngineLoad("s", g.firstEngine, "1,1,8")
			if got := g.giveUpRefusal(refusedError(g.firstEngine)).RetryAfter(); got != fullRetryAfter {
				t.Errorf("retry time %d ms, want %d", got, fullRetryAfter)
			}
			g.release()
		})
	}
	if len(gate.asked)+len(gate.loads) != 0 {
		t.Fatalf("asked %d times and told %v, want neither", len(gate.asked), gate.loads)
	}
}

// A grant on a chain that this daemon cannot use is given back, and room is asked for once more
// without that engine. After a second one the daemon chooses itself.
func TestUnusableGrant(t *testing.T) {
	for _, c := range []struct {
		name     string
		answers  []uint32
		want     string
		released []int
	}{
		{"unknown engine", keys("x", "b1"), "b1", []int{1, 0}},
		{"dead engine", keys("c1", "a1"), "a1", []int{1, 0}},
		{"both", keys("x", "c1"), "a1", []int{1, 1}},
		{"the daemon is to choose", []uint32{0}, "a1", []int{0}},
		{"and then to choose", append(keys("x"), 0), "a1", []int{1, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			gate := &fakeGate{answers: c.answers}
			g := newRoomGeneration(t.Context(), gate)
			g.relay.Fleet.Merge(fleet.Update{Entries: append([]spanrill.EngineEntry{roomEngine("c1", "zc", 0, 12)}, roomEngines...), Revision: 2}, 0)
			g.relay.Fleet.View().ByID("c1").SetDead(true)
			g.find(t, c.want)
			for i, asked := range gate.asked[1:] {
				if !asked.Need.Avoid[c.answers[i]] {
					t.Errorf("request %d does not avoid the engine of the unusable grant", i+2)
				}
			}
			gate.wantReleased(t, c.released...)
			g.release()
		})
	}
}

// Refusals keep the retry time of those who divide the room. Their outcome is unknown if an earlier
// attempt may have run.
func TestRoomRefusal(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		g := newRoomGeneration(t.Context(), &fakeGate{})
		g.mayHaveRun = mayHaveRun
		refusal := g.openStream()
		if refusal == nil || refusal.Reason() != spanrill.ReasonChainsFull || refusal.RetryAfter() != gateRetryAfter {
			t.Fatalf("refused with %v, want no_room with the retry time of the gate", refusal)
		}
		if notRun := refusal.Outcome() == spanrill.OutcomeNotRun; notRun == mayHaveRun {
			t.Errorf("refusal says that it has not run: %t, want the opposite", notRun)
		}
		if g.sends != 0 {
			t.Error("sent without room")
		}
	}
}

// Refusals for other reasons than the gate's have planned retry times too.
func TestRetryTimesOfDivided(t *testing.T) {
	g := newRoomGeneration(t.Context(), &fakeGate{answers: []uint32{0}})
	engine := g.relay.Fleet.View().ByID("a1")
	if got := g.giveUpRefusal(refusedError(engine)).RetryAfter(); got != returnRetryAfter {
		t.Errorf("after an engine's refusal: %d ms, want %d", got, returnRetryAfter)
	}
	for _, err := range []error{chainrouting.ErrNoRoom, chainrouting.ErrNoPath} {
		if got := g.noPathRefusal(err).RetryAfter(); got != returnRetryAfter {
			t.Errorf("%v: %d ms, want %d", err, got, returnRetryAfter)
		}
	}
}

// A caller that leaves while its request waits for room ends the wait, also if the room was granted
// at the same moment.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	for _, granted := range []bool{false, true} {
		ctx, cancel := context.WithCancelCause(t.Context())
		gate := &fakeGate{blocks: true}
		if granted {
			gate.answers = keys("a1")
		}
		g := newRoomGeneration(ctx, gate)
		refused := make(chan *spanrill.Refusal)
		go func() { refused <- g.openStream() }()
		cancel(errCallerLeft)
		if refusal := <-refused; refusal == nil || refusal.Outcome() != spanrill.OutcomeNotRun || g.sends != 0 {
			t.Fatalf("got refusal %v and %d sends, want not run and none", refusal, g.sends)
		}
		g.release()
		if n := g.relay.Meters.CallersLeft.Get(); n != 1 || g.relay.RoomCounts().Refused != 0 {
			t.Errorf("counted %d callers that left and %+v, want one and no refusal for lack of room", n, g.relay.RoomCounts())
		}
		if granted {
			gate.wantReleased(t, 1)
		}
	}
}

// A request that an engine refuses gives its room back and asks again, naming that engine. It
// counts as refused in spite of its grant.
func TestEngineRefusalAsksAgain(t *testing.T) {
	gate := &fakeGate{answers: keys("a1", "x", "b1"), loads: map[uint32]int{}} // x is not known
	g := newRoomGeneration(t.Context(), gate)
	serveEngines(t, g, map[string]string{"a1": "5,3,8", "b1": "1,0,8"}, "a1")
	if refusal := g.openStream(); refusal != nil {
		t.Fatalf("refused with %v", refusal)
	}
	gate.wantReleased(t, 1, 1, 0)
	again := gate.asked[1]
	if len(again.RefusedBy) != 1 || again.RefusedBy[0] != fleet.KeyOf("a1") || !again.Need.Avoid[fleet.KeyOf("a1")] {
		t.Errorf("asked again with %+v, want it to name and avoid a1", again)
	}
	if len(gate.asked[0].RefusedBy)+len(gate.asked[2].RefusedBy) != 0 {
		t.Error("the first or the third request names an engine that refused, want each refusal named once")
	}
	if gate.loads[fleet.KeyOf("a1")] != 8 || gate.loads[fleet.KeyOf("b1")] != 1 {
		t.Errorf("told the loads %v, want 8 of a1 and 1 of b1", gate.loads)
	}
	if c := g.relay.RoomCounts(); c.Granted != 3 || c.Unusable != 1 || c.EngineRefused != 1 {
		t.Errorf("counted %+v, want 3 grants, one of them unusable, and 1 refusal by an engine", c)
	}
	g.release()
	gate.wantReleased(t, 1, 1, 1)
}

// A refusal that is not for lack of room is not told to those who divide the room, because they would
// give no room at that engine to anyone. The request avoids the engine all the same.
func TestRefusalsForOtherReasons(t *testing.T) {
	const misdirected, unavailable = fasthttp.StatusMisdirectedRequest, fasthttp.StatusServiceUnavailable
	for _, c := range []struct {
		name     string
		atServer string
		status   int
		change   func(*fleet.Upstream) // of the engine at fault
		notice   spanrill.Notice       // of the first engine
		atFault  string
		isTold   bool
	}{
		{name: "no room", status: unavailable, atFault: "a1", isTold: true},
		{name: "no room at a later engine", atServer: "a2:1", status: unavailable, atFault: "a2", isTold: true},
		{name: "without the layers", status: misdirected, atFault: "a1"},
		{name: "an engine that is not known", atServer: "x:1", status: unavailable, atFault: "a1"},
		{name: "dead", atServer: "a2:1", status: unavailable, change: func(u *fleet.Upstream) { u.SetDead(true) }, atFault: "a2"},
		{name: "terminated", atServer: "a2:1", status: unavailable, change: func(u *fleet.Upstream) { u.RecordNotListening() }, atFault: "a2"},
		{name: "said that it leaves", status: unavailable, notice: spanrill.Notice{Leaving: true}, atFault: "a1"},
		{name: "asked for rest", status: unavailable, notice: spanrill.Notice{Rest: 1000}, atFault: "a1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			gate := &fakeGate{answers: keys("a1", "b1")}
			g := newRoomGeneration(t.Context(), gate)
			g.find(t, "a1")
			if c.change != nil {
				c.change(g.relay.Fleet.View().ByID(c.atFault))
			}
			g.relay.Fleet.HandleNotice("a1:1", c.notice, 0)
			failure := g.newRefusalError(g.firstEngine, spanrill.UpstreamResponse{NotRun: true, FailedAddr: c.atServer}, c.status)
			g.recordFailure(g.firstEngine, failure)
			if refusal := g.retryOrRefuse(failure); refusal != nil {
				t.Fatalf("refused with %v", refusal)
			}
			g.find(t, "b1")
			again := gate.asked[1]
			if told := len(again.RefusedBy) == 1 && again.RefusedBy[0] == fleet.KeyOf(c.atFault); told != c.isTold || !told && len(again.RefusedBy) > 0 {
				t.Errorf("told that %v refused, want %s told: %t", again.RefusedBy, c.atFault, c.isTold)
			}
			if !again.Need.Avoid[fleet.KeyOf(c.atFault)] {
				t.Errorf("avoids %v, want %s", again.Need.Avoid, c.atFault)
			}
			if n := g.relay.RoomCounts().EngineRefused; n == 1 != c.isTold {
				t.Errorf("counted %d refusals in spite of a grant, want one: %t", n, c.isTold)
			}
			gate.wantReleased(t, 1, 0)
			g.release()
		})
	}
}

// When every engine refuses, each grant is given back once, and the request has not run.
func TestAllEnginesRefuse(t *testing.T) {
	gate := &fakeGate{answers: keys("a1", "b1"), loads: map[uint32]int{}}
	g := newRoomGeneration(t.Context(), gate)
	serveEngines(t, g, map[string]string{"a1": "8,0,8", "b1": "8,0,8"}, "a1", "b1")
	refusal := g.openStream()
	if refusal == nil || refusal.Outcome() != spanrill.OutcomeNotRun || refusal.RetryAfter() != gateRetryAfter || statusOf(refusal) != fasthttp.StatusServiceUnavailable {
		t.Fatalf("refused with %v, want 503, not run", refusal)
	}
	g.release()
	gate.wantReleased(t, 1, 1)
}

// A stream that has begun gives its room back when its attempt is lost, and its continuations and
// moves do not ask for room. A move keeps the room.
func TestBegunStreamDoesNotAsk(t *testing.T) {
	gate := &fakeGate{answers: keys("a1")}
	g := newRoomGeneration(t.Context(), gate)
	g.relay.Engines = reroutingEngines{}
	g.find(t, "a1")
	g.begun = true
	g.path.Parts()[1].Upstream.SetDead(true)
	if !g.move(true) {
		t.Fatal("not moved off a dead engine")
	}
	gate.wantReleased(t, 0)
	path, err := g.relay.Router.Pick("s", g.service.Model, g.continuationNeed())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	close(done)
	g.pending = &continuation{g: g, path: path, done: done}
	g.adoptContinuation()
	gate.wantReleased(t, 1)
	g.recordLostAttempt()
	if refusal := g.findPath(); refusal != nil {
		t.Fatalf("refused with %v", refusal)
	}
	g.release()
	if gate.wantReleased(t, 1); len(gate.asked) != 1 {
		t.Errorf("asked %d times, want once", len(gate.asked))
	}
}

// A request that has been sent to as many engines as its route allows asks for those only.
func TestAsksForAllowedEngines(t *testing.T) {
	gate := &fakeGate{answers: keys("b1", "a1")}
	g := newRoomGeneration(t.Context(), gate)
	g.route.MaxAttempts = 1
	g.sentTo["a1"] = g.relay.Fleet.View().ByID("a1")
	g.find(t, "a1")
	if avoid := gate.asked[0].Need.Avoid; !avoid[fleet.KeyOf("b1")] || avoid[fleet.KeyOf("a1")] {
		t.Errorf("avoids %v, want b1 and not a1", avoid)
	}
	gate.wantReleased(t, 1, 0)
	g.release()
}

func TestParseEngineLoad(t *testing.T) {
	for text, want := range map[string]int{"0,0,8": 0, "3,4,8": 7, "": -1, "3,4": -1, "3,4,8,1": -1, "-1,4,8": -1, "3, 4,8": -1, "+3,4,8": -1, "3.5,4,8": -1, "1e3,4,8": -1, "9999999,0,8": -1, "a,b,c": -1} {
		got, ok := parseEngineLoad(text)
		if !ok {
			got = -1
		}
		if got != want {
			t.Errorf("%q: %d requests, want %d (-1 if invalid)", text, got, want)
		}
	}
}
