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
		Name: "bench", Usage: "measure a fleet of daemons before stand-ins, in this process",
		Description: "spanrill bench throughput --policy least-work,random --load 0.5,0.9\n" +
			"spanrill bench recovery --fault kill\nspanrill bench overhead\nspanrill bench control",
		Commands: []*cli.Command{throughputCommand(), recoveryCommand(), overheadCommand(), controlCommand()},
	}
}

func benchFlags(load string) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "scene", Value: "quebec", Usage: "quebec, dakar or demo"},
		&cli.StringFlag{Name: "policy", Value: "least-work", Usage: "routing policies, with commas"},
		&cli.StringFlag{Name: "load", Value: load, Usage: "offered loads as parts of the bound, with commas"},
		&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of each measurement"},
		&cli.DurationFlag{Name: "warmup", Value: 5 * time.Second, Usage: "time before each measurement"},
		&cli.IntFlag{Name: "daemons", Usage: "daemons in place of those of the scene"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals and of all choices"},
		&cli.BoolFlag{Name: "accounts", Usage: "show each account"},
		&cli.BoolFlag{Name: "greedy", Usage: "let the first account send ten times as much as each other one"},
	}
}

// sceneOf returns the scene that the flags name.
func sceneOf(c *cli.Command) (scene.Spec, error) {
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

func optionsOf(c *cli.Command, spec scene.Spec, load float64) bench.Options {
	o := bench.Options{Load: load, Duration: c.Duration("duration"), Warmup: c.Duration("warmup"), Seed: c.Uint64("seed")}
	if c.Bool("greedy") {
		o.Shares = greedyShares(len(spec.Accounts))
	}
	return o
}

const greedyFactor = 10

// greedyShares gives the first account ten times the share of each other one.
func greedyShares(accounts int) []float64 {
	shares := make([]float64, accounts)
	for i := range shares {
		shares[i] = 1 / float64(accounts-1+greedyFactor)
	}
	shares[0] *= greedyFactor
	return shares
}

func loadsOf(c *cli.Command) ([]float64, error) {
	var loads []float64
	for _, text := range strings.Split(c.String("load"), ",") {
		var load float64
		if _, err := fmt.Sscanf(text, "%g", &load); err != nil || load <= 0 {
			return nil, cli.Exit(fmt.Sprintf("load %q is no positive number", text), exitBadInput)
		}
		loads = append(loads, load)
	}
	return loads, nil
}

func throughputCommand() *cli.Command {
	return &cli.Command{
		Name: "throughput", Usage: "useful answers over what the engines could deliver", Flags: benchFlags("0.9"),
		Action: func(ctx context.Context, c *cli.Command) error {
			return eachRun(ctx, c, func(ctx context.Context, spec scene.Spec, o bench.Options) (*bench.Report, error) {
				return bench.Throughput(ctx, spec, o)
			})
		},
	}
}

func recoveryCommand() *cli.Command {
	return &cli.Command{
		Name: "recovery", Usage: "time until the throughput is back after a fault",
		Flags: append(benchFlags("0.8"), &cli.StringFlag{
			Name: "fault", Value: "kill", Usage: "stage, kill, slow-engine, slow-link, daemon, zone or flap",
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			return eachRun(ctx, c, func(ctx context.Context, spec scene.Spec, o bench.Options) (*bench.Report, error) {
				return bench.Recovery(ctx, spec, o, bench.Fault(c.String("fault")))
			})
		},
	}
}

// eachRun measures each load with each policy.
func eachRun(ctx context.Context, c *cli.Command, run func(context.Context, scene.Spec, bench.Options) (*bench.Report, error)) error {
	loads, err := loadsOf(c)
	if err != nil {
		return err
	}
	if !c.Bool(flagJSON) {
		printf(c, "%s\n", bench.Header)
	}
	for _, load := range loads {
		for _, policy := range strings.Split(c.String("policy"), ",") {
			spec, err := sceneOf(c)
			if err != nil {
				return err
			}
			spec.RoutingPolicy = policy
			report, err := run(ctx, spec, optionsOf(c, spec, load))
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

// errWrongAnswers means that answers differed from those computed in one place.
var errWrongAnswers = errors.New("answers were wrong")

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
