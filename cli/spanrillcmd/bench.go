package spanrillcmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"spanrill/bench"
	"spanrill/scene"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "measure a fleet of daemons in front of stand-ins, in this process",
		Description: "spanrill bench throughput --policy least-work,random --load 0.5,0.9\n" +
			"spanrill bench recovery --fault kill\nspanrill bench overhead\nspanrill bench control",
		Commands: []*cli.Command{throughputCommand(), recoveryCommand(), overheadCommand(), controlCommand()},
	}
}

func benchFlags(defaultLoad string) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "scene", Value: "quebec", Usage: "quebec, dakar or demo"},
		&cli.StringFlag{Name: "policy", Value: "least-work", Usage: "comma-separated routing policies"},
		&cli.StringFlag{Name: "load", Value: defaultLoad, Usage: "comma-separated offered loads, as fractions of what the engines could deliver"},
		&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of each measurement"},
		&cli.DurationFlag{Name: "warmup", Value: 5 * time.Second, Usage: "warm-up time before each measurement"},
		&cli.IntFlag{Name: "daemons", Usage: "number of daemons, instead of that of the scene"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals and of all random choices"},
		&cli.BoolFlag{Name: "accounts", Usage: "show the results of each account as well"},
		&cli.BoolFlag{Name: "greedy", Usage: "let the first account send ten times as much as each other account"},
	}
}

// sceneFromFlags returns the scene that --scene names, with the seed and number of daemons from
// the other flags.
func sceneFromFlags(c *cli.Command) (scene.Spec, error) {
	var spec scene.Spec
	switch name := c.String("scene"); name {
	case "quebec":
		spec = scene.Quebec()
	case "dakar":
		spec = scene.Dakar()
	case "demo":
		spec = scene.Demo()
	default:
		return spec, cli.Exit(fmt.Sprintf("unknown scene %q: allowed are quebec, dakar and demo", name), exitBadInput)
	}
	spec.Seed = c.Uint64("seed")
	if n := c.Int("daemons"); n > 0 {
		spec.Daemons = n
	}
	return spec, nil
}

func optionsFromFlags(c *cli.Command, spec scene.Spec, load float64) bench.Options {
	o := bench.Options{Load: load, Duration: c.Duration("duration"), Warmup: c.Duration("warmup"), Seed: c.Uint64("seed")}
	if c.Bool("greedy") {
		o.Shares = greedyShares(len(spec.Accounts))
	}
	return o
}

const greedyFactor = 10

// greedyShares returns the share of each account in the load. The first account has greedyFactor
// times the share of any other.
func greedyShares(accounts int) []float64 {
	shares := make([]float64, accounts)
	for i := range shares {
		shares[i] = 1 / float64(accounts-1+greedyFactor)
	}
	shares[0] *= greedyFactor
	return shares
}

func loadsFromFlags(c *cli.Command) ([]float64, error) {
	var loads []float64
	for _, text := range strings.Split(c.String("load"), ",") {
		var load float64
		if _, err := fmt.Sscanf(text, "%g", &load); err != nil || load <= 0 {
			return nil, cli.Exit(fmt.Sprintf("load %q is not a positive number", text), exitBadInput)
		}
		loads = append(loads, load)
	}
	return loads, nil
}

func throughputCommand() *cli.Command {
	return &cli.Command{
		Name: "throughput", Usage: "measure useful answers relative to what the engines could deliver", Flags: benchFlags("0.9"),
		Action: func(ctx context.Context, c *cli.Command) error {
			return measureEach(ctx, c, func(ctx context.Context, spec scene.Spec, o bench.Options) (*bench.Report, error) {
				return bench.Throughput(ctx, spec, o)
			})
		},
	}
}

func recoveryCommand() *cli.Command {
	return &cli.Command{
		Name: "recovery", Usage: "measure the time until the throughput has recovered from a fault",
		Flags: append(benchFlags("0.8"), &cli.StringFlag{
			Name: "fault", Value: "kill", Usage: "stage, kill, slow-engine, slow-link, daemon, zone or flap",
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			return measureEach(ctx, c, func(ctx context.Context, spec scene.Spec, o bench.Options) (*bench.Report, error) {
				return bench.Recovery(ctx, spec, o, bench.Fault(c.String("fault")))
			})
		},
	}
}

// measureEach calls run for each combination of load and routing policy, and prints each report.
func measureEach(ctx context.Context, c *cli.Command, run func(context.Context, scene.Spec, bench.Options) (*bench.Report, error)) error {
	loads, err := loadsFromFlags(c)
	if err != nil {
		return err
	}
	if !c.Bool(flagJSON) {
		printf(c, "%s\n", bench.RowHeader)
	}
	for _, load := range loads {
		for _, policy := range strings.Split(c.String("policy"), ",") {
			spec, err := sceneFromFlags(c)
			if err != nil {
				return err
			}
			spec.RoutingPolicy = policy
			report, err := run(ctx, spec, optionsFromFlags(c, spec, load))
			if err != nil {
				return err
			}
			if err := showReport(c, report); err != nil {
				return err
			}
		}
	}
	return nil
}

// errWrongAnswers means that answers differed from the reference, which is computed with all layers
// in one place.
var errWrongAnswers = errors.New("some answers differ from the reference")

func showReport(c *cli.Command, r *bench.Report) error {
	if c.Bool(flagJSON) {
		return r.WriteJSON(c.Root().Writer)
	}
	r.WriteRow(c.Root().Writer)
	if c.Bool("accounts") {
		r.WriteAccounts(c.Root().Writer)
	}
	if r.Recovery != nil {
		printf(c, "  tokens/s before %.0f, lowest %.0f, at the end %.0f; back after %.2f s\n",
			r.Recovery["tokens_before"], r.Recovery["lowest"], r.Recovery["tokens_after"], r.Recovery["seconds"])
	}
	if r.Wrong > 0 {
		return errWrongAnswers
	}
	return nil
}
