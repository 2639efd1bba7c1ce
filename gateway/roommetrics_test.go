package gateway

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"spanrill"
	"spanrill/coordination/granting"
	"spanrill/coordination/relay"
	"spanrill/meter"
)

func (f *fakeGranter) Counts() granting.Counts {
	return granting.Counts{Given: [spanrill.ClassCount]uint64{3: 40}, Refused: [spanrill.ClassCount]uint64{9: 7}, ReturnsKept: 5}
}

func (f *fakeClient) Counts() granting.ClientCounts { return granting.ClientCounts{Shared: 6} }

// Each metric about room has a row in the operators' table, and the numbers by class have one label.
func TestRoomMetrics(t *testing.T) {
	g, _ := newRoomGateway(t)
	g.meters, g.relay = meter.New(), &relay.Relay{}
	g.registerRoomGauges()
	var b bytes.Buffer
	g.meters.Write(&b)
	for _, want := range []string{`spanrill_room_granting_given{class="3"} 40`, `spanrill_room_granting_refused{class="9"} 7`, "spanrill_room_granting_returns_kept 5", "spanrill_room_share_starts 6"} {
		if !strings.Contains(b.String(), want+"\n") {
			t.Errorf("metrics lack %s", want)
		}
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(b.String(), "\n") {
		name, _, _ := strings.Cut(line, " ")
		name, label, _ := strings.Cut(name, "{")
		if !strings.HasPrefix(name, "spanrill_room_") {
			continue
		}
		if label != "" {
			name += "{class}"
		}
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md has no %s", name)
		}
	}
}
