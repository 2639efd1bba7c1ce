package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"spanrill/platform/platformtest"
	"spanrill/standin/faultproxy"
)

// requestedRest is the rest that refusing upstreams ask for.
const requestedRest = time.Second

// leavingTime is how long an upstream keeps serving after announcing that it leaves.
const leavingTime = 4 * time.Second

// stopLimit is the time within which a stopped daemon must have exited: its grace period plus two
// seconds.
const stopLimit = graceTime + 2*time.Second

// apply injects a fault, waits for its duration and removes it.
func (r *run) apply(ctx context.Context, s Step) error {
	if f := r.faultFunc(s); f != nil {
		return f(ctx, s)
	}
	return fmt.Errorf("unknown kind of fault %q", s.Kind)
}

// faultFunc returns the function that injects a step's kind of fault, or nil for an unknown kind.
func (r *run) faultFunc(s Step) func(context.Context, Step) error {
	switch s.Kind {
	case DaemonKilled, DaemonStopped, DaemonFrozen, DaemonReloaded, AllDaemonsKilled:
		return r.daemonFault
	case StoreDown, StoreSilent, StoreHistoryDropped, StoreAnswersLost:
		return r.storeFault
	case StoreLinkCut, StoreLinkSilent, UpstreamLinkFaulty:
		return r.linkFault
	case UpstreamCrashes, UpstreamRestarts, UpstreamLeaves:
		return r.upstreamExitFault
	case UpstreamRefuses, UpstreamFails, UpstreamCutsStreams, UpstreamReportsMuted:
		return r.upstreamFault
	case StoreRestored:
		return r.restoreStore
	case DaemonPathCut:
		return r.pathFault
	case MostPathsCut:
		return r.mostPathsFault
	case PartCrashesEngines:
		return r.partFaultStep
	case ConnectionsSkewed:
		return r.skewStep
	case UpstreamLimits:
		return r.upstreamLimitFault
	case ConfigChanges, KeyWithdrawn:
		return r.configFault
	}
	return nil
}

// wait waits for d or until ctx is done.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *run) daemonFault(ctx context.Context, s Step) error {
	if s.Kind == AllDaemonsKilled {
		for _, p := range r.daemons {
			r.recordDaemonDisturbance(p)
		}
		for _, p := range r.daemons {
			if err := r.restart(ctx, p, syscall.SIGKILL, s.Duration/2); err != nil {
				return err
			}
		}
		return nil
	}
	p := r.daemons[s.Target%len(r.daemons)]
	switch s.Kind {
	case DaemonKilled:
		r.recordDaemonDisturbance(p)
		return r.restart(ctx, p, syscall.SIGKILL, s.Duration/2)
	case DaemonStopped:
		r.recordDaemonDisturbance(p)
		return r.restart(ctx, p, syscall.SIGTERM, s.Duration/2)
	case DaemonFrozen:
		r.recordDaemonDisturbance(p)
		p.signal(syscall.SIGSTOP)
		wait(ctx, s.Duration)
		p.signal(syscall.SIGCONT)
	case DaemonReloaded:
		p.signal(syscall.SIGHUP)
	}
	return nil
}

// restart ends a daemon with a signal and starts it again after a pause. Concurrent steps on the same
// daemon run one after another.
func (r *run) restart(ctx context.Context, p *process, sig syscall.Signal, pause time.Duration) error {
	lock := r.restartLocks[p]
	lock.Lock()
	defer lock.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(sig)
	p.awaitExit(ctx, stopLimit)
	wait(ctx, pause)
	if ctx.Err() != nil {
		return nil
	}
	return p.start()
}

func (r *run) storeFault(ctx context.Context, s Step) error {
	env := r.env
	r.recordStoreDisturbance(s.Duration)
	switch s.Kind {
	case StoreHistoryDropped:
		env.store.DropHistory()
		return nil
	case StoreAnswersLost:
		env.store.SetFaults(platformtest.StoreFaults{LoseWrites: 1 + s.Variant})
	case StoreDown:
		env.store.SetFaults(platformtest.StoreFaults{Down: true})
	case StoreSilent:
		for _, l := range env.storeLinks { // the store hangs in every call, but new calls are accepted
			l.SetFaults(faultproxy.Faults{Freeze: true})
		}
	}
	wait(ctx, s.Duration)
	env.store.SetFaults(platformtest.StoreFaults{})
	if s.Kind == StoreSilent {
		for _, l := range env.storeLinks {
			l.SetFaults(faultproxy.Faults{})
		}
	}
	return nil
}

const (
	// storeDowntime is how long the store is down before it is restored, and the pause between
	// two restores.
	storeDowntime = 300 * time.Millisecond
	// lostRevisions is the number of configuration changes that the store loses in a restore.
	lostRevisions = 20
	// heartbeatTimeout is the time after which the platform removes the entry of an upstream that
	// no longer writes it.
	heartbeatTimeout = 3600 * time.Millisecond
)

// restoreStore restores the store from a copy that it takes at the start of the step. The copy lacks
// the lostRevisions configuration changes that are made during the step. After the restore, the
// configuration and the upstreams' entries are written again, as the operator and the upstreams do.
// Depending on Step.Variant, the configuration also changes right after the restore, or the store is
// restored twice. After heartbeatTimeout, entries of upstreams that have ended are removed and a
// key is replaced.
func (r *run) restoreStore(ctx context.Context, s Step) error {
	env := r.env
	storeCopy := env.store.Backup()
	for range lostRevisions {
		wait(ctx, s.Duration/lostRevisions)
		env.toggleTimeout()
	}
	r.recordStoreDisturbance(storeDowntime)
	r.recordRestore(3 * storeDowntime)
	env.store.SetFaults(platformtest.StoreFaults{Down: true})
	wait(ctx, storeDowntime)
	env.restore(storeCopy)
	env.store.SetFaults(platformtest.StoreFaults{})
	switch s.Variant {
	case 1:
		env.toggleTimeout()
	case 2:
		wait(ctx, storeDowntime)
		env.restore(storeCopy)
	}
	wait(ctx, heartbeatTimeout)
	env.removeStaleEntries()
	return r.configFault(ctx, Step{Kind: KeyWithdrawn})
}

func (r *run) linkFault(ctx context.Context, s Step) error {
	var link *faultproxy.Proxy
	if s.Kind == UpstreamLinkFaulty {
		_, u := r.env.upstreamAt(s.Target)
		r.recordCutOff(u)
		link = u.link
	} else {
		link = r.env.storeLinks[s.Target%len(r.env.storeLinks)]
		r.recordStoreDisturbance(s.Duration)
	}
	link.SetFaults(linkFaults(s))
	if s.Kind == StoreLinkCut || s.Variant == 1 {
		link.CloseConnections()
	}
	wait(ctx, s.Duration)
	link.SetFaults(faultproxy.Faults{})
	return nil
}

// slowLinkDelayMillis is the delay of each chunk of bytes on a slow link: a tenth of the target
// latency of calls.
const slowLinkDelayMillis = 80

func linkFaults(s Step) faultproxy.Faults {
	switch {
	case s.Kind == StoreLinkCut:
		return faultproxy.Faults{Refuse: true}
	case s.Kind == StoreLinkSilent || s.Variant == 0:
		return faultproxy.Faults{Silence: true}
	case s.Variant == 1:
		return faultproxy.Faults{Refuse: true}
	case s.Variant == 2:
		return faultproxy.Faults{Freeze: true}
	}
	return faultproxy.Faults{DelayMillis: slowLinkDelayMillis}
}

// upstreamExitFault restarts an upstream in place, or ends it and starts another one in its slot.
func (r *run) upstreamExitFault(ctx context.Context, s Step) error {
	slot, u := r.env.upstreamAt(s.Target)
	switch s.Kind {
	case UpstreamRestarts:
		u.engine.Restart(0)
		return nil
	case UpstreamLeaves:
		u.engine.SetFaults(platformtest.EngineFaults{AnnounceLeaving: true})
		if s.Variant%2 == 0 {
			u.engine.WriteEntry("draining")
		}
		wait(ctx, leavingTime)
	}
	r.killUpstream(u)
	wait(ctx, s.Duration)
	if ctx.Err() != nil {
		return nil
	}
	return r.env.replaceUpstream(slot)
}

// killUpstream kills an upstream and removes its entry, unless that was done before.
func (r *run) killUpstream(u *upstream) {
	r.env.mu.Lock()
	defer r.env.mu.Unlock()
	if r.killed[u] {
		return
	}
	r.killed[u] = true
	u.engine.Kill()
	r.env.store.Remove("servers", u.engine.ID)
}

func (r *run) upstreamFault(ctx context.Context, s Step) error {
	_, u := r.env.upstreamAt(s.Target)
	f := platformtest.EngineFaults{}
	switch s.Kind {
	case UpstreamRefuses:
		f.Refuse, f.Rest = true, requestedRest
	case UpstreamFails:
		f.Fail = true
	case UpstreamCutsStreams:
		f.BreakAfter = 1 + 4*s.Variant
	case UpstreamReportsMuted:
		f.MuteReports = true
	}
	u.engine.SetFaults(f)
	wait(ctx, s.Duration)
	u.engine.SetFaults(platformtest.EngineFaults{})
	return nil
}

// limitSequences lists the limits, in requests per second, that an upstream sets one after another,
// indexed by Step.Variant.
var limitSequences = [variantCount][]string{{"2.5"}, {"5", "1"}, {"0.5", "4"}, {"0"}}

// limitTime is how long each limit is in effect: the time until it is enforced plus two check
// windows.
const limitTime = limitEnforceDelay + 2*limitWindow

// upstreamLimitFault makes an upstream set a sequence of limits and then remove the limit.
// Another fault of the same upstream that begins or ends in the meantime also removes or replaces
// the limit, because SetFaults replaces all faults.
func (r *run) upstreamLimitFault(ctx context.Context, s Step) error {
	_, u := r.env.upstreamAt(s.Target)
	for _, limit := range limitSequences[s.Variant] {
		u.engine.SetFaults(platformtest.EngineFaults{Limit: limit})
		wait(ctx, limitTime)
	}
	u.engine.SetFaults(platformtest.EngineFaults{})
	return nil
}

// withdrawal is a withdrawn key and the time at which the store had the configuration without it.
type withdrawal struct {
	key string
	at  time.Time
}

// shortRouteTimeout is the route timeout in ms that alternates with normalRouteTimeout.
const shortRouteTimeout = 6000

// configFault replaces the oldest key, or toggles the route timeout.
func (r *run) configFault(_ context.Context, s Step) error {
	env := r.env
	env.mu.Lock()
	defer env.mu.Unlock()
	if s.Kind == KeyWithdrawn {
		key := env.keys[0]
		env.keys = append([]string(nil), env.keys[1:]...)
		env.addKey()
		env.writeConfig()
		env.withdrawn = append(env.withdrawn, withdrawal{key: key, at: time.Now()})
		return nil
	}
	env.toggleTimeoutLocked()
	return nil
}
