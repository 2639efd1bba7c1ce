package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"spanrill/platform/platformtest"
)

// Each case violates the rule named in it and no other rule.
func TestCheckReply(t *testing.T) {
	const events = 3
	cut := errors.New("connection reset")
	whole := ""
	for n := range events {
		whole += platformtest.Event([]byte("body"), n+1)
	}
	plain := string(platformtest.PlainAnswer([]byte("body")))
	wrongID := strings.ReplaceAll(whole, "id: 2", "id: 3")
	for _, c := range []struct {
		name  string
		path  string
		reply platformtest.Reply
		runs  int
		want  string
	}{
		{"a complete stream", platformtest.StreamPath, platformtest.Reply{Status: 200, Body: whole, Signed: true}, 2, ""},
		{"a stream that is cut off with an error", platformtest.StreamPath, platformtest.Reply{Status: 200, Body: whole[:20], Err: cut}, 1, ""},
		{"a stream that ends early without an error", platformtest.StreamPath, platformtest.Reply{Status: 200, Body: whole[:20]}, 1, ruleComplete},
		{"a missing event", platformtest.StreamPath, platformtest.Reply{Status: 200, Body: wrongID}, 1, ruleComplete},
		{"a cut stream with a missing event", platformtest.StreamPath, platformtest.Reply{Status: 200, Body: wrongID[:40], Err: cut}, 1, ruleComplete},
		{"a duplicate event", platformtest.StreamPath, platformtest.Reply{Status: 200, Body: platformtest.Event([]byte("body"), 1) + whole}, 1, ruleComplete},
		{"a plain answer", platformtest.SafePath, platformtest.Reply{Status: 200, Body: plain, Signed: true}, 2, ""},
		{"the answer to another request", platformtest.SafePath, platformtest.Reply{Status: 200, Body: "answer to another"}, 1, ruleComplete},
		{"one run of a request that may run once", platformtest.OncePath, platformtest.Reply{Status: 200, Body: plain}, 1, ""},
		{"two runs of a request that may run once", platformtest.OncePath, platformtest.Reply{Status: 200, Body: plain}, 2, ruleOnce},
		{"two runs without an answer", platformtest.OncePath, platformtest.Reply{Err: cut}, 2, ruleOnce},
		{"refused and not run", platformtest.OncePath, platformtest.Reply{Status: 503}, 0, ""},
		{"refused but run", platformtest.OncePath, platformtest.Reply{Status: 503}, 1, ruleNotRun},
		{"repeatable request refused but run", platformtest.SafePath, platformtest.Reply{Status: 429}, 1, ruleNotRun},
		{"failed with a status that does not exclude a run", platformtest.OncePath, platformtest.Reply{Status: 502}, 1, ""},
		{"no answer within the limit", platformtest.SafePath, platformtest.Reply{Err: cut, Elapsed: callLimit}, 0, ruleTerminates},
		{"a broken connection", platformtest.SafePath, platformtest.Reply{Err: cut, Elapsed: time.Second}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			rule, what := checkReply(callRecord{id: "r", path: c.path, body: "body", reply: c.reply}, events, func(string) int { return c.runs })
			if what == "" {
				rule = ""
			}
			if rule != c.want {
				t.Errorf("violated rule %q (%s), want %q", rule, what, c.want)
			}
		})
	}
}

// A run under a withdrawn key, an unexpected end of a daemon and a call without an end are reported
// as violations. A call without an end is not reported if its daemon was disturbed.
func TestFindViolations(t *testing.T) {
	env, err := newEnvironment(Shape{Daemons: 1, Zones: 1, Engines: 1, Plain: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer env.stop()
	p := &process{name: "daemon-0"}
	r := &run{env: env, daemons: []*process{p}, killed: map[*upstream]bool{}, disturbances: map[*process][]time.Time{}}
	if found := r.findViolations(); len(found) > 0 {
		t.Fatalf("violations without any request: %+v", found)
	}
	caller := platformtest.NewCaller()
	defer caller.Close()
	_, plainUpstream := env.upstreamAt(1)
	caller.Call(t.Context(), plainUpstream.engine.Addr, platformtest.OncePath, "late", "key-1", "body", callDeadline)
	r.withdrawnKeyRecords.add(callRecord{id: "late", path: platformtest.OncePath, daemon: p})
	p.recordFailure("it has ended")
	r.records.add(callRecord{id: "hangs", path: platformtest.SafePath, daemon: p, sent: time.Now(), reply: platformtest.Reply{Err: errors.New("timeout"), Elapsed: callLimit}})
	want := map[string]bool{ruleWithdrawnKey: true, ruleUnexpectedEnd: true, ruleTerminates: true}
	for _, v := range r.findViolations() {
		if !want[v.Rule] {
			t.Errorf("unexpected violation: %+v", v)
		}
		delete(want, v.Rule)
	}
	if len(want) > 0 {
		t.Errorf("violations not found: %v", want)
	}
	r.recordDaemonDisturbance(p)
	for _, v := range r.findViolations() {
		if v.Rule == ruleTerminates {
			t.Error("a call without an end to a disturbed daemon is reported as a violation")
		}
	}
}
