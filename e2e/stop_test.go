package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"spanrill"
	"spanrill/platform/platformtest"
)

const (
	stopInterval = 100 * time.Millisecond // between requests of a kind during a planned stop
	stopWork     = 300 * time.Millisecond // of a short request
	stopDeadline = 20 * time.Second       // of each request, longer than any grace
)

// stopPaths are paths of short requests, and of requests that last longer than a planned stop: those that
// may be repeated, those that may run once, and streams.
var stopPaths = []string{"/safe/short/", "/once/short/", "/events/short/", "/safe/long/", "/once/long/", "/events/long/"}

// startStopServices starts a plain service for each of stopPaths, and a route to it.
func (g *gateway) startStopServices(store *platformtest.Store) {
	g.t.Helper()
	faults := map[string]platformtest.EngineFaults{"short": {AnswerAfter: stopWork}, "long": {Hang: true}}
	kinds := map[string]string{"safe": "safe", "once": "unsafe", "events": "stream"}
	var services, routes []any
	for _, path := range stopPaths {
		name := strings.ReplaceAll(strings.Trim(path, "/"), "/", "-")
		kind, length, _ := strings.Cut(name, "-")
		e, err := g.fleet.Start(name, name, testZone, "")
		g.check(err)
		g.t.Cleanup(e.Kill)
		e.SetFaults(faults[length])
		if name == "events-long" {
			e.SetFaults(platformtest.EngineFaults{Endless: true})
		}
		services = append(services, map[string]any{"name": name, "health_path": "/healthz"})
		routes = append(routes, platformtest.Route(name, path, name, kinds[kind], int(stopDeadline.Milliseconds()), map[string]any{"auth_exempt": true, "target_latency_ms": 0}))
	}
	store.Set("config", "main", map[string]any{"version": 2, "services": services, "routes": routes})
}

// stopCall is a request that began during a planned stop.
type stopCall struct {
	id, path string
	after    time.Duration // from the signal
	reply    platformtest.Reply
}

// callDuringStop sends requests at stopInterval from the signal on until the grace has passed, each on a
// connection of its own that has served one before. It returns them when the process has ended.
func (g *gateway) callDuringStop(grace time.Duration) []stopCall {
	g.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := make([]*platformtest.Caller, int(grace/stopInterval)*len(stopPaths))
	var running sync.WaitGroup
	for i := range callers {
		callers[i] = platformtest.NewCaller()
		defer callers[i].Close()
		running.Go(func() {
			if r := callers[i].Call(ctx, g.settings.Listen, "/safe/short/", fmt.Sprint("before-", i), "", "hello", stopDeadline); r.Status != http.StatusOK {
				g.t.Errorf("before the stop: status %d, error %v", r.Status, r.Err)
			}
		})
	}
	running.Wait()
	calls := make([]stopCall, len(callers))
	signaled := time.Now()
	g.check(g.cmd.Process.Signal(syscall.SIGTERM))
	ticks := time.NewTicker(stopInterval)
	defer ticks.Stop()
	for i, c := range callers {
		path := stopPaths[i%len(stopPaths)]
		calls[i] = stopCall{id: fmt.Sprint("stop-", i), path: path, after: time.Since(signaled)}
		running.Go(func() {
			calls[i].reply = c.Call(ctx, g.settings.Listen, path, calls[i].id, "", "hello", stopDeadline)
		})
		if i%len(stopPaths) == len(stopPaths)-1 {
			<-ticks.C
		}
	}
	select {
	case err := <-g.exited:
		g.check(err)
	case <-time.After(awaitLimit):
		g.t.Fatal("the daemon did not exit in time")
	}
	running.Wait()
	return calls
}

// Guards against requests that are read during a planned stop and cut at its end: each one is answered, or
// has not run, or is a stream that visibly breaks off because its engine was still at work.
func TestPlannedStopAnswersRequests(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			g := newGateway(t)
			g.startStopServices(g.fleet.Store)
			g.settings.Bounds.Grace = spanrill.Millis(grace.Milliseconds())
			g.start()
			g.await("the daemon is ready", func() bool { return g.readyStatus() == http.StatusOK })
			answers := map[string]int{}
			for _, c := range g.callDuringStop(grace) {
				r, runs := c.reply, g.fleet.Runs(c.id)
				answers[fmt.Sprint(c.path, " ", r.Status, " ", r.Err == nil)]++
				switch {
				case r.Status == 0 && runs > 0:
					t.Errorf("%s after %v: cut without an answer after %v: %v", c.path, c.after, r.Elapsed, r.Err)
				case r.Status == http.StatusServiceUnavailable && runs > 0:
					t.Errorf("%s after %v: ran %d times and got 503", c.path, c.after, runs)
				case r.Status != 0 && r.Err != nil && c.path != "/events/long/":
					t.Errorf("%s after %v: status %d and %d bytes, then %v", c.path, c.after, r.Status, len(r.Body), r.Err)
				case r.Status == http.StatusOK && r.Err == nil && strings.HasSuffix(c.path, "/long/"):
					t.Errorf("%s after %v: status %d although it does not end", c.path, c.after, r.Status)
				}
			}
			t.Logf("paths, statuses and whether the answer was whole: %v", answers)
		})
	}
}
