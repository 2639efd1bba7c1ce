package spanrillcmd

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"

	"spanrill"
	"spanrill/daemon"
	"spanrill/gateway"
)

// printGatewayPaths prints which gateways reach no upstream of a service, since when, and who helps
// them.
func printGatewayPaths(w io.Writer, page *gateway.PathsPage) {
	fmt.Fprintf(w, "\n%s keeps %d connections to upstreams for other gateways\n", page.Daemon, page.Tunnels)
	if len(page.Lost)+len(page.Counts) == 0 {
		fmt.Fprintln(w, "no gateway that it hears of has lost its path to upstreams")
		return
	}
	for _, service := range slices.Sorted(maps.Keys(page.Counts)) {
		fmt.Fprintf(w, "%d of %d gateways have no path of their own to the upstreams of %s\n", page.Counts[service], page.Daemons, service)
	}
	for _, p := range page.Lost {
		fmt.Fprintln(w, formatLostPath(p.Daemon, p.Service, p.For, p.Helped, p.Denied))
	}
}

// showLostPaths prints the same for the daemons of the project's own interface.
func showLostPaths(w io.Writer, box string, lost []daemon.LostPath) {
	for _, p := range lost {
		fmt.Fprintln(w, formatLostPath(box, p.Service, p.For, p.Helped, p.Denied))
	}
}

// formatLostPath describes a lost path in one line.
func formatLostPath(name, service string, lost spanrill.Millis, helped map[string]int, denied int) string {
	helpers := make([]string, 0, len(helped))
	for helper, n := range helped {
		helpers = append(helpers, fmt.Sprintf("%s (%d connections)", helper, n))
	}
	sort.Strings(helpers)
	by := "nobody"
	if len(helpers) > 0 {
		by = strings.Join(helpers, ", ")
	}
	line := fmt.Sprintf("%s has had no path of its own to the upstreams of %s for %.1f s, helped by %s", name, service, float64(lost)/float64(spanrill.Second), by)
	if denied > 0 {
		line += fmt.Sprintf(", denied help %d times", denied)
	}
	return line
}
