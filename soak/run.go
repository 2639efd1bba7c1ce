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

// Options configures a run.
type Options struct {
	Seed   uint64
	Length time.Duration // how long faults are injected
	Daemon []string      // command of a daemon; --settings FILE is appended
	Shape  Shape
	Dir    string    // directory for settings and logs
	Out    io.Writer // receives progress lines; may be nil
}

// DefaultShape has four daemons and 18 upstreams, each behind its own link.
var DefaultShape = Shape{Daemons: 4, Zones: 3, Engines: 15, Plain: 3, Callers: 16}

// Report summarizes a run.
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
	// revokeTime and graceTime are the settings revoke_ms and grace_ms of the daemons.
	revokeTime = 5 * time.Second
	graceTime  = 5 * time.Second
	// startLimit is the time within which all daemons must serve after their start, and
	// recoveryTime the time within which they must serve again after the last fault.
	startLimit   = 30 * time.Second
	recoveryTime = 15 * time.Second
	// minServedShare is the share of recoveryCalls that must succeed once recoveryTime has passed.
	minServedShare = 0.95
	recoveryCalls  = 40
)

type run struct {
	options             Options
	env                 *environment
	daemons             []*process
	restartLocks        map[*process]*sync.Mutex
	killed              map[*upstream]bool
	records             records
	withdrawnKeyRecords records
	startTime           time.Time
	recoveryViolations  []Violation

	mu                sync.Mutex
	disturbances      map[*process][]time.Time // start times of daemon faults
	cutOffs           map[string][]time.Time   // start times of link faults, by upstream ID
	storeDisturbances []interval               // faults of the store and of the links to it
	pathCuts          map[*process][]interval  // when a daemon had no path to the upstreams
	partFaults        []partFault              // when parts of prompts crashed engines
	fatalParts        map[string]bool          // those that do so now
	partRecords       records                  // requests with such parts
	favored           *process                 // gets most new connections now, or nil
	favoredSince      time.Time
	skews             []skew // when a daemon got most new connections
	versionCalls      []versionCall
	restores          []interval // when the store went back to an older copy
}

// interval is the period during which a fault may be in effect.
type interval struct{ from, to time.Time }

// recordDaemonDisturbance records that a fault begins now, during which a daemon may not answer.
func (r *run) recordDaemonDisturbance(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances[p] = append(r.disturbances[p], time.Now())
}

// recordCutOff records that a fault of the link to an upstream begins now.
func (r *run) recordCutOff(u *upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOffs[u.engine.ID] = append(r.cutOffs[u.engine.ID], time.Now())
}

// recordStoreDisturbance records that the store may not answer for the given time from now on.
func (r *run) recordStoreDisturbance(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeDisturbances = append(r.storeDisturbances, interval{time.Now(), time.Now().Add(d)})
}

// wasStoreDisturbed reports whether the store was disturbed between two times.
func (r *run) wasStoreDisturbed(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return overlapAny(r.storeDisturbances, from, to)
}

func overlapAny(intervals []interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(o interval) bool { return o.from.Before(to) && o.to.After(from) })
}

// wasDisturbed reports whether a daemon was disturbed between two times.
func (r *run) wasDisturbed(p *process, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return anyFaultDuring(r.disturbances[p], from, to)
}

// wasCutOff reports whether an upstream was cut off between two times.
func (r *run) wasCutOff(upstream string, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return anyFaultDuring(r.cutOffs[upstream], from, to)
}

// anyFaultDuring reports whether a fault that began at one of the given times may have been in
// effect between from and to.
func anyFaultDuring(begun []time.Time, from, to time.Time) bool {
	for _, at := range begun {
		if at.After(from.Add(-longestFault)) && at.Before(to) {
			return true
		}
	}
	return false
}

// Run executes one run. Violations are in the report; an error means that the run itself failed.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{options: o, restartLocks: map[*process]*sync.Mutex{}, killed: map[*upstream]bool{}, disturbances: map[*process][]time.Time{}, cutOffs: map[string][]time.Time{}, pathCuts: map[*process][]interval{}, fatalParts: map[string]bool{}}
	var err error
	if r.env, err = newEnvironment(o.Shape); err != nil {
		return nil, fmt.Errorf("start the environment: %w", err)
	}
	defer r.env.stop()
	if err := r.startDaemons(); err != nil {
		return nil, err
	}
	defer func() {
		for _, p := range r.daemons {
			p.kill()
		}
	}()
	if !r.awaitService(ctx, startLimit) {
		return nil, fmt.Errorf("the daemons did not serve within %v of their start, logs in %s", startLimit, o.Dir)
	}
	steps := Plan(o.Seed, o.Length)
	if err := r.execute(ctx, steps); err != nil {
		return nil, err
	}
	return r.report(steps), ctx.Err()
}

func (r *run) startDaemons() error {
	var peers []string
	for i := range r.options.Shape.Daemons {
		addrs := r.listenAddrs(i)
		name := fmt.Sprintf("daemon-%d", i)
		p, err := newProcess(r.options.Dir, r.options.Daemon, name, addrs[0], addrs[1], map[string]any{
			"name": name, "availability_zone": fmt.Sprintf("zone-%d", i%r.options.Shape.Zones), "listen": addrs[0], "ready_listen": addrs[1],
			"peer_listen": addrs[2], "metrics_listen": addrs[3], "tunnel_listen": addrs[4], "peers": append([]string{}, peers...), "platform": r.env.storeLinkAddr(i),
			"fleet_secret": "a secret for this run alone",
			"bounds": map[string]any{
				"apply_ms": applyDeadline.Milliseconds(), "revoke_ms": revokeTime.Milliseconds(), "grace_ms": graceTime.Milliseconds(), "drain_ms": drainTime.Milliseconds(),
				"retry_ratio": retryRatio, "retry_slack": retrySlack, "retry_window_ms": retryWindow.Milliseconds(),
			},
		})
		if err != nil {
			return err
		}
		p.linkAddr = r.env.upstreamLinks[i].control
		peers = append(peers, addrs[2])
		r.daemons, r.restartLocks[p] = append(r.daemons, p), &sync.Mutex{}
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// storeLinkAddr returns the address at which a daemon reaches the store.
func (env *environment) storeLinkAddr(daemon int) string { return env.storeLinks[daemon].Addr() }

const (
	// firstPort is below the ephemeral port range of the operating system.
	firstPort = 20000
	// portsPerDaemon is the number of addresses that a daemon listens on.
	portsPerDaemon = 5
)

// listenAddrs returns the listen addresses of a daemon. The loopback address is derived from the
// process ID, so that concurrent runs do not occupy these ports. Outgoing connections do not either,
// because the ports are below the ephemeral range.
func (r *run) listenAddrs(daemon int) []string {
	pid := os.Getpid()
	addrs := make([]string, portsPerDaemon)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&0x3f, pid>>8&0xff, 1+pid&0x7f, firstPort+daemon*portsPerDaemon+i)
	}
	return addrs
}

// awaitService waits until every daemon is ready and answers requests of each kind.
func (r *run) awaitService(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, p := range r.daemons {
		for !p.isReady(client, platform.ReadyPath) || !r.answersAllPaths(ctx, i, p) {
			if ctx.Err() != nil {
				return false
			}
			wait(ctx, 4*callPause)
		}
	}
	return true
}

// answersAllPaths reports whether a daemon answers a request on each path.
func (r *run) answersAllPaths(ctx context.Context, daemonIndex int, p *process) bool {
	caller := platformtest.NewCaller()
	defer caller.Close()
	for _, path := range requestPaths[1:] {
		id := fmt.Sprintf("first-%d-%s-%d", daemonIndex, path[1:len(path)-1], time.Now().UnixNano())
		if caller.Call(ctx, p.listenAddr, path, id, r.env.key(0), "first", callDeadline).Status != http.StatusOK {
			return false
		}
	}
	return true
}

// execute runs the callers, injects the faults and checks at the end that the daemons recover.
func (r *run) execute(ctx context.Context, steps []Step) error {
	var callers, faults task.Group
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	r.startTime = time.Now()
	for n := range r.options.Shape.Callers {
		callers.Start(callersCtx, "caller", func(ctx context.Context) error { return r.runCaller(ctx, n) })
	}
	callers.Start(callersCtx, "caller with withdrawn keys", r.runWithdrawnKeyCaller)
	callers.Start(callersCtx, "caller of versions", r.runVersionCaller)
	for _, s := range steps {
		wait(ctx, time.Until(r.startTime.Add(s.At)))
		if ctx.Err() != nil {
			break
		}
		r.logProgress("%6.1f s  %-23s target %d, variant %d, %v", s.At.Seconds(), s.Kind, s.Target, s.Variant, s.Duration.Round(time.Millisecond))
		faults.Start(ctx, string(s.Kind), func(ctx context.Context) error { return r.apply(ctx, s) })
	}
	if err := faults.Wait(); err != nil {
		stopCallers()
		_ = callers.Wait()
		return fmt.Errorf("inject fault: %w", err)
	}
	wait(ctx, recoveryTime)
	r.checkRecovery(ctx)
	stopCallers()
	return callers.Wait()
}

// checkRecovery checks that requests are served after the last fault.
func (r *run) checkRecovery(ctx context.Context) {
	caller := platformtest.NewCaller()
	defer caller.Close()
	served, lastFailure := 0, platformtest.Reply{}
	for i := range recoveryCalls {
		p, path := r.daemons[i%len(r.daemons)], requestPaths[i/len(r.daemons)%len(requestPaths)]
		reply := caller.Call(ctx, p.listenAddr, path, fmt.Sprintf("last-%d", i), r.env.key(0), "last", callDeadline)
		if reply.Status == http.StatusOK && reply.Err == nil {
			served++
		} else {
			lastFailure = reply
		}
	}
	if float64(served) < minServedShare*recoveryCalls && ctx.Err() == nil {
		r.recoveryViolations = append(r.recoveryViolations, Violation{
			Rule: ruleRecovers, At: time.Since(r.startTime).Round(time.Millisecond),
			Description: fmt.Sprintf("%d of %d requests were served %v after the last fault; the last failure: status %d, error %v, body %s", served, recoveryCalls, recoveryTime, lastFailure.Status, lastFailure.Err, lastFailure.Body),
		})
	}
}

func (r *run) report(steps []Step) *Report {
	report := &Report{Seed: r.options.Seed, Length: r.options.Length, Steps: len(steps), Statuses: map[string]int{}, Logs: r.options.Dir}
	for _, call := range r.records.list() {
		report.Requests++
		switch {
		case call.reply.Status == 0:
			report.Statuses["no answer"]++
		case call.reply.Err != nil:
			report.Statuses[fmt.Sprintf("%d, cut", call.reply.Status)]++
		default:
			report.Statuses[fmt.Sprint(call.reply.Status)]++
		}
	}
	report.Violations = r.findViolations()
	return report
}

func (r *run) logProgress(format string, args ...any) {
	if r.options.Out != nil {
		_, _ = fmt.Fprintf(r.options.Out, format+"\n", args...)
	}
}

// MakeDir creates a temporary directory for the settings and logs of a run.
func MakeDir(seed uint64) (string, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("spanrill-soak-%d-", seed))
	if err != nil {
		return "", fmt.Errorf("create log directory: %w", err)
	}
	return dir, nil
}
