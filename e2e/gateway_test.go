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

// router is a gateway that runs as a process of its own, before a plain service.
type router struct {
	t        *testing.T
	settings settings.Gateway
	cmd      *exec.Cmd
	exited   chan error
	logs     string // path
	fleet    *platformtest.Fleet
}

func newRouter(t *testing.T) *router {
	t.Helper()
	store := platformtest.NewStore()
	addr, err := store.Listen()
	r := &router{t: t, settings: settings.DefaultGateway(), fleet: platformtest.NewFleet(store, 1), exited: make(chan error, 1)}
	r.check(err)
	t.Cleanup(store.Close)
	e, err := r.fleet.Start("p-0", "readings", testZone, "")
	r.check(err)
	t.Cleanup(e.Kill)
	store.Set("config", "main", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "readings", "health_path": "/healthz"}},
		"routes": []any{map[string]any{
			"name": "open", "host": "api.example", "path_prefix": "/open/", "service": "readings", "kind": "safe",
			"timeout_ms": 8000, "target_latency_ms": 800, "max_attempts": 2, "auth_exempt": true,
		}},
	})
	ip := nextIP()
	s := &r.settings
	s.Name, s.Zone, s.Platform, s.FleetSecret = "front-1", testZone, addr, testSecret
	s.Listen, s.ReadyListen, s.PeerListen, s.MetricsListen = ip+":9001", ip+":9201", ip+":9401", ip+":9601"
	s.Bounds.Revoke, s.Bounds.Grace = 5000, 8000
	return r
}

func (r *router) check(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// start starts the process.
func (r *router) start() {
	r.t.Helper()
	s := r.settings
	data, err := json.Marshal(map[string]any{
		"name": s.Name, "availability_zone": s.Zone, "platform": s.Platform, "fleet_secret": s.FleetSecret,
		"listen": s.Listen, "ready_listen": s.ReadyListen, "peer_listen": s.PeerListen, "metrics_listen": s.MetricsListen,
		"bounds": map[string]any{"revoke_ms": s.Bounds.Revoke, "grace_ms": s.Bounds.Grace},
	})
	r.check(err)
	dir := r.t.TempDir()
	file := filepath.Join(dir, "settings.json")
	r.check(os.WriteFile(file, data, 0o600))
	r.logs = filepath.Join(dir, "log")
	out, err := os.Create(r.logs)
	r.check(err)
	r.cmd = exec.Command("spanrilld", "gateway", "--settings", file)
	r.cmd.Stdout, r.cmd.Stderr = out, out
	r.check(r.cmd.Start())
	go func() { r.exited <- r.cmd.Wait() }()
	r.t.Cleanup(func() {
		_ = r.cmd.Process.Signal(syscall.SIGCONT)
		_ = r.cmd.Process.Kill()
		if r.t.Failed() {
			r.t.Logf("logs:\n%s", tail([]byte(r.log()), 6000))
		}
	})
}

func (r *router) log() string {
	data, err := os.ReadFile(r.logs)
	r.check(err)
	return string(data)
}

// await waits until a condition holds.
func (r *router) await(what string, holds func() bool) {
	r.t.Helper()
	limit := time.Now().Add(awaitLimit)
	for !holds() {
		if time.Now().After(limit) {
			r.t.Fatalf("not in time: %s", what)
		}
		<-time.After(10 * time.Millisecond)
	}
}

// ready asks for readiness, as the balancer does. A kept connection is used where
// there is one.
func (r *router) ready() int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.settings.ReadyListen + platform.ReadyPath)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// limitDescriptors bounds how many descriptors the process may open, and returns
// the bound before.
func (r *router) limitDescriptors(n uint64) uint64 {
	r.t.Helper()
	var old unix.Rlimit
	r.check(unix.Prlimit(r.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &old))
	r.check(unix.Prlimit(r.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: old.Max}, nil))
	return old.Cur
}

// crowd is callers that connect all the time, and a balancer that asks for
// readiness. Whoever connects while the daemon says that it is ready is answered.
type crowd struct {
	router *router
	mu     sync.Mutex
	asked  []readiness // in order
	failed []failure
	served int
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

type readiness struct {
	begun, ended time.Time
	ready        bool
}

type failure struct {
	begun, ended time.Time
	err          error
}

const (
	crowdSize  = 200
	crowdPause = 100 * time.Millisecond // between two tries of a caller
	askPause   = 20 * time.Millisecond
	// openWait is how long callers of the users' platform wait for a connection
	// and for its request to be read.
	openWait = time.Second
)

func (r *router) crowd() *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{router: r, cancel: cancel}
	c.repeat(ctx, askPause, c.ask)
	for range crowdSize {
		c.repeat(ctx, crowdPause, c.call)
	}
	r.t.Cleanup(c.end)
	return c
}

// repeat runs a step again and again, with a pause, until the context ends.
func (c *crowd) repeat(ctx context.Context, pause time.Duration, step func()) {
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

func (c *crowd) end() {
	c.cancel()
	c.wait.Wait()
}

func (c *crowd) ask() {
	begun := time.Now()
	ready := c.router.ready() == http.StatusOK
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, readiness{begun: begun, ended: time.Now(), ready: ready})
}

// call opens a connection and makes one request. Any answer will do.
func (c *crowd) call() {
	begun := time.Now()
	err := c.router.call()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failed = append(c.failed, failure{begun: begun, ended: time.Now(), err: err})
		return
	}
	c.served++
}

func (r *router) call() error {
	conn, err := net.DialTimeout("tcp", r.settings.Listen, openWait)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(openWait))
	if _, err := fmt.Fprintf(conn, "GET /open/x HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r\r\nConnection: close\r\n\r\n"); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return nil
}

// more waits until the daemon has answered several rounds of callers again.
func (c *crowd) more(what string) {
	c.router.t.Helper()
	before := c.count()
	c.router.await("callers are answered: "+what, func() bool { return c.count() >= before+2*crowdSize })
}

func (c *crowd) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// wantNoneTurnedAway checks that no caller failed while the daemon said all the
// time, from a question before its try until one behind it, that it was ready.
func (c *crowd) wantNoneTurnedAway() {
	c.router.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.failed {
		before, meanwhile, behind := false, true, false
		for _, a := range c.asked {
			switch {
			case !a.ended.After(f.begun):
				before = a.ready
			case !a.begun.Before(f.ended):
				if !behind {
					meanwhile = meanwhile && a.ready
				}
				behind = true
			default:
				meanwhile = meanwhile && a.ready
			}
		}
		if before && meanwhile && behind {
			c.router.t.Errorf("ready all the time, and a caller failed: %v", f.err)
		}
	}
	c.router.t.Logf("%d answered, %d failed, %d times asked for readiness", c.served, len(c.failed), len(c.asked))
}

// A daemon that says that it is ready takes new connections: while it starts, is
// told to read its settings, runs out of descriptors and stops.
func TestReadyDaemonTakesConnections(t *testing.T) {
	t.Parallel()
	r := newRouter(t)
	c := r.crowd()
	r.start()
	c.more("at the start")
	for range 5 {
		r.check(r.cmd.Process.Signal(syscall.SIGHUP))
	}
	r.await("the settings are read again", func() bool { return strings.Contains(r.log(), `"event":106,`) })
	c.more("after the settings were read")
	before := r.limitDescriptors(1)
	r.await("no connection is taken", func() bool { return strings.Contains(r.log(), `"event":107,`) })
	r.await("readiness fails", func() bool { return r.ready() == http.StatusServiceUnavailable })
	r.limitDescriptors(before)
	r.await("it is ready again", func() bool { return r.ready() == http.StatusOK })
	c.more("after the lack of descriptors")
	r.check(r.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-r.exited:
		r.check(err)
	case <-time.After(awaitLimit):
		t.Fatal("it does not stop")
	}
	c.end()
	c.wantNoneTurnedAway()
}

// A request whose caller gave up while the process stood still, before it was read,
// reaches no engine.
func TestCallerGivesUpBeforeItsRequestIsRead(t *testing.T) {
	t.Parallel()
	r := newRouter(t)
	r.start()
	r.await("it is ready", func() bool { return r.ready() == http.StatusOK })
	r.await("a request is answered", func() bool { return r.call() == nil && r.fleet.Work("r").Arrivals > 0 })
	r.check(r.cmd.Process.Signal(syscall.SIGSTOP))
	const callers = 20
	for i := range callers {
		conn, err := net.DialTimeout("tcp", r.settings.Listen, openWait)
		r.check(err)
		_, err = fmt.Fprintf(conn, "GET /open/x HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: left-%d\r\n\r\n", i)
		r.check(err)
		r.check(conn.Close())
	}
	r.check(r.cmd.Process.Signal(syscall.SIGCONT))
	r.await("all are noticed", func() bool { return strings.Count(r.log(), `"event":627,`) >= callers })
	for i := range callers {
		if n := r.fleet.Work(fmt.Sprintf("left-%d", i)).Arrivals; n > 0 {
			t.Errorf("request %d reached an engine %d times", i, n)
		}
	}
}
