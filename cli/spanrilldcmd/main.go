// Package spanrilldcmd implements the command line of spanrilld, the daemon that routes requests.
// It reads the settings, sets up the log and runs the daemon or, with the subcommand gateway, the
// gateway of the users' platform.
//
// # Usage
//
//	os.Exit(spanrilldcmd.Main())
package spanrilldcmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"spanrill/daemon"
	"spanrill/gateway"
	"spanrill/settings"
)

// Exit codes of spanrilld.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

// Main runs spanrilld with os.Args and returns its exit code. The options apply to gateways.
func Main(opts ...gateway.Option) int {
	err := command(opts).Run(context.Background(), os.Args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	if coder, ok := err.(cli.ExitCoder); ok {
		return coder.ExitCode()
	}
	return exitFailed
}

func command(opts []gateway.Option) *cli.Command {
	return &cli.Command{
		Name:  "spanrilld",
		Usage: "route inference pipelines and plain services",
		Description: "spanrilld --settings spanrilld.json          run until SIGTERM, then drain\n" +
			"spanrilld --settings spanrilld.json --check  check the settings and exit\n\n" +
			"Exit codes: 0 stopped as planned or settings are valid, 1 failed, 2 settings are invalid.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE`", Local: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit", Local: true},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         run,
		Commands:       []*cli.Command{gatewayCommand(opts)},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	if c.String("settings") == "" {
		return cli.Exit("Required flag \"settings\" not set", exitBadSettings)
	}
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitBadSettings)
	}
	if c.Bool("check") {
		fmt.Fprintln(c.Root().Writer, "settings are right")
		return nil
	}
	log, err := newLogger(s.Log)
	if err != nil {
		return cli.Exit(err.Error(), exitBadSettings)
	}
	d, err := daemon.New(s, daemon.WithLogger(log))
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}

func newLogger(l settings.Log) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(l.Level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	log := logrus.New()
	log.SetLevel(level)
	if l.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
	}
	return log, nil
}

// logTimeFormat has milliseconds so that the lines of several daemons can be sorted by time: a
// request can log several lines within a second.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
