// Package standincmd implements the command line of spanrill-standin, which runs one stand-in for a
// system around spanrill: the platform, an engine, a plain service or a proxy that injects faults.
//
// # Usage
//
//	os.Exit(standincmd.Main())
package standincmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"spanrill"
	"spanrill/standin/engine"
	"spanrill/standin/faultproxy"
	"spanrill/standin/model"
	"spanrill/standin/platform"
	"spanrill/standin/service"
)

// Main runs a stand-in with os.Args and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func command() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Required: true, Usage: "serve on `ADDR`"}
	name := &cli.StringFlag{Name: "name", Required: true, Usage: "the box's `NAME`"}
	return &cli.Command{
		Name:  "spanrill-standin",
		Usage: "stand-ins for the systems around spanrill, for trials and tests",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "the object API and the box list",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "boxes", Usage: "read the initial box list from `FILE`"},
					&cli.DurationFlag{Name: "box-lag", Usage: "delay until the box list shows a change"},
				},
				Action: runPlatform,
			},
			{
				Name: "engine", Usage: "a model engine that holds a range of layers",
				Flags: []cli.Flag{
					listen, name,
					&cli.StringFlag{Name: "model", Required: true, Usage: "the model's `NAME`"},
					&cli.StringFlag{Name: "version", Value: "1", Usage: "the model's version"},
					&cli.IntFlag{Name: "model-layers", Required: true, Usage: "layers of the whole model"},
					&cli.IntFlag{Name: "from", Usage: "first layer held"},
					&cli.IntFlag{Name: "to", Required: true, Usage: "layer after the last one held"},
					&cli.DurationFlag{Name: "step", Value: engine.DefaultAccelerator.BaseTime, Usage: "base time of a batch step"},
					&cli.IntFlag{Name: "slots", Value: engine.DefaultAccelerator.Slots, Usage: "streams in one batch step"},
					&cli.StringFlag{Name: "kind", Value: engine.DefaultAccelerator.Kind, Usage: "the accelerator's kind"},
				},
				Action: runEngine,
			},
			{
				Name: "service", Usage: "a plain service that counts its runs",
				Flags: []cli.Flag{listen, name}, Action: runService,
			},
			{
				Name: "proxy", Usage: "a TCP proxy that injects faults",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "to", Required: true, Usage: "forward connections to `ADDR`"},
					&cli.StringFlag{Name: "control", Required: true, Usage: "accept fault commands on `ADDR`"},
				},
				Action: runProxy,
			},
		},
	}
}

// serve starts a stand-in with listen, prints its address and runs it until ctx ends.
func serve(ctx context.Context, addr string, listen func(string) (string, error), stop func()) error {
	boundAddr, err := listen(addr)
	if err != nil {
		return fmt.Errorf("start stand-in: %w", err)
	}
	fmt.Println("listening on", boundAddr)
	<-ctx.Done()
	stop()
	return nil
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	p := platform.New(platform.WithBoxLag(c.Duration("box-lag")))
	if file := c.String("boxes"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read box list: %w", err)
		}
		var boxes []spanrill.Box
		if err := json.Unmarshal(data, &boxes); err != nil {
			return fmt.Errorf("decode box list: %w", err)
		}
		p.SetBoxes(boxes)
	}
	return serve(ctx, c.String("listen"), p.Listen, p.Close)
}

func runEngine(ctx context.Context, c *cli.Command) error {
	accelerator := engine.DefaultAccelerator
	accelerator.Kind, accelerator.Slots, accelerator.BaseTime = c.String("kind"), c.Int("slots"), c.Duration("step")
	spec := model.Spec{Name: c.String("model"), Version: c.String("version"), Layers: c.Int("model-layers")}
	layers := spanrill.LayerRange{From: c.Int("from"), To: c.Int("to")}
	e := engine.New(c.String("name"), engine.WithModel(spec, layers), engine.WithAccelerator(accelerator),
		engine.WithReportLag(200*time.Millisecond))
	return serve(ctx, c.String("listen"), e.Listen, e.Close)
}

func runService(ctx context.Context, c *cli.Command) error {
	s := service.New(c.String("name"))
	return serve(ctx, c.String("listen"), s.Listen, s.Close)
}

func runProxy(ctx context.Context, c *cli.Command) error {
	p := faultproxy.New(c.String("to"))
	if _, err := p.ListenControl(c.String("control")); err != nil {
		return fmt.Errorf("serve fault commands: %w", err)
	}
	return serve(ctx, c.String("listen"), p.Listen, p.Close)
}
