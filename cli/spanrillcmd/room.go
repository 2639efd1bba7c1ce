package spanrillcmd

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/gateway"
)

func roomCommand() *cli.Command {
	return &cli.Command{
		Name: "room", Usage: "show how the room on the chains of services is divided among gateways",
		ArgsUsage: "ADDR",
		Description: "spanrill room 10.0.0.1:9601\n\n" +
			"Asks the gateway whose metrics address is ADDR. For each service whose room is divided it shows\n" +
			"which gateway grants the room, how full the chains are, how many requests hold room and wait\n" +
			"for it by class (0 is the most urgent), and how many refused callers have a planned return.",
		Action: runRoom,
	}
}

func runRoom(ctx context.Context, c *cli.Command) error {
	addr := c.Args().First()
	if addr == "" {
		return cli.Exit("name the metrics address of a gateway", exitBadInput)
	}
	var page gateway.RoomPage
	if err := callAdmin(ctx, addr, fasthttp.MethodGet, gateway.RoomPath, &page); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return printJSON(c, page)
	}
	printRoom(c.Root().Writer, &page)
	return nil
}

func printRoom(w io.Writer, page *gateway.RoomPage) {
	if len(page.Services) == 0 {
		fmt.Fprintln(w, "no room is divided")
	}
	for i := range page.Services {
		printRoomService(w, &page.Services[i])
	}
}

func printRoomService(w io.Writer, s *gateway.RoomService) {
	if s.GrantedBy == "" {
		fmt.Fprintf(w, "%s: nobody grants room, asked %s %s\n", s.Service, strings.Join(s.Granters, ", "), s.Error)
		return
	}
	fmt.Fprintf(w, "%s: room granted by %s, %d priorities\n", s.Service, s.GrantedBy, s.Priorities)
	fmt.Fprintf(w, "waiting: %s; planned returns: %d\n", formatClasses(s.Waiting), s.Returns)
	fmt.Fprintf(w, "%-14s %-14s %5s %-14s %-24s %7s %9s\n", "FIRST", "ZONE", "FILL", "FULLEST", "GIVEN", "OTHERS", "START MS")
	for _, chain := range s.Chains {
		fmt.Fprintf(w, "%-14s %-14s %5.2f %-14s %-24s %7d %9d\n", chain.First, chain.Zone, chain.Fill, chain.Fullest, formatClasses(chain.Given), chain.Others, chain.Starting)
	}
}

// formatClasses returns the counts that are not zero, as class:count.
func formatClasses(counts [spanrill.ClassCount]int) string {
	var parts []string
	for class, n := range counts {
		if n != 0 {
			parts = append(parts, fmt.Sprintf("%d:%d", class, n))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}
