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

// Fault is what befalls a scene in the middle of a run.
type Fault string

// The faults of a recovery run.
const (
	FaultKill       Fault = "kill"        // a tenth of the engines dies
	FaultStage      Fault = "stage"       // one engine dies
	FaultSlowEngine Fault = "slow-engine" // the fastest engine runs at a tenth of its speed
	FaultSlowLink   Fault = "slow-link"   // the links into one engine slow down a hundredfold
	FaultDaemon     Fault = "daemon"      // one daemon stops as planned, and callers use the others
	FaultZone       Fault = "zone"        // the engines of one availability zone die
	FaultFlap       Fault = "flap"        // one engine is slow and fast in turn, every second
)

// Faults lists the faults.
func Faults() []Fault {
	return []Fault{FaultStage, FaultKill, FaultSlowEngine, FaultSlowLink, FaultDaemon, FaultZone, FaultFlap}
}

// recoveredPart is the part of the throughput before the fault, or of what the
// engines left can carry, that counts as recovered.
const recoveredPart = 0.95

// smoothing is how many windows a throughput is taken over.
const smoothing = 4

// Recovery offers a load, lets a fault happen, and reports how long it took
// until the tokens a second were back.
func Recovery(ctx context.Context, spec scene.Spec, o Options, fault Fault) (*Report, error) {
	o = o.withDefaults()
	o.Steady = true
	s, err := scene.Start(ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("start scene: %w", err)
	}
	defer s.Close()
	left, inject, err := prepare(s, fault)
	if err != nil {
		return nil, err
	}
	bound := Bound(spec.Engines, spec.Model.Layers, o.Mix)
	r := newRunner(s, o, time.Now())
	at := o.Warmup + o.Duration/3
	arrivals := plan(s, o, bound*o.Load)
	if fault == FaultDaemon {
		avoidDaemon(arrivals, at, len(s.Daemons()))
	}
	stop := make(chan struct{})
	timer := time.AfterFunc(time.Until(r.tally.started.Add(at)), func() { inject(stop) })
	r.run(ctx, arrivals)
	timer.Stop()
	close(stop)
	report := newReport(s, o, bound, r.tally)
	report.Recovery = r.tally.recovery(at, o, Bound(left, spec.Model.Layers, o.Mix)/bound/o.Load)
	return report, nil
}

// avoidDaemon sends requests that come after a stop to the other daemons, as
// the platform's balancer does.
func avoidDaemon(arrivals []arrival, at time.Duration, daemons int) {
	for i := range arrivals {
		if arrivals[i].at >= at && arrivals[i].daemon == 0 {
			arrivals[i].daemon = 1 + i%(daemons-1)
		}
	}
}

// prepare returns the engines that are left after a fault at the speed they
// are left with, and what makes the fault happen.
func prepare(s *scene.Scene, fault Fault) (left []scene.EngineSpec, inject func(stop <-chan struct{}), err error) {
	all := s.Spec().Engines
	switch fault {
	case FaultStage:
		return kill(s, func(i int, _ scene.EngineSpec) bool { return i == 0 })
	case FaultKill:
		return kill(s, func(i int, _ scene.EngineSpec) bool { return i%10 == 0 })
	case FaultZone:
		return kill(s, func(_ int, e scene.EngineSpec) bool { return e.Zone == all[0].Zone })
	case FaultSlowEngine:
		return all[1:], func(<-chan struct{}) {
			slow(s, all[0].Name, engine.Faults{Slowdown: slowFactor})
		}, nil
	case FaultSlowLink:
		return all, func(<-chan struct{}) { slowLinks(s, all[1]) }, nil
	case FaultDaemon:
		return all, func(<-chan struct{}) { s.StopDaemon(0) }, nil
	case FaultFlap:
		return all[1:], func(stop <-chan struct{}) { flap(s, all[0].Name, stop) }, nil
	}
	return nil, nil, errors.Errorf("unknown fault %q: allowed are %v", fault, Faults())
}

const slowFactor = 10

func kill(s *scene.Scene, dies func(int, scene.EngineSpec) bool) ([]scene.EngineSpec, func(<-chan struct{}), error) {
	var left []scene.EngineSpec
	var dead []string
	for i, e := range s.Spec().Engines {
		if dies(i, e) {
			dead = append(dead, e.Name)
			continue
		}
		left = append(left, e)
	}
	return left, func(<-chan struct{}) {
		for _, name := range dead {
			s.Engine(name).Kill()
		}
	}, nil
}

// slow changes the faults of an engine and keeps its links.
func slow(s *scene.Scene, name string, f engine.Faults) {
	f.LinkMicros = s.LinkDelays(name)
	s.Engine(name).SetFaults(f)
}

// slowLinks makes every link into an engine a hundred times slower.
func slowLinks(s *scene.Scene, to scene.EngineSpec) {
	for _, e := range s.Spec().Engines {
		links := s.LinkDelays(e.Name)
		links[to.Name] *= 100
		s.Engine(e.Name).SetFaults(engine.Faults{LinkMicros: links})
	}
}

func flap(s *scene.Scene, name string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		f := engine.Faults{}
		if i%2 == 0 {
			f.Slowdown = slowFactor
		}
		slow(s, name, f)
		select {
		case <-stop:
			return
		case <-time.After(spanrill.Second.Duration()):
		}
	}
}

// recovery returns the tokens a second before and after the fault, and the
// seconds until they were back. Possible is what the engines left can carry,
// as a part of what is offered.
func (t *Tally) recovery(at time.Duration, o Options, possible float64) map[string]float64 {
	fault := int(at / window)
	end := int((o.Warmup + o.Duration) / window)
	before := t.rate(int(o.Warmup/window), fault)
	target := recoveredPart * before * math.Min(1, possible)
	result := map[string]float64{
		"tokens_before": before, "tokens_after": t.rate(end-3*smoothing, end), "lowest": math.Inf(1), "seconds": -1,
	}
	for w := fault; w+smoothing <= end; w++ {
		now := t.rate(w, w+smoothing)
		result["lowest"] = math.Min(result["lowest"], now)
		if now >= target && result["seconds"] < 0 && w > fault {
			result["seconds"] = (time.Duration(w-fault) * window).Seconds()
		}
		if now < target && result["lowest"] == now {
			result["seconds"] = -1
		}
	}
	return result
}

// rate returns the tokens a second over some windows.
func (t *Tally) rate(from, to int) float64 {
	n := 0
	for _, w := range t.tokens[from:to] {
		n += w
	}
	return float64(n) / (time.Duration(to-from) * window).Seconds()
}
