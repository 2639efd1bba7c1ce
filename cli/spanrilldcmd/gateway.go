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

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "route on the users' platform",
		Description: "spanrilld gateway --settings FILE          run until SIGTERM, then drain\n" +
			"spanrilld gateway --settings FILE --check  check the settings and exit",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "read settings from `FILE`", Sources: cli.EnvVars(platform.SettingsPathVariable)},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: runGateway,
	}
}

const (
	// memoryShare is the part of the memory limit at which the collector works
	// harder, in hundredths: the rest is for buffers of the kernel.
	memoryShare = 60
	megabyte    = 1 << 20
	// logsWait bounds the wait for log lines that are still queued at the end.
	logsWait = 300 * time.Millisecond
)

func runGateway(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT) // first: a signal while it starts must not kill it
	defer stop()
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	s, err := settings.LoadGateway(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitBadSettings)
	}
	if c.Bool("check") {
		fmt.Fprintln(c.Root().Writer, "settings are right")
		return nil
	}
	tuning, endTuning := context.WithCancel(context.WithoutCancel(ctx))
	tuned := tuneCollector(tuning, clock.NewSystem())
	defer func() {
		endTuning()
		<-tuned
	}()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) * megabyte * memoryShare / 100)
	}
	writer := events.NewWriter(os.Stdout)
	log, err := newLogger(settings.Log{Level: s.Log.Level, Format: "json"})
	if err != nil {
		return cli.Exit(err.Error(), exitBadSettings)
	}
	log.SetOutput(writer)
	g, err := gateway.New(s, platform.New, gateway.WithLogger(log), gateway.WithDroppedLines(writer.Dropped))
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	watchReload(ctx, hups, c.String("settings"), log)
	err = g.Run(ctx)
	limit := make(chan struct{})
	time.AfterFunc(logsWait, func() { close(limit) })
	if left := writer.Close(limit); left != nil && err == nil {
		return nil // the process ends; lines that nobody reads are lost
	}
	return err
}

// watchReload checks the settings again when the process is told that they have
// changed. What a running gateway uses of them stays as it was at its start:
// its addresses cannot change under its callers, and its bounds are the
// operator's for the life of a process.
func watchReload(ctx context.Context, hups <-chan os.Signal, path string, log logrus.FieldLogger) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hups:
				_, err := settings.LoadGateway(path)
				events.SettingsReloaded.Log(log, logrus.Fields{"file": path, "error": err})
			}
		}
	}()
}
