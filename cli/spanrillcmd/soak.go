package spanrillcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"spanrill/soak"
)

// errViolations means that a soak run has found violations of its rules.
var errViolations = errors.New("the soak found violations")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "inject faults around daemons, and check what callers and upstreams see",
		Description: "spanrill soak --seed 7 --minutes 2      one run\n" +
			"spanrill soak --seed 1 --seeds 50       fifty runs, one after another\n\n" +
			"The exit code is 1 if any rule was violated.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed `N` of the faults and their times"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "run `N` consecutive seeds, from --seed on"},
			&cli.FloatFlag{Name: "minutes", Value: 1, Usage: "inject faults for `M` minutes"},
			&cli.IntFlag{Name: "daemons", Value: soak.DefaultShape.Daemons, Usage: "run `N` daemons"},
			&cli.IntFlag{Name: "engines", Value: soak.DefaultShape.Engines, Usage: "run `N` engines of a model"},
			&cli.StringFlag{Name: "daemon", Usage: "run the program `FILE` as daemon, instead of building it from the module in this directory"},
			&cli.BoolFlag{Name: "json", Usage: "write the report as JSON, a line for each seed"},
			&cli.BoolFlag{Name: "quiet", Usage: "do not print the faults"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	length := time.Duration(c.Float("minutes") * float64(time.Minute))
	if length <= 0 || c.Int("seeds") < 1 || c.Int("daemons") < 1 || c.Int("engines") < 1 {
		return cli.Exit("minutes, seeds, daemons and engines must be greater than 0", exitBadInput)
	}
	program := c.String("daemon")
	if program == "" {
		dir, err := os.MkdirTemp("", "spanrilld-")
		if err != nil {
			return fmt.Errorf("create a directory for the daemon: %w", err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if program, err = soak.BuildDaemon(ctx, dir); err != nil {
			return err
		}
	}
	shape := soak.DefaultShape
	shape.Daemons, shape.Engines = c.Int("daemons"), c.Int("engines")
	out, violated := c.Root().Writer, false
	for i := range c.Int("seeds") {
		o := soak.Options{Seed: c.Uint64("seed") + uint64(i), Length: length, Daemon: []string{program, "gateway"}, Shape: shape}
		if !c.Bool("quiet") && !c.Bool("json") {
			o.Out = out
		}
		report, err := soakSeed(ctx, o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.Seed, err)
		}
		violated = violated || len(report.Violations) > 0
		if err := writeSoakReport(out, report, c.Bool("json")); err != nil {
			return err
		}
	}
	if violated {
		return errViolations
	}
	return nil
}

// soakSeed runs one seed. It removes the logs and settings of a run without violations.
func soakSeed(ctx context.Context, o soak.Options) (*soak.Report, error) {
	var err error
	if o.Dir, err = soak.MakeDir(o.Seed); err != nil {
		return nil, err
	}
	report, err := soak.Run(ctx, o)
	if err != nil {
		return nil, err
	}
	if len(report.Violations) == 0 {
		report.Logs = ""
		if err := os.RemoveAll(o.Dir); err != nil {
			return nil, fmt.Errorf("remove logs: %w", err)
		}
	}
	return report, nil
}

func writeSoakReport(w io.Writer, r *soak.Report, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(w).Encode(r); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		return nil
	}
	statuses := make([]string, 0, len(r.Statuses))
	for s := range r.Statuses {
		statuses = append(statuses, s)
	}
	sort.Strings(statuses)
	fmt.Fprintf(w, "seed %d: %d faults in %v, %d requests, %d violations\n", r.Seed, r.Steps, r.Length, r.Requests, len(r.Violations))
	for _, s := range statuses {
		fmt.Fprintf(w, "  %6d  %s\n", r.Statuses[s], s)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %s: %s at %v on %s: %s\n", v.Rule, v.Request, v.At, v.Daemon, v.Description)
	}
	if r.Logs != "" {
		fmt.Fprintf(w, "  logs and settings: %s\n", r.Logs)
	}
	return nil
}
