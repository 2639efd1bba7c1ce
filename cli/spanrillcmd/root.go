// Package spanrillcmd implements the command line of spanrill, the operators' tool. Its subcommands
// edit the configuration, show the state of a fleet, read logs, and run benchmarks and fault tests.
//
// # Usage
//
//	os.Exit(spanrillcmd.Main())
package spanrillcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"spanrill"
	"spanrill/checked"
	"spanrill/protocol/objectapi"
	"spanrill/state/config"
	"spanrill/transport/httpcall"
)

// Exit codes of the tool.
const (
	exitFailed         = 1 // failed; nothing was changed
	exitBadInput       = 2 // the input is invalid
	exitConflict       = 3 // another edit was accepted first
	exitUnavailable    = 4 // the platform or a daemon is unavailable; nothing was changed
	exitUnknownOutcome = 5 // it is unknown whether the edit was accepted
	exitNotInForce     = 6 // accepted, but not in force on all boxes before the timeout
)

const exitCodeHelp = `Exit codes:
   0  done
   1  failed; nothing was changed
   2  the input is invalid
   3  conflict: another edit was accepted first
   4  the platform or a daemon is unavailable; nothing was changed
   5  it is unknown whether the edit was accepted
   6  accepted, but not in force on all boxes before the timeout`

// Main runs the tool with os.Args and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := command().Run(ctx, os.Args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "spanrill:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var problems checked.Problems
	var conflict *config.Conflict
	var coder cli.ExitCoder
	switch {
	case errors.As(err, &coder):
		return coder.ExitCode()
	case errors.As(err, &problems):
		return exitBadInput
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, config.ErrUnknownOutcome):
		return exitUnknownOutcome
	case errors.Is(err, spanrill.ErrUnavailable):
		return exitUnavailable
	}
	return exitFailed
}

const (
	flagPlatform = "platform"
	flagJSON     = "json"
	flagGateways = "gateways"
	flagGateway  = "gateway"
)

func command() *cli.Command {
	return &cli.Command{
		Name:                  "spanrill",
		Usage:                 "operate a fleet of spanrill daemons",
		Description:           exitCodeHelp,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: flagPlatform, Usage: "the platform's object API at `ADDR`",
				Sources: cli.EnvVars("SPANRILL_PLATFORM"),
			},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			getCommand(), editCommand(), diffCommand(), historyCommand(), validateCommand(),
			statusCommand(), explainCommand(), traceCommand(), roomCommand(), lossesCommand(), planCommand(), drainCommand(), demoCommand(), benchCommand(), soakCommand(), settingsCommand(), schemaCommand(), hashKeyCommand(),
		},
	}
}

// platformClient returns a client of the platform's object API at the address from the flags.
func platformClient(c *cli.Command) (*objectapi.Client, error) {
	addr := c.String(flagPlatform)
	if addr == "" {
		return nil, cli.Exit("name the platform with --platform ADDR or SPANRILL_PLATFORM", exitBadInput)
	}
	return objectapi.New(addr, httpcall.New()), nil
}

func printJSON(c *cli.Command, v any) error {
	enc := json.NewEncoder(c.Root().Writer)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}

func printf(c *cli.Command, format string, args ...any) {
	fmt.Fprintf(c.Root().Writer, format, args...)
}
