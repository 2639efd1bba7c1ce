package load

import (
	"math"
	"sync/atomic"

	"spanrill"
)

// Upstream is what this daemon knows of one upstream. The request path reads
// and writes it through atomics alone.
type Upstream struct {
	name    string
	addr    string
	zone    string
	service string

	inFlight   atomic.Int64 // requests of this daemon that cross the upstream
	others     atomic.Int64 // requests of other daemons, by the last report
	reportedAt atomic.Int64 // spanrill.Millis at which the last report was made
	reported   atomic.Pointer[spanrill.UpstreamStatus]
	leaving    atomic.Bool // by its own word or by a refusal

	ejectedUntil atomic.Int64  // spanrill.Millis
	failures     atomic.Int64  // in a row
	returnedAt   atomic.Int64  // spanrill.Millis of the last return from ejection
	slow         atomic.Uint64 // float64 bits: observed over expected step time
	slowAt       atomic.Int64  // spanrill.Millis of the last observation
	linkMicros   atomic.Int64  // smoothed time on the link into the upstream
}

// neverReported lies before every time that a report can be made at. Reports
// can be older than this process, so that zero would not do.
const neverReported = math.MinInt64

func newUpstream(b spanrill.Box) *Upstream {
	u := &Upstream{name: b.Name, addr: b.Addr, zone: b.Zone, service: b.Service}
	u.reportedAt.Store(neverReported)
	return u
}

// Name returns the box's name.
func (u *Upstream) Name() string { return u.name }

// Addr returns host:port.
func (u *Upstream) Addr() string { return u.addr }

// Zone returns the availability zone.
func (u *Upstream) Zone() string { return u.zone }

// Service returns the service's name, or "" for an engine.
func (u *Upstream) Service() string { return u.service }

// Report returns the last report, or nil before the first one.
func (u *Upstream) Report() *spanrill.UpstreamStatus { return u.reported.Load() }

// ReportAge returns how old the last report is.
func (u *Upstream) ReportAge(now spanrill.Millis) spanrill.Millis {
	if u.reported.Load() == nil {
		return math.MaxInt64
	}
	return now - spanrill.Millis(u.reportedAt.Load())
}

// Layers returns the layers that the upstream reported to hold.
func (u *Upstream) Layers() spanrill.LayerRange { return u.reported.Load().Layers }

// Stage returns the upstream as a stage of a chain.
func (u *Upstream) Stage() spanrill.StageRef {
	r := u.reported.Load()
	return spanrill.StageRef{Engine: u.name, Addr: u.addr, Layers: r.Layers, Generation: r.Generation}
}

// Begin counts a request of this daemon.
func (u *Upstream) Begin() { u.inFlight.Add(1) }

// End takes a request of this daemon off the count.
func (u *Upstream) End() { u.inFlight.Add(-1) }

// InFlight returns the requests of this daemon.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// othersHalfLife is the age at which a report's word on the requests of other
// daemons counts half.
const othersHalfLife = 2 * spanrill.Second

// othersWeight is the weight of other daemons' requests in the expected load.
// Reports are about as old as a request lives, so that a larger weight draws all
// daemons to the engine that was idle a while ago.
const othersWeight = 0.1

// Others returns the requests of other daemons by the last report, which counts
// less the older it is.
func (u *Upstream) Others(now spanrill.Millis) float64 {
	others := float64(u.others.Load())
	if others <= 0 {
		return 0
	}
	age := float64(now) - float64(u.reportedAt.Load())
	return others * math.Exp2(-age/float64(othersHalfLife))
}

// Load returns the requests that are expected on the upstream, for comparing
// upstreams with one another: those of this daemon, and part of those of others.
func (u *Upstream) Load(now spanrill.Millis) float64 {
	return float64(u.inFlight.Load()) + othersWeight*u.Others(now)
}

// StepMicros returns how long the upstream's report says that one step of one
// request takes with that many requests on it.
func (u *Upstream) StepMicros(load float64) float64 {
	r := u.reported.Load()
	if r == nil || r.Slots == 0 {
		return 1
	}
	inBatch := math.Max(1, math.Min(load, float64(r.Slots)))
	step := float64(r.StepMicros) + float64(r.TokenNanos)*float64(r.Layers.Len())*inBatch/nanosPerMicro
	return math.Max(1, step) * math.Max(1, load/float64(r.Slots))
}

const nanosPerMicro = 1000

// MicrosPerToken returns the time that the upstream needs for one token of one
// request when its batch is full: the inverse of its rate.
func (u *Upstream) MicrosPerToken() float64 {
	r := u.reported.Load()
	if r == nil || r.Slots == 0 {
		return 1
	}
	return u.StepMicros(float64(r.Slots)) / float64(r.Slots)
}

// slowHalfLife is the time without an observation after which an upstream's
// slowness counts half.
const slowHalfLife = 5 * spanrill.Second

// slowWeight is the weight of one observation in the smoothed slowness.
const slowWeight = 0.1

// maxSlow bounds the slowness.
const maxSlow = 100

// Observe notes how long a step of one request took on the upstream.
func (u *Upstream) Observe(now spanrill.Millis, micros int64) {
	ratio := float64(micros) / u.StepMicros(u.Load(now))
	ratio = math.Max(1, math.Min(ratio, maxSlow))
	old := u.Slow(now)
	u.slow.Store(math.Float64bits(old + slowWeight*(ratio-old)))
	u.slowAt.Store(int64(now))
}

// Slow returns how many times slower than reported the upstream was lately.
func (u *Upstream) Slow(now spanrill.Millis) float64 {
	s := math.Float64frombits(u.slow.Load())
	if s <= 1 {
		return 1
	}
	age := float64(now) - float64(u.slowAt.Load())
	return 1 + (s-1)*math.Exp2(-age/float64(slowHalfLife))
}

// ObserveLink notes how long the link into the upstream took.
func (u *Upstream) ObserveLink(micros int64) {
	old := u.linkMicros.Load()
	u.linkMicros.Store(old + (micros-old)/8)
}

// LinkMicros returns the smoothed time on the link into the upstream.
func (u *Upstream) LinkMicros() int64 { return u.linkMicros.Load() }
