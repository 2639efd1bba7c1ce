package spanrilldcmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"spanrill/clock"
	"spanrill/events"
	"spanrill/gateway"
	"spanrill/platform"
	"spanrill/settings"
)

func gatewayCommand(opts []gateway.Option) *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "route requests on the users' platform",
		Description: "spanrilld gateway --settings FILE          run until SIGTERM, then drain\n" +
			"spanrilld gateway --settings FILE --check  check the settings and exit",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "read settings from `FILE`", Sources: cli.EnvVars(platform.SettingsPathVariable)},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runGateway(ctx, c, opts) },
	}
}

const (
	// memoryLimitPercent is the percentage of the configured memory that is set as the soft memory
	// limit of the Go runtime. The rest is for kernel buffers.
	memoryLimitPercent = 60
	megabyte           = 1 << 20
	// logFlushTimeout bounds the wait for queued log lines when the process stops.
	logFlushTimeout = 300 * time.Millisecond
)

func runGateway(ctx context.Context, c *cli.Command, opts []gateway.Option) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT) // before all else, so that a signal during startup does not kill the process
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := settings.LoadGateway(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitBadSettings)
	}
	if c.Bool("check") {
		fmt.Fprintln(c.Root().Writer, "settings are right")
		return nil
	}
	tuningCtx, stopTuning := context.WithCancel(context.WithoutCancel(ctx))
	tuningDone := startMemoryTuning(tuningCtx, clock.NewSystem())
	defer func() {
		stopTuning()
		<-tuningDone
	}()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) * megabyte * memoryLimitPercent / 100)
	}
	writer := events.NewWriter(os.Stdout)
	log, err := newLogger(settings.Log{Level: s.Log.Level, Format: "json"})
	if err != nil {
		return cli.Exit(err.Error(), exitBadSettings)
	}
	log.SetOutput(writer)
	g, err := gateway.New(s, platform.New, append([]gateway.Option{gateway.WithLogger(log), gateway.WithDroppedLines(writer.Dropped)}, opts...)...)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	checkSettingsOnHangup(ctx, hangups, c.String("settings"), log)
	err = g.Run(ctx)
	timeout := make(chan struct{})
	time.AfterFunc(logFlushTimeout, func() { close(timeout) })
	if closeErr := writer.Close(timeout); closeErr != nil && err == nil {
		return nil // the lines are lost: nobody reads the output and the process has to end
	}
	return err
}

// checkSettingsOnHangup validates the settings file again on every SIGHUP and logs the result.
// A running gateway does not apply the new settings: its addresses must not change while callers
// use them, and its limits, which the operator sets, hold for the life of a process.
func checkSettingsOnHangup(ctx context.Context, hangups <-chan os.Signal, path string, log logrus.FieldLogger) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				_, err := settings.LoadGateway(path)
				events.SettingsReloaded.Log(log, logrus.Fields{"file": path, "error": err})
			}
		}
	}()
}
