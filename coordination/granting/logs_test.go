package granting

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/protocol/peermsg"
)

// newLogBuffer returns a logger and what it writes.
func newLogBuffer() (*logrus.Logger, *bytes.Buffer) {
	var b bytes.Buffer
	log := logrus.New()
	log.SetOutput(&b)
	return log, &b
}

// Guards against a log line for each change of a state that changes all the time, and against a last
// line that does not tell the state.
func TestLogsAreBounded(t *testing.T) {
	log, lines := newLogBuffer()
	p := newClientPeers()
	c := p.newClient(1, WithLogger(log))
	for i := range 100 {
		c.noteSharing(testService, i%2 == 0)
		p.clock.Advance(20)
	}
	p.clock.Advance(spanrill.Second)
	c.noteSharing(testService, true)
	checkLines(t, lines, "event=643", 3, "")

	log, lines = newLogBuffer()
	b, manual := &granterBox{granters: []peermsg.Member{firstMember, selfMember}, chains: chainsOf(1000)}, clock.NewManual()
	parts, _ := fakeParts()
	g := NewGranter(b, b, parts, manual, WithGranterLogger(log))
	for i := range 30 {
		b.unresponsive = i%2 == 0
		g.HandleRequest(roomRequest("a", uint64(i)))
		settle(g, manual, refreshInterval)
	}
	b.unresponsive = true
	settle(g, manual, spanrill.Second+refreshInterval)
	checkLines(t, lines, "event=641", 5, "role=preferred")
}

// Guards against a log line for each check that finds lapsed claims.
func TestLapseLogsAreBounded(t *testing.T) {
	log, lines := newLogBuffer()
	b, manual := &granterBox{granters: []peermsg.Member{selfMember}, chains: chainsOf(1e6)}, clock.NewManual()
	parts, _ := fakeParts()
	g := NewGranter(b, b, parts, manual, WithGranterLogger(log))
	g.HandleRequest(roomRequest("a", 0))
	settle(g, manual, spanrill.Second)
	lines.Reset()
	for id := range uint64(40) {
		g.HandleRequest(roomRequest(strings.Repeat("b", int(id+1)), id))
		settle(g, manual, tickInterval)
	}
	settle(g, manual, 5*spanrill.Second)
	checkLines(t, lines, "event=647", 4, "requests=")
	sum := strings.Count(lines.String(), "requests=1 ")
	if sum == strings.Count(lines.String(), "\n") {
		t.Errorf("each line tells of one claim, want the claims since the last line:\n%s", lines)
	}
}

// checkLines checks that there are lines of an event, at most so many, and that the last one has a
// text.
func checkLines(t *testing.T, b *bytes.Buffer, event string, most int, last string) {
	t.Helper()
	lines := slices.DeleteFunc(strings.Split(strings.TrimSpace(b.String()), "\n"), func(line string) bool { return !strings.Contains(line, event) })
	if len(lines) == 0 || len(lines) > most || !strings.Contains(lines[len(lines)-1], last) {
		t.Errorf("%d lines, want at most %d, the last with %q:\n%s", len(lines), most, last, b)
	}
}
