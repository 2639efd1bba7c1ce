// Package engine is a stand-in for a model engine that holds a range of
// layers of one model.
//
// It batches continuously at the speed of its accelerator, caches prompt
// prefixes in limited memory, honours priorities, reports load with a lag and
// cache events late and with gaps, cancels and resumes streams, exports and
// imports KV, and takes fenced orders.
//
//	POST /v1/run           runs a chain whose first stage is this engine
//	POST /v1/stage         one step of a stream, called by the stage before
//	GET  /v1/status        the load report
//	GET  /v1/cache-events  cache events after a sequence number
//	GET  /v1/kv/{stream}   exports a stream's KV
//	POST /v1/kv/{stream}   imports a stream's KV
//	POST /v1/orders        a fenced order
//	GET  /v1/orders        the orders that took effect
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

// Faults says how the engine misbehaves. The zero value is a healthy engine.
type Faults struct {
	Slowdown       float64        `json:"slowdown"`         // steps take this many times as long
	Leaving        bool           `json:"leaving"`          // reported, and new streams are refused
	IgnoreFences   bool           `json:"ignore_fences"`    // orders are taken whatever their term
	DoubleTokens   bool           `json:"double_tokens"`    // each token is sent twice
	SwapTokens     bool           `json:"swap_tokens"`      // pairs of tokens change places
	DropToken      int            `json:"drop_token"`       // the token with this index is not sent
	SkipLayer      bool           `json:"skip_layer"`       // the last layer held is left out
	MisreportRange bool           `json:"misreport_range"`  // the proof names one layer too few
	EndEarly       int            `json:"end_early"`        // the stream closes at this token with no end event
	LinkMicros     map[string]int `json:"link_micros"`      // delay before each call to a next stage
	DieAtToken     int            `json:"die_at_token"`     // the listener stops at this token, once
	StallAtToken   int            `json:"stall_at_token"`   // nothing more is sent from this token on
	FailOrders     int            `json:"fail_orders"`      // the next n orders fail
	LoseOrderReply int            `json:"lose_order_reply"` // the next n orders act and lose their answer
}

// Speed is how fast an accelerator runs.
type Speed struct {
	Kind       string        // accelerator
	Slots      int           // streams in one batch step
	Step       time.Duration // base time of a batch step
	TokenLayer time.Duration // added time of one position in one layer
	MemLayers  int           // layers that fit
}

// Engine is the stand-in.
type Engine struct {
	name     string
	speed    Speed
	lag      time.Duration
	loadTime time.Duration

	mu         sync.Mutex
	spec       model.Spec
	layers     spanrill.LayerRange
	generation uint64
	loading    bool
	terms      map[string]uint64
	orders     []spanrill.Order
	streams    map[string]*stream
	faults     Faults
	cache      *prefixCache
	reported   spanrill.UpstreamStatus
	reportedAt time.Time

	batch   *batcher
	client  *fasthttp.Client
	server  *web.Server
	stopped chan struct{}
	once    sync.Once
}

// Option changes a default of New.
type Option func(*Engine)

// WithModel sets the model and the layers that the engine holds at its start.
func WithModel(s model.Spec, r spanrill.LayerRange) Option {
	return func(e *Engine) { e.spec, e.layers = s, r }
}

// WithSpeed sets the accelerator.
func WithSpeed(s Speed) Option {
	return func(e *Engine) { e.speed = s }
}

// WithReportLag sets how old the load report is.
func WithReportLag(d time.Duration) Option {
	return func(e *Engine) { e.lag = d }
}

// WithCacheBlocks sets how many prefix blocks fit into the cache.
func WithCacheBlocks(n int) Option {
	return func(e *Engine) { e.cache = newPrefixCache(n) }
}

// WithLoadTime sets how long an order to load a model takes.
func WithLoadTime(d time.Duration) Option {
	return func(e *Engine) { e.loadTime = d }
}

// WithGeneration sets the generation at the start.
func WithGeneration(g uint64) Option {
	return func(e *Engine) { e.generation = g }
}

// DefaultSpeed is an accelerator of the middle kind.
var DefaultSpeed = Speed{
	Kind: "m1", Slots: 16, Step: 2 * time.Millisecond,
	TokenLayer: 5 * time.Microsecond, MemLayers: 16,
}

const (
	defaultLag         = 300 * time.Millisecond
	defaultCacheBlocks = 512
	defaultLoadTime    = 200 * time.Millisecond
	streamIdle         = 30 * time.Second
)

// New returns an engine that holds no model unless an option gives one.
func New(name string, opts ...Option) *Engine {
	e := &Engine{
		name: name, speed: DefaultSpeed, lag: defaultLag, loadTime: defaultLoadTime,
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
	e.batch = newBatcher(e)
	e.server = web.New(e.handle)
	return e
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.name }

// Listen serves on addr and returns the address in use.
func (e *Engine) Listen(addr string) (string, error) {
	in, err := e.server.Listen(addr)
	if err != nil {
		return "", err
	}
	go e.batch.loop()
	go e.report()
	return in, nil
}

// Close stops the engine and lets open requests end.
func (e *Engine) Close() {
	e.once.Do(func() { close(e.stopped) })
	e.server.Close()
}

// Kill ends the engine as a crash does.
func (e *Engine) Kill() {
	e.once.Do(func() { close(e.stopped) })
	e.server.Kill()
}

// SetFaults replaces the faults.
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

// report renews the lagging load report.
func (e *Engine) report() {
	for {
		s := e.statusNow()
		e.mu.Lock()
		e.reported, e.reportedAt = s, time.Now()
		e.dropIdleStreams()
		e.mu.Unlock()
		select {
		case <-time.After(max(e.lag, 10*time.Millisecond)):
		case <-e.stopped:
			return
		}
	}
}

// dropIdleStreams forgets streams that nobody closed. The caller holds the lock.
func (e *Engine) dropIdleStreams() {
	for id, s := range e.streams {
		if time.Since(s.used) > streamIdle {
			delete(e.streams, id)
		}
	}
}

func (e *Engine) statusNow() spanrill.UpstreamStatus {
	waiting := e.batch.depth()
	e.mu.Lock()
	defer e.mu.Unlock()
	return spanrill.UpstreamStatus{
		Name: e.name, Running: len(e.streams), Waiting: waiting, Slots: e.speed.Slots,
		Kind: e.speed.Kind, StepMicros: int(e.speed.Step / time.Microsecond),
		TokenNanos: int(e.speed.TokenLayer), MaxLayers: e.speed.MemLayers,
	}
}

// status returns the lagging load with what is true now of the model held.
func (e *Engine) status() spanrill.UpstreamStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.reported
	s.AgeMillis = spanrill.MillisOf(time.Since(e.reportedAt))
	s.Leaving = e.faults.Leaving
	s.Model, s.Version, s.Layers = e.spec.Name, e.spec.Version, e.layers
	s.Generation, s.Loading = e.generation, e.loading
	s.CacheSeq = e.cache.seq
	return s
}
