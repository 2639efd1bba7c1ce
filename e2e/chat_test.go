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

// askConcurrently sends chats from concurrent callers, runs during meanwhile, and
// checks each answer as askAndCheck does. It returns the number of complete
// answers.
func (f *fleet) askConcurrently(callers, tokens int, during func()) int {
	f.t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	completeCount := 0
	for i := range callers {
		c := chat{prompt: fmt.Sprintf("hive %d of row %d", i, i%7), seed: i + 1, tokens: tokens, stream: i%2 == 0}
		wg.Go(func() {
			complete := f.askAndCheck(fmt.Sprintf("d%d", 1+i%len(f.daemons)), c)
			mu.Lock()
			defer mu.Unlock()
			if complete {
				completeCount++
			}
		})
	}
	if during != nil {
		during()
	}
	wg.Wait()
	return completeCount
}

// askAndCheck sends a chat and checks the answer: a complete text must be the
// expected one, any other must be a prefix of it and end with an error. It reports
// whether the answer is complete.
func (f *fleet) askAndCheck(name string, c chat) bool {
	f.t.Helper()
	text, complete, a := f.ask(name, c)
	want := f.wantText(c)
	switch {
	case complete && text != want:
		f.t.Errorf("%s answered %q, want %q", name, text, want)
	case !complete && !strings.HasPrefix(want, text):
		f.t.Errorf("%s answered %q, which is not a prefix of %q", name, text, want)
	case !complete && a.err == nil && !strings.Contains(string(a.body), `"error"`):
		f.t.Errorf("%s cut off a chat without an error: %d %s", name, a.status, a.body)
	case a.err == nil && a.status != http.StatusOK && a.outcome == "":
		f.t.Errorf("%s answered without an outcome: status %d", name, a.status)
	}
	return complete
}

// awaitStreams waits until at least n streams run over all daemons.
func (f *fleet) awaitStreams(n int) {
	f.t.Helper()
	f.await(fmt.Sprintf("at least %d streams run", n), func() bool {
		running := 0
		for name := range f.daemons {
			if s, err := f.status(name); err == nil {
				running += s.Running
			}
		}
		return running >= n
	})
}

func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, enginesPerStage: 2})
	if complete := f.askConcurrently(40, 20, nil); complete != 40 {
		t.Fatalf("%d of 40 answers are complete", complete)
	}
}

// killUpstreams makes upstreams unreachable by closing their proxies.
func (f *fleet) killUpstreams(names ...string) {
	for _, n := range names {
		f.proxies[n].Close()
	}
}

// Answers stay complete and correct when an engine of any stage or a link fails.
// Engines reach one another through the proxies too, because the box list has the
// proxies' addresses.
func TestAnswersAreCompleteWhenStagesFail(t *testing.T) {
	for _, c := range []struct {
		name   string
		during func(f *fleet)
	}{
		{"first stage killed", func(f *fleet) { f.killUpstreams("e1a") }},
		{"middle stage killed", func(f *fleet) { f.killUpstreams("e2a") }},
		{"last stage killed", func(f *fleet) { f.killUpstreams("e3a") }},
		{"two stages killed at once", func(f *fleet) { f.killUpstreams("e1a", "e3b") }},
		{"second kill during recovery", func(f *fleet) { f.killUpstreams("e2a"); f.killUpstreams("e1b") }},
		{"link cut", func(f *fleet) { f.proxies["e2b"].CloseConnections() }},
		{"link cut twice", func(f *fleet) { f.proxies["e2b"].CloseConnections(); f.proxies["e3a"].CloseConnections() }},
		{"link slowed", func(f *fleet) { f.proxies["e2a"].SetFaults(faultproxy.Faults{DelayMillis: 30}) }},
		{"stage frozen", func(f *fleet) { f.proxies["e3a"].SetFaults(faultproxy.Faults{Freeze: true}) }},
		{"stage leaving", func(f *fleet) { f.engines["e2a"].SetFaults(engine.Faults{Leaving: true}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, shape{daemons: 2, enginesPerStage: 2})
			complete := f.askConcurrently(16, 150, func() {
				f.awaitStreams(8)
				c.during(f)
			})
			if complete != 16 {
				t.Errorf("%d of 16 answers are complete", complete)
			}
		})
	}
}

// Faulty engines are detected at each token, so that no wrong token is delivered.
func TestWrongTokensNeverReachCallers(t *testing.T) {
	for _, c := range []struct {
		name   string
		engine string
		faults engine.Faults
	}{
		{"tokens doubled", "e1a", engine.Faults{DoubleTokens: true}},
		{"tokens reordered", "e1a", engine.Faults{SwapTokens: true}},
		{"a token dropped", "e1a", engine.Faults{DropToken: 5}},
		{"layer range misreported", "e2a", engine.Faults{MisreportRange: true}},
		{"stream ends early", "e1a", engine.Faults{EndEarly: 6}},
		{"stream stalls", "e1a", engine.Faults{StallAtToken: 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, shape{daemons: 2, enginesPerStage: 2})
			f.engines[c.engine].SetFaults(c.faults)
			if complete := f.askConcurrently(16, 24, nil); complete != 16 {
				t.Errorf("%d of 16 answers are complete", complete)
			}
		})
	}
}

// A token is not delivered unless every layer is confirmed, even if its text is
// right. Without another chain the answer ends with an error.
func TestTokensWithUnconfirmedLayersAreNotDelivered(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, enginesPerStage: 1})
	f.engines["e2a"].SetFaults(engine.Faults{MisreportRange: true})
	text, complete, a := f.ask("d1", chat{prompt: "hive", seed: 1, tokens: 8})
	if complete || text != "" || a.outcome != "unknown" {
		t.Fatalf("got text %q, outcome %q, status %d, want no text and the outcome unknown", text, a.outcome, a.status)
	}
}

// A layer that an engine skips without reporting it changes the text of the
// stand-in, so that the other tests would detect it.
func TestStandInTextRevealsSkippedLayer(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, enginesPerStage: 1})
	f.engines["e2a"].SetFaults(engine.Faults{SkipLayer: true})
	c := chat{prompt: "hive", seed: 1, tokens: 8}
	text, complete, _ := f.ask("d1", c)
	if !complete || text == f.wantText(c) {
		t.Fatalf("the text %q does not reveal the skipped layer", text)
	}
}

// Without any chain the outcome is not-run, with a Retry-After.
func TestNoChainIsNotRun(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, enginesPerStage: 1})
	f.killUpstreams("e2a")
	_, complete, a := f.ask("d1", chat{prompt: "hive", seed: 1, tokens: 8})
	if complete || a.outcome != "not-run" || a.header.Get("Retry-After") == "" {
		t.Fatalf("got outcome %q, status %d, want not-run and a Retry-After: %s", a.outcome, a.status, a.body)
	}
}

// A caller can resume its stream through another daemon with the id of its last
// event. An id of another request is refused.
func TestStreamResumesThroughAnotherDaemon(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, enginesPerStage: 2})
	c := chat{prompt: "hive", seed: 5, tokens: 30, stream: true}
	a := f.call("d1", http.MethodPost, "/v1/chat/completions", nil, c.body())
	lines := strings.Split(string(a.body), "\n\n")
	id, _, _ := strings.Cut(strings.TrimPrefix(lines[9], "id: "), "\n")
	resumed := f.call("d2", http.MethodPost, "/v1/chat/completions", map[string]string{"Last-Event-ID": id}, c.body())
	received, _ := parseChat([]byte(strings.Join(lines[:10], "\n\n")), true)
	text, complete := parseChat(resumed.body, true)
	if !complete || received+text != f.wantText(c) {
		t.Fatalf("got %q and then %q, want %q", received, text, f.wantText(c))
	}
	other := chat{prompt: "another hive", seed: 5, tokens: 30, stream: true}
	refused := f.call("d2", http.MethodPost, "/v1/chat/completions", map[string]string{"Last-Event-ID": id}, other.body())
	if refused.status != http.StatusBadRequest {
		t.Fatalf("an event id of another request: got status %d, want 400", refused.status)
	}
}
