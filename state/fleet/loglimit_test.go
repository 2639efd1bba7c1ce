package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
)

// foundUpstreams returns a logger, its output and an update with n upstreams.
func foundUpstreams(n int) (*logrus.Logger, *strings.Builder, Update) {
	out := &strings.Builder{}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(out)
	update := Update{Revision: 1, LastChange: 1}
	for i := range n {
		id := fmt.Sprintf("i-%010x", i)
		update.Entries = append(update.Entries, spanrill.EngineEntry{ID: id, Service: "s", Addr: id + ":1", Zone: "z", Kind: "card", Revision: 1})
	}
	return log, out, update
}

// Guards against a log line for each of thousands of upstreams at the start of a daemon. The next
// line states how many were left out.
func TestUpstreamLogLimit(t *testing.T) {
	log, out, update := foundUpstreams(1000)
	manual := clock.NewManual()
	manual.Advance(100 * spanrill.Second)
	table := New(manual, nil, WithLogger(log))
	table.Merge(update, manual.Now())
	if n := strings.Count(out.String(), "upstream found"); n != maxLinesPerSecond {
		t.Fatalf("%d lines, want %d", n, maxLinesPerSecond)
	}
	manual.Advance(spanrill.Second)
	update.Entries = append(update.Entries, spanrill.EngineEntry{ID: "one more", Service: "s", Addr: "x:1", Revision: 2})
	update.Revision = 2
	table.Merge(update, manual.Now())
	if want := fmt.Sprintf(`"skipped_before":%d`, 1000-maxLinesPerSecond); !strings.Contains(out.String(), want) {
		t.Fatalf("no line states that %d were left out", 1000-maxLinesPerSecond)
	}
}

// Measures the first update of a daemon with 2,922 upstreams: 52 ms and 17.8 MB with a log line for
// each, 12 ms and 4.3 MB with the limit.
func BenchmarkMergeManyUpstreams(b *testing.B) {
	log, out, update := foundUpstreams(2922)
	b.ReportAllocs()
	for b.Loop() {
		out.Reset()
		New(clock.NewManual(), nil, WithLogger(log)).Merge(update, 0)
	}
}
