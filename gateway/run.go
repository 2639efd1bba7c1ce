package gateway

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/task"
)

// Run serves until the context ends or a component fails, then drains and stops.
func (g *Gateway) Run(ctx context.Context) error {
	defer close(g.done)
	events.DaemonStarted.Log(g.log, logrus.Fields{"listen": g.settings.Listen, "zone": g.settings.Zone, "peers": g.settings.Peers})
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks task.Group
	failed := make(chan error, 1)
	leaseCtx, releaseLease := context.WithCancel(work)
	defer releaseLease()
	leaseTask := tasks.Start(leaseCtx, "lease", g.lease.Run)
	for name, run := range g.components() {
		tasks.Start(work, name, func(ctx context.Context) error { return g.runComponent(ctx, name, run, failed) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	releaseLease()
	g.drain()
	cancel()
	g.close()
	select {
	case <-leaseTask.Done():
	case <-g.clock.After(stopTimeout):
	}
	if stopped := g.await(&tasks); err == nil {
		err = stopped
	}
	events.DaemonStopped.Log(g.log, nil)
	return err
}

// await waits for the components to end, for stopTimeout at most.
func (g *Gateway) await(tasks *task.Group) error {
	ended := make(chan error, 1)
	go func() { ended <- tasks.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-g.clock.After(stopTimeout):
		return nil
	}
}

// components returns the long-running components by name.
func (g *Gateway) components() map[string]func(context.Context) error {
	all := map[string]func(context.Context) error{
		"configuration": g.configFollower.Run,
		"upstreams":     g.upstreamFollower.Run,
		"peers":         g.peers.run,
		"exchange":      g.exchange.Run,
		"placement":     g.placer.Run,
		"suspects":      g.suspectKeeper.Run,
		"relay":         g.relay.Run,
		"paths":         g.upstreamDialer.Run,
		"tunnels":       g.serveTunnels,
		"upkeep":        g.upkeep,
		"stalls":        g.stalls.Run,
		"turns":         g.turns.Run,
		"readiness":     g.serveReady,
		"callers":       g.serveCallers,
		"metrics":       g.serveMetrics,
	}
	if g.room != nil {
		all["room granter"], all["room client"] = g.room.granter.Run, g.room.client.Run
		all["room notices"] = g.room.peers.notices.run
	}
	return all
}

func (g *Gateway) runComponent(ctx context.Context, name string, run func(context.Context) error, failed chan<- error) error {
	err := run(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	events.ComponentFailed.Log(g.log, logrus.Fields{"part": name, "error": err})
	select {
	case failed <- fmt.Errorf("component %s: %w", name, err):
	default:
	}
	return err
}

// upkeep runs the periodic maintenance.
func (g *Gateway) upkeep(ctx context.Context) error {
	for ctx.Err() == nil {
		g.fleet.Maintain()
		g.prober.Recheck(ctx, g.fleet)
		g.resolver.Resolve(ctx, g.fleet)
		g.logFreshness()
		g.logIgnoredValues()
		g.room.logDivision()
		g.logEraChange()
		g.logAccepting()
		g.logDroppedLines()
		daemons := len(g.peers.list.Live())
		g.liveDaemons.Store(int64(daemons))
		g.router.SetFleet(daemons, g.exchange.AggregationRounds(), g.exchange.FleetSizeKnown())
		g.router.SetStarting(g.isStarting() && g.clock.Now()-g.startedAt < callerReturnTime)
		g.router.SetDemand(g.budgets.Demand())
		select {
		case <-ctx.Done():
		case <-g.clock.After(upkeepInterval):
		}
	}
	g.resolver.Wait()
	return ctx.Err()
}

// callerReturnTime is how long after its start a daemon may distribute requests over the chains by
// their capacity. Callers that lost all daemons at once have returned by then; a daemon that still
// counts as starting later only sees others join. Without this limit, a fleet whose daemons are
// restarted in turn would distribute by capacity most of the time, and so use slow chains too.
const callerReturnTime = 3 * spanrill.Second

// stopTimeout bounds the wait for the components to end, so that a call that hangs does not keep
// the process running until it is killed.
const stopTimeout spanrill.Millis = 300

// upkeepInterval is the pause between two maintenance passes.
const upkeepInterval spanrill.Millis = 100
