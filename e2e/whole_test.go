package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"spanrill/standin/engine"
	"spanrill/standin/faultproxy"
)

// askAll lets many callers ask at once and compares each answer with the one
// computed in one place. A text that differs, or a text that looks whole and
// is not, fails the test. It returns how many answers were whole.
func (f *fleet) askAll(callers, tokens int, during func()) int {
	f.t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for i := range callers {
		c := chat{prompt: fmt.Sprintf("hive %d of row %d", i, i%7), seed: i + 1, tokens: tokens, stream: i%2 == 0}
		wg.Go(func() {
			done := f.checkedAsk(fmt.Sprintf("d%d", 1+i%len(f.daemons)), c)
			mu.Lock()
			defer mu.Unlock()
			if done {
				whole++
			}
		})
	}
	if during != nil {
		during()
	}
	wg.Wait()
	return whole
}

// checkedAsk asks and checks what came: a text that looks whole must be the one
// computed in one place, and any other must be its beginning and end with an
// error. It reports whether the answer is whole.
func (f *fleet) checkedAsk(name string, c chat) bool {
	f.t.Helper()
	text, whole, a := f.ask(name, c)
	want := f.want(c)
	switch {
	case whole && text != want:
		f.t.Errorf("%s gave %q, want %q", name, text, want)
	case !whole && !strings.HasPrefix(want, text):
		f.t.Errorf("%s gave the beginning %q of %q", name, text, want)
	case !whole && a.err == nil && !strings.Contains(string(a.body), `"error"`):
		f.t.Errorf("%s cut a chat without an error: %d %s", name, a.status, a.body)
	case a.err == nil && a.status != http.StatusOK && a.outcome == "":
		f.t.Errorf("%s told nothing: %d", name, a.status)
	}
	return whole
}

func (f *fleet) awaitStreams(n int) {
	f.t.Helper()
	f.await(fmt.Sprintf("%d streams run", n), func() bool {
		running := 0
		for name := range f.daemons {
			if s, err := f.status(name); err == nil {
				running += s.Running
			}
		}
		return running >= n
	})
}

func TestManyCallersGetTheirOwnAnswer(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, perStage: 2})
	if whole := f.askAll(40, 20, nil); whole != 40 {
		t.Fatalf("%d of 40 answers are whole", whole)
	}
}

// kill ends an upstream the hard way.
func (f *fleet) kill(names ...string) {
	for _, n := range names {
		f.proxies[n].Close()
	}
}

// stages puts the proxies between the stages too: engines reach one another by
// the addresses of the box list, which are those of the proxies.
func TestAnswersStayWholeWhenStagesFail(t *testing.T) {
	for _, c := range []struct {
		name   string
		during func(f *fleet)
	}{
		{"first stage killed", func(f *fleet) { f.kill("e1a") }},
		{"middle stage killed", func(f *fleet) { f.kill("e2a") }},
		{"last stage killed", func(f *fleet) { f.kill("e3a") }},
		{"two stages killed at once", func(f *fleet) { f.kill("e1a", "e3b") }},
		{"second kill during recovery", func(f *fleet) { f.kill("e2a"); f.kill("e1b") }},
		{"link cut", func(f *fleet) { f.proxies["e2b"].CloseConnections() }},
		{"link cut twice", func(f *fleet) { f.proxies["e2b"].CloseConnections(); f.proxies["e3a"].CloseConnections() }},
		{"link slowed", func(f *fleet) { f.proxies["e2a"].SetFaults(faultproxy.Faults{DelayMillis: 30}) }},
		{"stage frozen", func(f *fleet) { f.proxies["e3a"].SetFaults(faultproxy.Faults{Freeze: true}) }},
		{"stage leaving", func(f *fleet) { f.engines["e2a"].SetFaults(engine.Faults{Leaving: true}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, shape{daemons: 2, perStage: 2})
			whole := f.askAll(16, 150, func() {
				f.awaitStreams(8)
				c.during(f)
			})
			if whole != 16 {
				t.Errorf("%d of 16 answers are whole", whole)
			}
		})
	}
}

// Engines that misbehave are found out token by token.
func TestWrongTokensNeverReachCallers(t *testing.T) {
	for _, c := range []struct {
		name   string
		at     string
		faults engine.Faults
	}{
		{"tokens doubled", "e1a", engine.Faults{DoubleTokens: true}},
		{"tokens reordered", "e1a", engine.Faults{SwapTokens: true}},
		{"a token dropped", "e1a", engine.Faults{DropToken: 5}},
		{"a layer short by its own word", "e2a", engine.Faults{MisreportRange: true}},
		{"stream ends early", "e1a", engine.Faults{EndEarly: 6}},
		{"stream stalls", "e1a", engine.Faults{StallAtToken: 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, shape{daemons: 2, perStage: 2})
			f.engines[c.at].SetFaults(c.faults)
			if whole := f.askAll(16, 24, nil); whole != 16 {
				t.Errorf("%d of 16 answers are whole", whole)
			}
		})
	}
}

// A token whose layers are not proved is not delivered, even if its text is
// right: with no other chain the answer ends with an error.
func TestUnprovedLayersAreNotDelivered(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, perStage: 1})
	f.engines["e2a"].SetFaults(engine.Faults{MisreportRange: true})
	text, whole, a := f.ask("d1", chat{prompt: "hive", seed: 1, tokens: 8})
	if whole || text != "" || a.outcome != "unknown" {
		t.Fatalf("got %q, outcome %q, status %d", text, a.outcome, a.status)
	}
}

// The stand-in can tell: a layer that is left out changes the text.
func TestStandInTellsASkippedLayer(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, perStage: 1})
	f.engines["e2a"].SetFaults(engine.Faults{SkipLayer: true})
	c := chat{prompt: "hive", seed: 1, tokens: 8}
	text, whole, _ := f.ask("d1", c)
	if !whole || text == f.want(c) {
		t.Fatalf("the text %q does not show that a layer was left out", text)
	}
}

// With no chain left the caller is told at once, and truly nothing ran.
func TestNoChainIsNotRun(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, perStage: 1})
	f.kill("e2a")
	_, whole, a := f.ask("d1", chat{prompt: "hive", seed: 1, tokens: 8})
	if whole || a.outcome != "not-run" || a.header.Get("Retry-After") == "" {
		t.Fatalf("told %q, status %d: %s", a.outcome, a.status, a.body)
	}
}

// A caller whose daemon is gone goes on through another one.
func TestStreamGoesOnThroughAnotherDaemon(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, perStage: 2})
	c := chat{prompt: "hive", seed: 5, tokens: 30, stream: true}
	a := f.call("d1", http.MethodPost, "/v1/chat/completions", nil, c.body())
	lines := strings.Split(string(a.body), "\n\n")
	id, _, _ := strings.Cut(strings.TrimPrefix(lines[9], "id: "), "\n")
	rest := f.call("d2", http.MethodPost, "/v1/chat/completions", map[string]string{"Last-Event-ID": id}, c.body())
	head, _ := parseChat([]byte(strings.Join(lines[:10], "\n\n")), true)
	text, whole := parseChat(rest.body, true)
	if !whole || head+text != f.want(c) {
		t.Fatalf("got %q and then %q, want %q", head, text, f.want(c))
	}
	other := chat{prompt: "another hive", seed: 5, tokens: 30, stream: true}
	wrong := f.call("d2", http.MethodPost, "/v1/chat/completions", map[string]string{"Last-Event-ID": id}, other.body())
	if wrong.status != http.StatusBadRequest {
		t.Fatalf("an id of another request was taken: status %d", wrong.status)
	}
}
