// Package engine is a stand-in for an inference engine that holds a range of layers of one model.
//
// It simulates continuous batching at the speed of an accelerator and a prompt prefix cache of
// limited size. It serves streams by priority, reports its load with a lag, publishes cache events
// with gaps in their sequence numbers, cancels and continues streams, exports and imports their KV
// caches, and carries out orders unless their term, the fencing token of a lease, is outdated.
// Faults make it fail in defined ways.
//
//	POST /v1/run           runs a chain whose first stage is this engine
//	POST /v1/stage         opens, advances or closes a stream; called by the previous stage
//	GET  /v1/status        returns the load report
//	GET  /v1/cache-events  returns the cache events after a sequence number
//	GET  /v1/kv/{stream}   exports a stream's KV cache
//	POST /v1/kv/{stream}   imports a stream's KV cache
//	POST /v1/orders        carries out an order
//	GET  /v1/orders        returns the orders that were carried out
//	POST /faults           sets the faults; the body is a Faults
//
// # Usage
//
//	e := engine.New("e1", engine.WithModel(spec, spanrill.LayerRange{From: 0, To: 8}))
//	addr, err := e.Listen("127.0.0.1:0")
package engine

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/standin/model"
	"spanrill/standin/web"
)

// Faults are the faults that an engine simulates. The zero value is a healthy engine.
type Faults struct {
	Slowdown       float64        `json:"slowdown"`         // factor on the time that a batch takes, 0 for none
	Leaving        bool           `json:"leaving"`          // report that the engine is leaving, and refuse new streams
	IgnoreFences   bool           `json:"ignore_fences"`    // also carry out orders with an outdated term
	DoubleTokens   bool           `json:"double_tokens"`    // send each token twice
	SwapTokens     bool           `json:"swap_tokens"`      // send the two tokens of each pair in reverse order
	DropToken      int            `json:"drop_token"`       // don't send the token with this index
	SkipLayer      bool           `json:"skip_layer"`       // don't run the last of the engine's layers
	MisreportRange bool           `json:"misreport_range"`  // report one layer fewer than was run
	EndEarly       int            `json:"end_early"`        // close the stream at this token without an end event
	LinkMicros     map[string]int `json:"link_micros"`      // delay of calls to the next stage, by the name of its engine
	KillAtToken    int            `json:"die_at_token"`     // kill the engine at this token
	StallAtToken   int            `json:"stall_at_token"`   // send nothing from this token on
	FailOrders     int            `json:"fail_orders"`      // fail the next n orders
	LoseOrderReply int            `json:"lose_order_reply"` // carry out the next n orders without an answer
}

// Accelerator describes the speed and the capacity of an accelerator.
type Accelerator struct {
	Kind              string        // kind of accelerator, as the status reports it
	Slots             int           // maximum number of steps in a batch
	BaseTime          time.Duration // base time of a batch
	PositionLayerTime time.Duration // time added to a batch for each position and layer
	MaxLayers         int           // number of layers that fit in memory
}

// Engine is a stand-in for one engine. Create it with New.
type Engine struct {
	name        string
	accelerator Accelerator
	reportLag   time.Duration
	loadTime    time.Duration

	mu         sync.Mutex
	spec       model.Spec
	layers     spanrill.LayerRange
	generation uint64 // increases with each load of a model
	loading    bool
	terms      map[string]uint64  // highest term of the orders carried out, by lease
	orders     []spanrill.Order   // carried out, oldest first
	streams    map[string]*stream // open streams, by ID
	faults     Faults
	cache      *prefixCache
	reported   spanrill.UpstreamStatus // load at reportedAt
	reportedAt time.Time

	batcher  *batcher
	client   *fasthttp.Client
	server   *web.Server
	stopped  chan struct{}
	stopOnce sync.Once
}

// Option configures an Engine.
type Option func(*Engine)

// WithModel sets the model and the layers that the engine holds when it starts.
func WithModel(s model.Spec, r spanrill.LayerRange) Option {
	return func(e *Engine) { e.spec, e.layers = s, r }
}

// WithAccelerator sets the accelerator that the engine simulates.
func WithAccelerator(a Accelerator) Option {
	return func(e *Engine) { e.accelerator = a }
}

// WithReportLag sets the interval between load reports, and so the maximum age of the load that the
// status shows.
func WithReportLag(d time.Duration) Option {
	return func(e *Engine) { e.reportLag = d }
}

// WithCacheBlocks sets the capacity of the prefix cache, in blocks.
func WithCacheBlocks(n int) Option {
	return func(e *Engine) { e.cache = newPrefixCache(n) }
}

// WithLoadTime sets how long loading a model takes.
func WithLoadTime(d time.Duration) Option {
	return func(e *Engine) { e.loadTime = d }
}

// WithGeneration sets the generation at the start. The default is the start time in nanoseconds.
func WithGeneration(g uint64) Option {
	return func(e *Engine) { e.generation = g }
}

// DefaultAccelerator is the accelerator of an engine that is created without WithAccelerator.
var DefaultAccelerator = Accelerator{
	Kind: "m1", Slots: 16, BaseTime: 2 * time.Millisecond,
	PositionLayerTime: 5 * time.Microsecond, MaxLayers: 16,
}

const (
	defaultReportLag   = 300 * time.Millisecond
	defaultCacheBlocks = 512
	defaultLoadTime    = 200 * time.Millisecond
	streamIdleTimeout  = 30 * time.Second
)

// New returns an engine. Without the option WithModel it holds no model.
func New(name string, opts ...Option) *Engine {
	e := &Engine{
		name: name, accelerator: DefaultAccelerator, reportLag: defaultReportLag, loadTime: defaultLoadTime,
		generation: uint64(time.Now().UnixNano()),
		terms:      map[string]uint64{}, streams: map[string]*stream{},
		cache: newPrefixCache(defaultCacheBlocks), stopped: make(chan struct{}),
		client: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 4096,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
	for _, o := range opts {
		o(e)
	}
	e.batcher = newBatcher(e)
	e.server = web.New(e.handle)
	return e
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.name }

// Listen starts the engine on addr and returns the address that it is bound to.
func (e *Engine) Listen(addr string) (string, error) {
	bound, err := e.server.Listen(addr)
	if err != nil {
		return "", err
	}
	go e.batcher.loop()
	go e.reportLoop()
	return bound, nil
}

// Close stops the engine and waits for open requests, whose batches no longer take any time.
func (e *Engine) Close() {
	e.stopOnce.Do(func() { close(e.stopped) })
	e.server.Close()
}

// Kill stops the engine and closes its connections, as a crash would.
func (e *Engine) Kill() {
	e.stopOnce.Do(func() { close(e.stopped) })
	e.server.Kill()
}

// SetFaults replaces the faults to simulate.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// reportLoop renews the load report and drops idle streams, at intervals of the report lag.
func (e *Engine) reportLoop() {
	for {
		load := e.currentLoad()
		e.mu.Lock()
		e.reported, e.reportedAt = load, time.Now()
		e.dropIdleStreams()
		e.mu.Unlock()
		select {
		case <-time.After(max(e.reportLag, 10*time.Millisecond)):
		case <-e.stopped:
			return
		}
	}
}

// dropIdleStreams removes streams that were never closed. The caller holds e.mu.
func (e *Engine) dropIdleStreams() {
	for id, s := range e.streams {
		if time.Since(s.lastUsed) > streamIdleTimeout {
			delete(e.streams, id)
		}
	}
}

// currentLoad returns the load at the time of the call.
func (e *Engine) currentLoad() spanrill.UpstreamStatus {
	waitingJobs := e.batcher.waitingJobs()
	e.mu.Lock()
	defer e.mu.Unlock()
	return spanrill.UpstreamStatus{
		Name: e.name, Running: len(e.streams), Waiting: waitingJobs, Slots: e.accelerator.Slots,
		Kind: e.accelerator.Kind, StepMicros: int(e.accelerator.BaseTime / time.Microsecond),
		TokenNanos: int(e.accelerator.PositionLayerTime), MaxLayers: e.accelerator.MaxLayers,
	}
}

// status returns the load of the last report, with the current state of the model, the generation
// and the cache.
func (e *Engine) status() spanrill.UpstreamStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.reported
	status.AgeMillis = spanrill.MillisOf(time.Since(e.reportedAt))
	status.Leaving = e.faults.Leaving
	status.Model, status.Version, status.Layers = e.spec.Name, e.spec.Version, e.layers
	status.Generation, status.Loading = e.generation, e.loading
	status.CacheSeq = e.cache.seq
	return status
}
