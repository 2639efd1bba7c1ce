package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"spanrill/platform/platformtest"
	"spanrill/standin/faultproxy"
)

// restAsked is what upstreams that refuse ask for.
const restAsked = time.Second

// leaveTime is how long an upstream serves on behind its word that it leaves.
const leaveTime = 4 * time.Second

// stopLimit is when a daemon that was told to stop must have ended: its grace, and two seconds.
const stopLimit = grace + 2*time.Second

// apply brings a fault about, waits for its time and ends it.
func (r *run) apply(ctx context.Context, s Step) error {
	if f := r.faultOf(s); f != nil {
		return f(ctx, s)
	}
	return fmt.Errorf("no fault of kind %q", s.Kind)
}

func (r *run) faultOf(s Step) func(context.Context, Step) error {
	switch s.Kind {
	case DaemonKilled, DaemonStopped, DaemonFrozen, DaemonTold, AllKilled:
		return r.daemonFault
	case StoreDown, StoreSilent, StoreForgets, StoreLoses:
		return r.storeFault
	case StoreLinkCut, StoreLinkMute, UpstreamLinks:
		return r.linkFault
	case UpstreamEnds, UpstreamAgain, UpstreamLeaves:
		return r.upstreamGoes
	case UpstreamFull, UpstreamFails, UpstreamBreaks, UpstreamMute:
		return r.upstreamFault
	case StoreRestored:
		return r.restoreStore
	case UpstreamLimits:
		return r.upstreamLimitFault
	case ConfigChanges, KeyWithdrawn:
		return r.operate
	}
	return nil
}

// wait waits for a while, or until the run ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *run) daemonFault(ctx context.Context, s Step) error {
	if s.Kind == AllKilled {
		for _, p := range r.daemons {
			r.disturb(p)
		}
		for _, p := range r.daemons {
			if err := r.restart(ctx, p, syscall.SIGKILL, s.For/2); err != nil {
				return err
			}
		}
		return nil
	}
	p := r.daemons[s.Target%len(r.daemons)]
	switch s.Kind {
	case DaemonKilled:
		r.disturb(p)
		return r.restart(ctx, p, syscall.SIGKILL, s.For/2)
	case DaemonStopped:
		r.disturb(p)
		return r.restart(ctx, p, syscall.SIGTERM, s.For/2)
	case DaemonFrozen:
		r.disturb(p)
		p.signal(syscall.SIGSTOP)
		wait(ctx, s.For)
		p.signal(syscall.SIGCONT)
	case DaemonTold:
		p.signal(syscall.SIGHUP)
	}
	return nil
}

// restart ends a daemon and starts it again. Steps that meet at one daemon take their turns.
func (r *run) restart(ctx context.Context, p *process, by syscall.Signal, pause time.Duration) error {
	lock := r.turns[p]
	lock.Lock()
	defer lock.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(by)
	p.awaitExit(ctx, stopLimit)
	wait(ctx, pause)
	if ctx.Err() != nil {
		return nil
	}
	return p.start()
}

func (r *run) storeFault(ctx context.Context, s Step) error {
	w := r.world
	r.disturbStore(s.For)
	switch s.Kind {
	case StoreForgets:
		w.store.DropHistory()
		return nil
	case StoreLoses:
		w.store.SetFaults(platformtest.StoreFaults{LoseWrites: 1 + s.Way})
	case StoreDown:
		w.store.SetFaults(platformtest.StoreFaults{Down: true})
	case StoreSilent:
		for _, l := range w.links { // a store that hangs in all calls, with room for others behind
			l.SetFaults(faultproxy.Faults{Freeze: true})
		}
	}
	wait(ctx, s.For)
	w.store.SetFaults(platformtest.StoreFaults{})
	if s.Kind == StoreSilent {
		for _, l := range w.links {
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

// restoreStore restores the store from a copy that is as old as the step is long and lacks
// lostRevisions configuration changes. The operator and the upstreams write their objects again.
// Depending on Step.Way, the configuration also changes right after the restore, or the store is
// restored twice. After heartbeatTimeout, entries of upstreams that have ended are removed and a
// key is replaced.
func (r *run) restoreStore(ctx context.Context, s Step) error {
	w := r.world
	storeCopy := w.store.Copy()
	for range lostRevisions {
		wait(ctx, s.For/lostRevisions)
		w.toggleTimeout()
	}
	r.disturbStore(storeDowntime)
	w.store.SetFaults(platformtest.StoreFaults{Down: true})
	wait(ctx, storeDowntime)
	w.restore(storeCopy)
	w.store.SetFaults(platformtest.StoreFaults{})
	switch s.Way {
	case 1:
		w.toggleTimeout()
	case 2:
		wait(ctx, storeDowntime)
		w.restore(storeCopy)
	}
	wait(ctx, heartbeatTimeout)
	w.removeStaleEntries()
	return r.operate(ctx, Step{Kind: KeyWithdrawn})
}

func (r *run) linkFault(ctx context.Context, s Step) error {
	var link *faultproxy.Proxy
	if s.Kind == UpstreamLinks {
		_, u := r.world.at(s.Target)
		r.cut(u)
		link = u.link
	} else {
		link = r.world.links[s.Target%len(r.world.links)]
		r.disturbStore(s.For)
	}
	link.SetFaults(linkFaults(s))
	if s.Kind == StoreLinkCut || s.Way == 1 {
		link.CloseConnections()
	}
	wait(ctx, s.For)
	link.SetFaults(faultproxy.Faults{})
	return nil
}

// slowLink is the delay of each piece of bytes on a slow link: a tenth of the aim of calls.
const slowLink = 80

func linkFaults(s Step) faultproxy.Faults {
	switch {
	case s.Kind == StoreLinkCut:
		return faultproxy.Faults{Refuse: true}
	case s.Kind == StoreLinkMute || s.Way == 0:
		return faultproxy.Faults{Silence: true}
	case s.Way == 1:
		return faultproxy.Faults{Refuse: true}
	case s.Way == 2:
		return faultproxy.Faults{Freeze: true}
	}
	return faultproxy.Faults{DelayMillis: slowLink}
}

func (r *run) upstreamGoes(ctx context.Context, s Step) error {
	place, u := r.world.at(s.Target)
	switch s.Kind {
	case UpstreamAgain:
		u.engine.Restart(0)
		return nil
	case UpstreamLeaves:
		u.engine.SetFaults(platformtest.EngineFaults{AnnounceLeaving: true})
		if s.Way%2 == 0 {
			u.engine.WriteEntry("draining")
		}
		wait(ctx, leaveTime)
	}
	r.killUpstream(u)
	wait(ctx, s.For)
	if ctx.Err() != nil {
		return nil
	}
	return r.world.replace(place)
}

// killUpstream ends an upstream that may have ended already.
func (r *run) killUpstream(u *upstream) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	if r.gone[u] {
		return
	}
	r.gone[u] = true
	u.engine.Kill()
	r.world.store.Remove("servers", u.engine.ID)
}

func (r *run) upstreamFault(ctx context.Context, s Step) error {
	_, u := r.world.at(s.Target)
	f := platformtest.EngineFaults{}
	switch s.Kind {
	case UpstreamFull:
		f.Refuse, f.Rest = true, restAsked
	case UpstreamFails:
		f.Fail = true
	case UpstreamBreaks:
		f.BreakAfter = 1 + 4*s.Way
	case UpstreamMute:
		f.MuteReports = true
	}
	u.engine.SetFaults(f)
	wait(ctx, s.For)
	u.engine.SetFaults(platformtest.EngineFaults{})
	return nil
}

// limitSequences lists the limits that an upstream sets in succession, indexed by Step.Way.
var limitSequences = [ways][]string{{"2.5"}, {"5", "1"}, {"0.5", "4"}, {"0"}}

// limitTime is how long each limit is in effect: the time until it is enforced plus two check
// windows.
const limitTime = limitSettle + 2*limitWindow

// upstreamLimitFault makes an upstream set a sequence of limits and then remove the limit.
// Another fault of the same upstream that begins or ends in the meantime also removes or replaces
// the limit, because SetFaults replaces all faults.
func (r *run) upstreamLimitFault(ctx context.Context, s Step) error {
	_, u := r.world.at(s.Target)
	for _, limit := range limitSequences[s.Way] {
		u.engine.SetFaults(platformtest.EngineFaults{Limit: limit})
		wait(ctx, limitTime)
	}
	u.engine.SetFaults(platformtest.EngineFaults{})
	return nil
}

// withdrawal is a key that was taken away, and when the store had it.
type withdrawal struct {
	key string
	at  time.Time
}

// shortTimeout is the other value that route timeouts take.
const shortTimeout = 6000

func (r *run) operate(_ context.Context, s Step) error {
	w := r.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Kind == KeyWithdrawn {
		key := w.keys[0]
		w.keys = append([]string(nil), w.keys[1:]...)
		w.addKey()
		w.configure()
		w.withdrawn = append(w.withdrawn, withdrawal{key: key, at: time.Now()})
		return nil
	}
	w.toggleTimeoutLocked()
	return nil
}
