package spanrillcmd

import (
	"strings"
	"testing"

	"spanrill/gateway"
)

// Guards against a status that does not say which gateways reach no upstream, since when and who helps
// them.
func TestGatewayPathsInStatus(t *testing.T) {
	page := &gateway.PathsPage{Daemon: "front-2", Tunnels: 3, Lost: []gateway.LostPath{
		{Daemon: "front-1", Service: "advice", For: 3250, Helped: map[string]int{"front-3": 4, "front-2": 17}},
		{Daemon: "front-4", Service: "readings", For: 100},
		{Daemon: "front-5", Service: "readings", For: 200, Denied: 7},
	}, Daemons: 83, Counts: map[string]int{"advice": 1, "readings": 38}}
	var out strings.Builder
	printGatewayPaths(&out, page)
	for _, want := range []string{
		"front-2 keeps 3 connections",
		"front-1 has had no path of its own to the upstreams of advice for 3.2 s, helped by front-2 (17 connections), front-3 (4 connections)",
		"1 of 83 gateways have no path of their own to the upstreams of advice",
		"38 of 83 gateways have no path of their own to the upstreams of readings",
		"front-5 has had no path of its own to the upstreams of readings for 0.2 s, helped by nobody, denied help 7 times",
		"front-4 has had no path of its own to the upstreams of readings for 0.1 s, helped by nobody",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the status lacks %q:\n%s", want, out.String())
		}
	}
}
