package bench

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/scene"
	"spanrill/standin/engine"
)

// Fault names a fault that is injected during a run.
type Fault string

// The faults of a recovery run.
const (
	FaultKill       Fault = "kill"        // a tenth of the engines is killed
	FaultStage      Fault = "stage"       // one engine is killed
	FaultSlowEngine Fault = "slow-engine" // one of the fastest engines runs at a tenth of its speed
	FaultSlowLink   Fault = "slow-link"   // the links into one engine are a hundred times slower
	FaultDaemon     Fault = "daemon"      // one daemon shuts down, and callers use the others
	FaultZone       Fault = "zone"        // the engines of one availability zone are killed
	FaultFlap       Fault = "flap"        // one engine alternates between slow and fast every second
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{FaultStage, FaultKill, FaultSlowEngine, FaultSlowLink, FaultDaemon, FaultZone, FaultFlap}
}

// recoveredShare is the share of the throughput before the fault that counts as
// recovered. If the remaining engines cannot serve the offered load, it is the share
// of what they can serve.
const recoveredShare = 0.95

// smoothingWindows is the number of windows over which the throughput is averaged.
const smoothingWindows = 4

// Recovery offers a load, injects a fault, and reports how long it took until the
// throughput in tokens a second had recovered.
func Recovery(ctx context.Context, spec scene.Spec, o Options, fault Fault) (*Report, error) {
	o = o.withDefaults()
	o.Steady = true
	s, err := scene.Start(ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("start scene: %w", err)
	}
	defer s.Close()
	remaining, inject, err := prepareFault(s, fault)
	if err != nil {
		return nil, err
	}
	bound := Bound(spec.Engines, spec.Model.Layers, o.Mix)
	r := newRunner(s, o, time.Now())
	faultAt := o.Warmup + o.Duration/3
	arrivals := planArrivals(s, o, bound*o.Load)
	if fault == FaultDaemon {
		redirectFromDaemon(arrivals, faultAt, len(s.Daemons()))
	}
	stop := make(chan struct{})
	timer := time.AfterFunc(time.Until(r.tally.started.Add(faultAt)), func() { inject(stop) })
	r.run(ctx, arrivals)
	timer.Stop()
	close(stop)
	report := newReport(s, o, bound, r.tally)
	report.Recovery = r.tally.recovery(faultAt, o, Bound(remaining, spec.Model.Layers, o.Mix)/bound/o.Load)
	return report, nil
}

// redirectFromDaemon moves the requests to daemon 0 after the fault to the other
// daemons, as the platform's load balancer does.
func redirectFromDaemon(arrivals []arrival, faultAt time.Duration, daemons int) {
	for i := range arrivals {
		if arrivals[i].sendAt >= faultAt && arrivals[i].daemon == 0 {
			arrivals[i].daemon = 1 + i%(daemons-1)
		}
	}
}

// prepareFault returns the engines whose capacity remains after a fault, and a
// function that injects the fault. An engine that the fault slows down does not
// count as remaining; an engine with slow links does. inject may block until stop is
// closed.
func prepareFault(s *scene.Scene, fault Fault) (remaining []scene.EngineSpec, inject func(stop <-chan struct{}), err error) {
	engines := s.Spec().Engines
	switch fault {
	case FaultStage:
		return killEngines(s, func(i int, _ scene.EngineSpec) bool { return i == 0 })
	case FaultKill:
		return killEngines(s, func(i int, _ scene.EngineSpec) bool { return i%10 == 0 })
	case FaultZone:
		return killEngines(s, func(_ int, e scene.EngineSpec) bool { return e.Zone == engines[0].Zone })
	case FaultSlowEngine:
		return engines[1:], func(<-chan struct{}) {
			setFaults(s, engines[0].Name, engine.Faults{Slowdown: slowFactor})
		}, nil
	case FaultSlowLink:
		return engines, func(<-chan struct{}) { slowLinksInto(s, engines[1]) }, nil
	case FaultDaemon:
		return engines, func(<-chan struct{}) { s.StopDaemon(0) }, nil
	case FaultFlap:
		return engines[1:], func(stop <-chan struct{}) { alternateSpeed(s, engines[0].Name, stop) }, nil
	}
	return nil, nil, errors.Errorf("unknown fault %q: allowed are %v", fault, Faults())
}

// slowFactor is the factor by which FaultSlowEngine and FaultFlap slow an engine down.
const slowFactor = 10

// killEngines returns the engines that are not selected, and a function that kills
// the selected ones.
func killEngines(s *scene.Scene, selected func(int, scene.EngineSpec) bool) ([]scene.EngineSpec, func(<-chan struct{}), error) {
	var remaining []scene.EngineSpec
	var killed []string
	for i, e := range s.Spec().Engines {
		if selected(i, e) {
			killed = append(killed, e.Name)
			continue
		}
		remaining = append(remaining, e)
	}
	return remaining, func(<-chan struct{}) {
		for _, name := range killed {
			s.Engine(name).Kill()
		}
	}, nil
}

// setFaults replaces the faults of an engine and keeps the latency of its links.
func setFaults(s *scene.Scene, name string, faults engine.Faults) {
	faults.LinkMicros = s.LinkDelays(name)
	s.Engine(name).SetFaults(faults)
}

// slowLinksInto makes every link into an engine a hundred times slower.
func slowLinksInto(s *scene.Scene, to scene.EngineSpec) {
	for _, e := range s.Spec().Engines {
		links := s.LinkDelays(e.Name)
		links[to.Name] *= 100
		s.Engine(e.Name).SetFaults(engine.Faults{LinkMicros: links})
	}
}

// alternateSpeed slows an engine down and restores its speed in turn, every second
// until stop is closed.
func alternateSpeed(s *scene.Scene, name string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		faults := engine.Faults{}
		if i%2 == 0 {
			faults.Slowdown = slowFactor
		}
		setFaults(s, name, faults)
		select {
		case <-stop:
			return
		case <-time.After(spanrill.Second.Duration()):
		}
	}
}

// recovery returns the tokens a second before the fault and at the end of the run, the
// lowest rate after the fault, and the seconds from the fault until the rate first
// reached the target after its lowest value, or -1 if it did not. capacityShare is the
// capacity of the remaining engines as a share of the offered load.
func (t *Tally) recovery(faultAt time.Duration, o Options, capacityShare float64) map[string]float64 {
	faultWindow := int(faultAt / window)
	end := int((o.Warmup + o.Duration) / window)
	before := t.rate(int(o.Warmup/window), faultWindow)
	target := recoveredShare * before * math.Min(1, capacityShare)
	result := map[string]float64{
		"tokens_before": before, "tokens_after": t.rate(end-3*smoothingWindows, end), "lowest": math.Inf(1), "seconds": -1,
	}
	for w := faultWindow; w+smoothingWindows <= end; w++ {
		rate := t.rate(w, w+smoothingWindows)
		result["lowest"] = math.Min(result["lowest"], rate)
		if rate >= target && result["seconds"] < 0 && w > faultWindow {
			result["seconds"] = (time.Duration(w-faultWindow) * window).Seconds()
		}
		if rate < target && result["lowest"] == rate {
			result["seconds"] = -1
		}
	}
	return result
}

// rate returns the mean tokens a second from window from up to, but not including, window to.
func (t *Tally) rate(from, to int) float64 {
	tokens := 0
	for _, count := range t.tokens[from:to] {
		tokens += count
	}
	return float64(tokens) / (time.Duration(to-from) * window).Seconds()
}
