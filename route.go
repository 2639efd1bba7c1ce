package spanrill

// Repeat tells whether a request of a route may run more than once.
type Repeat uint8

// The kinds of repetition. The zero value is the most restrictive.
const (
	// RepeatNever means that a request runs at most once.
	RepeatNever Repeat = iota
	// RepeatSafe means that a request may run any number of times.
	RepeatSafe
	// RepeatResume means that a stream may be requested again, to continue after the last
	// event that its caller has received.
	RepeatResume
)

var repeatNames = [...]string{RepeatNever: "never", RepeatSafe: "safe", RepeatResume: "resume"}

// String returns the name used in logs.
func (r Repeat) String() string {
	if int(r) >= len(repeatNames) {
		return "invalid"
	}
	return repeatNames[r]
}

// WeightedService is one of the services between which a route splits its requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route describes how the requests of one host and path prefix are served.
type Route struct {
	Name          string
	Host          string
	Prefix        string // starts and ends with a slash
	Shares        []WeightedService
	Repeat        Repeat
	Stream        bool   // the answer is an event stream
	Chained       bool   // each engine of the service holds a part of a model
	AuthExempt    bool   // needs no API key
	Timeout       Millis // maximum time from arrival to answer
	LatencyTarget Millis // latency objective of an answer, or of a stream's first event
	PauseTarget   Millis // objective for the longest pause between events
	Priority      int    // 0 is the most urgent
	MaxAttempts   int    // maximum number of upstreams that one request is sent to
}

// ServiceInfo describes a service that routes refer to.
type ServiceInfo struct {
	Name           string
	HealthPath     string
	MaxConnections int          // maximum that one upstream accepts from all callers together
	Model          *EngineModel // nil for a plain service
}

// AcceleratorKind describes one kind of accelerator.
type AcceleratorKind struct {
	Name          string
	MemoryMB      float64 // shared by layers and KV cache
	StepFactor    float64 // multiplies the time of a step
	PrefillFactor float64 // multiplies the time of a prefill
}

// EngineModel holds the operator's figures for the engines of one service, from which placement
// and routing compute times and memory.
type EngineModel struct {
	Name                  string // of the model served
	Layers                int
	LayerMB               float64
	Slots                 int     // maximum number of requests in one batch
	KVTokenBytes          float64 // KV cache of one token over all layers
	ActivationBytes       float64 // activations sent between two engines for each token
	StepMillis            float64 // of one pass over all layers, at a step factor of 1
	StepMillisPerRequest  float64 // milliseconds added for each request in the batch
	StepMillisPerKContext float64 // milliseconds added for 1,000 tokens of context
	PrefillTokensPerMilli float64 // prompt tokens prefilled in a millisecond, over all layers
	ZoneLinkMbps          float64 // bandwidth between two availability zones, shared by all requests
	LoadSeconds           float64 // to load all layers
	ConcurrentLoads       int     // maximum number of concurrent loads at full speed
	MeanPromptTokens      float64 // of a request
	MeanAnswerTokens      float64 // of a request
	TokensPerEvent        int     // in one event of a stream, 0 if unknown
	Kinds                 map[string]AcceleratorKind
	ZoneDelayMillis       map[ZonePair]float64 // one way, milliseconds
}

// ZonePair is an unordered pair of availability zones. A does not sort after B.
type ZonePair struct{ A, B string }

// ZonePairOf returns the pair of two availability zones.
func ZonePairOf(a, b string) ZonePair {
	if a > b {
		a, b = b, a
	}
	return ZonePair{A: a, B: b}
}

// Account is a client account, as far as routing needs it.
type Account struct {
	Name     string
	Keys     []string
	Priority int // NoPriority if that of the route applies
}

// NoPriority means that an account sets no priority of its own.
const NoPriority = -1

// CallerLimits bounds the requests and connections of callers.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout Millis
	IdleTimeout   Millis
}

// RouteConfig is one version of the configuration of routes. It must not be modified after
// decoding.
type RouteConfig struct {
	Version       int64 // increases, not always by one
	Routes        []Route
	Services      []ServiceInfo
	Accounts      []Account
	Limits        CallerLimits
	IgnoredValues []string // descriptions of implausible values, which were ignored
}
