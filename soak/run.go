package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"spanrill/platform"
	"spanrill/platform/platformtest"
	"spanrill/task"
)

// Options says what is run.
type Options struct {
	Seed   uint64
	Length time.Duration // for which things fail
	Daemon []string      // command that runs a daemon when --settings FILE follows
	Shape  Shape
	Dir    string    // where settings and logs go
	Out    io.Writer // progress, or nil
}

// DefaultShape is a few dozen links and upstreams before four daemons.
var DefaultShape = Shape{Daemons: 4, Zones: 3, Engines: 15, Plain: 3, Callers: 16}

// Report is what came of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Length     time.Duration  `json:"length"`
	Steps      int            `json:"steps"`
	Requests   int            `json:"requests"`
	Statuses   map[string]int `json:"statuses"`
	Violations []Violation    `json:"violations"`
	Logs       string         `json:"logs"`
}

const (
	// revoke and grace are the bounds that the daemons are set to.
	revoke = 5 * time.Second
	grace  = 5 * time.Second
	// startLimit bounds the time until all daemons serve at the beginning, and settleLimit
	// the time after the last fault until they serve again.
	startLimit  = 30 * time.Second
	settleLimit = 15 * time.Second
	// servedShare of the requests behind settleLimit must be answered.
	servedShare = 0.95
	settleCalls = 40
)

type run struct {
	options   Options
	world     *world
	daemons   []*process
	turns     map[*process]*sync.Mutex
	gone      map[*upstream]bool
	records   records
	barred    records
	begun     time.Time
	recovered []Violation

	mu        sync.Mutex
	disturbed map[*process][]time.Time
	cutOff    map[string][]time.Time // by upstream
	outages   []interval             // of the store and of links to it
}

// interval is the period during which a fault may be in effect.
type interval struct{ from, to time.Time }

// disturb notes that a daemon may not answer for a while from now on.
func (r *run) disturb(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[p] = append(r.disturbed[p], time.Now())
}

// cut notes that an upstream may not be reached for a while from now on.
func (r *run) cut(u *upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff[u.engine.ID] = append(r.cutOff[u.engine.ID], time.Now())
}

// disturbStore records that the store may not answer for the given time from now on.
func (r *run) disturbStore(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages = append(r.outages, interval{time.Now(), time.Now().Add(d)})
}

// wasStoreDisturbed reports whether the store was disturbed between two times.
func (r *run) wasStoreDisturbed(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.outages, func(o interval) bool { return o.from.Before(to) && o.to.After(from) })
}

// wasDisturbed reports whether a daemon was disturbed between two times.
func (r *run) wasDisturbed(p *process, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return anyNear(r.disturbed[p], from, to)
}

// wasCutOff reports whether an upstream was cut off between two times.
func (r *run) wasCutOff(upstream string, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return anyNear(r.cutOff[upstream], from, to)
}

// anyNear reports whether a fault that began at one of some times may have lasted until
// between two others.
func anyNear(begun []time.Time, from, to time.Time) bool {
	for _, at := range begun {
		if at.After(from.Add(-longestFault)) && at.Before(to) {
			return true
		}
	}
	return false
}

// Run plays one seed. An error means that it could not be played.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{options: o, turns: map[*process]*sync.Mutex{}, gone: map[*upstream]bool{}, disturbed: map[*process][]time.Time{}, cutOff: map[string][]time.Time{}}
	var err error
	if r.world, err = newWorld(o.Shape); err != nil {
		return nil, fmt.Errorf("build the world: %w", err)
	}
	defer r.world.stop()
	if err := r.startDaemons(); err != nil {
		return nil, err
	}
	defer func() {
		for _, p := range r.daemons {
			p.end()
		}
	}()
	if !r.awaitService(ctx, startLimit) {
		return nil, fmt.Errorf("the daemons did not serve within %v of their start, logs in %s", startLimit, o.Dir)
	}
	steps := Plan(o.Seed, o.Length)
	if err := r.play(ctx, steps); err != nil {
		return nil, err
	}
	return r.report(steps), ctx.Err()
}

func (r *run) startDaemons() error {
	var seeds []string
	for i := range r.options.Shape.Daemons {
		addrs := r.addrs(i)
		name := fmt.Sprintf("daemon-%d", i)
		p, err := newProcess(r.options.Dir, r.options.Daemon, name, addrs[0], addrs[1], map[string]any{
			"name": name, "availability_zone": fmt.Sprintf("zone-%d", i%r.options.Shape.Zones), "listen": addrs[0], "ready_listen": addrs[1],
			"peer_listen": addrs[2], "metrics_listen": addrs[3], "peers": append([]string{}, seeds...), "platform": r.world.linkAddr(i),
			"fleet_secret": "a secret for this run alone",
			"bounds": map[string]any{
				"revoke_ms": revoke.Milliseconds(), "grace_ms": grace.Milliseconds(), "drain_ms": drain.Milliseconds(),
				"retry_ratio": budgetRatio, "retry_slack": budgetSlack, "retry_window_ms": budgetWindow.Milliseconds(),
			},
		})
		if err != nil {
			return err
		}
		seeds = append(seeds, addrs[2])
		r.daemons, r.turns[p] = append(r.daemons, p), &sync.Mutex{}
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// linkAddr is where a daemon reaches the store.
func (w *world) linkAddr(daemon int) string { return w.links[daemon].Addr() }

const (
	// firstPort lies below the ports that the operating system gives to connections.
	firstPort = 20000
	// portsEach is how many addresses a daemon listens on.
	portsEach = 4
)

// addrs returns where a daemon listens: each run has a loopback address of its own, by its
// process, so that runs side by side and connections that come and go take nobody's port.
func (r *run) addrs(daemon int) []string {
	pid := os.Getpid()
	addrs := make([]string, portsEach)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&0x3f, pid>>8&0xff, 1+pid&0x7f, firstPort+daemon*portsEach+i)
	}
	return addrs
}

// awaitService waits until every daemon is ready and answers requests of each kind.
func (r *run) awaitService(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, p := range r.daemons {
		for !p.isReady(client, platform.ReadyPath) || !r.answers(ctx, i, p) {
			if ctx.Err() != nil {
				return false
			}
			wait(ctx, 4*callPause)
		}
	}
	return true
}

func (r *run) answers(ctx context.Context, n int, p *process) bool {
	caller := platformtest.NewCaller()
	defer caller.Close()
	for _, path := range paths[1:] {
		id := fmt.Sprintf("first-%d-%s-%d", n, path[1:len(path)-1], time.Now().UnixNano())
		if caller.Call(ctx, p.listen, path, id, r.world.key(0), "first", callDeadline).Status != http.StatusOK {
			return false
		}
	}
	return true
}

// play lets callers call and things fail, and looks at the end whether all is well again.
func (r *run) play(ctx context.Context, steps []Step) error {
	var callers, faults task.Group
	calling, stop := context.WithCancel(ctx)
	defer stop()
	r.begun = time.Now()
	for n := range r.options.Shape.Callers {
		callers.Start(calling, "caller", func(ctx context.Context) error { return r.call(ctx, n) })
	}
	callers.Start(calling, "caller with withdrawn keys", r.useWithdrawn)
	for _, s := range steps {
		wait(ctx, time.Until(r.begun.Add(s.At)))
		if ctx.Err() != nil {
			break
		}
		r.progress("%6.1f s  %-22s target %d, way %d, %v", s.At.Seconds(), s.Kind, s.Target, s.Way, s.For.Round(time.Millisecond))
		faults.Start(ctx, string(s.Kind), func(ctx context.Context) error { return r.apply(ctx, s) })
	}
	if err := faults.Wait(); err != nil {
		stop()
		_ = callers.Wait()
		return fmt.Errorf("bring about a fault: %w", err)
	}
	wait(ctx, settleLimit)
	r.lookAtRecovery(ctx)
	stop()
	return callers.Wait()
}

// lookAtRecovery checks that requests are served behind the last fault.
func (r *run) lookAtRecovery(ctx context.Context) {
	caller := platformtest.NewCaller()
	defer caller.Close()
	served, last := 0, platformtest.Reply{}
	for i := range settleCalls {
		p, path := r.daemons[i%len(r.daemons)], paths[i/len(r.daemons)%len(paths)]
		reply := caller.Call(ctx, p.listen, path, fmt.Sprintf("last-%d", i), r.world.key(0), "last", callDeadline)
		if reply.Status == http.StatusOK && reply.Err == nil {
			served++
		} else {
			last = reply
		}
	}
	if float64(served) < servedShare*settleCalls && ctx.Err() == nil {
		r.recovered = append(r.recovered, Violation{
			Rule: ruleRecovers, At: time.Since(r.begun).Round(time.Millisecond),
			What: fmt.Sprintf("%d of %d requests were served %v after the last fault; one not served: status %d, %v, %s", served, settleCalls, settleLimit, last.Status, last.Err, last.Body),
		})
	}
}

func (r *run) report(steps []Step) *Report {
	report := &Report{Seed: r.options.Seed, Length: r.options.Length, Steps: len(steps), Statuses: map[string]int{}, Logs: r.options.Dir}
	for _, s := range r.records.list() {
		report.Requests++
		switch {
		case s.reply.Status == 0:
			report.Statuses["no answer"]++
		case s.reply.Err != nil:
			report.Statuses[fmt.Sprintf("%d, cut", s.reply.Status)]++
		default:
			report.Statuses[fmt.Sprint(s.reply.Status)]++
		}
	}
	report.Violations = r.check()
	return report
}

func (r *run) progress(format string, args ...any) {
	if r.options.Out != nil {
		_, _ = fmt.Fprintf(r.options.Out, format+"\n", args...)
	}
}

// Dir makes a directory for the settings and logs of a run.
func Dir(seed uint64) (string, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("spanrill-soak-%d-", seed))
	if err != nil {
		return "", fmt.Errorf("make a directory for logs: %w", err)
	}
	return dir, nil
}
