package load

import (
	"math"
	"sync/atomic"

	"spanrill"
)

// Upstream holds the address, the reported status and the load of one upstream. All values that
// change are atomics, so that the request path takes no lock.
type Upstream struct {
	name    string
	addr    string
	zone    string
	service string

	inFlight     atomic.Int64 // running requests of this daemon
	peerRequests atomic.Int64 // running requests of other daemons, according to the last report
	reportedAt   atomic.Int64 // when the last report was made, in spanrill.Millis
	report       atomic.Pointer[spanrill.UpstreamStatus]
	leaving      atomic.Bool // according to its report or a refusal

	ejectedUntil atomic.Int64  // spanrill.Millis
	ejections    atomic.Int64  // consecutive ejections
	ejectionEnd  atomic.Int64  // spanrill.Millis; end of the last ejection, or 0
	slowdown     atomic.Uint64 // float64 bits: smoothed ratio of observed to expected step time
	slowdownAt   atomic.Int64  // spanrill.Millis of the last observation
	linkMicros   atomic.Int64  // smoothed time of a transfer over the link to the upstream
}

// neverReported is earlier than any report. Zero is not suitable, since reports can be older than
// this process.
const neverReported = math.MinInt64

func newUpstream(b spanrill.Box) *Upstream {
	u := &Upstream{name: b.Name, addr: b.Addr, zone: b.Zone, service: b.Service}
	u.reportedAt.Store(neverReported)
	return u
}

// Name returns the name of the upstream's box.
func (u *Upstream) Name() string { return u.name }

// Addr returns the address as host:port.
func (u *Upstream) Addr() string { return u.addr }

// Zone returns the availability zone.
func (u *Upstream) Zone() string { return u.zone }

// Service returns the name of the service, or "" for an engine.
func (u *Upstream) Service() string { return u.service }

// Report returns the last report, or nil before the first one.
func (u *Upstream) Report() *spanrill.UpstreamStatus { return u.report.Load() }

// ReportAge returns the age of the last report, or math.MaxInt64 before the first one.
func (u *Upstream) ReportAge(now spanrill.Millis) spanrill.Millis {
	if u.report.Load() == nil {
		return math.MaxInt64
	}
	return now - spanrill.Millis(u.reportedAt.Load())
}

// Layers returns the layers that the upstream holds according to its report. It must not be called
// before the first report.
func (u *Upstream) Layers() spanrill.LayerRange { return u.report.Load().Layers }

// Stage returns the upstream as a stage of a chain. It must not be called before the first report.
func (u *Upstream) Stage() spanrill.StageRef {
	r := u.report.Load()
	return spanrill.StageRef{Engine: u.name, Addr: u.addr, Layers: r.Layers, Generation: r.Generation}
}

// Begin counts a running request of this daemon until End is called.
func (u *Upstream) Begin() { u.inFlight.Add(1) }

// End removes a request from the count that Begin added it to.
func (u *Upstream) End() { u.inFlight.Add(-1) }

// InFlight returns the number of running requests of this daemon.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// peerRequestsHalfLife is the age of a report at which the requests of other daemons in it count half.
const peerRequestsHalfLife = 2 * spanrill.Second

// peerRequestsWeight is the weight of other daemons' requests in the expected load. Reports are about
// as old as the duration of a request, so a larger weight would make all daemons choose the engine
// that was idle a while ago.
const peerRequestsWeight = 0.1

// PeerRequests returns the number of running requests of other daemons according to the last
// report, weighted less the older the report is.
func (u *Upstream) PeerRequests(now spanrill.Millis) float64 {
	requests := float64(u.peerRequests.Load())
	if requests <= 0 {
		return 0
	}
	age := float64(now) - float64(u.reportedAt.Load())
	return requests * math.Exp2(-age/float64(peerRequestsHalfLife))
}

// Load returns the expected number of requests for comparing upstreams: those of this daemon, plus
// those of other daemons with the weight peerRequestsWeight.
func (u *Upstream) Load(now spanrill.Millis) float64 {
	return float64(u.inFlight.Load()) + peerRequestsWeight*u.PeerRequests(now)
}

// StepMicros returns how many microseconds one step of a request takes, according to the upstream's
// report, when load requests are running on it. Without a report it returns 1.
func (u *Upstream) StepMicros(load float64) float64 {
	r := u.report.Load()
	if r == nil || r.Slots == 0 {
		return 1
	}
	inBatch := math.Max(1, math.Min(load, float64(r.Slots)))
	step := float64(r.StepMicros) + float64(r.TokenNanos)*float64(r.Layers.Len())*inBatch/nanosPerMicro
	return math.Max(1, step) * math.Max(1, load/float64(r.Slots))
}

const nanosPerMicro = 1000

// MicrosPerToken returns the microseconds per generated token with a full batch, according to the
// upstream's report: the inverse of its token rate. Without a report it returns 1.
func (u *Upstream) MicrosPerToken() float64 {
	r := u.report.Load()
	if r == nil || r.Slots == 0 {
		return 1
	}
	return u.StepMicros(float64(r.Slots)) / float64(r.Slots)
}

// slowdownHalfLife is the time without a recorded step in which the excess of the slowdown over 1 is
// halved.
const slowdownHalfLife = 5 * spanrill.Second

// slowdownWeight is the weight of one step in the smoothed slowdown.
const slowdownWeight = 0.1

// maxSlowdown limits the slowdown of a single step.
const maxSlowdown = 100

// RecordStep records that a step of one request took this many microseconds on the upstream.
func (u *Upstream) RecordStep(now spanrill.Millis, micros int64) {
	ratio := float64(micros) / u.StepMicros(u.Load(now))
	ratio = math.Max(1, math.Min(ratio, maxSlowdown))
	old := u.Slowdown(now)
	u.slowdown.Store(math.Float64bits(old + slowdownWeight*(ratio-old)))
	u.slowdownAt.Store(int64(now))
}

// Slowdown returns how many times slower than reported the upstream was recently, at least 1.
func (u *Upstream) Slowdown(now spanrill.Millis) float64 {
	s := math.Float64frombits(u.slowdown.Load())
	if s <= 1 {
		return 1
	}
	age := float64(now) - float64(u.slowdownAt.Load())
	return 1 + (s-1)*math.Exp2(-age/float64(slowdownHalfLife))
}

// RecordLink records that a transfer over the link to the upstream took this many microseconds.
func (u *Upstream) RecordLink(micros int64) {
	old := u.linkMicros.Load()
	u.linkMicros.Store(old + (micros-old)/8)
}

// LinkMicros returns the smoothed time of a transfer over the link to the upstream, in microseconds.
func (u *Upstream) LinkMicros() int64 { return u.linkMicros.Load() }
