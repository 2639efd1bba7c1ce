package gateway

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/task"
)

// Run serves until the context ends or a part fails, then drains and stops.
func (g *Gateway) Run(ctx context.Context) error {
	defer close(g.done)
	events.DaemonStarted.Log(g.log, logrus.Fields{"listen": g.settings.Listen, "zone": g.settings.Zone, "peers": g.settings.Peers})
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks task.Group
	failed := make(chan error, 1)
	leasing, handBack := context.WithCancel(work)
	defer handBack()
	held := tasks.Start(leasing, "lease", g.lease.Run)
	for name, part := range g.parts() {
		tasks.Start(work, name, func(ctx context.Context) error { return g.runPart(ctx, name, part, failed) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	handBack()
	g.drain()
	cancel()
	g.close()
	select {
	case <-held.Done():
	case <-g.clock.After(endWait):
	}
	if stopped := g.await(&tasks); err == nil {
		err = stopped
	}
	events.DaemonStopped.Log(g.log, nil)
	return err
}

// await waits for the parts that run, for a while.
func (g *Gateway) await(tasks *task.Group) error {
	ended := make(chan error, 1)
	go func() { ended <- tasks.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-g.clock.After(endWait):
		return nil
	}
}

// parts are the long-running parts by name.
func (g *Gateway) parts() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"configuration": g.configs.Run,
		"upstreams":     g.upstreams.Run,
		"peers":         g.peers.run,
		"exchange":      g.exchange.Run,
		"placement":     g.placer.Run,
		"suspects":      g.keeper.Run,
		"callers gone":  g.relay.Run,
		"upkeep":        g.upkeep,
		"readiness":     g.serveReady,
		"callers":       g.serveCallers,
		"metrics":       g.serveMetrics,
	}
}

func (g *Gateway) runPart(ctx context.Context, name string, part func(context.Context) error, failed chan<- error) error {
	err := part(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	events.PartFailed.Log(g.log, logrus.Fields{"part": name, "error": err})
	select {
	case failed <- fmt.Errorf("part %s: %w", name, err):
	default:
	}
	return err
}

// upkeep does what becomes due with time.
func (g *Gateway) upkeep(ctx context.Context) error {
	for ctx.Err() == nil {
		g.fleet.Maintain()
		g.prober.Recheck(ctx, g.fleet)
		g.names.Resolve(ctx, g.fleet)
		g.noteFreshness()
		g.noteOdd()
		g.noteEra()
		g.noteAccepting()
		g.noteDropped()
		daemons := len(g.peers.list.Live())
		g.daemons.Store(int64(daemons))
		g.router.SetFleet(daemons, g.exchange.AggregationRounds(), g.exchange.Settled())
		g.router.SetStarting(g.starting() && g.clock.Now()-g.startedAt < crowdTime)
		g.router.SetDemand(g.budgets.Demand())
		select {
		case <-ctx.Done():
		case <-g.clock.After(upkeepGap):
		}
	}
	g.names.Wait()
	return ctx.Err()
}

// crowdTime is how long after its start a daemon gives each chain its part of the room:
// callers that lost all daemons at once are back within it. Later a daemon does not know
// the fleet only because others join, and chains are chosen as in calm: where daemons were
// restarted in turn every 2 s, requests were given out by room for three quarters of the
// time, on slow chains too.
const crowdTime = 3 * spanrill.Second

// endWait bounds the wait for the parts at the end: a call that hangs must not
// keep the process until it is killed.
const endWait spanrill.Millis = 300

// upkeepGap is how often what has become due is looked for.
const upkeepGap spanrill.Millis = 100
