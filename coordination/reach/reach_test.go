package reach

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/rng"
	"spanrill/task"
	"spanrill/transport/tunnel"
)

// world is a set of upstreams and helpers, and the paths to them. It is a spanrill.UpstreamDirectory.
type world struct {
	mu        sync.Mutex
	upstreams []string         // addresses
	down      map[string]bool  // upstreams that refuse all connections
	silent    map[string]bool  // upstreams that answer no connection
	lost      map[string]error // what direct connections to an upstream fail with; errHang hangs
	helpers   map[string]error // what each helper answers, nil if it connects
	clock     spanrill.Clock
	heard     spanrill.Millis // when a direct connection was last opened
	direct    map[string]int  // direct connections that were asked for by address
	asked     map[string]int  // tunnels that were asked for by helper
}

var errHang = errors.New("hangs")

func newWorld(upstreams int, helpers ...string) *world {
	w := &world{clock: clock.NewSystem(), down: map[string]bool{}, silent: map[string]bool{}, lost: map[string]error{}, helpers: map[string]error{}, direct: map[string]int{}, asked: map[string]int{}}
	for i := range upstreams {
		w.upstreams = append(w.upstreams, fmt.Sprintf("u%d", i))
	}
	for _, h := range helpers {
		w.helpers[h] = nil
	}
	return w
}

func (w *world) ServiceAt(string) string     { return "service" }
func (w *world) Addrs(string) []string       { return slices.Clone(w.upstreams) }
func (w *world) LastHeard() spanrill.Millis  { w.mu.Lock(); defer w.mu.Unlock(); return w.heard }
func (w *world) lose(err error, a ...string) { w.set(func() { w.setLost(err, a) }) }

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *world) setLost(err error, addrs []string) {
	for _, addr := range addrs {
		if err == nil {
			delete(w.lost, addr)
			continue
		}
		w.lost[addr] = err
	}
}

// connect returns a connection, or the failure of the upstream or the path.
func (w *world) connect(ctx context.Context, addr string, path error) (net.Conn, error) {
	w.mu.Lock()
	down, silent := w.down[addr], w.silent[addr]
	w.mu.Unlock()
	switch {
	case silent || errors.Is(path, errHang):
		<-ctx.Done()
		return nil, ctx.Err()
	case path != nil:
		return nil, path
	case down:
		return nil, syscall.ECONNREFUSED
	}
	conn, other := net.Pipe()
	_ = other.Close()
	return conn, nil
}

func (w *world) dialDirect(ctx context.Context, _, addr string) (net.Conn, error) {
	w.mu.Lock()
	w.direct[addr]++
	path := w.lost[addr]
	w.mu.Unlock()
	conn, err := w.connect(ctx, addr, path)
	if err == nil {
		w.set(func() { w.heard = w.clock.Now() })
	}
	return conn, err
}

// viaHelper is a connection that a helper made.
type viaHelper struct{ net.Conn }

func (w *world) Open(ctx context.Context, h spanrill.Helper, target tunnel.Target) (net.Conn, tunnel.Answer, error) {
	w.mu.Lock()
	w.asked[h.Name]++
	answer := w.helpers[h.Name]
	w.mu.Unlock()
	if answer != nil && !errors.Is(answer, errHang) {
		return nil, tunnel.Answer{}, answer
	}
	conn, err := w.connect(ctx, target.Addr, answer)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, tunnel.Answer{}, &tunnel.OpenError{Reason: tunnel.ReasonRefused}
	case err != nil:
		return nil, tunnel.Answer{}, &tunnel.OpenError{Reason: tunnel.ReasonUnreachable}
	}
	return viaHelper{conn}, tunnel.Answer{Open: 1, Room: 1}, nil
}

// Ask answers that nothing is known.
func (w *world) Ask(context.Context, spanrill.Helper, tunnel.Question) (tunnel.Told, error) {
	return tunnel.Told{}, nil
}

func (w *world) listHelpers(string) (all []spanrill.Helper) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.helpers {
		all = append(all, spanrill.Helper{Name: name, Addr: name})
	}
	return all
}

// testTimeout is the time that a direct connection may take.
const testTimeout spanrill.Millis = 200

// start returns a running dialer in the world.
func (w *world) start(t *testing.T, opts ...Option) *Dialer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := New(w, w.clock, log, rng.New(1), append([]Option{WithDirect(w.dialDirect, testTimeout), WithHelp(w.listHelpers, w)}, opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	task.Start(ctx, "paths", d.Run)
	t.Cleanup(func() {
		cancel()
		<-d.Done()
	})
	return d
}

// dial connects and returns how: "direct", "helper" or the error.
func dial(d *Dialer, addr string) (string, error) {
	conn, err := d.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return "", err
	}
	_ = conn.Close()
	if _, ok := conn.(viaHelper); ok {
		return "helper", nil
	}
	return "direct", nil
}

func wantWay(t *testing.T, d *Dialer, addr, want string) {
	t.Helper()
	if got, err := dial(d, addr); got != want {
		t.Errorf("%s was connected by %q (%v), want %q", addr, got, err, want)
	}
}

// await waits until a condition holds that a check or a comparison of paths brings about.
func await(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	c := clock.NewSystem()
	for end := c.Now() + 10*spanrill.Second; !holds(); <-c.After(1) {
		if c.Now() > end {
			t.Fatalf("%s: not observed", condition)
		}
	}
}

func isCut(d *Dialer) func() bool { return func() bool { return d.paths.isCut("service") } }

// Guards against connections that fail, or that wait for the direct path each time, while a helper
// reaches the upstreams; and against a path that stays lost when it works again.
func TestLostPathIsBypassed(t *testing.T) {
	for name, failure := range map[string]error{"refused": syscall.ECONNREFUSED, "hangs": errHang} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4, "helper")
			d := w.start(t)
			for round := range 2 { // the cut comes twice
				w.lose(failure, w.upstreams...)
				wantWay(t, d, "u0", "helper")
				wantWay(t, d, "u1", "helper")
				await(t, "lost path", isCut(d))
				before := 0
				w.set(func() { before = w.direct["u3"] })
				wantWay(t, d, "u2", "helper")
				if lost := d.LostServices(); len(lost) != 1 || lost[0].Helped["helper"] == 0 || before > 2 && round == 0 {
					t.Errorf("lost services %+v after %d direct connections, want one that is helped", lost, before)
				}
				w.lose(nil, w.upstreams...)
				await(t, "restored path", func() bool { return len(d.LostServices()) == 0 })
				await(t, "direct connection", func() bool { way, _ := dial(d, "u2"); return way == "direct" })
			}
		})
	}
}

// Guards against a connection refused on a lost path that tells of the end of its upstream, because no
// helper has said anything yet.
func TestRefusalWithoutComparisonIsInconclusive(t *testing.T) {
	for _, c := range []struct {
		name       string
		lost       []string
		compares   bool // a comparison does not end
		conclusive bool
	}{
		{"comparison not ended", []string{"u0", "u1", "u2", "u3"}, true, false},
		{"one upstream, comparison not ended", []string{"u0"}, true, false},
		{"another was lost before", []string{"u0", "u1"}, false, false},
		{"one upstream", []string{"u0"}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(4, "helper")
			w.helpers["helper"] = errHang
			w.lose(syscall.ECONNREFUSED, c.lost...)
			d := w.start(t)
			for d.compareBudget.take() {
				continue
			}
			if !c.compares && len(c.lost) > 1 {
				d.paths.recordLost("service", "u1", w.clock.Now())
			}
			if c.compares {
				defer d.comparisons.begin("service")()
			}
			ctx, cancel := context.WithTimeout(t.Context(), (testTimeout / 2).Duration())
			defer cancel()
			_, err := d.DialContext(ctx, "tcp", "u0")
			if err == nil || spanrill.IsConnectionRefused(err) != c.conclusive {
				t.Errorf("error %v, conclusive %v, want %v", err, err != nil && spanrill.IsConnectionRefused(err), c.conclusive)
			}
		})
	}
}

// stalledProcess is the RunningTime of a process that has stalled all the time.
type stalledProcess struct{}

func (stalledProcess) Since(spanrill.Millis) spanrill.Millis { return -1 }

// Guards against a path that counts as lost because this process stalled and noticed the helpers'
// connections before its own.
func TestStallIsNoLostPath(t *testing.T) {
	for name, stalled := range map[string]bool{"stalled": true, "running": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4, "helper")
			release := make(chan struct{})
			lateDial := func(ctx context.Context, network, addr string) (net.Conn, error) {
				<-release
				return w.dialDirect(ctx, network, addr)
			}
			var cuts atomic.Int64
			opts := []Option{WithDirect(lateDial, 10*spanrill.Second), WithOnLost(func(string, spanrill.Millis) { cuts.Add(1) })}
			if stalled {
				opts = append(opts, WithRunningTime(stalledProcess{}))
			}
			d := w.start(t, opts...)
			for _, addr := range w.upstreams {
				wantWay(t, d, addr, "helper")
			}
			if !stalled {
				await(t, "lost path", isCut(d))
			}
			close(release)
			await(t, "direct connections", func() bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				return len(w.direct) == len(w.upstreams)
			})
			if lost := cuts.Load() > 0; lost == stalled {
				t.Errorf("path found lost: %v, want %v", lost, !stalled)
			}
		})
	}
}

// Guards against a path that counts as lost because of upstreams that fail by themselves.
func TestFailedUpstreamsAreNoLostPath(t *testing.T) {
	for name, fail := range map[string]func(*world){
		"one is silent":                  func(w *world) { w.silent["u0"] = true },
		"one is down":                    func(w *world) { w.down["u0"] = true },
		"two are down":                   func(w *world) { w.down["u0"], w.down["u1"] = true, true },
		"one is reached by helpers only": func(w *world) { w.lost["u0"] = errHang },
		"two are down and helpers have no way": func(w *world) {
			w.down["u0"], w.down["u1"] = true, true
			w.helpers["helper"] = &tunnel.OpenError{Reason: tunnel.ReasonNoPath}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(8, "helper")
			fail(w)
			d := w.start(t)
			for range 3 {
				_, _ = dial(d, "u0")
				_, _ = dial(d, "u1")
				wantWay(t, d, "u5", "direct")
			}
			if d.paths.isCut("service") {
				t.Error("the path to the service counts as lost")
			}
		})
	}
}

// Guards against a refusal by an upstream that is hidden or made up: the callers conclude from it that
// the upstream's process has ended.
func TestRefusalByUpstream(t *testing.T) {
	noPath := &tunnel.OpenError{Reason: tunnel.ReasonNoPath}
	for name, c := range map[string]struct {
		set     func(*world)
		refused bool
	}{
		"upstream is down":                     {func(w *world) { w.down["u0"] = true }, true},
		"down, helper has no path":             {func(w *world) { w.down["u0"], w.helpers["helper"] = true, noPath }, true},
		"down, nobody helps":                   {func(w *world) { w.down["u0"] = true; clear(w.helpers) }, true},
		"path lost, helper has none either":    {func(w *world) { w.setLost(syscall.ECONNREFUSED, w.upstreams); w.helpers["helper"] = noPath }, false},
		"path lost, nobody helps":              {func(w *world) { w.setLost(syscall.ECONNREFUSED, w.upstreams); clear(w.helpers) }, false},
		"path lost, upstream is down for both": {func(w *world) { w.setLost(syscall.ECONNREFUSED, w.upstreams); w.down["u0"] = true }, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4, "helper")
			c.set(w)
			_, err := dial(w.start(t), "u0")
			if err == nil || spanrill.IsConnectionRefused(err) != c.refused || errors.Is(err, spanrill.ErrNoPath) == c.refused {
				t.Errorf("error %v, want one that says refused=%v", err, c.refused)
			}
		})
	}
}

// Guards against waiting for a path that is known to be lost when nobody helps.
func TestLostPathWithoutHelpIsRefusedAtOnce(t *testing.T) {
	w := newWorld(8)
	w.lose(errHang, w.upstreams...)
	d := w.start(t)
	for _, addr := range w.upstreams[:2] {
		if _, err := dial(d, addr); !errors.Is(err, spanrill.ErrNoPath) {
			t.Fatalf("error %v, want ErrNoPath", err)
		}
	}
	await(t, "lost path", isCut(d))
	ctx, cancel := context.WithTimeout(context.Background(), (testTimeout / 2).Duration())
	defer cancel()
	if _, err := d.DialContext(ctx, "tcp", "u5"); !errors.Is(err, spanrill.ErrNoPath) || ctx.Err() != nil {
		t.Errorf("error %v, want ErrNoPath before half of the time of a connection", err)
	}
}

// Guards against a helper that asks others in turn, so that two daemons could pass a connection to each
// other for ever.
func TestHelperConnectsOnlyDirectly(t *testing.T) {
	w := newWorld(4, "helper")
	w.lose(syscall.ECONNREFUSED, w.upstreams...)
	d := w.start(t)
	if _, err := d.DialForPeer(context.Background(), "u0"); !errors.Is(err, spanrill.ErrNoPath) {
		t.Errorf("error %v, want ErrNoPath", err)
	}
	w.set(func() { clear(w.lost); w.down["u0"] = true })
	if _, err := d.DialForPeer(context.Background(), "u0"); !spanrill.IsConnectionRefused(err) {
		t.Errorf("error %v, want a refused connection", err)
	}
	if w.asked["helper"] != 0 {
		t.Errorf("another daemon was asked %d times, want 0", w.asked["helper"])
	}
}

// Guards against connections that fail because the first helper that is asked cannot help.
func TestNextHelperIsAsked(t *testing.T) {
	for name, answer := range map[string]error{
		"no path": &tunnel.OpenError{Reason: tunnel.ReasonNoPath}, "full": &tunnel.OpenError{Reason: tunnel.ReasonFull},
		"leaving": &tunnel.OpenError{Reason: tunnel.ReasonLeaving}, "killed": syscall.ECONNREFUSED, "silent": errHang,
		"withheld": &tunnel.OpenError{Reason: tunnel.ReasonWithheld},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4, "a", "b", "c")
			w.helpers["a"], w.helpers["b"] = answer, answer
			w.lose(syscall.ECONNREFUSED, w.upstreams...)
			d := w.start(t)
			for i := range 8 {
				wantWay(t, d, w.upstreams[i%4], "helper")
			}
		})
	}
}

// Guards against attempts at upstreams that multiply because helpers are asked for each of them.
func TestHelpersAreAskedWithinBudget(t *testing.T) {
	const attempts = 100
	w := newWorld(8, "a", "b", "c")
	for _, addr := range w.upstreams[1:] {
		w.down[addr] = true
	}
	d := w.start(t)
	for i := range attempts {
		_, _ = dial(d, w.upstreams[1+i%7])
		wantWay(t, d, "u0", "direct")
	}
	asked := 0
	w.set(func() { asked = w.asked["a"] + w.asked["b"] + w.asked["c"] })
	if most := attempts / 2; asked > most {
		t.Errorf("helpers were asked %d times for %d attempts, want at most %d", asked, attempts, most)
	}
}

// Guards against refusals that are taken for true because too many connections fail at the moment at
// which a path is lost.
func TestConnectionsThatFailTogether(t *testing.T) {
	const connections = 200
	w := newWorld(8, "helper")
	d := w.start(t)
	w.lose(syscall.ECONNREFUSED, w.upstreams...)
	errs := make(chan error, connections)
	for i := range connections {
		go func() {
			_, err := dial(d, w.upstreams[i%8])
			errs <- err
		}()
	}
	failed := 0
	for range connections {
		if err := <-errs; err != nil {
			failed++
			t.Logf("error %v", err)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d connections failed, want none", failed, connections)
	}
}
