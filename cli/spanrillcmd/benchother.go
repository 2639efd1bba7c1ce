package spanrillcmd

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"spanrill/bench"
	"spanrill/scene"
)

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name: "overhead", Usage: "measure the latency that a daemon adds to a direct call of the same stand-in",
		Flags: []cli.Flag{&cli.IntFlag{Name: "calls", Value: 500, Usage: "calls of each kind"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			overheads, err := bench.MeasureOverhead(ctx, c.Int("calls"))
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return printJSON(c, overheads)
			}
			printf(c, "%-20s %10s %10s %10s %10s %10s %10s\n", "milliseconds", "direct p50", "p99", "routed p50", "p99", "added p50", "p99")
			for _, o := range overheads {
				printf(c, "%-20s %10.2f %10.2f %10.2f %10.2f %10.2f %10.2f\n", o.Name,
					o.DirectP50, o.DirectP99, o.RoutedP50, o.RoutedP99, o.AddedP50, o.AddedP99)
			}
			return nil
		},
	}
}

func controlCommand() *cli.Command {
	return &cli.Command{
		Name: "control", Usage: "measure messages and platform calls of an idle fleet, per daemon and second",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of each measurement"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			var results []*bench.ControlTraffic
			for _, daemons := range []int{2, 4, 8, 16} {
				spec := scene.Quebec()
				spec.Daemons = daemons
				traffic, err := bench.MeasureControlTraffic(ctx, spec, c.Duration("duration"))
				if err != nil {
					return err
				}
				results = append(results, traffic)
			}
			if c.Bool(flagJSON) {
				return printJSON(c, results)
			}
			printf(c, "%8s %8s %10s %14s %14s %14s %10s\n", "daemons", "engines", "sent KB/s", "received KB/s", "platform reads", "writes", "box lists")
			for _, traffic := range results {
				printf(c, "%8d %8d %10.2f %14.2f %14.2f %14.2f %10.2f\n", traffic.Daemons, traffic.Engines, traffic.SentKB, traffic.ReceivedKB, traffic.PlatformReads, traffic.PlatformWrites, traffic.BoxLists)
			}
			return nil
		},
	}
}
