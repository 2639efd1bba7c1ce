package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spanrill/platform"
	"spanrill/platform/platformtest"
	"spanrill/settings"
)

// gateway is a gateway daemon in a separate process, in front of a plain service.
type gateway struct {
	t        *testing.T
	settings settings.Gateway
	cmd      *exec.Cmd
	exited   chan error
	logs     string // path
	fleet    *platformtest.Fleet
}

func newGateway(t *testing.T) *gateway {
	t.Helper()
	store := platformtest.NewStore()
	addr, err := store.Listen()
	g := &gateway{t: t, settings: settings.DefaultGateway(), fleet: platformtest.NewFleet(store, 1), exited: make(chan error, 1)}
	g.check(err)
	t.Cleanup(store.Close)
	e, err := g.fleet.Start("p-0", "readings", testZone, "")
	g.check(err)
	t.Cleanup(e.Kill)
	store.Set("config", "main", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "readings", "health_path": "/healthz"}},
		"routes": []any{map[string]any{
			"name": "open", "host": "api.example", "path_prefix": "/open/", "service": "readings", "kind": "safe",
			"timeout_ms": 8000, "target_latency_ms": 800, "max_attempts": 2, "auth_exempt": true,
		}},
	})
	ip := nextIP()
	s := &g.settings
	s.Name, s.Zone, s.Platform, s.FleetSecret = "front-1", testZone, addr, testSecret
	s.Listen, s.ReadyListen, s.PeerListen, s.MetricsListen = ip+":9001", ip+":9201", ip+":9401", ip+":9601"
	s.Bounds.Revoke, s.Bounds.Grace = 5000, 8000
	return g
}

func (g *gateway) check(err error) {
	g.t.Helper()
	if err != nil {
		g.t.Fatal(err)
	}
}

// start starts the process. After a failed test its log is printed.
func (g *gateway) start() {
	g.t.Helper()
	s := g.settings
	data, err := json.Marshal(map[string]any{
		"name": s.Name, "availability_zone": s.Zone, "platform": s.Platform, "fleet_secret": s.FleetSecret,
		"listen": s.Listen, "ready_listen": s.ReadyListen, "peer_listen": s.PeerListen, "metrics_listen": s.MetricsListen,
		"bounds": map[string]any{"revoke_ms": s.Bounds.Revoke, "grace_ms": s.Bounds.Grace},
	})
	g.check(err)
	dir := g.t.TempDir()
	file := filepath.Join(dir, "settings.json")
	g.check(os.WriteFile(file, data, 0o600))
	g.logs = filepath.Join(dir, "log")
	out, err := os.Create(g.logs)
	g.check(err)
	g.cmd = exec.Command("spanrilld", "gateway", "--settings", file)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.check(g.cmd.Start())
	go func() { g.exited <- g.cmd.Wait() }()
	g.t.Cleanup(func() {
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		_ = g.cmd.Process.Kill()
		if g.t.Failed() {
			g.t.Logf("logs:\n%s", tail([]byte(g.log()), 6000))
		}
	})
}

func (g *gateway) log() string {
	data, err := os.ReadFile(g.logs)
	g.check(err)
	return string(data)
}

// await waits until a condition holds and fails the test after awaitLimit.
func (g *gateway) await(condition string, isMet func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(awaitLimit)
	for !isMet() {
		if time.Now().After(deadline) {
			g.t.Fatalf("condition not met in time: %s", condition)
		}
		<-time.After(10 * time.Millisecond)
	}
}

// readyStatus returns the status of a readiness request, as the balancer sends it, or 0
// without an answer. An idle connection is reused if there is one.
func (g *gateway) readyStatus() int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.settings.ReadyListen + platform.ReadyPath)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// limitDescriptors sets the number of descriptors that the process may open and returns
// the previous limit.
func (g *gateway) limitDescriptors(n uint64) uint64 {
	g.t.Helper()
	var previous unix.Rlimit
	g.check(unix.Prlimit(g.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &previous))
	g.check(unix.Prlimit(g.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: previous.Max}, nil))
	return previous.Cur
}

// callerPool runs callers that connect continuously and a balancer that checks
// readiness. A caller that connects while the daemon reports that it is ready must get
// an answer.
type callerPool struct {
	gateway         *gateway
	mu              sync.Mutex
	readinessChecks []readinessCheck // in order of time
	failures        []failedCall
	served          int
	cancel          context.CancelFunc
	wait            sync.WaitGroup
}

type readinessCheck struct {
	start, end time.Time
	ready      bool
}

type failedCall struct {
	start, end time.Time
	err        error
}

const (
	callerCount    = 200
	callPause      = 100 * time.Millisecond // between two calls of a caller
	readinessPause = 20 * time.Millisecond
	// callTimeout is how long callers wait for a connection, and then for the first byte of
	// the answer, as callers of the users' platform do.
	callTimeout = time.Second
)

func (g *gateway) startCallers() *callerPool {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callerPool{gateway: g, cancel: cancel}
	c.repeat(ctx, readinessPause, c.checkReadiness)
	for range callerCount {
		c.repeat(ctx, callPause, c.call)
	}
	g.t.Cleanup(c.stop)
	return c
}

// repeat runs a step repeatedly, with a pause, until the context is done.
func (c *callerPool) repeat(ctx context.Context, pause time.Duration, step func()) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		for ctx.Err() == nil {
			step()
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}()
}

func (c *callerPool) stop() {
	c.cancel()
	c.wait.Wait()
}

func (c *callerPool) checkReadiness() {
	start := time.Now()
	ready := c.gateway.readyStatus() == http.StatusOK
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readinessChecks = append(c.readinessChecks, readinessCheck{start: start, end: time.Now(), ready: ready})
}

// call opens a connection, sends one request and records whether any answer came.
func (c *callerPool) call() {
	start := time.Now()
	err := c.gateway.call()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failures = append(c.failures, failedCall{start: start, end: time.Now(), err: err})
		return
	}
	c.served++
}

// call sends one request over a new connection. It returns an error unless the
// connection opens within callTimeout and an answer begins within another callTimeout.
func (g *gateway) call() error {
	conn, err := net.DialTimeout("tcp", g.settings.Listen, callTimeout)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	if _, err := fmt.Fprintf(conn, "GET /open/x HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r\r\nConnection: close\r\n\r\n"); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}

// awaitMoreAnswers waits until 2*callerCount more calls are answered.
func (c *callerPool) awaitMoreAnswers(phase string) {
	c.gateway.t.Helper()
	before := c.answerCount()
	c.gateway.await("callers are answered: "+phase, func() bool { return c.answerCount() >= before+2*callerCount })
}

func (c *callerPool) answerCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// checkNoFailureWhileReady checks that no call failed while the daemon reported readiness
// throughout, from the last check before the call to the first one after it.
func (c *callerPool) checkNoFailureWhileReady() {
	c.gateway.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.failures {
		readyBefore, readyDuring, readyAfter := false, true, false
		for _, check := range c.readinessChecks {
			switch {
			case !check.end.After(f.start):
				readyBefore = check.ready
			case !check.start.Before(f.end):
				if !readyAfter {
					readyDuring = readyDuring && check.ready
				}
				readyAfter = true
			default:
				readyDuring = readyDuring && check.ready
			}
		}
		if readyBefore && readyDuring && readyAfter {
			c.gateway.t.Errorf("a call failed although the daemon reported readiness throughout: %v", f.err)
		}
	}
	c.gateway.t.Logf("%d calls answered, %d failed, %d readiness checks", c.served, len(c.failures), len(c.readinessChecks))
}

// A daemon that reports readiness accepts new connections while it starts, reloads its
// settings, runs out of descriptors and stops.
func TestReadyDaemonAcceptsConnections(t *testing.T) {
	t.Parallel()
	g := newGateway(t)
	c := g.startCallers()
	g.start()
	c.awaitMoreAnswers("at the start")
	for range 5 {
		g.check(g.cmd.Process.Signal(syscall.SIGHUP))
	}
	g.await("the settings are reloaded", func() bool { return strings.Contains(g.log(), `"event":106,`) })
	c.awaitMoreAnswers("after the settings were reloaded")
	before := g.limitDescriptors(1)
	g.await("the daemon logs that it cannot accept connections", func() bool { return strings.Contains(g.log(), `"event":107,`) })
	g.await("readiness fails", func() bool { return g.readyStatus() == http.StatusServiceUnavailable })
	g.limitDescriptors(before)
	g.await("the daemon is ready again", func() bool { return g.readyStatus() == http.StatusOK })
	c.awaitMoreAnswers("after the descriptor limit was raised")
	g.check(g.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-g.exited:
		g.check(err)
	case <-time.After(awaitLimit):
		t.Fatal("the daemon did not exit in time")
	}
	c.stop()
	c.checkNoFailureWhileReady()
}

// A request whose caller disconnects while the process is frozen, before the request is
// read, reaches no upstream.
func TestCallerDisconnectsBeforeItsRequestIsRead(t *testing.T) {
	t.Parallel()
	g := newGateway(t)
	g.start()
	g.await("the daemon is ready", func() bool { return g.readyStatus() == http.StatusOK })
	g.await("a request is answered", func() bool { return g.call() == nil && g.fleet.Work("r").Arrivals > 0 })
	g.check(g.cmd.Process.Signal(syscall.SIGSTOP))
	const callers = 20
	for i := range callers {
		conn, err := net.DialTimeout("tcp", g.settings.Listen, callTimeout)
		g.check(err)
		_, err = fmt.Fprintf(conn, "GET /open/x HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: left-%d\r\n\r\n", i)
		g.check(err)
		g.check(conn.Close())
	}
	g.check(g.cmd.Process.Signal(syscall.SIGCONT))
	g.await("all disconnected callers are logged", func() bool { return strings.Count(g.log(), `"event":627,`) >= callers })
	for i := range callers {
		if n := g.fleet.Work(fmt.Sprintf("left-%d", i)).Arrivals; n > 0 {
			t.Errorf("request %d of a disconnected caller reached an upstream %d times, want never", i, n)
		}
	}
}
